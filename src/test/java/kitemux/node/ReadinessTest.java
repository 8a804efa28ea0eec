package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kitemux.cli.Main;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that processes that start at the same time become ready whatever the state of discovery. */
class ReadinessTest {
    private static final int NODE_COUNT = 3;
    private static final int TIMEOUT_S = 25;

    @TempDir
    private Path folder;

    /** Discovery with more callers than it can serve, until it is released. */
    private static final class OverloadedDiscovery implements AutoCloseable {
        private final CountDownLatch released = new CountDownLatch(1);
        private final ScriptedServer calls;
        private final ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<SocketChannel> filling = new ArrayList<>();
        private final String behaviour;

        OverloadedDiscovery(String behaviour, String list) throws IOException {
            this.behaviour = behaviour;
            calls = new ScriptedServer((request, peer) -> {
                if (behaviour.equals("refuses")) {
                    peer.write(Http.answer("503 Busy", "", ""));
                    return;
                }
                try {
                    released.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                peer.write(Site.watchHead() + Site.chunk(list + "\n"));
            });
            // The system accepts one connection more than the backlog; further ones get no response.
            for (int i = 0; i < 4; i++) {
                SocketChannel one = SocketChannel.open();
                one.configureBlocking(false);
                one.connect(new InetSocketAddress(fullBacklog.getInetAddress(), fullBacklog.getLocalPort()));
                filling.add(one);
            }
        }

        String endpoint() {
            return behaviour.equals("takes no call") ? "127.0.0.1:" + fullBacklog.getLocalPort() : calls.endpoint();
        }

        @Override
        public void close() throws IOException {
            released.countDown();
            calls.close();
            fullBacklog.close();
            for (SocketChannel one : filling) {
                one.close();
            }
        }
    }

    private Process startNode(String name, String mode, SocketChannel holder, String discovery, String known)
            throws IOException {
        Path config =
                Files.writeString(folder.resolve(name + ".json"), """
                {"listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":256},
                 "known":%s,"settings":{"membershipMode":"%s","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":5000000,"repeat":"safe"}]}}
                """.formatted(port(holder), discovery, known, mode));
        ProcessBuilder builder = new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true).start();
    }

    private static SocketChannel reservePort() throws IOException {
        return SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static int port(SocketChannel holder) throws IOException {
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private static Http.Message ask(int port, String request) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            Site.write(client, request);
            return Http.read(client.getInputStream());
        }
    }

    /** Discovery answers no call during the test, so the processes serve by their initial list. */
    @ParameterizedTest
    @CsvSource({
        "on_request, answers none",
        "on_request, refuses",
        "on_request, takes no call",
        "pushed, answers none",
        "pushed, refuses",
        "pushed, takes no call"
    })
    void processesServeBeforeDiscoveryAnswers(String mode, String behaviour) throws Exception {
        List<Process> nodes = new ArrayList<>();
        List<SocketChannel> holders = new ArrayList<>();
        try (ScriptedServer server = ScriptedServer.serving("served");
                OverloadedDiscovery discovery = new OverloadedDiscovery(behaviour, Site.list(2, true))) {
            String known =
                    Site.list(1, true, "s0=" + server.endpoint() + "=Ready").replace("\"here\"", "\"\"");
            for (int i = 0; i < NODE_COUNT; i++) {
                holders.add(reservePort());
                nodes.add(startNode("n" + i, mode, holders.get(i), discovery.endpoint(), known));
            }
            for (int i = 0; i < NODE_COUNT; i++) {
                Process node = nodes.get(i);
                String line = CompletableFuture.supplyAsync(() -> node.inputReader()
                                .lines()
                                .filter(each -> each.contains("listening on "))
                                .findFirst()
                                .orElse("none"))
                        .get(TIMEOUT_S, TimeUnit.SECONDS);
                assertTrue(line.endsWith("listening on /127.0.0.1:" + port(holders.get(i))), line);
                assertEquals(
                        200,
                        ask(port(holders.get(i)), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
                                .status());
                assertEquals("served", ask(port(holders.get(i)), Http.page("t")).body());
            }
        } finally {
            nodes.forEach(Process::destroyForcibly);
            for (SocketChannel holder : holders) {
                holder.close();
            }
        }
    }
}
