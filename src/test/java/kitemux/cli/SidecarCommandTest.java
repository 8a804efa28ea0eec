package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import kitemux.standin.FixedResponseServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar's process among servers that are told apart by how much they answer. */
class SidecarCommandTest {
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @TempDir
    private Path folder;

    private SidecarProcess sidecar;

    @AfterEach
    void end() throws InterruptedException {
        if (sidecar != null) {
            sidecar.close();
        }
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
    }

    private static String description(int port, FixedResponseServer one, FixedResponseServer two) throws IOException {
        return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"))
                .replace("127.0.0.1:8080", "127.0.0.1:" + port)
                .replace("127.0.0.1:9001", "127.0.0.1:" + one.address().getPort())
                .replace("127.0.0.1:9002", "127.0.0.1:" + two.address().getPort());
    }

    /** Lengths of so many answers. */
    private Set<Integer> lengths(int count) throws IOException, InterruptedException {
        Set<Integer> lengths = new TreeSet<>();
        sidecar.answers(count).forEach(body -> lengths.add(body.length()));
        return lengths;
    }

    @Test
    void serversAreFollowedAndWhatIsBrokenIsNot() throws Exception {
        int port = SidecarProcess.freePort();
        try (FixedResponseServer one = FixedResponseServer.start(loops, 1);
                FixedResponseServer two = FixedResponseServer.start(loops, 2);
                FixedResponseServer three = FixedResponseServer.start(loops, 3)) {
            Path file = Files.writeString(folder.resolve("app.hcl"), description(port, one, two));
            sidecar = new SidecarProcess(file, port);
            sidecar.await("listening on");
            assertEquals(Set.of(1, 2), lengths(60));
            // One drains; another takes its place.
            String next =
                    description(port, one, two).replace("rack    = 0\n}", "rack    = 0\n  state   = \"draining\"\n}")
                            + "server \"web-4\" {\n  address = \"127.0.0.1:"
                            + three.address().getPort() + "\"\n}\n";
            Files.writeString(file, next);
            sidecar.await("server web-1 is draining");
            sidecar.await("server web-4 is new");
            // What was under way is over: from now on nothing goes to the one that drains.
            lengths(1);
            assertEquals(Set.of(2, 3), lengths(60));
            Files.writeString(file, next.replace("again    = \"never-twice\"", "again    = \"safe\""));
            sidecar.await("KX101");
            sidecar.await("what it said before holds");
            assertEquals(Set.of(2, 3), lengths(30));
            sidecar.process.destroy();
            assertEquals(143, sidecar.exit(), "it ends by SIGTERM once it has drained");
        }
    }

    @Test
    void aDescriptionWithFaultsStartsNothing() throws Exception {
        Path file = Files.writeString(
                folder.resolve("app.hcl"),
                Files.readString(Path.of("examples", "app", "ordering-desk.hcl"))
                        .replace("window   = \"1200ms\"", "window = \"1h\""));
        sidecar = new SidecarProcess(file, 1);
        sidecar.await("KX102");
        assertEquals(1, sidecar.exit());
    }
}
