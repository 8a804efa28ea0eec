package kitemux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.engine.Transport.Exchange;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The bounds of an answer that is passed on, over real sockets and on a clock that is moved by hand. */
@Timeout(60)
class StreamedResponseLimitsTest {
    private static final long DEADLINE_US = 500_000;
    private static final int FIRST = 100_000;
    /** Between two looks at what does not go on: no bound is passed in between without being seen. */
    private static final long LOOK_US = 100_000;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final AtomicLong nowUs = new AtomicLong();
    private final AtomicLong unreadUs = new AtomicLong();
    private final AtomicLong passed = new AtomicLong();
    private final BlockingQueue<Long> comings = new LinkedBlockingQueue<>();
    private final BlockingQueue<Result> ends = new LinkedBlockingQueue<>();
    private ServerSocket listening;
    private Socket server;
    private ServerResponse answer;
    private ServerPool<ClientRequest, ServerResponse> pool;

    private final Clock clock = new Clock() {
        @Override
        public long nowUs() {
            return nowUs.get();
        }

        @Override
        public long readLagUs() {
            return unreadUs.get();
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            throw new AssertionError("no timer is needed");
        }
    };

    private final Exchange<ClientRequest, ServerResponse> exchange = new Exchange<>() {
        @Override
        public ClientRequest request() {
            return new ClientRequest(
                    HttpMethod.GET, "/api/long", "t", null, List.of(), 0, -1, DEADLINE_US, 0, false, null, 0, false);
        }

        @Override
        public long expiresAtUs() {
            return DEADLINE_US;
        }

        @Override
        public boolean onResponseStarted(ServerResponse begins) {
            answer = begins;
            begins.streamTo(bytes -> {
                comings.add(passed.addAndGet(bytes.readableBytes()));
                bytes.release();
            });
            return true;
        }

        @Override
        public void onEnded(Result result, ServerResponse whole) {
            assertNull(whole);
            ends.add(result);
        }
    };

    @BeforeEach
    void anAnswerHasBegun() throws Exception {
        listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Settings settings = new Settings();
        settings.classes.add(
                new RequestClass("page", 100_000, 0, DEADLINE_US, 1, 0, RetrySafety.SAFE, DedupScope.ALL, 0, false));
        Log log = new Log() {
            @Override
            public void info(String text) {}

            @Override
            public void error(String what, Throwable cause) {
                throw new AssertionError(what, cause);
            }
        };
        pool = new ServerPool<>(
                loop,
                NioNetwork.SYSTEM,
                new SocketBudget(256),
                clock,
                1_000_000,
                Long.MAX_VALUE / 2,
                new HttpServers(clock, settings, NioNetwork.SYSTEM.allocator(), log));
        loop.submit(() -> {
                    pool.update(new HostList(
                            1,
                            true,
                            List.of(new HostList.Host(
                                    new ServerEntry("s", 0, 0, ServerState.READY, 1, 0),
                                    (InetSocketAddress) listening.getLocalSocketAddress()))));
                    pool.start("s", exchange);
                })
                .sync();
        server = listening.accept();
        give("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(FIRST));
        awaitPassed(FIRST);
    }

    @AfterEach
    void end() throws IOException {
        server.close();
        listening.close();
        loop.parent().shutdownGracefully();
    }

    private static String chunk(int size) {
        return Integer.toHexString(size) + "\r\n" + "a".repeat(size) + "\r\n";
    }

    private void give(String text) throws IOException {
        server.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void awaitPassed(long bytes) throws InterruptedException {
        while (passed.get() < bytes) {
            assertNotNull(comings.poll(20, TimeUnit.SECONDS), "nothing came");
        }
    }

    /** Its server goes on past the client's time, as it is seen to. */
    private void itGoesOn() throws Exception {
        nowUs.set(DEADLINE_US + LOOK_US);
        give(chunk(1));
        awaitPassed(FIRST + 1);
    }

    /** Looks again and again, for so long on the moved clock; the end, or null. */
    private Result endWithin(long us) throws Exception {
        long until = nowUs.get() + us;
        while (ends.isEmpty() && nowUs.get() < until) {
            nowUs.addAndGet(LOOK_US);
            // The connection's end is told behind the call that closes it.
            loop.submit(() -> pool.closeExpiredConnections()).sync();
            loop.submit(() -> {}).sync();
        }
        return ends.peek();
    }

    /** A drop of each turn, for good: it holds two connections for as long as the longest answer may take. */
    @Test
    void oneThatDripsWithoutEndIsBrokenOffByTime() throws Exception {
        itGoesOn();
        long drops = 1;
        while (endWithin(1_500_000) == null) {
            give(chunk(1));
            awaitPassed(FIRST + ++drops);
            assertTrue(nowUs.get() < 700_000_000, "it never ends");
        }
        assertEquals(Result.RESET, ends.poll());
        assertTrue(nowUs.get() > 600_000_000 && nowUs.get() < 602_000_000, "after " + nowUs.get() + " us");
        server.getInputStream().readAllBytes();
    }

    @Test
    void oneThatFloodsWithoutEndIsBrokenOffByLength() throws Exception {
        byte[] piece = chunk(1 << 20).getBytes(StandardCharsets.US_ASCII);
        try {
            for (int i = 0; i < 2_000 && ends.isEmpty(); i++) {
                server.getOutputStream().write(piece);
            }
        } catch (IOException e) {
            // Its connection is closed under what it writes.
        }
        assertEquals(Result.RESET, ends.poll(20, TimeUnit.SECONDS));
        assertTrue(passed.get() <= 1L << 30 && passed.get() > (1L << 30) - (1 << 20), "passed " + passed);
    }

    /** The final answer is due by half a second after the client's time. */
    @Test
    void oneThatStopsWithinTheClientsTimeEndsWithIt() throws Exception {
        nowUs.set(DEADLINE_US - LOOK_US);
        give(chunk(1));
        awaitPassed(FIRST + 1);
        assertNull(endWithin(LOOK_US + 200_000), "a server has a moment past it");
        assertEquals(Result.RESET, endWithin(200_000));
    }

    @Test
    void oneThatStopsPastTheClientsTimeEndsBeforeItPassesForWithheld() throws Exception {
        itGoesOn();
        assertNull(endWithin(1_700_000), "it may pause");
        assertEquals(Result.RESET, endWithin(200_000));
    }

    /** What came while the loop stood still lies unread: the server has not stopped. */
    @Test
    void aLoopThatStoodStillTakesNobodyForStopped() throws Exception {
        nowUs.set(5_000_000);
        unreadUs.set(5_000_000);
        assertNull(endWithin(LOOK_US));
        unreadUs.set(0);
        assertEquals(Result.RESET, endWithin(LOOK_US));
    }

    /** A client that takes its time is not its server's fault; once it reads on the server has its own. */
    @Test
    void aServerThatIsHeldBackHasNotStopped() throws Exception {
        itGoesOn();
        loop.submit(() -> answer.setReading(false)).sync();
        assertNull(endWithin(60_000_000));
        loop.submit(() -> answer.setReading(true)).sync();
        assertNull(endWithin(1_700_000));
        assertEquals(Result.RESET, endWithin(200_000));
    }
}
