package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import kitemux.Balancer;
import kitemux.Balancer.RequestClass;
import kitemux.ServiceQBalancer;
import kitemux.engine.Log;
import kitemux.http.Limits;
import kitemux.net.EventLoopClock;
import kitemux.net.SocketBudget;
import org.junit.jupiter.api.Test;

/** Tests a node whose event loop was stalled while clients connected and disconnected. */
class EventLoopStallTest {

    /** Stalls the event loop until the latch opens; returns once it is stalled. */
    private static CountDownLatch stallLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            stalled.countDown();
            awaitRelease(release);
        });
        stalled.await();
        return release;
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Wraps a balancer so that the action runs on the event loop before each request is reported to it. */
    private static Balancer runBeforeOnRequest(Balancer delegate, Callable<?> action) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        action.call();
                    }
                    try {
                        return method.invoke(delegate, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @Test
    void requestOfDisconnectedClientIsNotSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket disconnecting = site.connect();
            assertEquals(200, Site.ask(disconnecting, Http.page("before")).status());
            CountDownLatch release = stallLoop(site.loop);
            Site.write(disconnecting, Http.page("left"));
            disconnecting.close();
            Socket newAndDisconnecting = site.connect();
            Site.write(newAndDisconnecting, Http.page("left too"));
            newAndDisconnecting.close();
            Socket connected = site.connect();
            Site.write(connected, Http.page("stays"));
            release.countDown();
            assertEquals(200, Http.read(connected.getInputStream()).status());
            assertEquals(
                    "before", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals("stays", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals(200, site.ask(Http.page("after")).status());
            assertEquals("after", ScriptedServer.next(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void requestsReceivedDuringStallAreHandledInOneTurn() throws Exception {
        AtomicInteger turns = new AtomicInteger();
        AtomicBoolean counted = new AtomicBoolean();
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.module = actions -> runBeforeOnRequest(new ServiceQBalancer(site.settings, 7, actions), () -> {
                if (counted.compareAndSet(false, true)) {
                    turns.incrementAndGet();
                    // A scheduled task runs at the start of a later turn.
                    site.loop.schedule(() -> counted.set(false), 1, TimeUnit.NANOSECONDS);
                }
                return null;
            });
            site.start(server);
            CountDownLatch release = stallLoop(site.loop);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket client = site.connect();
                Site.write(client, Http.page("/api/p", "t" + i, "5000m"));
                clients.add(client);
            }
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
            assertEquals(1, turns.get());
        }
    }

    @Test
    void connectionWithUnreadRequestIsNotClosedAsIdle() throws Exception {
        AtomicReference<Socket> nextToSend = new AtomicReference<>();
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.module = actions -> runBeforeOnRequest(new ServiceQBalancer(site.settings, 7, actions), () -> {
                Socket client = nextToSend.getAndSet(null);
                if (client != null) {
                    Site.write(client, Http.page("unread"));
                }
                return null;
            });
            site.start(server);
            Socket longestIdle = site.connect();
            assertEquals(200, Site.ask(longestIdle, Http.page("first")).status());
            // Fills the idle connections; one more closes the longest idle one.
            for (int i = 1; i < site.sockets / 6; i++) {
                assertEquals(200, site.ask(Http.page("t" + i)).status());
            }
            nextToSend.set(longestIdle);
            // This request has expired on arrival, so that its response and the close that it causes happen in the
            // same turn.
            assertEquals(503, site.ask(Http.page("/api/p", "late", "1m")).status());
            assertEquals(200, Http.read(longestIdle.getInputStream()).status());
        }
    }

    private static void parkFor(long ms) {
        long deadlineNanos = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(deadlineNanos - System.nanoTime());
        }
    }

    /** Stalls the event loop for this long, starting now. */
    private static void stallLoopFor(EventLoop loop, long ms) throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        loop.execute(() -> {
            stalled.countDown();
            parkFor(ms);
        });
        stalled.await();
    }

    @Test
    void remainingTimeElapsesWhileRequestIsUnread() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket existing = site.connect();
            assertEquals(200, Site.ask(existing, Http.page("before")).status());
            assertUnreadRequestsExpire(site, server, existing, stallLoop(site.loop));
        }
    }

    private static void assertUnreadRequestsExpire(
            Site site, ScriptedServer server, Socket existing, CountDownLatch release) throws Exception {
        Site.write(existing, Http.page("/api/p", "on a connection that was there", "400m"));
        Socket fresh = site.connect();
        Site.write(fresh, Http.page("/api/p", "on a new one", "400m"));
        // The requests expire from here on, however long the writes took.
        parkFor(500);
        release.countDown();
        assertEquals(503, Http.read(existing.getInputStream()).status());
        assertEquals(503, Http.read(fresh.getInputStream()).status());
        assertEquals(1, server.requests.size(), "requests without a waiting client are not sent");
        assertEquals(200, Site.ask(existing, Http.page("after")).status());
    }

    /**
     * Stalls the loop as {@link #stallLoop} does, with a tick due that runs after the stall in the same turn:
     * the loop reads for longer than a tick, and what it reads submits a task.
     */
    private static CountDownLatch stallLoopBeforeTick(EventLoop loop) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch stalled = new CountDownLatch(1);
        try (ServerSocket farListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            parkFor(2 * EventLoopClock.TICK_INTERVAL_MS);
                            loop.execute(() -> {
                                stalled.countDown();
                                awaitRelease(release);
                            });
                            context.close();
                        }
                    })
                    .connect(farListener.getLocalSocketAddress());
            try (Socket peer = farListener.accept()) {
                peer.getOutputStream().write(0);
                stalled.await();
            }
        }
        return release;
    }

    /** Timers run after the tasks that are already queued, and before the sockets are polled again. */
    @Test
    void delayedTickDoesNotCountAsPollOfSockets() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket existing = site.connect();
            assertEquals(200, Site.ask(existing, Http.page("before")).status());
            assertUnreadRequestsExpire(site, server, existing, stallLoopBeforeTick(site.loop));
        }
    }

    /** The loop spends a long time on one read: the age must also be counted for what it reads in its next turn. */
    @Test
    void remainingTimeElapsesWhileLoopReadsAnotherConnection() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server);
                ServerSocket farListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket existing = site.connect();
            assertEquals(200, Site.ask(existing, Http.page("before")).status());
            new Bootstrap()
                    .group(site.loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            stalled.countDown();
                            awaitRelease(release);
                            context.close();
                        }
                    })
                    .connect(farListener.getLocalSocketAddress());
            try (Socket peer = farListener.accept()) {
                peer.getOutputStream().write(0);
                stalled.await();
                assertUnreadRequestsExpire(site, server, existing, release);
            }
        }
    }

    @Test
    void fullyAcceptedBurstDoesNotAgeLaterConnections() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            site.start(server);
            CountDownLatch release = stallLoop(site.loop);
            List<Socket> clients = new ArrayList<>();
            // Exactly as many as are accepted in one turn: more could be in the backlog, but are not.
            for (int i = 0; i < SocketBudget.MAX_ACCEPTS_PER_TURN; i++) {
                Socket client = site.connect();
                Site.write(client, Http.page("/api/p", "t" + i, "5000m"));
                clients.add(client);
            }
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
            CountDownLatch later = new CountDownLatch(1);
            site.loop.schedule(later::countDown, 400, TimeUnit.MILLISECONDS);
            later.await();
            assertEquals(200, site.ask(Http.page("/api/p", "later", "300m")).status());
        }
    }

    @Test
    void connectionsBeforeListenerCloseAreServedDespiteStall() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            // With a shorter target latency, requests that were unread for longer than it would be rejected at
            // once, and rightly.
            RequestClass page = site.settings.classes.get(0);
            site.settings.classes.set(
                    0,
                    new RequestClass(
                            page.name(),
                            20_000_000,
                            0,
                            20_000_000,
                            page.worth(),
                            page.lateWorth(),
                            page.retrySafety(),
                            page.dedupScope(),
                            page.dedupWindowUs(),
                            page.stream()));
            site.start(server);
            CountDownLatch drained = new CountDownLatch(1);
            site.node.drain(false, drained::countDown);
            long drainedNanos = System.nanoTime();
            CountDownLatch release = stallLoop(site.loop);
            List<Socket> clients = new ArrayList<>();
            // More than are accepted in one turn.
            for (int i = 0; i < 150; i++) {
                Socket client = site.connect();
                Site.write(client, Http.page("/api/p", "t" + i, "20000m"));
                clients.add(client);
            }
            // Waits past the time at which the listener closes, however long connecting took.
            parkFor(Limits.LISTENER_DRAIN_MS + 400 - (System.nanoTime() - drainedNanos) / 1_000_000);
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /** Wraps a balancer so that its requests and the results of its attempts are recorded in order. */
    private static Balancer recordingEvents(Balancer delegate, Queue<String> events) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        events.add("request");
                    } else if (method.getName().equals("onOutcome")) {
                        events.add(((Balancer.Outcome) args[1]).result().toString());
                    }
                    try {
                        return method.invoke(delegate, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /**
     * Without this order a client whose deadline has long passed would get its response after all those whose
     * deadline has just begun.
     */
    @Test
    void overdueRequestIsAnsweredBeforeNewerOnes() throws Exception {
        Queue<String> events = new ConcurrentLinkedQueue<>();
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(never, "x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            site.module = actions -> recordingEvents(new ServiceQBalancer(site.settings, 7, actions), events);
            site.start(server);
            Socket overdue = site.connect();
            Site.write(overdue, Http.page("/api/p", "overdue", "200m"));
            ScriptedServer.next(server.requests);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(site.connect());
            }
            CountDownLatch accepted = new CountDownLatch(1);
            site.loop.execute(accepted::countDown);
            accepted.await();
            CountDownLatch release = stallLoop(site.loop);
            for (int i = 0; i < clients.size(); i++) {
                Site.write(clients.get(i), Http.page("/api/p", "t" + i, "5000m"));
            }
            // Its deadline passes meanwhile, by enough to be overdue.
            parkFor(200 + EventLoopClock.OVERDUE_TIMER_MS);
            release.countDown();
            assertEquals(503, Http.read(overdue.getInputStream()).status());
            assertEquals("request", events.poll());
            // The attempt is cancelled rather than timed out, since its response may be unread.
            assertEquals("CANCELLED", events.poll());
            never.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
        }
    }

    private static long loggedStallMs(String line) {
        return line.startsWith("loop held up for ") ? Long.parseLong(line.split(" ")[4]) : -1;
    }

    /**
     * Guards against first requests that are rejected as too old because the loop was stalled before the
     * listener opened.
     */
    @Test
    void requestIsNoOlderThanItsListener() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            NodeConfig config = site.config(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            CompletableFuture<Socket> client = new CompletableFuture<>();
            CountDownLatch release = stallLoop(site.loop);
            Node node = new Node(config, site.loop, Node.Dependencies.system(site.loop, site.log, site.module));
            node.start().addListener(opened -> {
                InetSocketAddress at =
                        (InetSocketAddress) ((ChannelFuture) opened).channel().localAddress();
                Socket first = new Socket(at.getAddress(), at.getPort());
                Site.write(first, Http.page("first"));
                client.complete(first);
            });
            parkFor(1_000);
            release.countDown();
            assertEquals(200, Http.read(client.get().getInputStream()).status());
        }
    }

    @Test
    void onlyStalledLoopIsLogged() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.log = new Log() {
                @Override
                public void info(String text) {
                    lines.add(text);
                }

                @Override
                public void error(String what, Throwable cause) {
                    lines.add(what + ": " + cause);
                }
            };
            // A stall before the node serves is not logged. A busy machine may stall a loop by itself, but not for
            // this long.
            stallLoopFor(site.loop, 2_000);
            site.start(server);
            assertEquals(200, site.ask(Http.page("before")).status());
            assertTrue(lines.stream().noneMatch(line -> loggedStallMs(line) >= 1_900), lines::toString);
            stallLoopFor(site.loop, 2_000);
            String line;
            do {
                line = lines.poll(20, TimeUnit.SECONDS);
                assertTrue(line != null, "the stall is not logged");
            } while (loggedStallMs(line) < 1_900);
            assertTrue(line.contains(" with 0 requests open: "), line);
        }
    }
}
