package kitemux.keeper;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import kitemux.net.Network;
import kitemux.net.SocketBuffers;

/**
 * HTTP client for calls to the other keepers. Each call uses a connection exclusively, and idle connections are
 * reused. A call without a response fails and is not retried here, because the state machine has its own timers. All
 * methods must be called on the loop.
 */
final class KeeperClient {
    /** Concurrent calls to one keeper: fetches, requests of a proposal and inventories. Further calls fail. */
    static final int MAX_CALL_COUNT_PER_KEEPER = 16;
    /** Time from the connect to the response: over three phases of a proposal, after which it is of no use. */
    static final long CALL_TIMEOUT_MS = 2_000;
    /** Largest response: a snapshot of the maximum size as JSON. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final List<Peer> peers = new ArrayList<>();
    private long failedCalls;
    private boolean closed;

    /** Another keeper and the connections to it. */
    private static final class Peer {
        final InetSocketAddress address;
        final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        final Set<Connection> openConnections = new HashSet<>();
        int activeCalls;

        Peer(InetSocketAddress address) {
            this.address = address;
        }
    }

    KeeperClient(EventLoop loop, Network network, List<InetSocketAddress> keeperAddresses) {
        this.loop = loop;
        keeperAddresses.forEach(address -> peers.add(new Peer(address)));
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CALL_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                    }
                });
        SocketBuffers.full().bound(SocketBuffers.Kind.KEEPER).applyTo(bootstrap);
    }

    /**
     * Sends a GET request; {@code onResponse} receives the body of a response with status 200, or null if there is
     * none.
     */
    void get(int keeper, String path, Consumer<byte[]> onResponse) {
        call(keeper, HttpMethod.GET, path, new byte[0], onResponse);
    }

    /** Sends a POST request; {@code onResponse} is called as for {@link #get}. */
    void post(int keeper, String path, byte[] body, Consumer<byte[]> onResponse) {
        call(keeper, HttpMethod.POST, path, body, onResponse);
    }

    private void call(int keeper, HttpMethod method, String path, byte[] body, Consumer<byte[]> onResponse) {
        Peer peer = peers.get(keeper);
        if (closed || peer.activeCalls >= MAX_CALL_COUNT_PER_KEEPER) {
            failedCalls++;
            loop.execute(() -> onResponse.accept(null));
            return;
        }
        peer.activeCalls++;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "keeper").set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Connection connection = peer.idleConnections.pollLast();
        if (connection == null) {
            connection = new Connection(peer);
        }
        connection.call(request, onResponse);
    }

    /** Number of calls that failed. */
    long failedCalls() {
        return failedCalls;
    }

    /** Closes all connections at once; later calls fail. */
    void close() {
        closed = true;
        peers.forEach(peer -> Set.copyOf(peer.openConnections).forEach(Connection::abort));
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Peer peer;
        private Channel channel;
        /** Receiver of the response; null while no call is in flight. */
        private Consumer<byte[]> responseHandler;

        private Future<?> timeout;

        Connection(Peer peer) {
            this.peer = peer;
            peer.openConnections.add(this);
        }

        void call(FullHttpRequest request, Consumer<byte[]> onResponse) {
            responseHandler = onResponse;
            timeout = loop.schedule(this::abort, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (channel != null) {
                channel.writeAndFlush(request);
                return;
            }
            ChannelFuture connecting = bootstrap.connect(peer.address);
            channel = connecting.channel();
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    request.release();
                    abort();
                    return;
                }
                channel.pipeline().addLast(this);
                channel.writeAndFlush(request);
            });
        }

        /** Closes the connection; a call in flight on it fails. */
        void abort() {
            peer.openConnections.remove(this);
            peer.idleConnections.remove(this);
            channel.close();
            complete(null);
        }

        private void complete(byte[] body) {
            Consumer<byte[]> handler = responseHandler;
            responseHandler = null;
            if (handler != null) {
                timeout.cancel(false);
                peer.activeCalls--;
                failedCalls += body == null ? 1 : 0;
                handler.accept(body);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (responseHandler == null || response.decoderResult().isFailure()) {
                abort();
                return;
            }
            byte[] body = response.status().code() == 200 ? ByteBufUtil.getBytes(response.content()) : null;
            if (HttpUtil.isKeepAlive(response)) {
                peer.idleConnections.add(this);
                complete(body);
            } else {
                complete(body);
                abort();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            abort();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            abort();
        }
    }
}
