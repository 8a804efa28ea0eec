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
 * Warms up a starting process before it listens. A separate node serves requests between a client and a server of this
 * class, on the interface that the node will listen on. Without it, cold code under full load stalled for up to 90 ms
 * at a time in the first second, and requests timed out unanswered.
 */
final class WarmUp {
    /**
     * Number of requests served. By the thresholds that deploy/compile-commands sets (50 calls for this program and its
     * libraries) it is enough for the request path to be compiled, not only loaded, and for the compiler to finish its
     * queue. A node that starts cold under full load uses up its CPU share: loop iterations last 100 ms and more, and
     * clients that time out and retry add load. With 64 requests a node was ready sooner by a tenth of its CPU time,
     * but the compiler was still behind, which cost more than that.
     */
    static final int REQUEST_COUNT = 128;

    private static final int CLIENT_COUNT = 4;
    /** Length of each request and response body. */
    private static final int BODY_BYTES = 64;

    private static final int STATUS_OFFSET_BYTES = "HTTP/1.1 ".length();
    /**
     * Upper bound of the warm-up, so that a start is not delayed longer when there is little CPU. On half a core shared
     * with another node, 500 ms were over after 60 requests. The cost is that a restart takes up to this much longer.
     */
    private static final long TIMEOUT_MS = 2_000;

    private final PollingLoop loop;
    private final List<RequestClass> classes;
    private final CountDownLatch remainingResponses = new CountDownLatch(REQUEST_COUNT);

    private long sentRequestCount;
    private volatile boolean anyRejected;

    private WarmUp(PollingLoop loop, List<RequestClass> classes) {
        this.loop = loop;
        this.classes = classes;
    }

    /**
     * Runs until {@link #REQUEST_COUNT} requests are served or the time limit is reached, and closes all that it
     * opened.
     *
     * @return the number of requests served; 0 if any was rejected, as another code path was warmed up then
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
        for (int i = 0; i < CLIENT_COUNT; i++) {
            client.connect(listening.localAddress());
        }
        try {
            remainingResponses.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        node.close();
        server.close();
        return anyRejected ? 0 : REQUEST_COUNT - remainingResponses.getCount();
    }

    /**
     * Both peers read and write raw bytes: an HTTP codec would cost time at each start and warm up nothing that the
     * node uses.
     */
    private ChannelInitializer<SocketChannel> pipeline(boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(server ? new FarServer() : new FarClient());
            }
        };
    }

    /** Collects bytes until an HTTP message is complete. */
    private abstract static class FarPeer extends ChannelInboundHandlerAdapter {
        private ByteBuf received = Unpooled.EMPTY_BUFFER;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            received = received.isReadable() ? Unpooled.wrappedBuffer(received, bytes) : bytes;
            if (!endsWithBlankLine(received.writerIndex() - bodyLength(received))) {
                return;
            }
            ByteBuf complete = received;
            received = Unpooled.EMPTY_BUFFER;
            onMessage(context, complete);
            complete.release();
        }

        /**
         * Returns whether the head of the message ends at this index. Only this place is checked, as a search is slow
         * in cold code.
         */
        private boolean endsWithBlankLine(int endIndex) {
            return endIndex >= received.readerIndex() + 4
                    && received.getByte(endIndex - 1) == '\n'
                    && received.getByte(endIndex - 3) == '\n';
        }

        /** Returns the body length of a message whose first bytes have been received. */
        abstract int bodyLength(ByteBuf message);

        /** Handles a complete message. */
        abstract void onMessage(ChannelHandlerContext context, ByteBuf message);

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            received.release();
            received = Unpooled.EMPTY_BUFFER;
        }

        /**
         * Closes the channel. The node resets requests that are in flight when it closes. Netty's default handler would
         * load its logging classes and write 22 lines, which cost the node's first loop iteration 300 ms.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Responds to each request with status 200. */
    static final class FarServer extends FarPeer {
        private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                        + "r".repeat(BODY_BYTES))
                .getBytes(StandardCharsets.US_ASCII);

        @Override
        int bodyLength(ByteBuf request) {
            return request.getByte(request.readerIndex()) == 'P' ? BODY_BYTES : 0;
        }

        @Override
        void onMessage(ChannelHandlerContext context, ByteBuf request) {
            context.writeAndFlush(Unpooled.wrappedBuffer(RESPONSE));
        }
    }

    /** Sends a request of each class in turn, the next one after each response, until the node closes. */
    private final class FarClient extends FarPeer {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendRequest(context);
        }

        @Override
        int bodyLength(ByteBuf response) {
            return isServed(response) ? BODY_BYTES : 0;
        }

        private boolean isServed(ByteBuf response) {
            return response.readableBytes() > STATUS_OFFSET_BYTES
                    && response.getByte(response.readerIndex() + STATUS_OFFSET_BYTES) == '2';
        }

        @Override
        void onMessage(ChannelHandlerContext context, ByteBuf response) {
            if (!isServed(response)) {
                anyRejected = true;
                return;
            }
            remainingResponses.countDown();
            if (remainingResponses.getCount() > 0) {
                sendRequest(context);
            }
        }

        private void sendRequest(ChannelHandlerContext context) {
            RequestClass requestClass = classes.get((int) (remainingResponses.getCount() % classes.size()));
            boolean isSafe = requestClass.retrySafety() == RetrySafety.SAFE;
            String request = (isSafe ? "GET" : "POST")
                    + " /api/rehearsal HTTP/1.1\r\nHost: rehearsal\r\nX-Txn: "
                    + ++sentRequestCount + "\r\nX-Lane: " + requestClass.name() + "\r\nX-Remaining: 1000m\r\n"
                    + (requestClass.retrySafety() == RetrySafety.KEYED ? "Idempotency-Key: rehearsal\r\n" : "")
                    + (isSafe ? "\r\n" : "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "r".repeat(BODY_BYTES));
            context.writeAndFlush(Unpooled.wrappedBuffer(request.getBytes(StandardCharsets.US_ASCII)));
        }
    }
}
