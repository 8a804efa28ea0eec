package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests SIGTERM at each step of the start of the listener; a debugger forces the order of the threads. */
class SignalAtStartupTest {
    private static final int TIMEOUT_MS = 20_000;

    @TempDir
    private Path folder;

    /** Starts a node that has one server and listens on the reserved port. */
    private Debuggee startNode(ScriptedServer server, SocketChannel holder) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "known":%s,
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":20000000,"repeat":"safe"}]}}
                """.formatted(
                        port(holder),
                        Site.list(1, true, "s0=" + server.endpoint() + "=Ready").replace("\"here\"", "\"\"")));
        return Debuggee.start(
                List.of(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "node"),
                Map.of("PROXY_CONFIG", config.toString()));
    }

    /** Reserves a port for a process that will listen on it later. */
    private static SocketChannel reservePort() throws IOException {
        return SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static int port(SocketChannel holder) throws IOException {
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private static Socket connect(SocketChannel holder) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port(holder));
        client.setSoTimeout(TIMEOUT_MS);
        return client;
    }

    /** Connects once the process listens. */
    private static Socket connectOnceItListens(SocketChannel holder) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            try {
                return connect(holder);
            } catch (ConnectException e) {
                assertTrue(System.nanoTime() < deadline, "the process did not listen");
            }
        }
    }

    private static void assertEnds(Debuggee node) throws InterruptedException {
        assertTrue(node.process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the process did not end");
        assertEquals(143, node.process.exitValue(), "ended by SIGTERM in good order");
    }

    @Test
    void signalBeforeTheListenerOpensEndsTheNode() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                SocketChannel holder = reservePort();
                Debuggee node = startNode(server, holder)) {
            node.suspendAtReturn("java.lang.Runtime", "addShutdownHook");
            node.awaitSuspended(Node.class.getName());
            node.process.toHandle().destroy();
            assertEnds(node);
            assertThrows(ConnectException.class, () -> connect(holder));
            assertTrue(node.process.inputReader().lines().noneMatch(line -> line.contains("listening on")));
        }
    }

    /** The system already accepts connections, and the process does not know yet that it listens. */
    @Test
    void clientIsServedWhenTheSignalComesAsTheListenerOpens() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "late");
                SocketChannel holder = reservePort();
                Debuggee node = startNode(server, holder)) {
            node.suspendAtEntry(StartupGate.class.getName(), "open");
            Debuggee.SuspendedThread opens = node.awaitSuspended(Node.class.getName());
            node.suspendAtReturn("sun.nio.ch.ServerSocketChannelImpl", "bind");
            opens.resume();
            Debuggee.SuspendedThread bound = node.awaitSuspended("io.netty.channel.socket.nio.NioServerSocketChannel");
            Socket client = connect(holder);
            Site.write(client, Http.page("/api/p", "t", "15000m"));
            node.process.toHandle().destroy();
            node.awaitWaiting("drain");
            bound.resume();
            ScriptedServer.next(server.requests);
            answer.countDown();
            assertEquals("late", Http.read(client.getInputStream()).body());
            assertEnds(node);
        }
    }

    /** Clients are already served, and the thread that starts the process has not continued since. */
    @Test
    void clientIsServedWhenTheSignalComesRightAfterTheListenerOpens() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "late");
                SocketChannel holder = reservePort();
                Debuggee node = startNode(server, holder)) {
            node.suspendAtReturn(StartupGate.class.getName(), "open");
            node.stepOut(node.awaitSuspended(Node.class.getName()));
            Socket client = connectOnceItListens(holder);
            Site.write(client, Http.page("/api/p", "t", "15000m"));
            ScriptedServer.next(server.requests);
            node.process.toHandle().destroy();
            node.awaitWaiting("drain");
            answer.countDown();
            assertEquals("late", Http.read(client.getInputStream()).body());
            assertEnds(node);
        }
    }
}
