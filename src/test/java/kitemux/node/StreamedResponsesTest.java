package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.cli.Main;
import kitemux.net.NioNetwork;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers that are too long to be held and are passed on as they come: their first bytes are timed, and
 * whoever cuts off what a server still gives, or withholds it, has lost the request.
 */
@Timeout(60)
class StreamedResponsesTest {
    private static final int FIRST = 100_000;
    private static final int PIECE = 1_000;
    /** A client's time, in milliseconds: over long before the answers here are. */
    private static final long TIME_MS = 500;
    /** From a client's time to the latest moment of its final answer, by the operators' page. */
    private static final long GRACE_MS = 500;

    /** How the end of an answer is told (RFC 9112, 6.3). */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE;

        String head(int length) {
            return "HTTP/1.1 200 OK\r\n"
                    + switch (this) {
                        case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
                        case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                        case CLOSE -> "\r\n";
                    };
        }

        String piece(String text) {
            return this == CHUNKED ? Site.chunk(text) : text;
        }

        void end(ScriptedServer.Peer peer) throws IOException {
            if (this == CHUNKED) {
                peer.write("0\r\n\r\n");
            } else if (this == CLOSE) {
                peer.socket().close();
            }
        }
    }

    /** What a server does once the first bytes are given. */
    private interface Rest {
        void give(ScriptedServer.Peer peer, Framing framing) throws Exception;
    }

    private static ScriptedServer giving(Framing framing, int first, int length, Rest rest) throws IOException {
        return new ScriptedServer((request, peer) -> {
            if (request.path().contains("short")) {
                peer.write(Http.ok("short"));
                return;
            }
            peer.write(framing.head(length) + framing.piece("a".repeat(first)));
            try {
                rest.give(peer, framing);
            } catch (IOException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        });
    }

    /** Pieces at this pace, for as long as they are wanted. */
    private static void drip(ScriptedServer.Peer peer, Framing framing, int pieces, long everyMs) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        for (int i = 0; i < pieces; i++) {
            assertFalse(never.await(everyMs, TimeUnit.MILLISECONDS));
            peer.write(framing.piece("a".repeat(PIECE)));
        }
    }

    private static void ask(Socket client, String path, String txn) throws IOException {
        Site.write(client, Http.page(path, txn, TIME_MS + "m"));
    }

    /** The body that comes, whatever its framing; throws where its end is not that of a whole one. */
    private static String body(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            head += (char) read(in);
        }
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.contains("content-length: ")) {
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: ([0-9]+).*", "$1"));
            body.write(in.readNBytes(length));
            assertEquals(length, body.size());
        } else if (head.contains("chunked")) {
            int size;
            do {
                String line = "";
                while (!line.endsWith("\r\n")) {
                    line += (char) read(in);
                }
                size = Integer.parseInt(line.strip(), 16);
                body.write(in.readNBytes(size));
                assertEquals("\r\n", "" + (char) read(in) + (char) read(in));
            } while (size > 0);
        } else {
            body.write(in.readAllBytes());
        }
        return body.toString(StandardCharsets.US_ASCII);
    }

    private static int read(InputStream in) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new IOException("it ends like a whole one");
        }
        return next;
    }

    /** Reads up to the reset that tells of what is not whole; how long that took from the asking, in ms. */
    private static long untilReset(Socket client, long askedAt) throws IOException {
        client.setSoTimeout(10_000);
        byte[] into = new byte[1 << 16];
        try {
            while (client.getInputStream().read(into) >= 0) {
                assertTrue(System.nanoTime() - askedAt < 20_000_000_000L, "it never ends");
            }
            throw new AssertionError("it ends like a whole one");
        } catch (SocketTimeoutException e) {
            throw new AssertionError("nothing comes, and no end", e);
        } catch (IOException e) {
            return (System.nanoTime() - askedAt) / 1_000_000;
        }
    }

    // ---------------------------------------------------------------- what keeps coming

    /** Past the client's time, to the last byte; the pauses of the last case are shorter than a stall. */
    @ParameterizedTest
    @CsvSource({"LENGTH, 60, 20", "CHUNKED, 60, 20", "CLOSE, 60, 20", "CHUNKED, 600, 2", "LENGTH, 8, 150"})
    void whatKeepsComingIsPassedOnPastTheClientsTimeToTheLast(Framing framing, int pieces, long everyMs)
            throws Exception {
        int length = FIRST + pieces * PIECE;
        try (ScriptedServer server = giving(framing, FIRST, length, (peer, how) -> {
                    drip(peer, how, pieces, everyMs);
                    how.end(peer);
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            long askedAt = System.nanoTime();
            ask(client, "/api/long", "t");
            assertEquals(length, body(client).length());
            long ms = (System.nanoTime() - askedAt) / 1_000_000;
            assertTrue(ms > TIME_MS + GRACE_MS, "it was over after " + ms + " ms");
        }
    }

    /** A pause behind the client's time is no stall, once the server has shown that it goes on. */
    @Test
    void aServerThatPausesIsHeardToTheLast() throws Exception {
        int length = FIRST + 40 * PIECE;
        try (ScriptedServer server = giving(Framing.CHUNKED, FIRST, length, (peer, how) -> {
                    drip(peer, how, 39, 20);
                    drip(peer, how, 1, 1_200);
                    how.end(peer);
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            ask(client, "/api/long", "t");
            assertEquals(length, body(client).length());
        }
    }

    /** What the list says of a server is of new requests: one that is being answered goes on. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void aServerThatDrainsOrGoesWhileItGivesIsHeardToTheLast(String state) throws Exception {
        CountDownLatch listed = new CountDownLatch(1);
        int length = FIRST + 40 * PIECE;
        try (ScriptedServer server = giving(Framing.LENGTH, FIRST, length, (peer, how) -> {
                    listed.await();
                    drip(peer, how, 40, 20);
                });
                ScriptedServer discovery = new ScriptedServer((request, peer) -> {
                    peer.write(Site.watchHead());
                    awaitQuietly(listed);
                });
                Site site = new Site(discovery).start(server)) {
            Socket client = site.connect();
            ask(client, "/api/long", "t");
            ScriptedServer.next(discovery.requests);
            ScriptedServer.next(server.requests);
            listed.countDown();
            ScriptedServer.next(discovery.answeredPeers)
                    .write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=" + state) + "\n"));
            assertEquals(length, body(client).length());
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    // ---------------------------------------------------------------- what stops, or never ends

    /** One that stops within its client's time has its end by half a second after it, as all have. */
    @ParameterizedTest
    @CsvSource({"LENGTH, 700", "CHUNKED, 700", "CLOSE, 700"})
    void oneThatStopsEndsSoonAfterItsTime(Framing framing, long timeMs) throws Exception {
        try (ScriptedServer server = giving(framing, FIRST, 2 * FIRST, (peer, how) -> {});
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            long askedAt = System.nanoTime();
            Site.write(client, Http.page("/api/long", "t", timeMs + "m"));
            long ms = untilReset(client, askedAt);
            assertTrue(ms >= timeMs - 100 && ms < timeMs + GRACE_MS, "after " + ms + " ms");
            ScriptedServer.next(server.disconnectedPeers);
        }
    }

    /** Clients take what is withheld for 2 s for lost: they are told before that. */
    @Test
    void oneThatStopsPastItsTimeEndsBeforeItPassesForWithheld() throws Exception {
        AtomicLong stoppedAt = new AtomicLong();
        try (ScriptedServer server = giving(Framing.CHUNKED, FIRST, 0, (peer, how) -> {
                    drip(peer, how, 40, 20);
                    stoppedAt.set(System.nanoTime());
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            ask(client, "/api/long", "t");
            untilReset(client, System.nanoTime());
            long ms = (System.nanoTime() - stoppedAt.get()) / 1_000_000;
            assertTrue(ms >= 1_700 && ms < 2_100, "after " + ms + " ms");
        }
    }

    /** Also where nothing but the end of the connection would end it, and long after the client's time. */
    @ParameterizedTest
    @CsvSource({"LENGTH", "CHUNKED", "CLOSE"})
    void oneThatIsResetPastItsTimeIsSeenToBeCut(Framing framing) throws Exception {
        try (ScriptedServer server = giving(framing, FIRST, 2 * FIRST, (peer, how) -> {
                    drip(peer, how, 60, 20);
                    peer.reset();
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            long askedAt = System.nanoTime();
            ask(client, "/api/long", "t");
            assertEquals('H', client.getInputStream().read(), "it has begun");
            int tried = server.requests.size();
            long ms = untilReset(client, askedAt);
            assertTrue(ms > TIME_MS + GRACE_MS, "after " + ms + " ms");
            assertEquals(tried, server.requests.size(), "it is tried nowhere else");
        }
    }

    /** It is held, so that all that is known of it when its time is over is that it is not whole. */
    @ParameterizedTest
    @CsvSource({"CHUNKED", "CLOSE"})
    void whatDripsAndIsNeverLongEndsWithTheClientsTime(Framing framing) throws Exception {
        try (ScriptedServer server = giving(framing, 1_000, 0, (peer, how) -> drip(peer, how, 1_000, 20));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            long askedAt = System.nanoTime();
            ask(client, "/api/drip", "t");
            assertEquals(503, Http.read(client.getInputStream()).status(), "a page may be asked for again");
            long ms = (System.nanoTime() - askedAt) / 1_000_000;
            assertTrue(ms >= TIME_MS - 100 && ms < TIME_MS + GRACE_MS, "after " + ms + " ms");
            ScriptedServer.next(server.disconnectedPeers);
        }
    }

    // ---------------------------------------------------------------- clients

    @Test
    void aClientThatLeavesPastItsTimeLetsGoOfTheServer() throws Exception {
        try (ScriptedServer server = giving(Framing.CHUNKED, FIRST, 0, (peer, how) -> drip(peer, how, 3_000, 20));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            ask(client, "/api/long", "t");
            assertEquals(FIRST + 40 * PIECE, client.getInputStream().readNBytes(FIRST + 40 * PIECE).length);
            client.close();
            assertNotNull(server.disconnectedPeers.poll(2, TimeUnit.SECONDS), "its server is let go");
            assertEquals(200, site.ask(Http.page("/api/short", "next", "2000m")).status());
        }
    }

    /** A node that is told to end ends with the last byte, not with what its client might ask next. */
    @Test
    void aNodeThatIsToldToEndPassesOnWhatItHasBegunAndLetsGo() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        int length = FIRST + 40 * PIECE;
        try (ScriptedServer server = giving(Framing.LENGTH, FIRST, length, (peer, how) -> {
                    told.await();
                    drip(peer, how, 40, 20);
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/long", "t", "4000m"));
            ScriptedServer.next(server.requests);
            InputStream in = client.getInputStream();
            assertEquals('H', in.read(), "it has begun");
            CountDownLatch done = new CountDownLatch(1);
            site.node.drain(false, done::countDown);
            // By then all that is idle is closed, and what comes to rest later is closed by nobody.
            site.awaitNoneTaken();
            told.countDown();
            String rest = new String(in.readNBytes(length + 17), StandardCharsets.US_ASCII);
            assertTrue(rest.startsWith("TTP/1.1 200 "), rest.substring(0, 20));
            client.setSoTimeout(2_000);
            byte[] more = in.readAllBytes();
            String all = rest + new String(more, StandardCharsets.US_ASCII);
            assertEquals(length, all.length() - all.indexOf("\r\n\r\n") - 4);
            assertTrue(done.await(2, TimeUnit.SECONDS), "no connection is left");
        }
    }

    /** A node that is told to end and then killed amid one leaves nobody to take a part for the whole. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.0", "HTTP/1.1"})
    void whatAKillFindsIsSeenToBeCut(String protocol, @TempDir Path folder) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        try (ScriptedServer server = giving(Framing.CLOSE, FIRST, 0, (peer, how) -> drip(peer, how, 3_000, 10))) {
            Path config = Files.writeString(folder.resolve("config.json"), """
                    {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                     "known":%s,"settings":{"membershipMode":"on_request","limits":{"attemptsCap":1},
                      "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":5000000,"repeat":"safe"}]}}
                    """.formatted(
                    port,
                    Site.list(1, true, "s0=" + server.endpoint() + "=Ready").replace("\"here\"", "\"\"")));
            ProcessBuilder builder = new ProcessBuilder(
                            ProcessHandle.current().info().command().orElseThrow(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName(),
                            "node")
                    .redirectErrorStream(true);
            builder.environment().put("PROXY_CONFIG", config.toString());
            Process process = builder.start();
            try (BufferedReader lines = process.inputReader()) {
                String line = lines.readLine();
                while (line != null && !line.contains("listening on ")) {
                    line = lines.readLine();
                }
                InputStream in = null;
                String head = "";
                // A process that has just begun may refuse some, as its first turns take long.
                for (int i = 0; i < 100 && !head.startsWith("HTTP/1.1 200 "); i++) {
                    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
                    client.setSoTimeout(20_000);
                    Site.write(client, Http.page("/api/long", "t" + i, "5000m").replace("HTTP/1.1", protocol));
                    in = client.getInputStream();
                    head = new String(in.readNBytes(13), StandardCharsets.US_ASCII);
                }
                assertEquals("HTTP/1.1 200 ", head);
                assertEquals(FIRST, in.readNBytes(FIRST).length);
                process.destroy();
                // Nothing is taken any more, and what was begun still comes.
                assertThrows(IOException.class, () -> {
                    while (true) {
                        new Socket(InetAddress.getLoopbackAddress(), port).close();
                    }
                });
                assertEquals(10 * PIECE, in.readNBytes(10 * PIECE).length);
                process.destroyForcibly();
                String rest;
                try {
                    rest = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
                } catch (IOException e) {
                    return;
                }
                assertEquals("HTTP/1.1", protocol, "it ends like a whole one");
                assertFalse(rest.endsWith("0\r\n\r\n"), "a last chunk would say that it is whole");
            } finally {
                process.destroyForcibly();
            }
        }
    }

    // ---------------------------------------------------------------- many at once

    /** Whoever does not read holds its server back, and costs no more than a few reads. */
    @Test
    void manyAtOnceAreHeldBackWithinMemory() throws Exception {
        int many = 30;
        long each = 10_000_000;
        AtomicLong given = new AtomicLong();
        String piece = "y".repeat(100_000);
        try (ScriptedServer server = giving(Framing.LENGTH, FIRST, (int) each, (peer, how) -> {
                    for (long at = FIRST; at < each; at += piece.length()) {
                        peer.write(piece);
                        given.addAndGet(piece.length());
                    }
                });
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            site.start(server);
            UnpooledByteBufAllocator allocator = (UnpooledByteBufAllocator) NioNetwork.SYSTEM.allocator();
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                clients.add(site.connect());
                Site.write(clients.get(i), Http.page("/api/long", "t" + i, "4000m"));
                ScriptedServer.next(server.requests);
            }
            long most = 0;
            // Each round is an event of the node's loop: by then what could come on has come.
            for (int round = 0; round < 200; round++) {
                assertEquals(
                        200, site.ask("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
                most = Math.max(most, allocator.metric().usedHeapMemory());
            }
            assertTrue(given.get() < many * each, "they are held back");
            assertTrue(most < many * 300_000L, "held " + most + " bytes");
            for (int i = 0; i < many; i++) {
                assertEquals(each, body(clients.get(i)).length(), "client " + i);
            }
        }
    }

    @Test
    void theNextRequestOnTheConnectionIsServed() throws Exception {
        try (ScriptedServer server =
                        giving(Framing.LENGTH, FIRST, FIRST + 40 * PIECE, (peer, how) -> drip(peer, how, 40, 20));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            ask(client, "/api/long", "t");
            assertEquals(FIRST + 40 * PIECE, body(client).length());
            assertEquals(
                    "short",
                    Site.ask(client, Http.page("/api/short", "u", "2000m")).body());
            assertEquals(1, server.connections.get(), "its server's connection is used again");
        }
    }
}
