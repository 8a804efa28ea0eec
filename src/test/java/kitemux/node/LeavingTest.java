package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import io.netty.channel.EventLoop;

/**
 * A client that closes has gone: no attempt, first or further, begins more than 0.1 s later, wherever its
 * request waits then.
 */
@Timeout(30)
class LeavingTest {
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
    private static FarServer holding(String txn, CountDownLatch until, String answer) throws IOException {
        return new FarServer((request, peer) -> {
            if (txn.equals(request.headers().get("x-txn"))) {
                await(until);
                peer.write(answer);
            } else {
                peer.write(Http.ok("x"));
            }
        });
    }

    private static List<String> txns(FarServer... servers) {
        return Stream.of(servers).flatMap(server -> server.requests.stream())
                .map(request -> request.headers().get("x-txn")).toList();
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
        try (FarServer server = holding("first", answer, Http.ok("x")); Site site = oneAtATime()) {
            site.start(server);
            Socket first = site.connect();
            Site.write(first, page("first"));
            assertEquals("first", FarServer.next(server.requests).headers().get("x-txn"));
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

    /** Nothing can be sent anywhere; the list that changes that lies unread before the leaving does. */
    @Test
    void whatWaitsForAServerIsNotSentWhereItsLeavingLiesUnreadBehindTheList() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true));
            FarServer.Peer watch = FarServer.next(site.discovery.peers);
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
