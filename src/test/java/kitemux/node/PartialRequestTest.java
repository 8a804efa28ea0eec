package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against connections that are closed without an answer although a request has begun to arrive on them: its client
 * has lost the request, and sees no refusal after which it could try again.
 */
@Timeout(60)
class PartialRequestTest {
    /** Room for 96 kept and 120 served clients; 184 are accepted. */
    private static final int SOCKET_LIMIT = 256;

    private static final int PARTIAL_COUNT = 20;
    private static final int BUSY_COUNT = 100;
    private static final int FURTHER_COUNT = 40;
    private static final int FLOOD_COUNT = 500;
    /** Time after which a new connection is no longer spared for being new. */
    private static final long BEYOND_GRACE_MS = 200;

    private static final long CLIENT_INTERVAL_MS = 20;
    private static final int CLIENT_COUNT = 50;
    /** Time in which a client of a short request has to have its answer. */
    private static final long ANSWER_TIME_MS = 1_000;

    /** Writes a request but for its last byte. */
    private static void writeAllButLastByte(Socket client, String txn) throws IOException {
        String request = Http.order(txn, "4000m");
        Site.write(client, request.substring(0, request.length() - 1));
    }

    /** Writes the last byte of a request and returns the status of its answer. */
    private static int finish(Socket client) throws IOException {
        try {
            Site.write(client, "b");
        } catch (IOException e) {
            // The answer has come before the end of the request and is read below.
        }
        return Http.read(client.getInputStream()).status();
    }

    private static ScriptedServer serverThatHangs(CountDownLatch release) throws IOException {
        return new ScriptedServer((request, peer) -> {
            if (request.path().contains("hang")) {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            peer.write(Http.ok("x"));
        });
    }

    /** New and kept connections, short of descriptors since others are busy. */
    @Test
    void begunRequestsAreAnsweredWhenDescriptorsAreShort() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer server = serverThatHangs(release);
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            List<Socket> partial = new ArrayList<>();
            for (int i = 0; i < PARTIAL_COUNT; i++) {
                Socket client = site.connect();
                if (i % 2 == 0) {
                    assertEquals(200, Site.ask(client, Http.page("first" + i)).status());
                }
                writeAllButLastByte(client, "partial" + i);
                partial.add(client);
            }
            Site.parkFor(BEYOND_GRACE_MS);
            for (int i = 0; i < BUSY_COUNT; i++) {
                Site.write(site.connect(), Http.page("/api/hang", "busy" + i, "4000m"));
            }
            for (int i = 0; i < FURTHER_COUNT; i++) {
                int status = site.ask(Http.page("further" + i)).status();
                assertTrue(status == 200 || status == 503, "status " + status);
            }
            Map<Integer, Integer> statuses = new TreeMap<>();
            for (Socket client : partial) {
                statuses.merge(finish(client), 1, Integer::sum);
            }
            int answered = statuses.getOrDefault(200, 0) + statuses.getOrDefault(503, 0);
            assertEquals(PARTIAL_COUNT, answered, () -> "served or refused: " + statuses);
            release.countDown();
        }
    }

    /** Requests that never arrive completely take no descriptors from others for long, and are refused. */
    @Test
    void floodOfPartialRequestsLeavesRoomForOthers() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = SOCKET_LIMIT;
            site.start(server);
            List<Socket> flood = new ArrayList<>();
            for (int i = 0; i < FLOOD_COUNT; i++) {
                Socket client = site.connect();
                writeAllButLastByte(client, "flood" + i);
                flood.add(client);
            }
            List<Long> slowMs = new ArrayList<>();
            int served = 0;
            for (int i = 0; i < CLIENT_COUNT; i++) {
                long sentNanos = System.nanoTime();
                int status = site.ask(Http.page("/api/p", "short" + i, ANSWER_TIME_MS + "m"))
                        .status();
                long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
                served += status == 200 ? 1 : 0;
                if (tookMs > ANSWER_TIME_MS) {
                    slowMs.add(tookMs);
                }
                Site.parkFor(CLIENT_INTERVAL_MS);
            }
            assertEquals(List.of(), slowMs, "answers that came late");
            assertTrue(served >= CLIENT_COUNT / 2, "served: " + served);
            for (Socket client : flood) {
                int status = Http.read(client.getInputStream()).status();
                assertTrue(status == 503 || status == 408, "status " + status);
            }
        }
    }

    /** A response that does not announce the close of its connection, as it began before the shutdown. */
    @Test
    void requestBegunBehindStreamedResponseIsAnsweredAtShutdown() throws Exception {
        CountDownLatch rest = new CountDownLatch(1);
        int length = 200_000;
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (!request.path().contains("long")) {
                        peer.write(Http.ok("x"));
                        return;
                    }
                    peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + "y".repeat(length / 2));
                    try {
                        rest.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write("y".repeat(length / 2));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/long", "long", "4000m"));
            assertEquals('H', client.getInputStream().read(), "the response has begun");
            writeAllButLastByte(client, "behind");
            assertEquals(200, site.ask(Http.page("other")).status(), "what was written is read");
            site.node.drain(false, () -> {});
            site.awaitNoneTaken();
            rest.countDown();
            StringBuilder head = new StringBuilder("H");
            while (!head.toString().endsWith("\r\n\r\n")) {
                head.append((char) client.getInputStream().read());
            }
            assertEquals(length, client.getInputStream().readNBytes(length).length);
            int status = finish(client);
            assertTrue(status == 200 || status == 503, "status " + status);
        }
    }
}
