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

/**
 * Calls to the other keepers, each on a connection of its own while it lasts; a connection is used again. A
 * call that has no answer is lost, and nobody waits for it: the machine has its own timers. For the loop
 * alone.
 */
final class KeeperCalls {
    /** Calls at once to one keeper: a pulse, what a proposal sends, inventories. Beyond: the call is lost. */
    static final int MOST_CALLS = 16;
    /** For an answer, from the dial: over three of a proposal's phases, after which nobody waits for it. */
    static final long CALL_MS = 2_000;
    /** Of an answer in bytes: a whole of the largest size, as JSON. */
    private static final int MOST_ANSWER = 8 << 20;

    private final EventLoop loop;
    private final Bootstrap dialer;
    private final List<Peer> peers = new ArrayList<>();
    private long lost;
    private boolean closed;

    /** A keeper that is called. */
    private static final class Peer {
        final InetSocketAddress at;
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final Set<Connection> open = new HashSet<>();
        int calls;

        Peer(InetSocketAddress at) {
            this.at = at;
        }
    }

    KeeperCalls(EventLoop loop, Network network, List<InetSocketAddress> keepers) {
        this.loop = loop;
        keepers.forEach(at -> peers.add(new Peer(at)));
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CALL_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER));
                    }
                });
    }

    /**
     * Asks for something; {@code answered} is told the body of an answer of 200, or null where there is
     * none.
     */
    void get(int keeper, String path, Consumer<byte[]> answered) {
        call(keeper, HttpMethod.GET, path, new byte[0], answered);
    }

    /** Sends something; as {@link #get}. */
    void post(int keeper, String path, byte[] body, Consumer<byte[]> answered) {
        call(keeper, HttpMethod.POST, path, body, answered);
    }

    private void call(int keeper, HttpMethod method, String path, byte[] body, Consumer<byte[]> answered) {
        Peer peer = peers.get(keeper);
        if (closed || peer.calls >= MOST_CALLS) {
            lost++;
            loop.execute(() -> answered.accept(null));
            return;
        }
        peer.calls++;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "keeper").set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Connection connection = peer.idle.pollLast();
        if (connection == null) {
            connection = new Connection(peer);
        }
        connection.call(request, answered);
    }

    /** Calls that had no answer. */
    long lost() {
        return lost;
    }

    /** Ends all at once. */
    void close() {
        closed = true;
        peers.forEach(peer -> Set.copyOf(peer.open).forEach(Connection::end));
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Peer peer;
        private Channel channel;
        /** Who waits for the answer; null while none is called for. */
        private Consumer<byte[]> waiting;

        private Future<?> patience;

        Connection(Peer peer) {
            this.peer = peer;
            peer.open.add(this);
        }

        void call(FullHttpRequest request, Consumer<byte[]> answered) {
            waiting = answered;
            patience = loop.schedule(this::end, CALL_MS, TimeUnit.MILLISECONDS);
            if (channel != null) {
                channel.writeAndFlush(request);
                return;
            }
            ChannelFuture dial = dialer.connect(peer.at);
            channel = dial.channel();
            dial.addListener(done -> {
                if (!done.isSuccess()) {
                    request.release();
                    end();
                    return;
                }
                channel.pipeline().addLast(this);
                channel.writeAndFlush(request);
            });
        }

        /** Ends it; a call that it carries is lost. */
        void end() {
            peer.open.remove(this);
            peer.idle.remove(this);
            channel.close();
            tell(null);
        }

        private void tell(byte[] body) {
            Consumer<byte[]> told = waiting;
            waiting = null;
            if (told != null) {
                patience.cancel(false);
                peer.calls--;
                lost += body == null ? 1 : 0;
                told.accept(body);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (waiting == null || response.decoderResult().isFailure()) {
                end();
                return;
            }
            byte[] body = response.status().code() == 200 ? ByteBufUtil.getBytes(response.content()) : null;
            if (HttpUtil.isKeepAlive(response)) {
                peer.idle.add(this);
                tell(body);
            } else {
                tell(body);
                end();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end();
        }
    }
}
