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

/** A node that has fallen behind: its loop stood still while clients came and went. */
class EventLoopStallTest {

    /** Holds the loop up until the latch opens; returns once it stands still. */
    private static CountDownLatch holdUp(EventLoop loop) throws InterruptedException {
        CountDownLatch standing = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            standing.countDown();
            awaitRelease(release);
        });
        standing.await();
        return release;
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A module; before it is told of a request, on the loop, something is done. */
    private static Balancer after(Balancer sound, Callable<?> before) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        before.call();
                    }
                    try {
                        return method.invoke(sound, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @Test
    void aRequestWhoseClientHasLeftIsNotSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket leaves = site.connect();
            assertEquals(200, Site.ask(leaves, Http.page("before")).status());
            CountDownLatch release = holdUp(site.loop);
            Site.write(leaves, Http.page("left"));
            leaves.close();
            Socket comesAndLeaves = site.connect();
            Site.write(comesAndLeaves, Http.page("left too"));
            comesAndLeaves.close();
            Socket stays = site.connect();
            Site.write(stays, Http.page("stays"));
            release.countDown();
            assertEquals(200, Http.read(stays.getInputStream()).status());
            assertEquals(
                    "before", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals("stays", ScriptedServer.next(server.requests).headers().get("x-txn"));
            assertEquals(200, site.ask(Http.page("after")).status());
            assertEquals("after", ScriptedServer.next(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void allWhoCameMeanwhileAreTakenTogether() throws Exception {
        AtomicInteger turns = new AtomicInteger();
        AtomicBoolean counted = new AtomicBoolean();
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.module = actions -> after(new ServiceQBalancer(site.settings, 7, actions), () -> {
                if (counted.compareAndSet(false, true)) {
                    turns.incrementAndGet();
                    // What is scheduled runs in a later turn, at its beginning.
                    site.loop.schedule(() -> counted.set(false), 1, TimeUnit.NANOSECONDS);
                }
                return null;
            });
            site.start(server);
            CountDownLatch release = holdUp(site.loop);
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
    void aConnectionOnWhichARequestWaitsUnreadIsNotClosedAsIdle() throws Exception {
        AtomicReference<Socket> asksNow = new AtomicReference<>();
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.module = actions -> after(new ServiceQBalancer(site.settings, 7, actions), () -> {
                Socket client = asksNow.getAndSet(null);
                if (client != null) {
                    Site.write(client, Http.page("unread"));
                }
                return null;
            });
            site.start(server);
            Socket longest = site.connect();
            assertEquals(200, Site.ask(longest, Http.page("first")).status());
            // As many as may be idle; one more makes the longest idle one go.
            for (int i = 1; i < site.sockets / 6; i++) {
                assertEquals(200, site.ask(Http.page("t" + i)).status());
            }
            asksNow.set(longest);
            // Out of time as it comes, so that its answer, and what that makes go, are in the same turn.
            assertEquals(503, site.ask(Http.page("/api/p", "late", "1m")).status());
            assertEquals(200, Http.read(longest.getInputStream()).status());
        }
    }

    private static void parkFor(long ms) {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /** Lets the loop stand still for so long, from now on. */
    private static void stall(EventLoop loop, long ms) throws InterruptedException {
        CountDownLatch standing = new CountDownLatch(1);
        loop.execute(() -> {
            standing.countDown();
            parkFor(ms);
        });
        standing.await();
    }

    @Test
    void aRequestsTimeRunsWhileItLiesUnread() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket kept = site.connect();
            assertEquals(200, Site.ask(kept, Http.page("before")).status());
            whatLiesUnreadRunsOutOfTime(site, server, kept, holdUp(site.loop));
        }
    }

    private static void whatLiesUnreadRunsOutOfTime(
            Site site, ScriptedServer server, Socket kept, CountDownLatch release) throws Exception {
        Site.write(kept, Http.page("/api/p", "on a connection that was there", "400m"));
        Socket fresh = site.connect();
        Site.write(fresh, Http.page("/api/p", "on a new one", "400m"));
        // From here on, however long the writing took.
        parkFor(500);
        release.countDown();
        assertEquals(503, Http.read(kept.getInputStream()).status());
        assertEquals(503, Http.read(fresh.getInputStream()).status());
        assertEquals(1, server.requests.size(), "nobody waits for the answers any more");
        assertEquals(200, Site.ask(kept, Http.page("after")).status());
    }

    /**
     * Holds the loop up as {@link #holdUp} does, with its beat due and waiting behind that in the same turn:
     * the loop reads for longer than a beat, and what it reads has a task run.
     */
    private static CountDownLatch holdUpBeforeTheBeat(EventLoop loop) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch standing = new CountDownLatch(1);
        try (ServerSocket far = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            parkFor(2 * EventLoopClock.TICK_INTERVAL_MS);
                            loop.execute(() -> {
                                standing.countDown();
                                awaitRelease(release);
                            });
                            context.close();
                        }
                    })
                    .connect(far.getLocalSocketAddress());
            try (Socket peer = far.accept()) {
                peer.getOutputStream().write(0);
                standing.await();
            }
        }
        return release;
    }

    /** Timers run behind the tasks that are there before them, and before the sockets are looked at again. */
    @Test
    void aBeatThatWaitedBehindWhatHeldTheLoopUpIsNoLookAtTheSockets() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket kept = site.connect();
            assertEquals(200, Site.ask(kept, Http.page("before")).status());
            whatLiesUnreadRunsOutOfTime(site, server, kept, holdUpBeforeTheBeat(site.loop));
        }
    }

    /** The loop reads one thing for long: the same must not be missed in what it reads in its next turn. */
    @Test
    void aRequestsTimeRunsWhileTheLoopReadsAnother() throws Exception {
        CountDownLatch standing = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server);
                ServerSocket far = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket kept = site.connect();
            assertEquals(200, Site.ask(kept, Http.page("before")).status());
            new Bootstrap()
                    .group(site.loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            standing.countDown();
                            awaitRelease(release);
                            context.close();
                        }
                    })
                    .connect(far.getLocalSocketAddress());
            try (Socket peer = far.accept()) {
                peer.getOutputStream().write(0);
                standing.await();
                whatLiesUnreadRunsOutOfTime(site, server, kept, release);
            }
        }
    }

    @Test
    void aBurstThatWasTakenWholeCostsLaterOnesNoTime() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            site.start(server);
            CountDownLatch release = holdUp(site.loop);
            List<Socket> clients = new ArrayList<>();
            // Just as many as are taken in one turn: more may wait behind them, and do not.
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
    void whoComesBeforeTheListenerClosesIsServedHoweverFarBehindTheLoopIs() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            // Else what has lain unread for longer than the class's aim is refused at once, and rightly.
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
            CountDownLatch release = holdUp(site.loop);
            List<Socket> clients = new ArrayList<>();
            // More than are taken in one turn.
            for (int i = 0; i < 150; i++) {
                Socket client = site.connect();
                Site.write(client, Http.page("/api/p", "t" + i, "20000m"));
                clients.add(client);
            }
            // Past the time at which the listener closes, however long that took.
            parkFor(Limits.LISTENER_DRAIN_MS + 400 - (System.nanoTime() - drainedNanos) / 1_000_000);
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /** What the module is told, in order: which requests come, and what became of attempts. */
    private static Balancer told(Balancer sound, Queue<String> told) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        told.add("request");
                    } else if (method.getName().equals("onOutcome")) {
                        told.add(((Balancer.Outcome) args[1]).result().toString());
                    }
                    try {
                        return method.invoke(sound, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** A client whose time is long over would else have its answer behind all whose time has just begun. */
    @Test
    void whoseTimeIsLongOverIsAnsweredBeforeThoseWhoCameMeanwhile() throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(never, "x");
                Site site = Site.quiet()) {
            site.sockets = 1_024;
            site.module = actions -> told(new ServiceQBalancer(site.settings, 7, actions), told);
            site.start(server);
            Socket overdue = site.connect();
            Site.write(overdue, Http.page("/api/p", "overdue", "200m"));
            ScriptedServer.next(server.requests);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(site.connect());
            }
            CountDownLatch taken = new CountDownLatch(1);
            site.loop.execute(taken::countDown);
            taken.await();
            CountDownLatch release = holdUp(site.loop);
            for (int i = 0; i < clients.size(); i++) {
                Site.write(clients.get(i), Http.page("/api/p", "t" + i, "5000m"));
            }
            // Its time runs out meanwhile, and so much more that it is overdue.
            parkFor(200 + EventLoopClock.OVERDUE_TIMER_MS);
            release.countDown();
            assertEquals(503, Http.read(overdue.getInputStream()).status());
            assertEquals("request", told.poll());
            // Called off and not out of time: its answer may lie unread.
            assertEquals("CANCELLED", told.poll());
            never.countDown();
            for (Socket client : clients) {
                assertEquals(200, Http.read(client.getInputStream()).status());
            }
        }
    }

    private static long heldUpMs(String line) {
        return line.startsWith("loop held up for ") ? Long.parseLong(line.split(" ")[4]) : -1;
    }

    /** Guards against first requests that are refused as old since the loop was held up before it listened. */
    @Test
    void whatComesToANewListenerIsNoOlderThanTheListener() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet()) {
            NodeConfig config = site.config(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            CompletableFuture<Socket> client = new CompletableFuture<>();
            CountDownLatch release = holdUp(site.loop);
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
    void aLoopThatWasHeldUpSaysSoAndOneThatKeepsUpDoesNot() throws Exception {
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
            // What happens before it serves is not told of. A busy machine may hold a loop up by itself,
            // though
            // not for so long.
            stall(site.loop, 2_000);
            site.start(server);
            assertEquals(200, site.ask(Http.page("before")).status());
            assertTrue(lines.stream().noneMatch(line -> heldUpMs(line) >= 1_900), lines::toString);
            stall(site.loop, 2_000);
            String line;
            do {
                line = lines.poll(20, TimeUnit.SECONDS);
                assertTrue(line != null, "nothing is said");
            } while (heldUpMs(line) < 1_900);
            assertTrue(line.contains(" with 0 requests open: "), line);
        }
    }
}
