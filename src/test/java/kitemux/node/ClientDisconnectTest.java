package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
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
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client that closes has gone: no attempt, first or further, begins more than 0.1 s later, wherever its
 * request waits then.
 */
@Timeout(30)
class ClientDisconnectTest {
    /** More than the operators allow between a client's close and an attempt. */
    private static final long GONE_MS = 200;

    private static String up() {
        return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String page(String txn) {
        return Http.page("/api/p", txn, "5000m");
    }

    /** Holds the loop up until the latch opens; returns once it stands still. */
    private static CountDownLatch holdUp(EventLoop loop) throws InterruptedException {
        CountDownLatch standing = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            standing.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        standing.await();
        return release;
    }

    /** The time itself is what is forced here: so long ago its client has left. */
    private static void letGoBy(long ms) {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** A server that holds what comes under one id until the latch opens, and then answers so. */
    private static ScriptedServer holding(String txn, CountDownLatch until, String answer) throws IOException {
        return new ScriptedServer((request, peer) -> {
            if (txn.equals(request.headers().get("x-txn"))) {
                await(until);
                peer.write(answer);
            } else {
                peer.write(Http.ok("x"));
            }
        });
    }

    private static List<String> txns(ScriptedServer... servers) {
        return Stream.of(servers)
                .flatMap(server -> server.requests.stream())
                .map(request -> request.headers().get("x-txn"))
                .toList();
    }

    /** A site of many nodes, each of which sends a server one at a time at first. */
    private static Site oneAtATime() throws IOException {
        Site site = Site.quiet();
        site.settings.nodes = 4;
        return site;
    }

    @Test
    void whatWaitsForAPlaceIsNotSentOnceItsClientHasLeft() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = holding("first", answer, Http.ok("x"));
                Site site = oneAtATime()) {
            site.start(server);
            Socket first = site.connect();
            Site.write(first, page("first"));
            assertEquals("first", ScriptedServer.next(server.requests).headers().get("x-txn"));
            Socket leaves = site.connect();
            Site.write(leaves, page("left"));
            assertEquals(200, site.ask(up()).status(), "the request before it is read by now");
            leaves.close();
            assertEquals(200, site.ask(up()).status());
            answer.countDown();
            assertEquals(200, Http.read(first.getInputStream()).status());
            assertEquals(200, site.ask(page("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** The answer that makes room lies unread before its leaving does. */
    @Test
    void whatWaitsForAPlaceIsNotSentWhereItsLeavingLiesUnreadBehindTheAnswer() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = holding("first", answer, Http.ok("x"));
                Site site = oneAtATime()) {
            site.start(server);
            Socket first = site.connect();
            Site.write(first, page("first"));
            assertEquals("first", ScriptedServer.next(server.requests).headers().get("x-txn"));
            Socket leaves = site.connect();
            Site.write(leaves, page("left"));
            assertEquals(200, site.ask(up()).status(), "the request before it is read by now");
            CountDownLatch release = holdUp(site.loop);
            answer.countDown();
            ScriptedServer.next(server.answeredPeers);
            leaves.close();
            letGoBy(GONE_MS);
            release.countDown();
            assertEquals(200, Http.read(first.getInputStream()).status());
            assertEquals(200, site.ask(page("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** Two servers with a connection each that is free; "left" is with one of them, which then fails it. */
    @Test
    void whatFailedIsNotTriedAgainWhereItsLeavingLiesUnreadBehindTheFailure() throws Exception {
        CountDownLatch fails = new CountDownLatch(1);
        String failure = Http.answer("500 Failed", "", "");
        try (ScriptedServer one = holding("left", fails, failure);
                ScriptedServer two = holding("left", fails, failure);
                Site site = Site.quiet().start(one, two)) {
            for (int i = 0; one.connections.get() == 0 || two.connections.get() == 0; i++) {
                assertEquals(200, site.ask(page("before" + i)).status());
            }
            one.requests.clear();
            two.requests.clear();
            one.answeredPeers.clear();
            two.answeredPeers.clear();
            Socket leaves = site.connect();
            Site.write(leaves, page("left"));
            while (one.requests.isEmpty() && two.requests.isEmpty()) {
                Thread.onSpinWait();
            }
            ScriptedServer has = one.requests.isEmpty() ? two : one;
            CountDownLatch release = holdUp(site.loop);
            fails.countDown();
            ScriptedServer.next(has.answeredPeers);
            leaves.close();
            letGoBy(GONE_MS);
            release.countDown();
            assertEquals(200, site.ask(page("after")).status());
            assertEquals(
                    1,
                    txns(one, two).stream().filter("left"::equals).count(),
                    () -> "attempts, of which one is a further one after the leaving: " + txns(one, two));
        }
    }

    /** Its connection comes up before its leaving is read, and both lie there in one turn. */
    @Test
    void whatWaitsForAConnectionIsNotSentWhereItsLeavingLiesUnreadBehindThatComingUp() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Site site = Site.quiet()) {
            // No connection comes up while the system has no room for one more.
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
            Socket leaves = site.connect();
            Site.write(leaves, page("left"));
            assertEquals(200, site.ask(up()).status(), "it has been read, and its connection is dialled");
            CountDownLatch release = holdUp(site.loop);
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            Socket peer = full.accept();
            while (filling.contains(peer.getPort())) {
                peer = full.accept();
            }
            leaves.close();
            letGoBy(GONE_MS);
            release.countDown();
            Socket stays = site.connect();
            Site.write(stays, page("stays"));
            peer.setSoTimeout(20_000);
            assertEquals("stays", Http.read(peer.getInputStream()).headers().get("x-txn"));
            peer.getOutputStream().write(Http.ok("x").getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, Http.read(stays.getInputStream()).status());
        }
    }

    /** Nothing can be sent anywhere; the list that changes that lies unread before the leaving does. */
    @Test
    void whatWaitsForAServerIsNotSentWhereItsLeavingLiesUnreadBehindTheList() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true));
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            Socket leaves = site.connect();
            Site.write(leaves, page("left"));
            assertEquals(200, site.ask(up()).status(), "the request before it is read by now");
            CountDownLatch release = holdUp(site.loop);
            watch.write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            leaves.close();
            letGoBy(GONE_MS);
            release.countDown();
            assertEquals(200, site.ask(page("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }
}
