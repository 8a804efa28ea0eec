package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against attempts on behalf of clients that have disconnected: no attempt, first or retry, may begin
 * more than 0.1 s after the disconnect, wherever the request waits then.
 */
@Timeout(30)
class ClientDisconnectTest {
    /** Time between disconnect and attempt, in milliseconds; longer than the operators allow. */
    private static final long DISCONNECT_AGE_MS = 200;

    private static String upRequest() {
        return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String pageRequest(String txn) {
        return Http.page("/api/p", txn, "5000m");
    }

    /** Stalls the event loop until the latch opens; returns once it is stalled. */
    private static CountDownLatch stallLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            stalled.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stalled.await();
        return release;
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /**
     * Creates a server that answers the request with this transaction id with {@code answer} once the latch
     * opens, and all others at once.
     */
    private static ScriptedServer serverHolding(String txn, CountDownLatch until, String answer) throws IOException {
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

    /** Creates a site with several nodes, each of which sends a server one request at a time at first. */
    private static Site siteWithOneRequestPerServer() throws IOException {
        Site site = Site.quiet();
        site.settings.nodes = 4;
        return site;
    }

    @Test
    void queuedRequestIsNotSentAfterClientDisconnects() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = serverHolding("first", answer, Http.ok("x"));
                Site site = siteWithOneRequestPerServer()) {
            site.start(server);
            Socket first = site.connect();
            Site.write(first, pageRequest("first"));
            assertEquals("first", ScriptedServer.next(server.requests).headers().get("x-txn"));
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            assertEquals(200, site.ask(upRequest()).status(), "the earlier request has been read by now");
            disconnecting.close();
            assertEquals(200, site.ask(upRequest()).status());
            answer.countDown();
            assertEquals(200, Http.read(first.getInputStream()).status());
            assertEquals(200, site.ask(pageRequest("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** The response that frees the server and the disconnect are both unread, in this order. */
    @Test
    void queuedRequestIsNotSentWhenDisconnectIsUnreadBehindResponse() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = serverHolding("first", answer, Http.ok("x"));
                Site site = siteWithOneRequestPerServer()) {
            site.start(server);
            Socket first = site.connect();
            Site.write(first, pageRequest("first"));
            assertEquals("first", ScriptedServer.next(server.requests).headers().get("x-txn"));
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            assertEquals(200, site.ask(upRequest()).status(), "the earlier request has been read by now");
            CountDownLatch release = stallLoop(site.loop);
            answer.countDown();
            ScriptedServer.next(server.answeredPeers);
            disconnecting.close();
            Site.parkFor(DISCONNECT_AGE_MS);
            release.countDown();
            assertEquals(200, Http.read(first.getInputStream()).status());
            assertEquals(200, site.ask(pageRequest("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** Each of the two servers has a free connection; the request is sent to one of them, which fails it. */
    @Test
    void failedRequestIsNotRetriedWhenDisconnectIsUnreadBehindFailure() throws Exception {
        CountDownLatch fails = new CountDownLatch(1);
        String failure = Http.answer("500 Failed", "", "");
        try (ScriptedServer one = serverHolding("left", fails, failure);
                ScriptedServer two = serverHolding("left", fails, failure);
                Site site = Site.quiet().start(one, two)) {
            for (int i = 0; one.connections.get() == 0 || two.connections.get() == 0; i++) {
                assertEquals(200, site.ask(pageRequest("before" + i)).status());
            }
            one.requests.clear();
            two.requests.clear();
            one.answeredPeers.clear();
            two.answeredPeers.clear();
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            while (one.requests.isEmpty() && two.requests.isEmpty()) {
                Thread.onSpinWait();
            }
            ScriptedServer attempted = one.requests.isEmpty() ? two : one;
            CountDownLatch release = stallLoop(site.loop);
            fails.countDown();
            ScriptedServer.next(attempted.answeredPeers);
            disconnecting.close();
            Site.parkFor(DISCONNECT_AGE_MS);
            release.countDown();
            assertEquals(200, site.ask(pageRequest("after")).status());
            assertEquals(
                    1,
                    txns(one, two).stream().filter("left"::equals).count(),
                    () -> "attempts, of which one is a retry after the disconnect: " + txns(one, two));
        }
    }

    /** The connection is established before the disconnect is read; both events are handled in one turn. */
    @Test
    void requestAwaitingConnectionIsNotSentWhenDisconnectIsUnreadBehindConnect() throws Exception {
        try (FullListener full = new FullListener();
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true, "s0=" + full.endpoint() + "=Ready"));
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            assertEquals(
                    200,
                    site.ask(upRequest()).status(),
                    "the request has been read, and its server connection is being opened");
            CountDownLatch release = stallLoop(site.loop);
            Socket peer = full.acceptNode();
            disconnecting.close();
            Site.parkFor(DISCONNECT_AGE_MS);
            release.countDown();
            Socket connected = site.connect();
            Site.write(connected, pageRequest("stays"));
            assertEquals("stays", Http.read(peer.getInputStream()).headers().get("x-txn"));
            peer.getOutputStream().write(Http.ok("x").getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, Http.read(connected.getInputStream()).status());
        }
    }

    /** No server is available; the list that names one is unread before the disconnect. */
    @Test
    void requestAwaitingServerIsNotSentWhenDisconnectIsUnreadBehindList() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true));
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            assertEquals(200, site.ask(upRequest()).status(), "the earlier request has been read by now");
            CountDownLatch release = stallLoop(site.loop);
            watch.write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            disconnecting.close();
            Site.parkFor(DISCONNECT_AGE_MS);
            release.countDown();
            assertEquals(200, site.ask(pageRequest("after")).status());
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** What a client has sent behind its request when it leaves, and how it leaves. */
    private enum Leaving {
        REQUESTS_AND_END(true, false),
        REQUESTS_AND_RESET(true, true),
        NO_REQUEST_AND_END(false, false),
        NO_REQUEST_AND_RESET(false, true);

        private final boolean sendsRequests;
        private final boolean resets;

        Leaving(boolean sendsRequests, boolean resets) {
            this.sendsRequests = sendsRequests;
            this.resets = resets;
        }

        /** Returns 3 MB: twelve further requests, or bytes that are no request. */
        private byte[] input() {
            String part = "x".repeat(256 << 10);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 12; i++) {
                String head = sendsRequests
                        ? Http.order("behind" + i, "5000m").replace("Length: 2\r\n\r\nab", "Length: " + part.length())
                                + "\r\n\r\n"
                        : "";
                all.append(head).append(part);
            }
            return all.toString().getBytes(StandardCharsets.US_ASCII);
        }
    }

    /** Guards against retries for a client whose end the node cannot see, since it reads no more of its input. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void requestIsNotRetriedWhenDisconnectIsBehindInputThatIsNotRead(Leaving leaving) throws Exception {
        CountDownLatch rejects = new CountDownLatch(1);
        String rejection = Http.answer("503 Busy", "X-Turned-Away: 1\r\n", "");
        try (ScriptedServer one = serverHolding("left", rejects, rejection);
                ScriptedServer two = serverHolding("left", rejects, rejection);
                Site site = Site.quiet().start(one, two)) {
            Socket disconnecting = site.connect();
            Site.write(disconnecting, pageRequest("left"));
            while (one.requests.isEmpty() && two.requests.isEmpty()) {
                Thread.onSpinWait();
            }
            Thread sender = sendInBackground(disconnecting, leaving.input());
            Site.parkFor(DISCONNECT_AGE_MS);
            disconnecting.setSoLinger(leaving.resets, 0);
            disconnecting.close();
            Site.parkFor(DISCONNECT_AGE_MS);
            rejects.countDown();
            sender.join();
            assertEquals(200, site.ask(pageRequest("after")).status());
            assertEquals(200, site.ask(upRequest()).status());
            List<String> attempts =
                    txns(one, two).stream().filter(txn -> !"after".equals(txn)).toList();
            assertEquals(List.of("left"), attempts, "attempts, of which only the first began before the client left");
        }
    }

    /** Guards against an order that runs twice, as its id comes again after its client has left. */
    @Test
    void unsafeRequestIsNotRunAgainWhenItsIdReturnsAfterDisconnect() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = serverHolding("left", answer, Http.ok("x"));
                Site site = Site.quiet().start(server)) {
            Socket disconnecting = site.connect();
            Site.write(disconnecting, Http.order("left", "5000m"));
            ScriptedServer.next(server.requests);
            disconnecting.close();
            assertEquals(200, site.ask(upRequest()).status());
            assertEquals(200, site.ask(upRequest()).status(), "the disconnect has been read by now");
            assertEquals(400, site.ask(Http.order("left", "5000m")).status());
            answer.countDown();
            assertEquals(200, site.ask(Http.order("after", "5000m")).status());
            assertEquals(400, site.ask(Http.order("left", "5000m")).status(), "it may have run");
            assertEquals(List.of("after"), txns(server));
        }
    }

    /** Guards against rejecting an id for good although its request reached no server. */
    @Test
    void idOfRequestThatReachedNoServerIsFreeAfterDisconnect() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true));
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            Socket disconnecting = site.connect();
            Site.write(disconnecting, Http.order("left", "5000m"));
            assertEquals(200, site.ask(upRequest()).status());
            disconnecting.close();
            assertEquals(200, site.ask(upRequest()).status());
            watch.write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            assertEquals(200, site.ask(Http.order("left", "5000m")).status());
        }
    }

    private static Thread sendInBackground(Socket client, byte[] input) {
        Thread sender = new Thread(() -> {
            try {
                client.getOutputStream().write(input);
            } catch (IOException e) {
                // The client has left meanwhile.
            }
        });
        sender.setDaemon(true);
        sender.start();
        return sender;
    }

    /** Guards against a lost request: a client that stays gets a final answer for each that it has sent ahead. */
    @Test
    void clientThatSendsMuchAheadIsAnsweredInFull() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Thread sender = sendInBackground(client, Leaving.REQUESTS_AND_END.input());
            for (int i = 0; i < 12; i++) {
                int status = Http.read(client.getInputStream()).status();
                assertTrue(status == 200 || status == 503, "status " + status + " of request " + i);
            }
            sender.join();
        }
    }
}
