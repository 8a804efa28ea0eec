package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.standin.FixedResponseServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ConfigCommandTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int config(String... arguments) {
        return new CommandLine(new ConfigCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
    }

    private static String example() throws IOException {
        return Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
    }

    @Test
    void eachFaultIsToldWithPlaceCodeAndCure() throws IOException {
        String broken = example()
                .replace("again    = \"never-twice\"", "again    = \"safe\"")
                .replace("127.0.0.1:9002", "web-2:9002");
        Path file = Files.writeString(folder.resolve("app.hcl"), broken + "rules {");
        assertEquals(1, config("check", file.toString()));
        assertTrue(
                err.toString().matches("(?s).*app[.]hcl:\\d+:7: KX001 the bracket [{] is never closed.*"),
                err.toString());
        Files.writeString(file, broken);
        err.getBuffer().setLength(0);
        assertEquals(1, config("check", file.toString()));
        List<String> lines = err.toString().lines().toList();
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(
                lines.get(0).matches(".*app[.]hcl:39:3: " + "class \"place-order\"[.]again: KX101 .*say never-twice.*"),
                lines::toString);
        assertTrue(lines.get(1).matches(".*app[.]hcl:13:3: server \"web-2\"[.]address: KX401 .*"), lines::toString);
        assertEquals(1, config("diff", "examples/app/ordering-desk.hcl", file.toString()));
        assertEquals(0, config("diff", "examples/app/ordering-desk.hcl", "examples/app/ordering-desk.hcl"));
        assertEquals("", out.toString());
        Path to = folder.resolve("config.json");
        assertEquals(1, config("write", file.toString(), "--to", to.toString()));
        assertFalse(Files.exists(to), "something was written all the same");
    }

    @Test
    void whatIsWrittenStartsANodeThatServes() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int port;
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress("127.0.0.1", 0));
            port = free.getLocalPort();
        }
        try (FixedResponseServer one = FixedResponseServer.start(loops, 5);
                FixedResponseServer two = FixedResponseServer.start(loops, 5)) {
            Path file = Files.writeString(
                    folder.resolve("app.hcl"),
                    example()
                            .replace("127.0.0.1:8080", "127.0.0.1:" + port)
                            .replace(
                                    "127.0.0.1:9001",
                                    "127.0.0.1:" + one.address().getPort())
                            .replace(
                                    "127.0.0.1:9002",
                                    "127.0.0.1:" + two.address().getPort()));
            Path to = folder.resolve("config.json");
            assertEquals(
                    0, config("write", file.toString(), "--to", to.toString(), "--seed", "c0ffee"), err.toString());
            ProcessBuilder builder = new ProcessBuilder(
                            ProcessHandle.current().info().command().orElseThrow(),
                            "-Xmx64m",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName(),
                            "node")
                    .redirectErrorStream(true);
            builder.environment().put("PROXY_CONFIG", to.toString());
            Process node = builder.start();
            try {
                BufferedReader lines = node.inputReader();
                StringBuilder said = new StringBuilder();
                String line = "";
                while (line != null && !line.contains("listening on")) {
                    line = lines.readLine();
                    said.append(line).append('\n');
                }
                assertTrue(line != null, said::toString);
                HttpResponse<String> answer = HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api/page"))
                                        .header("X-Txn", "a1")
                                        .header("X-Lane", "view-page")
                                        .header("X-Org", "school-a")
                                        .header("X-Remaining", "5000m")
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                assertEquals(200, answer.statusCode());
            } finally {
                node.destroyForcibly().waitFor(20, TimeUnit.SECONDS);
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    @Test
    void codesAreExplainedAndBadCallsAreTold() throws IOException {
        assertEquals(0, config("explain", "kx101"));
        assertTrue(
                out.toString().startsWith("KX101: work that must never run twice could run twice. Cure: "),
                out.toString());
        assertEquals(0, config("explain"));
        assertTrue(out.toString().lines().count() > 15, out.toString());
        assertEquals(2, config("explain", "KX999"));
        assertEquals(2, config("check", folder.resolve("none.hcl").toString()));
        assertEquals(
                2,
                config(
                        "write",
                        "examples/app/ordering-desk.hcl",
                        "--to",
                        folder.resolve("c").toString(),
                        "--seed",
                        "xyz"));
        Path binary = Files.write(folder.resolve("b.hcl"), new byte[] {(byte) 0xff, (byte) 0xfe, 0});
        assertEquals(2, config("check", binary.toString()));
        assertTrue(err.toString().contains("b.hcl is not UTF-8"), err.toString());
    }
}
