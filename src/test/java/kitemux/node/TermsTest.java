package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

/** Single sentences of the operators' page that no other test forces over real sockets. */
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

    /** What an attempt tells its server is at most what is left to the client, also a further one. */
    @Test
    void aFurtherAttemptTellsWhatIsLeft() throws Exception {
        AtomicInteger failed = new AtomicInteger();
        try (ScriptedServer one = failingAfter(300, failed);
                ScriptedServer two = failingAfter(300, failed);
                Site site = Site.quiet().start(one, two)) {
            long askedAt = System.nanoTime();
            assertEquals(200, site.ask(Http.page("/api/p", "t", "2000m")).status());
            List<Http.Message> attempts = new ArrayList<>(one.requests);
            attempts.addAll(two.requests);
            List<Long> told = new ArrayList<>();
            for (Http.Message attempt : attempts) {
                told.add(RequestReader.parseRemainingUs(attempt.headers().get("x-remaining")));
            }
            told.sort(null);
            assertEquals(2, told.size());
            long usedUs = (System.nanoTime() - askedAt) / 1_000;
            assertTrue(told.get(0) <= 2_000_000 - 300_000, "after 300 ms it told " + told);
            assertTrue(told.get(0) >= 2_000_000 - usedUs, "and no less than there was: " + told);
        }
    }

    /** A window for repeats that is shorter than the deadline: a server that fails after it is the last. */
    @ParameterizedTest
    @CsvSource({"50, 2, 200", "400, 1, 502"})
    void aKeyedRequestIsRepeatedWithinItsWindowOnly(long failsAfterMs, int attempts, int status) throws Exception {
        AtomicInteger failed = new AtomicInteger();
        try (ScriptedServer one = failingAfter(failsAfterMs, failed);
                ScriptedServer two = failingAfter(failsAfterMs, failed);
                Site site = Site.quiet()) {
            site.settings.classes.set(
                    1,
                    new RequestClass(
                            "photo",
                            1_000_000,
                            0,
                            5_000_000,
                            1,
                            0,
                            RetrySafety.KEYED,
                            DedupScope.CELL,
                            250_000,
                            false));
            site.start(one, two);
            String photo = Http.order("t", "4000m").replace("X-Lane: order", "X-Lane: photo\r\nIdempotency-Key: k");
            assertEquals(status, site.ask(photo).status());
            assertEquals(attempts, one.requests.size() + two.requests.size());
        }
    }

    /** One that comes up as the system dials again, a second later, carries what waits for it. */
    @Test
    void aConnectionThatComesUpLateIsUsed() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Site site = Site.quiet()) {
            Set<Integer> filling = new HashSet<>();
            List<SocketChannel> fillers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                filler.connect(full.getLocalSocketAddress());
                filling.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
                fillers.add(filler);
            }
            site.startKnowing(Site.list(1, true, "s0=127.0.0.1:" + full.getLocalPort() + "=Ready"));
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t", "5000m"));
            assertEquals(404, site.ask(Http.page("/nothing", "u", "1m")).status(), "it has been read");
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            Socket peer = full.accept();
            while (filling.contains(peer.getPort())) {
                peer = full.accept();
            }
            assertEquals("t", Http.read(peer.getInputStream()).headers().get("x-txn"));
            peer.getOutputStream().write(Http.ok("late").getBytes(StandardCharsets.US_ASCII));
            assertEquals("late", Http.read(client.getInputStream()).body());
        }
    }

    /** What comes on a resting connection once the node has ended it is not sent on. */
    @Test
    void whatComesAfterARestingConnectionWasEndedIsNotSentOn() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket rests = site.connect();
            assertEquals(200, Site.ask(rests, Http.page("before")).status());
            CountDownLatch done = new CountDownLatch(1);
            site.node.drain(false, done::countDown);
            assertEquals(-1, rests.getInputStream().read());
            assertThrows(IOException.class, () -> {
                Site.write(rests, Http.page("late"));
                Http.read(rests.getInputStream());
            });
            assertTrue(done.await(20, TimeUnit.SECONDS));
            assertEquals(
                    "before", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals(0, server.requests.size());
        }
    }

    /**
     * Discovery refuses until nodes wait long between calls. Then it is back, but for the calls that it has
     * just taken, which get no answer: a change counts as told 6 s later all the same.
     */
    @Test
    void whatDiscoveryHasIsHeardWithinSixSecondsOfItsReturn() throws Exception {
        int nodes = 12;
        int refusals = 7;
        List<Site> sites = new ArrayList<>();
        List<CountDownLatch> heard = new ArrayList<>();
        List<AtomicLong> tookMs = new ArrayList<>();
        try {
            for (int i = 0; i < nodes; i++) {
                AtomicInteger calls = new AtomicInteger();
                AtomicLong backAt = new AtomicLong();
                AtomicLong took = new AtomicLong();
                CountDownLatch hears = new CountDownLatch(1);
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
                        hears.countDown();
                    }
                }));
                site.module = actions -> new ServiceQBalancer(site.settings, seed, actions);
                sites.add(site.startKnowing(Site.list(1, true)));
                heard.add(hears);
                tookMs.add(took);
            }
            for (CountDownLatch each : heard) {
                assertTrue(each.await(40, TimeUnit.SECONDS), "a node never called again");
            }
            long most = tookMs.stream().mapToLong(AtomicLong::get).max().orElseThrow();
            System.out.println("discovery's return is heard of after " + tookMs + " ms");
            assertTrue(most < 6_000, "a node heard after " + most + " ms of " + tookMs);
        } finally {
            for (Site site : sites) {
                site.close();
            }
        }
    }
}
