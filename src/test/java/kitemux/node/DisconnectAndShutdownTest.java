package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.ServiceQBalancer;
import kitemux.net.NioNetwork;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a node still has to do when a client, a request or the node itself ends. */
class DisconnectAndShutdownTest {

    /** A server whose listen backlog is full, so that new connections are not established until there is room. */
    private static final class FullBacklogServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<SocketChannel> fillers = new ArrayList<>();

        FullBacklogServer() throws IOException {
            // The kernel accepts one more connection than the backlog size, and the next ones get no reply.
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
                fillers.add(filler);
            }
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Accepts connections from now on and returns the transaction id of the first request on any of them. */
        String firstRequest() throws IOException {
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            while (true) {
                Socket peer = listener.accept();
                try {
                    Http.Message request = Http.read(peer.getInputStream());
                    peer.getOutputStream().write(Http.ok("x").getBytes());
                    return request.headers().get("x-txn");
                } catch (IOException e) {
                    // One of the connections that only filled the backlog.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static String upRequest() {
        return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    /**
     * An attempt that waits for its connection was never sent, so it can be withdrawn whatever the settings say
     * about cancellation.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestAwaitingConnectionIsNotSentAfterClientDisconnects(boolean cancel) throws Exception {
        try (FullBacklogServer server = new FullBacklogServer();
                Site site = Site.quiet()) {
            site.settings.cancellationAllowed = cancel;
            site.startKnowing(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket disconnecting = site.connect();
            Site.write(disconnecting, Http.page("/api/p", "left", "5000m"));
            assertEquals(200, site.ask(upRequest()).status(), "the earlier request has been read by now");
            disconnecting.close();
            assertEquals(200, site.ask(upRequest()).status());
            Socket connected = site.connect();
            Site.write(connected, Http.page("/api/p", "stays", "5000m"));
            assertEquals("stays", server.firstRequest());
            assertEquals(200, Http.read(connected.getInputStream()).status());
        }
    }

    private static String padded(String request, int paddingLength) {
        return request.replace("\r\n\r\n", "\r\nX-Pad: " + "p".repeat(paddingLength) + "\r\n\r\n");
    }

    /** Pipelined requests must not hide that their client has disconnected. */
    @ParameterizedTest
    @CsvSource({"1, 0", "3, 0", "16, 0", "20, 0", "300, 0", "6000, 0", "60, 5000", "150, 5000"})
    void disconnectIsNoticedBehindPipelinedRequests(int pipelinedCount, int padding) throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {});
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "open", "5000m"));
            ScriptedServer.next(server.requests);
            StringBuilder more = new StringBuilder();
            for (int i = 0; i < pipelinedCount; i++) {
                more.append(padded(Http.page("/api/p", "ahead" + i, "5000m"), padding));
            }
            Site.write(client, more.toString());
            client.close();
            assertNotNull(server.disconnectedPeers.poll(2, TimeUnit.SECONDS), "the attempt is cancelled");
            Site.write(site.connect(), Http.page("/api/p", "next", "5000m"));
            assertEquals("next", ScriptedServer.next(server.requests).headers().get("x-txn"));
        }
    }

    /** Beyond the buffer limit the input of a client stays unread in the socket. */
    @Test
    void bufferedPipelinedInputIsBounded() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {});
                Site site = Site.quiet().start(server)) {
            UnpooledByteBufAllocator allocator = (UnpooledByteBufAllocator) NioNetwork.SYSTEM.allocator();
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "open", "20000m"));
            ScriptedServer.next(server.requests);
            long before = allocator.metric().usedHeapMemory();
            AtomicLong sent = new AtomicLong();
            Thread flood = new Thread(() -> {
                byte[] more = padded(Http.page("/api/p", "ahead", "5000m"), 5_000)
                        .repeat(10)
                        .getBytes();
                try {
                    while (sent.get() < 1L << 30) {
                        client.getOutputStream().write(more);
                        sent.addAndGet(more.length);
                    }
                } catch (IOException e) {
                    // The socket was closed at the end of the test.
                }
            });
            flood.setDaemon(true);
            flood.start();
            long maxBufferedBytes = 0;
            long previouslySent = -1;
            // Until the client is throttled: nothing more is sent while the node keeps serving others.
            for (int unchangedRounds = 0;
                    unchangedRounds < 200;
                    unchangedRounds = sent.get() == previouslySent ? unchangedRounds + 1 : 0) {
                previouslySent = sent.get();
                assertEquals(200, site.ask(upRequest()).status());
                maxBufferedBytes = Math.max(maxBufferedBytes, allocator.metric().usedHeapMemory() - before);
            }
            assertTrue(sent.get() < 1L << 30, "the client is throttled");
            assertTrue(maxBufferedBytes < 3L << 20, "buffered: " + maxBufferedBytes + " bytes");
        }
    }

    /** Input that is buffered while requests are queued is served in order, however it is split. */
    @Test
    void pipelinedRequestsSplitAnywhereAreServedInOrder() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    awaitQuietly(answer);
                    peer.write(Http.ok(request.headers().get("x-txn")));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t0", "5000m"));
            ScriptedServer.next(server.requests);
            // More than is parsed at once, with the last part ending within a request.
            StringBuilder more = new StringBuilder();
            for (int i = 1; i <= 24; i++) {
                more.append(padded(Http.page("/api/p", "t" + i, "5000m"), 4_000));
            }
            for (int at = 0; at < more.length(); at += 5_000) {
                Site.write(client, more.substring(at, Math.min(more.length(), at + 5_000)));
                assertEquals(200, site.ask(upRequest()).status(), "each part is read separately");
            }
            answer.countDown();
            for (int i = 0; i <= 24; i++) {
                assertEquals("t" + i, Http.read(client.getInputStream()).body());
            }
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /**
     * The last response on a connection must reach the client even if further requests of that client are
     * unread.
     */
    @Test
    void lastResponseIsNotTruncatedByUnreadInput() throws Exception {
        String body = "b".repeat(60_000);
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, body);
                Site site = Site.quiet().start(server)) {
            Socket client = new Socket();
            client.setReceiveBufferSize(4_096);
            client.connect(site.connect().getRemoteSocketAddress());
            client.setSoTimeout(20_000);
            Site.write(client, Http.page("/api/p", "last", "5000m").replace("Host:", "Connection: close\r\nHost:"));
            ScriptedServer.next(server.requests);
            StringBuilder behind = new StringBuilder();
            for (int i = 0; i < 1_500; i++) {
                behind.append(Http.page("/api/p", "behind" + i, "5000m"));
            }
            Site.write(client, behind.toString());
            assertEquals(200, site.ask(upRequest()).status());
            answer.countDown();
            ScriptedServer.next(server.answeredPeers);
            for (int i = 0; i < 20; i++) {
                assertEquals(200, site.ask(upRequest()).status(), "the response is written by then");
            }
            assertEquals(body, Http.read(client.getInputStream()).body());
            client.close();
        }
    }

    /** An unexpected exception outside of any request must leave no client waiting and no list partly applied. */
    @ParameterizedTest
    @CsvSource({"onWake, 503", "onServers, 200"})
    void exceptionOutsideRequestsLeavesNoClientWaiting(String event, int status) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                ScriptedServer discovery = new ScriptedServer((request, peer) -> {
                    peer.write(Site.watchHead());
                    if (event.equals("onServers")) {
                        peer.write(Site.chunk(Site.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n"));
                    }
                });
                Site site = new Site(discovery)) {
            site.module = actions -> NodeTest.breaking(new ServiceQBalancer(site.settings, 7, actions), event);
            site.startKnowing(Site.list(1, true));
            Socket client = site.connect();
            client.setSoTimeout(4_000);
            assertEquals(
                    status, Site.ask(client, Http.page("/api/p", "t", "2000m")).status());
        }
    }

    /** The connections of a rehearsal end with a reset, which must not write a stack trace to the log. */
    @Test
    void rehearsalServerClosesSilentlyOnReset() {
        EmbeddedChannel channel = new EmbeddedChannel(new WarmUp.FarServer());
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        channel.checkException();
        assertTrue(!channel.isOpen());
    }

    // ---------------------------------------------------------------- shutdown during startup

    @Test
    void openingEndedBeforeOpenNeverOpens() {
        StartupGate opening = new StartupGate(() -> {
            throw new AssertionError("the listener must not open");
        });
        assertTrue(!opening.close());
        assertNull(opening.open());
    }

    @Test
    void openingEndedWhileOpenHasClientsToServe() {
        EmbeddedChannel channel = new EmbeddedChannel();
        DefaultChannelPromise done = new DefaultChannelPromise(channel);
        StartupGate opening = new StartupGate(() -> done);
        assertEquals(done, opening.open());
        done.setSuccess();
        assertTrue(opening.close());
    }
}
