package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against clients that stop within a request and stay: one that had sent much of a long body was kept for as long as
 * its bytes would have taken at the lowest rate, and the room for its whole body was withheld from the others.
 */
@Timeout(60)
class StoppedClientTest {
    /** Time from its last byte in which a client that stops has to have its error or close. */
    private static final long STOP_MS = 3_000;
    /** How long the event loop may be held up. */
    private static final long HOLD_MS = 150;

    private static final long HOLD_INTERVAL_MS = 500;
    private static final int MEGABYTE = 1 << 20;
    private static final String CHUNKED = "Transfer-Encoding: chunked";

    private static String photo(String txn, String framing) {
        return "POST /api/photo HTTP/1.1\r\nHost: h\r\nX-Txn: " + txn + "\r\nX-Lane: photo\r\nX-Org: org\r\n"
                + "X-Remaining: 4000m\r\nIdempotency-Key: " + txn + "\r\n" + framing + "\r\n\r\n";
    }

    private static String lengthOf(int bytes) {
        return "Content-Length: " + bytes;
    }

    private static String bytes(int count) {
        return "x".repeat(count);
    }

    /** Holds the event loop up again and again until it ends. */
    private static void holdUp(Site site) {
        site.loop.scheduleWithFixedDelay(
                () -> Site.parkFor(HOLD_MS), HOLD_INTERVAL_MS, HOLD_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits for the error or the close, behind the answers to earlier requests, and returns when it came after the last byte. */
    private static long msToEnd(Socket client, int answersBefore, long lastByteNanos) throws IOException {
        try {
            for (int i = 0; i < answersBefore; i++) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
            assertEquals(408, Http.read(client.getInputStream()).status());
        } catch (EOFException | SocketException e) {
            // A close is as good as the error.
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
    }

    /** What each client sends before it stops; where it begins with whole requests, as many answers come first. */
    private static Map<String, String> stops() {
        String chunked = photo("c", CHUNKED);
        String chunk = Site.chunk(bytes(700_000));
        Map<String, String> stops = new LinkedHashMap<>();
        stops.put("empty line", "\r\n");
        stops.put("request line", "POST /api/pho");
        stops.put("field", "POST /api/photo HTTP/1.1\r\nX-Tx");
        stops.put("head but for its end", photo("h", lengthOf(10)).replaceAll("\r\n$", ""));
        stops.put("right after the head", photo("l0", lengthOf(MEGABYTE)));
        stops.put("one byte", photo("l1", lengthOf(MEGABYTE)) + "x");
        stops.put("0.7 MiB", photo("l2", lengthOf(MEGABYTE)) + bytes(700_000));
        stops.put("all but one byte", photo("l3", lengthOf(MEGABYTE)) + bytes(MEGABYTE - 1));
        stops.put("chunked, right after the head", chunked);
        stops.put("within the size of a chunk", chunked + chunk + "1f");
        stops.put("within a chunk", chunked + chunk + "fffff\r\n" + bytes(10_000));
        stops.put("behind a chunk", chunked + chunk);
        stops.put("within the last chunk", chunked + chunk + "0\r");
        stops.put("within a trailer", chunked + chunk + "0\r\nX-Sum: 1");
        stops.put("behind one request", Http.page("first") + photo("b", lengthOf(MEGABYTE)) + bytes(300_000));
        stops.put("behind one request, at the end of a line", Http.page("first3") + "GET /api/pa HTTP/1.1\r\n");
        stops.put(
                "behind one request with a body",
                Http.order("first4", "4000m") + photo("e", lengthOf(10)).replaceAll("\r\n$", ""));
        stops.put("behind two requests", Http.page("first2") + Http.page("second2") + "GET /api/pa");
        return stops;
    }

    private static int answersBefore(String stop) {
        return stop.startsWith("behind one r") ? 1 : stop.startsWith("behind two r") ? 2 : 0;
    }

    @Test
    void whoeverStopsWithinRequestHasErrorOrCloseInTime() throws Exception {
        Map<String, String> stops = stops();
        ExecutorService threads = Executors.newFixedThreadPool(stops.size());
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            holdUp(site);
            Map<String, Future<Long>> ends = new LinkedHashMap<>();
            for (Map.Entry<String, String> stop : stops.entrySet()) {
                Socket client = site.connect();
                ends.put(stop.getKey(), threads.submit(() -> {
                    Site.write(client, stop.getValue());
                    return msToEnd(client, answersBefore(stop.getKey()), System.nanoTime());
                }));
            }
            List<String> late = new ArrayList<>();
            for (Map.Entry<String, Future<Long>> end : ends.entrySet()) {
                long ms = end.getValue().get();
                if (ms > STOP_MS) {
                    late.add(end.getKey() + ": " + ms + " ms");
                }
            }
            assertEquals(List.of(), late);
        } finally {
            threads.shutdownNow();
        }
    }

    /** A client that stops behind a request that is still being served has its error right behind that request's answer. */
    @Test
    void stopBehindOpenRequestHasErrorRightBehindItsAnswer() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/page", "open", "4500m") + photo("p", lengthOf(MEGABYTE)) + bytes(9));
            long lastByteNanos = System.nanoTime();
            Site.parkFor(STOP_MS);
            answer.countDown();
            long ms = msToEnd(client, 1, lastByteNanos);
            assertTrue(ms <= STOP_MS + HOUSEKEEPING_MS, "ended after " + ms + " ms");
        }
    }

    private static final long HOUSEKEEPING_MS = 200;

    /** Photos of others are refused while 32 MiB are announced, and served once the client of those has stopped for 3 s. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x"})
    void roomOfLongBodyThatStopsOrTricklesIsGivenBack(String trickle) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, photo("long", lengthOf(32 * MEGABYTE)) + bytes(8 * MEGABYTE));
            long stoppedNanos = System.nanoTime();
            int refused = 0;
            while (site.ask(photo("p" + refused, lengthOf(MEGABYTE)) + bytes(MEGABYTE))
                            .status()
                    != 200) {
                refused++;
                Site.parkFor(HOLD_INTERVAL_MS / 5);
                if (client.getInputStream().available() == 0) {
                    Site.write(client, trickle);
                }
            }
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos);
            assertTrue(refused > 0, "the long body takes all room");
            assertTrue(ms <= STOP_MS, "room was withheld for " + ms + " ms");
            assertEquals(408, Http.read(client.getInputStream()).status());
        }
    }

    /** A body at 64 kB/s in lumps, as slow clients send it, is served whatever its framing. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 512000", CHUNKED})
    void bodyInLumpsAtLowestRateIsServed(String framing) throws Exception {
        boolean isChunked = framing.equals(CHUNKED);
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            holdUp(site);
            Socket client = site.connect();
            Site.write(client, photo("slow", framing));
            for (int i = 0; i < 4; i++) {
                Site.parkFor(1_950);
                String lump = bytes(128_000);
                Site.write(client, isChunked ? Site.chunk(lump) : lump);
            }
            Site.write(client, isChunked ? "0\r\n\r\n" : "");
            assertEquals(200, Http.read(client.getInputStream()).status());
            assertEquals(512_000, ScriptedServer.next(server.requests).body().length());
        }
    }
}
