package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that hold connections and ask nothing fill the descriptors of a process that the system gives no
 * more, while discovery is down: there is room for what the node itself opens, and for one more client.
 */
class DescriptorExhaustionTest {
    private static final int SOCKETS = 256;
    private static final Pattern LOADED = Pattern.compile("[/\\\\](netty|jackson|picocli)-[^/\\\\]*$");
    /** More than the limit by far: some that have asked once and stay, and some that never ask. */
    private static final int STAYING = 300;

    private static final int SILENT = 600;

    /** A node as a process, and the crowd before it. */
    private static final class Crowded implements AutoCloseable {
        /** Calls that discovery answered. */
        final BlockingQueue<ScriptedServer.Peer> heard = new LinkedBlockingQueue<>();

        private final CountDownLatch isBack = new CountDownLatch(1);
        private final ScriptedServer discovery;
        private final SocketChannel held = SocketChannel.open();
        private final Process process;
        private final int port;
        private final List<Socket> crowd = Collections.synchronizedList(new ArrayList<>());
        private final List<String> lines = Collections.synchronizedList(new ArrayList<>());

        Crowded(Path folder, ScriptedServer server) throws Exception {
            discovery = new ScriptedServer((request, peer) -> {
                if (isBack.getCount() > 0) {
                    peer.write(Http.answer("503 Down", "", ""));
                } else {
                    peer.write(Site.watchHead());
                    heard.add(peer);
                }
            });
            // Bound for as long as the process runs, so that nobody else is given it; the node may share it.
            held.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            port = ((InetSocketAddress) held.getLocalAddress()).getPort();
            Path config = Files.writeString(folder.resolve("config.json"), """
                    {"listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":%d},
                     "known":%s,"settings":
                     {"membershipMode":"on_request","limits":{"attemptsCap":1},"zones":["here"],
                      "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":5000000,"repeat":"safe"}]}}
                    """.formatted(
                    port, discovery.endpoint(), SOCKETS, Site.list(1, true, "s0=" + server.endpoint() + "=Ready")));
            // The deployment has one jar, and its descriptor is among those that the node reserves: here it
            // is given one for each jar that it loads from, and no others on its path.
            List<String> path = Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                    .filter(part ->
                            !part.endsWith(".jar") || LOADED.matcher(part).find())
                    .toList();
            long jars = path.stream().filter(part -> part.endsWith(".jar")).count();
            ProcessBuilder builder = new ProcessBuilder(
                    "sh",
                    "-c",
                    "ulimit -n " + (SOCKETS + jars - 1) + " && exec \"$0\" \"$@\"",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    String.join(File.pathSeparator, path),
                    Main.class.getName(),
                    "node");
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_DISCOVERY", discovery.endpoint());
            process = builder.redirectErrorStream(true).start();
            boolean isReady = false;
            try {
                fill(process.inputReader());
                isReady = true;
            } finally {
                if (!isReady) {
                    process.destroyForcibly();
                }
            }
        }

        private void fill(BufferedReader out) throws IOException {
            String line = out.readLine();
            while (line != null && !line.contains("listening on ")) {
                line = out.readLine();
            }
            assertNotNull(line, "it does not listen");
            Thread reader = new Thread(() -> out.lines().forEach(lines::add), "lines");
            reader.setDaemon(true);
            reader.start();
            for (int i = 0; i < STAYING; i++) {
                assertEquals(200, ask().status());
            }
            for (int i = 0; i < SILENT; i++) {
                connect();
            }
        }

        Socket connect() throws IOException {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
            client.setSoTimeout(20_000);
            crowd.add(client);
            return client;
        }

        Http.Message ask() throws IOException {
            return Site.ask(connect(), Http.page("/api/p", "t" + crowd.size(), "5000m"));
        }

        void discoveryIsBack() {
            isBack.countDown();
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly().onExit().join();
            for (Socket client : crowd) {
                client.close();
            }
            held.close();
            discovery.close();
            assertEquals(
                    List.of(),
                    lines.stream()
                            .filter(line -> line.contains("many open files"))
                            .toList());
        }
    }

    @Test
    void discoveryIsDialledAtItsReturn(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("old");
                ScriptedServer joined = ScriptedServer.serving("joined");
                Crowded node = new Crowded(folder, server)) {
            node.discoveryIsBack();
            ScriptedServer.next(node.heard)
                    .write(Site.chunk(Site.list(2, true, "s1=" + joined.endpoint() + "=Ready") + "\n"));
            String body = "old";
            for (int i = 0; i < 2_000 && body.equals("old"); i++) {
                body = node.ask().body();
            }
            assertEquals("joined", body, "the list that came is used");
        }
    }

    @Test
    void serversAreDialled(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    peer.write(Http.answer("200 OK", "Connection: close\r\n", "x"));
                    peer.socket().close();
                });
                Crowded node = new Crowded(folder, server)) {
            int before = server.connections.get();
            for (int i = 1; i <= 50; i++) {
                assertEquals(200, node.ask().status());
                node.connect();
                assertEquals(before + i, server.connections.get(), "each on a connection of its own");
            }
        }
    }

    /** All that may be served at once is, and hangs: whoever comes then is told to come again. */
    @Test
    void oneMoreClientIsToldThatThereIsNoRoom(@TempDir Path folder) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (request.path().contains("hang")) {
                        try {
                            answer.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                    }
                    peer.write(Http.ok("x"));
                });
                Crowded node = new Crowded(folder, server)) {
            for (int i = 0; i < SOCKETS; i++) {
                Site.write(node.connect(), Http.page("/api/hang", "h" + i, "5000m"));
            }
            for (int i = 0; i < SILENT / 6; i++) {
                node.connect();
            }
            Http.Message told = node.ask();
            assertNotNull(told);
            assertEquals(503, told.status());
            answer.countDown();
        }
    }
}
