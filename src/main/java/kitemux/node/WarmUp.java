package kitemux.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.engine.Log;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;

/**
 * Warms a starting process before it listens: a node apart serves requests between a client and a server of
 * its own, on the address that it may listen on. Cold code under full load stood still for up to 90 ms at a
 * time in the first second, and requests ran out of time unanswered.
 */
final class WarmUp {
    /** So many that what serves a request is compiled and not only loaded, by the thresholds that
     * deploy/compile-commands sets (50 calls for this program and its library), and the compiler is through
     * with what it was given. A node that begins cold under full load uses up its share of the core: its
     * turns last 100 ms and more, and clients that give up and ask again make it more work. With 64 a node
     * was ready sooner by a tenth of its CPU, the compiler still behind, and lost more than that by it. */
    static final int REQUEST_COUNT = 128;

    private static final int CLIENTS = 4;
    /** Bytes of each body, and where a status begins in an answer. */
    private static final int BODY = 64;

    private static final int STATUS_AT = "HTTP/1.1 ".length();
    /** A start must not wait for longer, however little CPU there is. On half a core that another node shares
     * 500 ms were over after 60 requests. Harm: a restart takes so much longer. */
    private static final long MOST_MS = 2_000;

    private final PollingLoop loop;
    private final List<RequestClass> classes;
    private final CountDownLatch left = new CountDownLatch(REQUEST_COUNT);

    private long asked;
    private volatile boolean turnedDown;

    private WarmUp(PollingLoop loop, List<RequestClass> classes) {
        this.loop = loop;
        this.classes = classes;
    }

    /**
     * Plays until enough has been served or the time is up; it leaves nothing open.
     *
     * @return how many were served; 0 if any was turned down, as then it was something else that got warm
     */
    static long run(NodeConfig config, PollingLoop loop, Log log) {
        return new WarmUp(loop, config.settings().classes).run(config, log);
    }

    private long run(NodeConfig config, Log log) {
        Channel server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .childHandler(pipeline(true))
                .bind(new InetSocketAddress(config.listen().getAddress(), 0))
                .syncUninterruptibly()
                .channel();
        HostList.Host host = new HostList.Host(
                new ServerEntry("rehearsal", 0, 0, ServerState.READY, 1, 0), (InetSocketAddress) server.localAddress());
        Node node = new Node(config.isolatedCopy(new HostList(0, true, List.of(host))), loop, log);
        Channel listening = node.start().syncUninterruptibly().channel();
        Bootstrap client = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .handler(pipeline(false));
        for (int i = 0; i < CLIENTS; i++) {
            client.connect(listening.localAddress());
        }
        try {
            left.await(MOST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        node.close();
        server.close();
        return turnedDown ? 0 : REQUEST_COUNT - left.getCount();
    }

    /** The far sides read and write bytes by hand: what they cost is paid at each start and warms nothing. */
    private ChannelInitializer<SocketChannel> pipeline(boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(server ? new FarServer() : new FarClient());
            }
        };
    }

    /** Tells when a message has come whole. */
    private abstract static class Far extends ChannelInboundHandlerAdapter {
        private ByteBuf come = Unpooled.EMPTY_BUFFER;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            come = come.isReadable() ? Unpooled.wrappedBuffer(come, bytes) : bytes;
            if (!endsHead(come.writerIndex() - bodyLength(come))) {
                return;
            }
            ByteBuf whole = come;
            come = Unpooled.EMPTY_BUFFER;
            came(context, whole);
            whole.release();
        }

        /** Whether a blank line ends here. Only there is it looked for: cold code searches slowly. */
        private boolean endsHead(int at) {
            return at >= come.readerIndex() + 4 && come.getByte(at - 1) == '\n' && come.getByte(at - 3) == '\n';
        }

        /** Of a message of which the first bytes have come. */
        abstract int bodyLength(ByteBuf message);

        abstract void came(ChannelHandlerContext context, ByteBuf message);

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            come.release();
            come = Unpooled.EMPTY_BUFFER;
        }

        /** The node closes on what is under way, which resets it. Left to the network library that cost the
         * node's first turn 300 ms: it loads what writes logs, and writes 22 lines. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Answers all that it is asked. */
    static final class FarServer extends Far {
        private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Length: " + BODY + "\r\n\r\n"
                        + "r".repeat(BODY))
                .getBytes(StandardCharsets.US_ASCII);

        @Override
        int bodyLength(ByteBuf request) {
            return request.getByte(request.readerIndex()) == 'P' ? BODY : 0;
        }

        @Override
        void came(ChannelHandlerContext context, ByteBuf request) {
            context.writeAndFlush(Unpooled.wrappedBuffer(ANSWER));
        }
    }

    /** Asks for each class in turn, the next once the last is answered, until the node closes. */
    private final class FarClient extends Far {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            ask(context);
        }

        @Override
        int bodyLength(ByteBuf answer) {
            return isServed(answer) ? BODY : 0;
        }

        private boolean isServed(ByteBuf answer) {
            return answer.readableBytes() > STATUS_AT && answer.getByte(answer.readerIndex() + STATUS_AT) == '2';
        }

        @Override
        void came(ChannelHandlerContext context, ByteBuf answer) {
            if (!isServed(answer)) {
                turnedDown = true;
                return;
            }
            left.countDown();
            if (left.getCount() > 0) {
                ask(context);
            }
        }

        private void ask(ChannelHandlerContext context) {
            RequestClass next = classes.get((int) (left.getCount() % classes.size()));
            boolean safe = next.retrySafety() == RetrySafety.SAFE;
            String request = (safe ? "GET" : "POST")
                    + " /api/rehearsal HTTP/1.1\r\nHost: rehearsal\r\nX-Txn: "
                    + ++asked + "\r\nX-Lane: " + next.name() + "\r\nX-Remaining: 1000m\r\n"
                    + (next.retrySafety() == RetrySafety.KEYED ? "Idempotency-Key: rehearsal\r\n" : "")
                    + (safe ? "\r\n" : "Content-Length: " + BODY + "\r\n\r\n" + "r".repeat(BODY));
            context.writeAndFlush(Unpooled.wrappedBuffer(request.getBytes(StandardCharsets.US_ASCII)));
        }
    }
}
