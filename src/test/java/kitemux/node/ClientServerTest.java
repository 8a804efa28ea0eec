package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients see of a node. */
class ClientServerTest {

    @Test
    void aRequestGoesOnUnchangedAndItsAnswerComesBack() throws Exception {
        try (FarServer server = FarServer.serving("proof"); Site site = Site.quiet().start(server)) {
            String photo = "POST /api/7f3a?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: photo\r\n"
                    + "X-Org: org\r\nX-Remaining: 480m\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 4\r\n\r\nbody";
            Http.Message answer = site.ask(photo);
            assertEquals(200, answer.status());
            assertEquals("proof", answer.body());
            Http.Message sent = FarServer.next(server.requests);
            assertEquals("POST /api/7f3a?x=1&y=%20 HTTP/1.1", sent.start());
            assertEquals("9b1f", sent.headers().get("x-txn"));
            assertEquals("5c0f", sent.headers().get("idempotency-key"));
            assertEquals("body", sent.body());
            long left = RequestReader.left(sent.headers().get("x-remaining"));
            assertTrue(left > 0 && left < 480_000, "left " + left);
        }
    }

    @Test
    void aConnectionCarriesOneRequestAfterAnother() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (int i = 0; i < 3; i++) {
                assertEquals(200, Site.ask(client, Http.page("t" + i)).status());
            }
            assertEquals(1, server.connections.get(), "connections to the server");
        }
    }

    @Test
    void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
        try (FarServer server = new FarServer((request, peer) ->
                peer.write(Http.ok(request.headers().get("x-txn"))));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("a") + Http.page("b") + Http.page("c"));
            for (String txn : new String[] {"a", "b", "c"}) {
                assertEquals(txn, Http.read(client.getInputStream()).body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /api/x HTTP/1.1|X-Lane: page|X-Remaining: 400m",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Txn: u|X-Lane: page|X-Remaining: 400m",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: none|X-Remaining: 400m",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: -4m",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: NaNm",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 9999999999m",
        "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
        "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400m",
        "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
        "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: order|X-Remaining: 400m|Idempotency-Key: k",
        "not http at all",
    })
    void whatCannotBeUsedGets400AndReachesNoServer(String lines) throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet().start(server)) {
            assertEquals(400, site.ask(lines.replace("|", "\r\n") + "\r\n\r\n").status());
            assertEquals(0, server.connections.get());
            assertEquals(200, site.ask(Http.page("next")).status(), "the node goes on");
        }
    }

    @Test
    void anUnknownPathGets404() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet().start(server)) {
            assertEquals(404, site.ask(Http.page("/apis/x", "t", "400m")).status());
            assertEquals(0, server.connections.get());
        }
    }

    @Test
    void aBodyOver64KiBGets413AndOneOfJustThatIsServed() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet().start(server)) {
            String order = Http.order("t", "4000m");
            String largest = order.replace("Length: 2\r\n\r\nab",
                    "Length: 65536\r\n\r\n" + "a".repeat(65536));
            assertEquals(200, site.ask(largest).status());
            String larger = order.replace("Length: 2\r\n\r\nab", "Length: 65537\r\n\r\n");
            assertEquals(413, site.ask(larger).status());
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void theAnswerToTooLargeABodyOutlastsWhatStillComes() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.order("t", "4000m").replace("Length: 2\r\n\r\nab",
                    "Length: 8000000\r\n\r\n" + "a".repeat(8_000_000)));
            assertEquals(413, Http.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, server.connections.get());
        }
    }

    @Test
    void aClientThatClosesIsGoneAndItsAttemptGivenUp() throws Exception {
        try (FarServer server = new FarServer((request, peer) -> { });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/x", "t", "5000m"));
            FarServer.next(server.requests);
            client.close();
            FarServer.next(server.ended);
        }
    }

    @Test
    void aDrainingNodeSaysSoServesWhatItHasAndEnds() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> {
            asked.countDown();
            try {
                answer.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(Http.ok("late"));
        }); Site site = Site.quiet().start(server)) {
            assertEquals(200, site.ask("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
            Socket client = site.connect();
            Socket idle = site.connect();
            Site.write(client, Http.page("/api/x", "t", "5000m"));
            assertTrue(asked.await(20, TimeUnit.SECONDS));
            CountDownLatch done = new CountDownLatch(1);
            site.node.drain(done::countDown);
            Http.Message up = site.ask("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals(503, up.status());
            assertEquals("close", up.headers().get("connection"));
            // The end of an idle connection tells that nothing new is taken; what is held is still answered.
            assertEquals(-1, idle.getInputStream().read());
            assertThrows(IOException.class, site::connect);
            assertEquals(1, done.getCount());
            answer.countDown();
            Http.Message last = Http.read(client.getInputStream());
            assertEquals("late", last.body());
            assertEquals("close", last.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void clientsLeaveRoomForConnectionsToServers() throws Exception {
        try (FarServer server = FarServer.serving("x"); Site site = Site.quiet()) {
            site.sockets = 64;
            site.start(server);
            Socket first = site.connect();
            assertEquals(200, Site.ask(first, Http.page("first")).status());
            for (int i = 0; i < 100; i++) {
                site.connect();
            }
            assertEquals(200, site.ask(Http.page("last")).status());
            assertEquals(-1, first.getInputStream().read(), "the longest idle made room");
        }
    }

    @Test
    void refusalsSayWhenToComeBack() throws Exception {
        try (FarServer server = new FarServer((request, peer) ->
                peer.write(Http.answer("503 Busy", "X-Turned-Away: 1\r\n", "")));
                Site site = Site.quiet().start(server)) {
            Http.Message answer = site.ask(Http.order("t", "300m"));
            assertEquals(503, answer.status());
            assertEquals("0.25", answer.headers().get("retry-after"));
            assertFalse(answer.headers().containsKey("connection"));
        }
    }
}
