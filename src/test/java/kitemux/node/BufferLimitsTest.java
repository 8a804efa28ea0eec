package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import kitemux.http.Limits;
import kitemux.net.BoundedReadBuffers;
import kitemux.net.NioNetwork;
import kitemux.net.SocketBuffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a node that runs out of memory since many connections hold buffers at once: each read that finds no
 * room blocks the event loop and ends its connection.
 */
@Timeout(120)
class BufferLimitsTest {
    private static final UnpooledByteBufAllocator ALLOCATOR = (UnpooledByteBufAllocator) NioNetwork.SYSTEM.allocator();
    private static final int SOCKET_LIMIT = 1_024;
    /** Size of a long response: more than the sockets' buffers take, so that the rest waits. */
    private static final int LONG_RESPONSE_BYTES = 16 << 20;
    /** Number of health checks in a row without progress after which nothing moves any more. */
    private static final int QUIET_CHECK_COUNT = 300;

    private static final String UP = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

    /** How servers send the body of a long response. */
    enum Form {
        LENGTH("Content-Length: " + LONG_RESPONSE_BYTES, 16 << 10, false),
        CLOSE("Connection: close", 16 << 10, false),
        LONG_CHUNKS("Transfer-Encoding: chunked", 100_000, true),
        SHORT_CHUNKS("Transfer-Encoding: chunked", 1_000, true);

        private final String header;
        private final int pieceBytes;
        private final boolean isChunked;

        Form(String header, int pieceBytes, boolean isChunked) {
            this.header = header;
            this.pieceBytes = pieceBytes;
            this.isChunked = isChunked;
        }

        void send(ScriptedServer.Peer peer, AtomicLong sentBytes) throws IOException {
            peer.write("HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n");
            String piece = "y".repeat(pieceBytes);
            String framed = isChunked ? Site.chunk(piece) : piece;
            byte[] bytes = framed.repeat(Math.max(1, 4_096 / framed.length())).getBytes(StandardCharsets.US_ASCII);
            for (long sent = 0; sent < LONG_RESPONSE_BYTES; sent += bytes.length) {
                peer.socket().getOutputStream().write(bytes);
                sentBytes.addAndGet(bytes.length);
            }
        }
    }

    /**
     * Checks the node's health until the servers make no progress any more.
     *
     * @return the most direct memory that was in use, in bytes
     */
    private static long awaitNoProgress(Socket checker, AtomicLong sentBytes) throws IOException {
        long maxDirectBytes = 0;
        long lastSentBytes = -1;
        for (int quiet = 0; quiet < QUIET_CHECK_COUNT; quiet++) {
            assertEquals(200, Site.ask(checker, UP).status());
            maxDirectBytes = Math.max(maxDirectBytes, ALLOCATOR.metric().usedDirectMemory());
            quiet = sentBytes.get() == lastSentBytes ? quiet : 0;
            lastSentBytes = sentBytes.get();
        }
        return maxDirectBytes;
    }

    /** Send buffer of a server, so that the system does not let it grow. */
    private static final int SERVER_SEND_BUFFER_BYTES = 128 << 10;

    /** Receive buffer of a client that reads nothing. */
    private static final int CLIENT_RECEIVE_BUFFER_BYTES = 64 << 10;

    private static final SocketBuffers FULL = SocketBuffers.full();

    /** Connects a client that requests a long response and takes its first byte. */
    private static Socket requestLongResponse(Site site, int number) throws IOException {
        Socket client = site.connect();
        client.setReceiveBufferSize(CLIENT_RECEIVE_BUFFER_BYTES);
        Site.write(client, Http.page("/api/long", "t" + number, "4000m"));
        assertEquals('H', client.getInputStream().read(), "the response has started");
        return client;
    }

    /**
     * Guards against streams that each fill several MB of the system's memory for TCP, until sockets take nothing for
     * seconds and slow clients are cut off.
     */
    @Test
    void systemBuffersOfManyStreamsAreBounded() throws Exception {
        int clientCount = 64;
        // On the way are the server's buffer, the node's two, one read and the client's buffer. The system may hold
        // twice what
        // is asked for in each.
        long bytesPerStream = 2L * SERVER_SEND_BUFFER_BYTES
                + 2L * FULL.bound(SocketBuffers.Kind.SERVER).receiveBytes()
                + BoundedReadBuffers.MAX_READ_BYTES
                + 2L * FULL.bound(SocketBuffers.Kind.CLIENT).sendBytes()
                + 2L * CLIENT_RECEIVE_BUFFER_BYTES;
        AtomicLong takenBytes = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    peer.socket().setSendBufferSize(SERVER_SEND_BUFFER_BYTES);
                    Form.LENGTH.send(peer, takenBytes);
                });
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            for (int i = 0; i < clientCount; i++) {
                requestLongResponse(site, i);
            }
            awaitNoProgress(site.connect(), takenBytes);
            long perStream = takenBytes.get() / clientCount;
            assertTrue(perStream <= bytesPerStream, "each stream took " + perStream + " bytes from its server");
        }
    }

    /** Guards against the bodies of error responses, which are buffered without a bound in total though nobody gets them. */
    @Test
    void bodiesOfErrorResponsesAreNotBuffered() throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        String incompleteBody = "e".repeat(Limits.MAX_ERROR_BODY_BYTES - 1);
        try (Site site = Site.quiet()) {
            // A server that has not answered yet gets few requests.
            ScriptedServer[] servers = new ScriptedServer[8];
            for (int i = 0; i < servers.length; i++) {
                servers[i] = new ScriptedServer((request, peer) -> {
                    peer.write("HTTP/1.1 500 No\r\nContent-Length: " + Limits.MAX_ERROR_BODY_BYTES + "\r\n\r\n");
                    peer.write(incompleteBody);
                    sentBytes.addAndGet(incompleteBody.length());
                });
            }
            site.start(servers);
            for (int i = 0; i < 5 * servers.length; i++) {
                Site.write(site.connect(), Http.page("/api/error", "t" + i, "4000m"));
            }
            Socket checker = site.connect();
            do {
                awaitNoProgress(checker, sentBytes);
            } while (sentBytes.get() < 4L * incompleteBody.length());
            long heapBytes = ALLOCATOR.metric().usedHeapMemory();
            assertTrue(heapBytes < 1 << 20, "heap bytes in use: " + heapBytes);
        }
    }

    /** Guards against servers that announce an answer, and take memory for it before any of it has come. */
    @Test
    void announcedResponsesTakeNoMemoryBeforeTheyArrive() throws Exception {
        ScriptedServer[] servers = new ScriptedServer[8];
        try (Site site = Site.quiet()) {
            for (int i = 0; i < servers.length; i++) {
                servers[i] = new ScriptedServer(
                        (request, peer) -> peer.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"));
            }
            site.start(servers);
            int clientCount = 5 * servers.length;
            for (int i = 0; i < clientCount; i++) {
                Site.write(site.connect(), Http.page("/api/announced", "t" + i, "4000m"));
            }
            int announcedCount = 0;
            while (announcedCount < clientCount / 2) {
                announcedCount = Stream.of(servers)
                        .mapToInt(server -> server.answeredPeers.size())
                        .sum();
                assertEquals(200, site.ask(UP).status());
            }
            for (int round = 0; round < QUIET_CHECK_COUNT; round++) {
                assertEquals(200, site.ask(UP).status());
            }
            long heapBytes = ALLOCATOR.metric().usedHeapMemory();
            assertTrue(heapBytes <= announcedCount * 1_024L, "heap bytes in use: " + heapBytes);
        }
    }

    /** Guards against clients that stop within a request and hold the buffer of a whole read for a few bytes each. */
    @Test
    void partialRequestsHoldOnlyWhatHasArrived() throws Exception {
        int clientCount = 100;
        String body = "b".repeat(60_000);
        String partialHead = "POST /api/next HTTP/1.1\r\nHost: ";
        try (ScriptedServer server = ScriptedServer.serving("done");
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            for (int i = 0; i < clientCount; i++) {
                Socket client = site.connect();
                Site.write(client, order("t" + i, body.length()) + body + partialHead);
                assertEquals("done", Http.read(client.getInputStream()).body());
            }
            assertEquals(200, site.ask(UP).status());
            long heldBytes =
                    ALLOCATOR.metric().usedDirectMemory() + ALLOCATOR.metric().usedHeapMemory();
            assertTrue(heldBytes <= clientCount * 1_024L, "held for partial requests: " + heldBytes + " bytes");
        }
    }

    /** Guards against short request bodies that are bounded one by one only, and together use up the heap. */
    @Test
    void shortRequestBodiesAreBoundedTogether() throws Exception {
        long roomForShortBytes = Limits.MAX_TOTAL_REQUEST_BYTES - Limits.MAX_REQUEST_BODY_BYTES;
        int roomCount = (int) (roomForShortBytes / Limits.SMALL_REQUEST_BODY_BYTES);
        String body = "b".repeat(60_000);
        try (ScriptedServer server = ScriptedServer.serving("done");
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < roomCount; i++) {
                clients.add(site.connect());
                Site.write(clients.get(i), order("t" + i, body.length()));
            }
            assertEquals(200, site.ask(UP).status());
            Socket longBodied = site.connect();
            Site.write(longBodied, order("long", Limits.MAX_REQUEST_BODY_BYTES));
            assertEquals(200, site.ask(UP).status());
            assertEquals(0, longBodied.getInputStream().available(), "the short ones leave room for a long one");
            Http.Message refused = site.ask(order("beyond", body.length()));
            assertEquals(503, refused.status(), "there is no room for one more");
            assertEquals("0.25", refused.headers().get("retry-after"));
            Site.write(clients.get(0), body);
            assertEquals("done", Http.read(clients.get(0).getInputStream()).body());
            Socket next = site.connect();
            Site.write(next, order("next", body.length()) + body);
            assertEquals("done", Http.read(next.getInputStream()).body(), "room is given back");
        }
    }

    private static long jdkDirectBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    private static String order(String txn, long bodyBytes) {
        return "POST /api/order HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: order\r\nX-Org: org\r\nX-Remaining: 4000m\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    /**
     * Guards against a long request body that is written at once: the JDK copies several MB of it into direct memory for
     * one system call and keeps them, so that reads find none.
     */
    @Test
    void longRequestBodiesTakeLittleDirectMemory() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) ->
                        peer.write(Http.ok(Integer.toString(request.body().length()))));
                Site site = Site.quiet().start(server)) {
            assertEquals("2", site.ask(Http.order("first", "4000m")).body());
            long bytesBefore = jdkDirectBytes();
            String body = "z".repeat(Limits.MAX_REQUEST_BODY_BYTES);
            Socket client = site.connect();
            Site.write(client, order("long", body.length()));
            Site.write(client, body);
            assertEquals(
                    Integer.toString(body.length()),
                    Http.read(client.getInputStream()).body());
            long keptBytes = jdkDirectBytes() - bytesBefore;
            assertTrue(keptBytes < 1 << 20, "direct memory kept: " + keptBytes + " bytes");
        }
    }

    /** Guards against review/2: clients that take long responses slowly hold two reads each until none is possible. */
    @ParameterizedTest
    @EnumSource
    void manyLongResponsesToClientsThatDoNotReadLeaveDirectMemory(Form form) throws Exception {
        int clientCount = 150;
        AtomicLong sentBytes = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (request.path().contains("short")) {
                        peer.write(Http.ok("short"));
                    } else {
                        form.send(peer, sentBytes);
                    }
                });
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            for (int i = 0; i < clientCount; i++) {
                requestLongResponse(site, i);
            }
            Socket checker = site.connect();
            long maxDirectBytes = awaitNoProgress(checker, sentBytes);
            assertTrue(
                    maxDirectBytes <= BoundedReadBuffers.MAX_DIRECT_BYTES,
                    "direct memory in use: " + maxDirectBytes + " bytes");
            assertEquals(
                    "short", site.ask(Http.page("/api/short", "next", "4000m")).body(), "other requests are served");
            InputStream next = requestLongResponse(site, clientCount).getInputStream();
            assertEquals(LONG_RESPONSE_BYTES, next.readNBytes(LONG_RESPONSE_BYTES).length, "another one is streamed");
        }
    }
}
