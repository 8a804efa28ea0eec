package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.net.InputAwareChannel;
import kitemux.net.NioNetwork;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the results of attempts as clients see them. Orders are not safe to retry, so they may be sent to another
 * server only if they are known not to have run.
 */
class ServerPoolTest {
    private static final int REQUEST_COUNT = 12;

    /** Sends orders, about half of which are tried on the first server, and asserts that all are served. */
    private static void assertAllServed(Site site) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals(200, site.ask(Http.order("t" + i, "4000m")).status());
        }
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherServer() throws Exception {
        try (ScriptedServer dead = ScriptedServer.serving("x");
                ScriptedServer good = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            dead.stop();
            site.start(dead, good);
            assertAllServed(site);
            assertEquals(REQUEST_COUNT, good.requests.size());
        }
    }

    @Test
    void requestRejectedByServerIsRetriedOnAnotherServer() throws Exception {
        try (ScriptedServer full = new ScriptedServer(
                        (request, peer) -> peer.write(Http.answer("504 Over", "X-Turned-Away: 1\r\n", "")));
                ScriptedServer good = ScriptedServer.serving("x");
                Site site = Site.quiet().start(full, good)) {
            assertAllServed(site);
            assertEquals(REQUEST_COUNT, good.requests.size());
            assertTrue(full.requests.size() > 0);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Error\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly part of it",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nonly part of it",
                "what is this\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon in here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
                "HTTP/1.1 +200 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nxyz",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n0\r\n\r\n",
            })
    void invalidResponseIsNeitherServedNorRetried(String response) throws Exception {
        try (ScriptedServer bad = new ScriptedServer((request, peer) -> {
                    peer.write(response);
                    peer.socket().close();
                });
                Site site = Site.quiet().start(bad)) {
            assertEquals(502, site.ask(Http.order("t", "4000m")).status());
            assertEquals(1, bad.requests.size(), "an order must be sent once");
        }
    }

    @Test
    void safeRequestIsRetriedAfterReset() throws Exception {
        try (ScriptedServer bad = new ScriptedServer((request, peer) -> peer.reset());
                ScriptedServer good = ScriptedServer.serving("x");
                Site site = Site.quiet().start(bad, good)) {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                assertEquals(
                        200, site.ask(Http.page("/api/p", "t" + i, "4000m")).status());
            }
            assertTrue(bad.requests.size() > 0);
        }
    }

    @Test
    void oversizedResponseIsRejectedImmediately() throws Exception {
        try (ScriptedServer bad = new ScriptedServer(
                        (request, peer) -> peer.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"));
                Site site = Site.quiet().start(bad)) {
            assertEquals(502, site.ask(Http.order("t", "3600000m")).status());
            ScriptedServer.next(bad.disconnectedPeers);
        }
    }

    @Test
    void responseLargerThanRequestLimitIsServed() throws Exception {
        String large = "photo".repeat(70_000);
        try (ScriptedServer server = ScriptedServer.serving(large);
                Site site = Site.quiet().start(server)) {
            assertEquals(large, site.ask(Http.order("t", "4000m")).body());
            assertEquals(large, site.ask(Http.order("u", "4000m")).body());
            assertEquals(1, server.connections.get());
        }
    }

    // ---------------------------------------------------------------- streamed responses

    private static String chunked(String body, int chunkSize) {
        StringBuilder text = new StringBuilder(Site.watchHead());
        for (int offset = 0; offset < body.length(); offset += chunkSize) {
            text.append(Site.chunk(body.substring(offset, Math.min(body.length(), offset + chunkSize))));
        }
        return text.append("0\r\n\r\n").toString();
    }

    /** Reads from a connection up to its end. */
    private static String readToEnd(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 65_536, 65_537, 1_000_000, 20_000_000})
    void responseOfAnyLengthAndFramingIsForwardedWhole(int length) throws Exception {
        String body = "yearbook!".repeat(length / 9 + 1).substring(0, length);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (request.path().contains("chunked")) {
                        peer.write(chunked(body, 70_001));
                    } else if (request.path().contains("close")) {
                        peer.write("HTTP/1.1 200 OK\r\n\r\n" + body);
                        peer.socket().close();
                    } else {
                        peer.write(Http.ok(body));
                    }
                });
                Site site = Site.quiet().start(server)) {
            for (String framing : List.of("length", "chunked", "close", "length")) {
                Socket client = site.connect();
                Site.write(
                        client,
                        Http.page("/api/" + framing, framing, "4000m")
                                .replace("Host: b", "Connection: close\r\nHost: b"));
                String response = readToEnd(client);
                assertTrue(response.startsWith("HTTP/1.1 200 "), framing);
                String receivedBody = response.substring(response.indexOf("\r\n\r\n") + 4);
                assertEquals(body, receivedBody.startsWith(body) ? receivedBody : dechunked(receivedBody), framing);
            }
        }
    }

    private static String dechunked(String text) {
        StringBuilder body = new StringBuilder();
        int offset = 0;
        while (true) {
            int line = text.indexOf("\r\n", offset);
            int size = Integer.parseInt(text.substring(offset, line), 16);
            if (size == 0) {
                assertEquals("\r\n\r\n", text.substring(line));
                return body.toString();
            }
            body.append(text, line + 2, line + 2 + size);
            offset = line + 4 + size;
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void truncatedLongResponseIsNotRetriedAndFailsVisibly(boolean chunked) throws Exception {
        String part = "p".repeat(100_000);
        try (ScriptedServer bad = new ScriptedServer((request, peer) -> {
                    peer.write(
                            chunked
                                    ? Site.watchHead() + Site.chunk(part)
                                    : "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part);
                    peer.reset();
                });
                Site site = Site.quiet().start(bad)) {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                Socket client = site.connect();
                Site.write(client, Http.page("/api/p", "t" + i, "4000m"));
                assertThrows(IOException.class, () -> readToEnd(client), "a truncated response must not look complete");
                assertEquals(i + 1, bad.requests.size());
            }
        }
    }

    @Test
    void resetCloseDelimitedResponseIsNotServed() throws Exception {
        try (ScriptedServer bad = new ScriptedServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\n\r\nonly part of it");
                    peer.reset();
                });
                Site site = Site.quiet().start(bad)) {
            assertEquals(502, site.ask(Http.order("t", "4000m")).status());
        }
    }

    @Test
    void stalledClientAppliesBackPressureAndIsDisconnected() throws Exception {
        AtomicLong written = new AtomicLong();
        CountDownLatch serverReleased = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (!request.path().contains("large")) {
                        peer.write(Http.ok("x"));
                        return;
                    }
                    try {
                        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 500000000\r\n\r\n");
                        String piece = "y".repeat(100_000);
                        for (int i = 0; i < 5_000; i++) {
                            peer.write(piece);
                            written.addAndGet(100_000);
                        }
                    } finally {
                        serverReleased.countDown();
                    }
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/large", "t", "4000m"));
            assertTrue(serverReleased.await(30, TimeUnit.SECONDS), "the server connection must be released");
            assertTrue(written.get() < 100_000_000, "the server wrote " + written.get());
            assertEquals(200, site.ask(Http.page("after")).status());
        }
    }

    @Test
    void clientDisconnectReleasesServerConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    peer.write(
                            request.path().contains("large")
                                    ? "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + "z".repeat(100_000)
                                    : Http.ok("x"));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/large", "t", "4000m"));
            assertEquals(100_000, client.getInputStream().readNBytes(100_000).length);
            client.close();
            ScriptedServer.next(server.disconnectedPeers);
            assertEquals(200, site.ask(Http.page("after")).status());
        }
    }

    @Test
    void malformedLoadReportHeaderIsIgnored() throws Exception {
        try (ScriptedServer server = new ScriptedServer(
                        (request, peer) -> peer.write(Http.answer("200 OK", "X-Pressure: TEXT %%=;{\"\r\n", "good")));
                Site site = Site.quiet().start(server)) {
            assertEquals("good", site.ask(Http.order("t", "4000m")).body());
        }
    }

    @Test
    @Timeout(20)
    void connectionReportsUnreadInputAndEndOfStream() throws Exception {
        EventLoop loop = Node.newLoop();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Automatic reading is off, as if the loop had not reached this connection yet.
            InputAwareChannel channel = (InputAwareChannel) new Bootstrap()
                    .group(loop)
                    .channelFactory(NioNetwork.SYSTEM::newOutboundChannel)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(listener.getLocalSocketAddress())
                    .sync()
                    .channel();
            Socket server = listener.accept();
            assertTrue(channel.hasNoUnreadInput());
            server.getOutputStream().write('x');
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertTrue(channel.hasNoUnreadInput(), "the byte must have been consumed");
            server.close();
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertFalse(channel.hasNoUnreadInput(), "the end of the stream must still be reported");
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> peer.write("HTTP/1.1 102 Processing\r\n\r\n"
                        + "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + Http.ok("final")));
                Site site = Site.quiet().start(server)) {
            assertEquals("final", site.ask(Http.page("t")).body());
        }
    }

    /** Guards against a response that a server sends a second time, late, and that the next request is served with. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void secondResponseThatComesLateIsNotServedToTheNextRequest(boolean sendsAtOnce) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    peer.socket().setTcpNoDelay(sendsAtOnce);
                    String answer = Http.ok(request.headers().get("x-txn"));
                    peer.write(answer);
                    awaitMs(never, 5);
                    peer.write(answer);
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "t" + i,
                        Site.ask(client, Http.page("/api/p", "t" + i, "4000m")).body());
            }
        }
    }

    private static void awaitMs(CountDownLatch never, long ms) throws IOException {
        try {
            assertFalse(never.await(ms, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Guards against a connection for each request, though the one before is free again within milliseconds. */
    @Test
    void requestWaitsForAConnectionThatRests() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200,
                        Site.ask(client, Http.page("/api/p", "t" + i, "4000m")).status());
            }
            assertEquals(1, server.connections.get());
        }
    }

    @Test
    void surplusBytesDoNotAnswerTheNextRequest() throws Exception {
        try (ScriptedServer server = new ScriptedServer(
                        (request, peer) -> peer.write(Http.ok(request.headers().get("x-txn")) + Http.ok("stray")));
                Site site = Site.quiet().start(server)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "t" + i, site.ask(Http.page("/api/p", "t" + i, "4000m")).body());
            }
        }
    }

    @Test
    void timedOutAttemptClosesItsConnection() throws Exception {
        try (ScriptedServer silent = new ScriptedServer((request, peer) -> {});
                Site site = Site.quiet().start(silent)) {
            assertEquals(502, site.ask(Http.order("t", "100m")).status());
            ScriptedServer.next(silent.disconnectedPeers);
        }
    }

    @Test
    void mostRecentConnectionIsReusedAndIdleOnesAreClosed() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.connIdleUs = 200_000;
            site.start(server);
            assertEquals(200, site.ask(Http.page("a")).status());
            assertEquals(200, site.ask(Http.page("b")).status());
            ScriptedServer.Peer first = ScriptedServer.next(server.answeredPeers);
            assertEquals(first, ScriptedServer.next(server.answeredPeers), "the connection must be reused");
            assertEquals(
                    first,
                    ScriptedServer.next(server.disconnectedPeers),
                    "the node must close the connection before the server does");
            assertEquals(200, site.ask(Http.page("c")).status());
            assertNotEquals(first, ScriptedServer.next(server.answeredPeers));
        }
    }

    @Test
    void drainReleasesExchangesWaitingForAConnection() throws Exception {
        // Connections to a listener with a full backlog are never established.
        try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket one = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                Socket two = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                ScriptedServer good = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            assertTrue(one.isConnected() && two.isConnected());
            String hangs = "s0=127.0.0.1:" + hanging.getLocalPort();
            site.startKnowing(Site.list(1, true, hangs + "=Ready"));
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            Socket client = site.connect();
            Site.write(client, Http.order("t", "5000m"));
            // Once a later request is answered, the order has been accepted and waits for a connection.
            assertEquals(404, site.ask(Http.page("/nothing", "u", "1m")).status());
            watch.write(
                    Site.chunk(Site.list(2, false, hangs + "=Terminating", "s1=" + good.endpoint() + "=Ready") + "\n"));
            assertEquals(200, Http.read(client.getInputStream()).status());
        }
    }

    @Test
    void changedEndpointIsUsedForNewConnections() throws Exception {
        try (ScriptedServer before = ScriptedServer.serving("old");
                ScriptedServer after = ScriptedServer.serving("new");
                Site site = Site.quiet().start(before)) {
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            assertEquals("old", site.ask(Http.page("a")).body());
            watch.write(Site.chunk(Site.list(2, false, "s0=" + after.endpoint() + "=Ready") + "\n"));
            ScriptedServer.next(before.disconnectedPeers);
            assertEquals("new", site.ask(Http.page("b")).body());
        }
    }
}
