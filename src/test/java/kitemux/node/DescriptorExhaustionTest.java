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
 * Guards against clients that exhaust the file descriptors of a node: they hold connections without sending
 * requests, while discovery is down and the system allows no further descriptors. The node must keep room for
 * the connections that it opens itself, and for one more client.
 */
class DescriptorExhaustionTest {
    private static final int SOCKET_LIMIT = 256;
    private static final Pattern REQUIRED_JAR = Pattern.compile("[/\\\\](netty|jackson|picocli)-[^/\\\\]*$");
    /**
     * Far more clients than the limit: some that have sent a request and stay connected, and some that never
     * send any.
     */
    private static final int IDLE_CLIENT_COUNT = 300;

    private static final int SILENT_CLIENT_COUNT = 600;

    /** A node in a process of its own, and the clients that are connected to it. */
    private static final class CrowdedNode implements AutoCloseable {
        /** The watches that discovery has accepted. */
        final BlockingQueue<ScriptedServer.Peer> watches = new LinkedBlockingQueue<>();

        private final CountDownLatch discoveryUp = new CountDownLatch(1);
        private final ScriptedServer discovery;
        private final SocketChannel portReservation = SocketChannel.open();
        private final Process process;
        private final int port;
        private final List<Socket> clients = Collections.synchronizedList(new ArrayList<>());
        private final List<String> lines = Collections.synchronizedList(new ArrayList<>());

        CrowdedNode(Path folder, ScriptedServer server) throws Exception {
            discovery = new ScriptedServer((request, peer) -> {
                if (discoveryUp.getCount() > 0) {
                    peer.write(Http.answer("503 Down", "", ""));
                } else {
                    peer.write(Site.watchHead());
                    watches.add(peer);
                }
            });
            // Keeps the port reserved while the process runs, so that no other process gets it; the node may share
            // it.
            portReservation
                    .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            port = ((InetSocketAddress) portReservation.getLocalAddress()).getPort();
            Path config = Files.writeString(folder.resolve("config.json"), """
                    {"listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":%d},
                     "known":%s,"settings":
                     {"membershipMode":"on_request","limits":{"attemptsCap":1},"zones":["here"],
                      "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":5000000,"repeat":"safe"}]}}
                    """.formatted(
                            port,
                            discovery.endpoint(),
                            SOCKET_LIMIT,
                            Site.list(1, true, "s0=" + server.endpoint() + "=Ready")));
            // The deployed node loads one jar, whose descriptor is among those that it reserves. Here it is
            // allowed one more descriptor for each further jar that it loads, and only the required jars are on
            // its class path.
            List<String> path = Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                    .filter(part ->
                            !part.endsWith(".jar") || REQUIRED_JAR.matcher(part).find())
                    .toList();
            long jars = path.stream().filter(part -> part.endsWith(".jar")).count();
            ProcessBuilder builder = new ProcessBuilder(
                    "sh",
                    "-c",
                    "ulimit -n " + (SOCKET_LIMIT + jars - 1) + " && exec \"$0\" \"$@\"",
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
                connectClients(process.inputReader());
                isReady = true;
            } finally {
                if (!isReady) {
                    process.destroyForcibly();
                }
            }
        }

        private void connectClients(BufferedReader out) throws IOException {
            String line = out.readLine();
            while (line != null && !line.contains("listening on ")) {
                line = out.readLine();
            }
            assertNotNull(line, "the node does not listen");
            Thread reader = new Thread(() -> out.lines().forEach(lines::add), "lines");
            reader.setDaemon(true);
            reader.start();
            for (int i = 0; i < IDLE_CLIENT_COUNT; i++) {
                assertEquals(200, ask().status());
            }
            for (int i = 0; i < SILENT_CLIENT_COUNT; i++) {
                connect();
            }
        }

        Socket connect() throws IOException {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
            client.setSoTimeout(20_000);
            clients.add(client);
            return client;
        }

        Http.Message ask() throws IOException {
            return Site.ask(connect(), Http.page("/api/p", "t" + clients.size(), "5000m"));
        }

        void restoreDiscovery() {
            discoveryUp.countDown();
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly().onExit().join();
            for (Socket client : clients) {
                client.close();
            }
            portReservation.close();
            discovery.close();
            assertEquals(
                    List.of(),
                    lines.stream()
                            .filter(line -> line.contains("many open files"))
                            .toList());
        }
    }

    @Test
    void nodeReconnectsToDiscoveryAfterOutage(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("old");
                ScriptedServer joined = ScriptedServer.serving("joined");
                CrowdedNode node = new CrowdedNode(folder, server)) {
            node.restoreDiscovery();
            ScriptedServer.next(node.watches)
                    .write(Site.chunk(Site.list(2, true, "s1=" + joined.endpoint() + "=Ready") + "\n"));
            String body = "old";
            for (int i = 0; i < 2_000 && body.equals("old"); i++) {
                body = node.ask().body();
            }
            assertEquals("joined", body, "the list received after the outage is used");
        }
    }

    @Test
    void nodeOpensServerConnections(@TempDir Path folder) throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    peer.write(Http.answer("200 OK", "Connection: close\r\n", "x"));
                    peer.socket().close();
                });
                CrowdedNode node = new CrowdedNode(folder, server)) {
            int before = server.connections.get();
            for (int i = 1; i <= 50; i++) {
                assertEquals(200, node.ask().status());
                node.connect();
                assertEquals(before + i, server.connections.get(), "each request uses a new server connection");
            }
        }
    }

    /** All requests that may be served at once are open and hang: the next client is told to retry later. */
    @Test
    void additionalClientGets503(@TempDir Path folder) throws Exception {
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
                CrowdedNode node = new CrowdedNode(folder, server)) {
            for (int i = 0; i < SOCKET_LIMIT; i++) {
                Site.write(node.connect(), Http.page("/api/hang", "h" + i, "5000m"));
            }
            for (int i = 0; i < SILENT_CLIENT_COUNT / 6; i++) {
                node.connect();
            }
            Http.Message response = node.ask();
            assertNotNull(response);
            assertEquals(503, response.status());
            answer.countDown();
        }
    }
}
