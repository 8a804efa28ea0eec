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

/** What is still owed in the instant in which something ends (docs/design/endings.md). */
class DisconnectAndShutdownTest {

    /** A server whose connections do not come up before the system has room for one more. */
    private static final class Full implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<SocketChannel> filling = new ArrayList<>();

        Full() throws IOException {
            // One more than is given is taken, and the next ones get no answer.
            for (int i = 0; i < 4; i++) {
                SocketChannel one = SocketChannel.open();
                one.configureBlocking(false);
                one.connect(new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()));
                filling.add(one);
            }
        }

        String endpoint() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        /** Takes connections from now on; the first request that comes on any of them, by its id. */
        String firstRequest() throws IOException {
            for (SocketChannel one : filling) {
                one.close();
            }
            while (true) {
                Socket peer = listening.accept();
                try {
                    Http.Message request = Http.read(peer.getInputStream());
                    peer.getOutputStream().write(Http.ok("x").getBytes());
                    return request.headers().get("x-txn");
                } catch (IOException e) {
                    // One of those that only filled it.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    private static String up() {
        return "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    /** An attempt that waits for its connection was never sent: it can be taken back under all settings. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatWaitsForAConnectionIsNotSentOnceItsClientHasLeft(boolean cancel) throws Exception {
        try (Full server = new Full();
                Site site = Site.quiet()) {
            site.settings.cancellationAllowed = cancel;
            site.startKnowing(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket leaves = site.connect();
            Site.write(leaves, Http.page("/api/p", "left", "5000m"));
            assertEquals(200, site.ask(up()).status(), "the request before it is read by now");
            leaves.close();
            assertEquals(200, site.ask(up()).status());
            Socket stays = site.connect();
            Site.write(stays, Http.page("/api/p", "stays", "5000m"));
            assertEquals("stays", server.firstRequest());
            assertEquals(200, Http.read(stays.getInputStream()).status());
        }
    }

    private static String padded(String request, int by) {
        return request.replace("\r\n\r\n", "\r\nX-Pad: " + "p".repeat(by) + "\r\n\r\n");
    }

    /** Requests sent ahead must not hide that their client has left. */
    @ParameterizedTest
    @CsvSource({"1, 0", "3, 0", "16, 0", "20, 0", "300, 0", "6000, 0", "60, 5000", "150, 5000"})
    void aClientThatSendsAheadAndLeavesIsGone(int ahead, int padding) throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {});
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "open", "5000m"));
            ScriptedServer.next(server.requests);
            StringBuilder more = new StringBuilder();
            for (int i = 0; i < ahead; i++) {
                more.append(padded(Http.page("/api/p", "ahead" + i, "5000m"), padding));
            }
            Site.write(client, more.toString());
            client.close();
            assertNotNull(server.disconnectedPeers.poll(2, TimeUnit.SECONDS), "its attempt is given up");
            Site.write(site.connect(), Http.page("/api/p", "next", "5000m"));
            assertEquals("next", ScriptedServer.next(server.requests).headers().get("x-txn"));
        }
    }

    /** Beyond what is kept of one client nothing is read of it: it waits with the system. */
    @Test
    void whatIsSentAheadWithoutEndIsBounded() throws Exception {
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
                    // The test is over.
                }
            });
            flood.setDaemon(true);
            flood.start();
            long most = 0;
            long was = -1;
            // Until it is held back: nothing more goes out while the node goes on serving.
            for (int still = 0; still < 200; still = sent.get() == was ? still + 1 : 0) {
                was = sent.get();
                assertEquals(200, site.ask(up()).status());
                most = Math.max(most, allocator.metric().usedHeapMemory() - before);
            }
            assertTrue(sent.get() < 1L << 30, "it is held back");
            assertTrue(most < 3L << 20, "kept " + most + " bytes");
        }
    }

    /** What is kept while requests wait is served in its turn, whatever it is cut into. */
    @Test
    void allThatIsSentAheadIsServedInItsTurn() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    awaitQuietly(answer);
                    peer.write(Http.ok(request.headers().get("x-txn")));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t0", "5000m"));
            ScriptedServer.next(server.requests);
            // More than is kept at once, and the last of it in the middle of a request.
            StringBuilder more = new StringBuilder();
            for (int i = 1; i <= 24; i++) {
                more.append(padded(Http.page("/api/p", "t" + i, "5000m"), 4_000));
            }
            for (int at = 0; at < more.length(); at += 5_000) {
                Site.write(client, more.substring(at, Math.min(more.length(), at + 5_000)));
                assertEquals(200, site.ask(up()).status(), "each part is read by itself");
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

    /** The last answer on a connection outlives what its client has sent behind the request. */
    @Test
    void theLastAnswerIsNotCutOffByWhatLiesUnread() throws Exception {
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
            assertEquals(200, site.ask(up()).status());
            answer.countDown();
            ScriptedServer.next(server.answeredPeers);
            for (int i = 0; i < 20; i++) {
                assertEquals(200, site.ask(up()).status(), "the answer is written by then");
            }
            assertEquals(body, Http.read(client.getInputStream()).body());
            client.close();
        }
    }

    /** A defect met by no request leaves nobody waiting and no list taken in by half. */
    @ParameterizedTest
    @CsvSource({"onWake, 503", "onServers, 200"})
    void aDefectThatConcernsNoRequestLeavesNobodyWaiting(String event, int status) throws Exception {
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

    /** The far sides of a rehearsal end with a reset, which must not cost the first turn a page of log. */
    @Test
    void aRehearsalsFarSideEndsWithoutAWord() {
        EmbeddedChannel channel = new EmbeddedChannel(new WarmUp.FarServer());
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        channel.checkException();
        assertTrue(!channel.isOpen());
    }

    // ---------------------------------------------------------------- told to end before it serves

    @Test
    void whatIsToldToEndBeforeItOpensOpensNoMore() {
        StartupGate opening = new StartupGate(() -> {
            throw new AssertionError("it opens");
        });
        assertTrue(!opening.close());
        assertNull(opening.open());
    }

    @Test
    void whatIsToldToEndAsItOpensHasClientsToServe() {
        EmbeddedChannel channel = new EmbeddedChannel();
        DefaultChannelPromise done = new DefaultChannelPromise(channel);
        StartupGate opening = new StartupGate(() -> done);
        assertEquals(done, opening.open());
        done.setSuccess();
        assertTrue(opening.close());
    }
}
