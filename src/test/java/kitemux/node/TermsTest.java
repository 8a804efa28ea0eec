package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.ServiceQBalancer;
import kitemux.http.RequestReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests guarantees of the operators' page over real sockets that no other test covers. */
@Timeout(60)
class TermsTest {

    private static ScriptedServer failingAfter(long ms, AtomicInteger failed) throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        return new ScriptedServer((request, peer) -> {
            try {
                if (never.await(ms, TimeUnit.MILLISECONDS)) {
                    throw new IOException("nobody opens it");
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(failed.getAndIncrement() == 0 ? Http.answer("500 Failed", "", "") : Http.ok("x"));
        });
    }

    /** Guards against retries that grant the server more time than the client has left. */
    @Test
    void retrySendsTheRemainingTime() throws Exception {
        AtomicInteger failed = new AtomicInteger();
        try (ScriptedServer one = failingAfter(300, failed);
                ScriptedServer two = failingAfter(300, failed);
                Site site = Site.quiet().start(one, two)) {
            long askedAt = System.nanoTime();
            assertEquals(200, site.ask(Http.page("/api/p", "t", "2000m")).status());
            List<Http.Message> attempts = new ArrayList<>(one.requests);
            attempts.addAll(two.requests);
            List<Long> remainingUs = new ArrayList<>();
            for (Http.Message attempt : attempts) {
                remainingUs.add(RequestReader.parseRemainingUs(attempt.headers().get("x-remaining")));
            }
            remainingUs.sort(null);
            assertEquals(2, remainingUs.size());
            long usedUs = (System.nanoTime() - askedAt) / 1_000;
            assertTrue(remainingUs.get(0) <= 2_000_000 - 300_000, "after 300 ms it sent " + remainingUs);
            assertTrue(
                    remainingUs.get(0) >= 2_000_000 - usedUs,
                    "and no less than the time that was left: " + remainingUs);
        }
    }

    /** The retry window is shorter than the deadline: after it has passed, a failed attempt is not retried. */
    @ParameterizedTest
    @CsvSource({"50, 2, 200", "400, 1, 502"})
    void keyedRequestIsRetriedWithinItsWindowOnly(long failsAfterMs, int attempts, int status) throws Exception {
        AtomicInteger failed = new AtomicInteger();
        try (ScriptedServer one = failingAfter(failsAfterMs, failed);
                ScriptedServer two = failingAfter(failsAfterMs, failed);
                Site site = Site.quiet()) {
            setPhotoWindow(site, 400_000);
            site.start(one, two);
            assertEquals(status, site.ask(photo("t")).status());
            assertEquals(attempts, one.requests.size() + two.requests.size());
        }
    }

    private static void setPhotoWindow(Site site, long windowUs) {
        site.settings.classes.set(
                1,
                new RequestClass(
                        "photo", 1_000_000, 0, 5_000_000, 1, 0, RetrySafety.KEYED, DedupScope.CELL, windowUs, false));
    }

    private static String photo(String txn) {
        return Http.order(txn, "4000m").replace("X-Lane: order", "X-Lane: photo\r\nIdempotency-Key: k");
    }

    /** A keyed request that its first server resets, and whose repeat waits for a connection to the second one. */
    private static final class WaitingRepeat implements AutoCloseable {
        private final FullListener full = new FullListener();
        private final ScriptedServer first;
        private final Site site = Site.quiet();
        private final ScriptedServer.Peer watch;
        private final Socket client;

        WaitingRepeat(long windowUs) throws Exception {
            CountDownLatch resets = new CountDownLatch(1);
            first = resettingAfter(resets);
            setPhotoWindow(site, windowUs);
            site.start(first);
            watch = ScriptedServer.next(site.discovery.answeredPeers);
            client = site.connect();
            Site.write(client, photo("t"));
            ScriptedServer.next(first.requests);
            watch.write(Site.chunk(Site.list(2, false, "s1=" + full.endpoint() + "=Ready") + "\n"));
            resets.countDown();
            ScriptedServer.next(first.disconnectedPeers);
        }

        @Override
        public void close() throws IOException {
            site.close();
            first.close();
            full.close();
        }
    }

    /** Guards against a repeat of a keyed request that is chosen within its window and written after it. */
    @Test
    void keyedRequestIsNotRepeatedAfterItsWindowWhenItWaitedForAConnection() throws Exception {
        try (WaitingRepeat repeat = new WaitingRepeat(900_000)) {
            Site.parkFor(900);
            Socket second = repeat.full.acceptNode();
            assertEquals(502, Http.read(repeat.client.getInputStream()).status());
            assertEquals(0, second.getInputStream().available(), "bytes written after the window");
        }
    }

    /** Guards against refusing a repeat whose connection comes up late, but within the window. */
    @Test
    void keyedRequestIsRepeatedWithinItsWindowWhenItWaitedForAConnection() throws Exception {
        try (WaitingRepeat repeat = new WaitingRepeat(4_000_000)) {
            Socket second = repeat.full.acceptNode();
            assertEquals("t", Http.read(second.getInputStream()).headers().get("x-txn"));
            second.getOutputStream().write(Http.ok("late").getBytes(StandardCharsets.US_ASCII));
            assertEquals("late", Http.read(repeat.client.getInputStream()).body());
        }
    }

    /** How a new process of another group comes to the address at which a request waits for a connection. */
    private enum Takeover {
        SAME_ID {
            @Override
            String change(String endpoint) {
                return inOtherGroup(Site.list(3, false, "s1=" + endpoint + "=Ready"));
            }
        },
        NEW_ID_AND_OLD_GONE {
            @Override
            String change(String endpoint) {
                return inOtherGroup(Site.list(3, false, "s2=" + endpoint + "=Ready", "s1=" + endpoint + "=Gone"));
            }
        },
        NEW_ID_ALONE {
            @Override
            String change(String endpoint) {
                return inOtherGroup(Site.list(3, false, "s2=" + endpoint + "=Ready"));
            }
        };

        private static String inOtherGroup(String list) {
            return list.replace("\"pod_group\":0", "\"pod_group\":1")
                    .replace("\"boot_ms\":0", "\"boot_ms\":" + System.currentTimeMillis());
        }

        abstract String change(String endpoint);
    }

    /** Guards against a keyed request that is repeated at a process of another group, taken for the one before. */
    @ParameterizedTest
    @EnumSource(Takeover.class)
    void keyedRequestIsNotRepeatedAtNewProcessOfOtherGroup(Takeover takeover) throws Exception {
        try (WaitingRepeat repeat = new WaitingRepeat(4_000_000)) {
            // The repeat waits for a connection meanwhile, which the system begins anew after a second.
            Site.parkFor(300);
            repeat.watch.write(Site.chunk(takeover.change(repeat.full.endpoint()) + "\n"));
            Socket second = repeat.full.acceptNode();
            second.setSoTimeout(1_000);
            assertEquals("", readUntilQuiet(second), "what the new process got");
        }
    }

    /** Reads until the connection ends or nothing comes within its timeout. */
    private static String readUntilQuiet(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                text.append((char) next);
            }
        } catch (SocketTimeoutException e) {
            // Nothing more comes.
        }
        return text.toString();
    }

    private static ScriptedServer resettingAfter(CountDownLatch resets) throws IOException {
        return new ScriptedServer((request, peer) -> {
            try {
                resets.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.reset();
        });
    }

    /**
     * A connection that is established by the system's next SYN, a second later, carries the request that waits for it.
     */
    @Test
    void lateConnectionIsUsed() throws Exception {
        try (FullListener full = new FullListener();
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true, "s0=" + full.endpoint() + "=Ready"));
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t", "5000m"));
            assertEquals(404, site.ask(Http.page("/nothing", "u", "1m")).status(), "the request must have been read");
            Socket peer = full.acceptNode();
            assertEquals("t", Http.read(peer.getInputStream()).headers().get("x-txn"));
            peer.getOutputStream().write(Http.ok("late").getBytes(StandardCharsets.US_ASCII));
            assertEquals("late", Http.read(client.getInputStream()).body());
        }
    }

    /** Guards against forwarding a request that arrives on an idle connection after the node has closed it. */
    @Test
    void requestOnAClosedIdleConnectionIsNotForwarded() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket idle = site.connect();
            assertEquals(200, Site.ask(idle, Http.page("before")).status());
            CountDownLatch done = new CountDownLatch(1);
            site.node.drain(false, done::countDown);
            assertEquals(-1, idle.getInputStream().read());
            assertThrows(IOException.class, () -> {
                Site.write(idle, Http.page("late"));
                Http.read(idle.getInputStream());
            });
            assertTrue(done.await(20, TimeUnit.SECONDS));
            assertEquals(
                    "before", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals(0, server.requests.size());
        }
    }

    /**
     * Discovery refuses calls until the nodes' backoff is long. Then it returns, but leaves the calls it has just
     * accepted unanswered. A change must still be received within 6 s.
     */
    @Test
    void changesAreReceivedWithinSixSecondsOfDiscoverysReturn() throws Exception {
        int nodes = 12;
        int refusals = 7;
        List<Site> sites = new ArrayList<>();
        List<CountDownLatch> received = new ArrayList<>();
        List<AtomicLong> tookMs = new ArrayList<>();
        try {
            for (int i = 0; i < nodes; i++) {
                AtomicInteger calls = new AtomicInteger();
                AtomicLong backAt = new AtomicLong();
                AtomicLong took = new AtomicLong();
                CountDownLatch receivesList = new CountDownLatch(1);
                long seed = i;
                Site site = new Site(new ScriptedServer((request, peer) -> {
                    int call = calls.getAndIncrement();
                    if (call < refusals) {
                        peer.write(Http.answer("503 Busy", "", ""));
                    } else if (call == refusals) {
                        backAt.set(System.nanoTime());
                    } else {
                        took.compareAndSet(0, (System.nanoTime() - backAt.get()) / 1_000_000);
                        peer.write(Site.watchHead() + Site.chunk(Site.list(2, true) + "\n"));
                        receivesList.countDown();
                    }
                }));
                site.module = actions -> new ServiceQBalancer(site.settings, seed, actions);
                sites.add(site.startKnowing(Site.list(1, true)));
                received.add(receivesList);
                tookMs.add(took);
            }
            for (CountDownLatch each : received) {
                assertTrue(each.await(40, TimeUnit.SECONDS), "a node never called again");
            }
            long longestMs = tookMs.stream().mapToLong(AtomicLong::get).max().orElseThrow();
            System.out.println("lists received after discovery's return: " + tookMs + " ms");
            assertTrue(longestMs < 6_000, "a node received its list after " + longestMs + " ms of " + tookMs);
        } finally {
            for (Site site : sites) {
                site.close();
            }
        }
    }
}
