package kitemux.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import kitemux.discovery.Discovery;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.engine.SendGate;
import kitemux.net.EventLoopClock;
import kitemux.net.HostList;
import kitemux.net.InputAwareChannel;
import kitemux.net.Network;
import kitemux.net.NioNetwork;
import kitemux.net.SelectorLoop;
import kitemux.net.ServerPool;
import kitemux.net.SocketBudget;
import kitemux.net.SocketBuffers;
import kitemux.peers.Datagram;
import kitemux.peers.Membership;
import kitemux.peers.MembershipConfig;
import kitemux.peers.Message;

/**
 * A node without a request path, on a loop and a thread of its own: the watch, the reader of lists, the
 * engine, the module with its settings and tenants, the pool that follows the list, and beliefs of the other
 * nodes are the program's own, wired as a real node wires them. It takes no client and dials no server.
 */
final class HollowNode {
    private static final int SOCKETS = 1_024;
    private static final long CONN_IDLE_US = 15_000_000;
    private static final long HOUSEKEEPING_MS = 200;
    private static final int FLEET = 0x5ca1e;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final SelectorLoop loop;
    private final EventLoopClock time;
    private final ServerPool<RequestInfo, Object> pool;
    private final Discovery discovery;
    private final Engine<RequestInfo, Object> engine;
    private final InetSocketAddress[] peers;
    private final int me;
    private final long seed;
    private Membership members;
    private Channel datagrams;
    private boolean ticking;

    // What is measured; written on the loop alone.
    private volatile long threadId;
    private volatile long rev;
    private volatile long heardAtUs;
    private volatile int calls;
    private volatile long readBytes;
    private volatile long writtenBytes;
    private volatile long datagramBytes;
    private volatile long datagramCount;
    private volatile long heardDatagrams;
    private long turnNanos;
    private long readRev;
    private volatile long longestNanos;
    private volatile int alive;

    /**
     * What a node has used and heard so far.
     *
     * @param cpuNanos processor time of its thread
     * @param longestNanos the most processor time that what came on its watch took in one turn of its loop,
     *     since the last {@link HollowNode#forgetLongest}
     * @param datagrams that it sent to other nodes
     * @param datagramBytes in those, without what UDP and IP add
     * @param heardDatagrams that it had from other nodes
     * @param heardAtUs when the newest version was heard, in Unix time
     * @param calls calls of discovery
     * @param alive nodes that it believes to be there, itself among them; 0 where it has no peers
     */
    record Figures(
            long cpuNanos,
            long longestNanos,
            long readBytes,
            long writtenBytes,
            long datagrams,
            long datagramBytes,
            long heardDatagrams,
            long rev,
            long heardAtUs,
            int calls,
            int alive) {}

    /**
     * Starts nothing yet.
     *
     * @param peers where the beliefs of each node of the fleet are heard, by number; null where nodes tell
     *     one another nothing
     */
    HollowNode(int me, Settings settings, InetSocketAddress list, InetSocketAddress[] peers, long seed, Log log) {
        this.me = me;
        this.peers = peers;
        this.seed = seed;
        loop = SelectorLoop.open();
        time = EventLoopClock.of(loop);
        Network network = new Counted();
        pool = new ServerPool<>(
                loop,
                network,
                new SocketBudget(SOCKETS),
                time,
                settings.connectTimeoutUs,
                CONN_IDLE_US,
                new NoRequests());
        discovery = new Discovery(
                loop,
                network,
                SocketBuffers.full(),
                list,
                settings.zones,
                0,
                Discovery.MAX_SILENCE_US,
                seed,
                new Discovery.Listener() {
                    @Override
                    public void onList(HostList told) {
                        put(told, told.isFull() ? ListKind.FULL : ListKind.CHANGES);
                        readRev = told.revision();
                        heardAtUs = time.nowUs();
                    }

                    @Override
                    public void onFailure(String reason) {
                        engine.reportListFailure();
                    }
                },
                log);
        engine = new Engine<>(
                settings.maxAttempts,
                time,
                pool,
                discovery,
                Observer.NONE,
                SendGate.alwaysOpen(),
                log,
                actions -> new ServiceQBalancer(settings, seed, actions));
    }

    private void put(HostList list, ListKind kind) {
        engine.updateServers(kind, list.entries(), () -> pool.update(list));
    }

    /** Follows the list from now on, as a node that knows no server yet. */
    void start() {
        loop.execute(() -> {
            threadId = Thread.currentThread().getId();
            time.tick();
            put(new HostList(0, true, List.of()), ListKind.CACHED);
            loop.scheduleAtFixedRate(
                    pool::closeExpiredConnections, HOUSEKEEPING_MS, HOUSEKEEPING_MS, TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(time::tick, 0, EventLoopClock.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            if (peers != null) {
                meet();
            }
        });
    }

    // ---------------------------------------------------------------- other nodes

    private void meet() {
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        heard(ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // What cannot be delivered is lost, as datagrams are.
                    }
                })
                .bind(peers[me])
                .addListener(bound -> {
                    if (bound.isSuccess()) {
                        datagrams = ((ChannelFuture) bound).channel();
                        members = new Membership(
                                MembershipConfig.defaults(peers.length, me),
                                time.nowUs() / 1_000,
                                seed,
                                time.nowUs(),
                                this::send,
                                now -> count());
                        count();
                        tick();
                    }
                });
    }

    private void heard(byte[] bytes) {
        heardDatagrams++;
        Datagram.ReadResult read = Datagram.read(bytes, FLEET);
        if (members != null && read.message() != null) {
            members.receive(time.nowUs(), read.message());
            tick();
        }
    }

    private void send(int to, Message message) {
        byte[] bytes = Datagram.write(message, FLEET);
        datagramCount++;
        datagramBytes += bytes.length;
        datagrams.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peers[to]));
    }

    private void count() {
        if (members != null) {
            alive = members.aliveCount();
        }
    }

    /** Sets one timer for when the beliefs want to be called next; a later word of theirs finds it set. */
    private void tick() {
        if (ticking) {
            return;
        }
        ticking = true;
        time.schedule(Math.max(1, members.nextTickAtUs() - time.nowUs()), () -> {
            ticking = false;
            members.tick(time.nowUs());
            tick();
        });
    }

    // ---------------------------------------------------------------- what is measured

    /** All so far; from any thread. */
    Figures figures() {
        return new Figures(
                threadId == 0 ? 0 : Math.max(0, THREADS.getThreadCpuTime(threadId)),
                longestNanos,
                readBytes,
                writtenBytes,
                datagramCount,
                datagramBytes,
                heardDatagrams,
                rev,
                heardAtUs,
                calls,
                alive);
    }

    /** The longest is looked for anew, once what this returns is done. */
    Future<?> forgetLongest() {
        return loop.submit(() -> longestNanos = 0);
    }

    /** Ends its sockets and its thread. */
    void close() {
        loop.execute(() -> {
            pool.close();
            discovery.close();
            engine.close();
            if (datagrams != null) {
                datagrams.close();
            }
        });
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The system's sockets, with all that comes and goes counted and timed. */
    private final class Counted implements Network {
        @Override
        public ServerChannel newListener(AcceptGate gate) {
            throw new IllegalStateException("a hollow node takes no clients");
        }

        @Override
        public InputAwareChannel newOutboundChannel() {
            InputAwareChannel channel = NioNetwork.SYSTEM.newOutboundChannel();
            channel.pipeline().addFirst(new Meter());
            calls++;
            return channel;
        }

        @Override
        public ByteBufAllocator allocator() {
            return NioNetwork.SYSTEM.allocator();
        }
    }

    private final class Meter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                readBytes += bytes.readableBytes();
            }
            long before = THREADS.getCurrentThreadCpuTime();
            super.channelRead(context, message);
            turnNanos += THREADS.getCurrentThreadCpuTime() - before;
        }

        /** The loop goes on to other things: what one turn brought may have come in several buffers. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) throws Exception {
            long before = THREADS.getCurrentThreadCpuTime();
            super.channelReadComplete(context);
            longestNanos = Math.max(longestNanos, turnNanos + THREADS.getCurrentThreadCpuTime() - before);
            turnNanos = 0;
            // Whoever sees the version sees what its turn took.
            rev = readRev;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof ByteBuf bytes) {
                writtenBytes += bytes.readableBytes();
            }
            super.write(context, message, promise);
        }
    }

    /** There is no way to ask a server for anything: no request ever comes. */
    private static final class NoRequests implements ServerPool.Protocol<RequestInfo, Object> {
        @Override
        public void initPipeline(ChannelPipeline pipeline) {
            throw new IllegalStateException("a hollow node dials no server");
        }

        @Override
        public ServerPool.ServerConnection<RequestInfo, Object> newConnection() {
            throw new IllegalStateException("a hollow node dials no server");
        }

        @Override
        public RequestInfo probeRequest() {
            throw new IllegalStateException("a hollow node probes no server");
        }
    }
}
