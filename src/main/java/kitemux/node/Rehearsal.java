package kitemux.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

import kitemux.Balancer.Repeat;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.engine.Log;
import kitemux.http.Limits;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;

/**
 * Warms a starting process before it listens: a node apart serves requests between a client and a server of
 * its own, on the address that it may listen on. Cold code under full load stood still for up to 90 ms at a
 * time in the first second, and requests ran out of time unanswered.
 */
final class Rehearsal {
    /** Past the compiler's threshold of 200 calls, so that what serves a request is compiled and not only
     * loaded. A node that begins cold under full load uses up its share of the core: its turns last 100 ms
     * and more, and clients that give up and ask again make it more work. With half as many a node alone was
     * ready half a second sooner and lost more than that by it. */
    static final int REQUESTS = 250;
    private static final int CLIENTS = 4;
    /** A start must not wait for longer, however little CPU there is. On half a core that another node shares
     * 500 ms were over after 60 requests. Harm: a restart takes so much longer. */
    private static final long MOST_MS = 2_000;

    private final EventLoop loop;
    private final List<RequestClass> classes;
    private final CountDownLatch left = new CountDownLatch(REQUESTS);

    private long asked;
    private volatile boolean turnedDown;

    private Rehearsal(EventLoop loop, List<RequestClass> classes) {
        this.loop = loop;
        this.classes = classes;
    }

    /**
     * Plays until enough has been served or the time is up; it leaves nothing open.
     *
     * @return how many were served; 0 if any was turned down, as then it was something else that got warm
     */
    static long play(NodeConfig config, EventLoop loop, Log log) {
        return new Rehearsal(loop, config.settings().classes).play(config, log);
    }

    private long play(NodeConfig config, Log log) {
        Channel server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .childHandler(pipeline(true))
                .bind(new InetSocketAddress(config.listen().getAddress(), 0)).syncUninterruptibly().channel();
        HostList.Host host = new HostList.Host(new ServerEntry("rehearsal", 0, 0, ServerState.READY, 1, 0),
                (InetSocketAddress) server.localAddress());
        Node node = new Node(config.apart(new HostList(0, true, List.of(host))), loop, log);
        Channel listening = node.start().syncUninterruptibly().channel();
        Bootstrap client = new Bootstrap().group(loop).channel(NioSocketChannel.class)
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
        return turnedDown ? 0 : REQUESTS - left.getCount();
    }

    private ChannelInitializer<SocketChannel> pipeline(boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelHandler codec = server ? new HttpServerCodec() : new HttpClientCodec();
                channel.pipeline().addLast(codec, new HttpObjectAggregator(Limits.MOST_BODY),
                        server ? new FarServer() : new FarClient());
            }
        };
    }

    /** Answers all that it is asked. */
    private static final class FarServer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[64]));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 64);
            context.writeAndFlush(response);
        }
    }

    /** Asks for each class in turn, the next once the last is answered, until the node closes. */
    private final class FarClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            ask(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() != HttpResponseStatus.OK.code()) {
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
            boolean safe = next.repeat() == Repeat.SAFE;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST, "/api/rehearsal",
                    Unpooled.wrappedBuffer(new byte[safe ? 0 : 64]));
            request.headers().set(HttpHeaderNames.HOST, "rehearsal")
                    .set("X-Txn", Long.toString(++asked))
                    .set("X-Lane", next.name())
                    .set("X-Remaining", "1000m")
                    .set(HttpHeaderNames.CONTENT_LENGTH, safe ? 0 : 64);
            if (next.repeat() == Repeat.KEYED) {
                request.headers().set("Idempotency-Key", "rehearsal");
            }
            context.writeAndFlush(request);
        }
    }
}
