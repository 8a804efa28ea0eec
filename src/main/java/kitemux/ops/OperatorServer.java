package kitemux.ops;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.net.NioNetwork;
import kitemux.net.SocketBudget;
import kitemux.net.SocketBuffers;

/**
 * HTTP/1.1 server for operators, with one call per connection. It handles framing and slow callers; a {@link
 * CallHandler} carries out the calls.
 */
final class OperatorServer {
    /**
     * Limit of concurrent connections. Operators make few calls, and a flood of silent connections must not take
     * descriptors that clients need.
     */
    static final int MAX_CONNECTION_COUNT = 24;
    /**
     * Time from the connect to the end of the response. A caller that never completes its call would hold a descriptor.
     */
    static final long CALL_TIMEOUT_MS = 5_000;

    private final EventLoopGroup loop;
    private final SocketBudget sockets;
    private final CallHandler callHandler;
    /** Open connections, the oldest first. */
    private final Set<Channel> openConnections = new LinkedHashSet<>();

    private Channel listeningChannel;

    /** Carries out the operators' calls. */
    interface CallHandler {
        /** Handles a call. The one response may be given later, on the event loop. */
        void handle(String method, String path, Responder responder);
    }

    /** Sends the response to a call. */
    interface Responder {
        /** Sends an HTTP status and a text body. */
        void respond(int status, String text);
    }

    OperatorServer(EventLoopGroup loop, SocketBudget sockets, CallHandler callHandler) {
        this.loop = loop;
        this.sockets = sockets;
        this.callHandler = callHandler;
    }

    /** Starts to listen. The future completes when the listener is bound. */
    ChannelFuture listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap();
        sockets.buffers().bound(SocketBuffers.Kind.OPERATOR).applyTo(bootstrap);
        ChannelFuture bindFuture = bootstrap
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccepted(channel);
                    }
                })
                .bind(address);
        listeningChannel = bindFuture.channel();
        return bindFuture;
    }

    private void onAccepted(Channel channel) {
        sockets.serverConnectionOpened();
        openConnections.add(channel);
        channel.closeFuture().addListener(done -> {
            sockets.serverConnectionClosed();
            openConnections.remove(channel);
        });
        if (openConnections.size() > MAX_CONNECTION_COUNT) {
            // The oldest connection is the one most likely to belong to a caller that never completes its call.
            openConnections.iterator().next().close();
        }
        loop.schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.pipeline().addLast(new HttpServerCodec(), new CallReader());
    }

    /** Closes the listener and all connections. */
    void close() {
        if (listeningChannel != null) {
            listeningChannel.close();
            Set.copyOf(openConnections).forEach(Channel::close);
        }
    }

    /** Reads one call from a connection and writes its response. */
    private final class CallReader extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;
        /** Whether the call has been read; nothing that follows it on the connection is. */
        private boolean hasCall;

        private boolean hasResponded;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (hasCall || hasResponded) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                sendResponse(context, 400, "cannot be read\n");
                return;
            }
            if (part instanceof HttpRequest begun) {
                request = begun;
            }
            if (part instanceof LastHttpContent) {
                hasCall = true;
                int queryStart = request.uri().indexOf('?');
                callHandler.handle(
                        request.method().name(),
                        queryStart < 0 ? request.uri() : request.uri().substring(0, queryStart),
                        (status, text) -> sendResponse(context, status, text));
            }
        }

        private void sendResponse(ChannelHandlerContext context, int status, String text) {
            if (hasResponded) {
                return;
            }
            hasResponded = true;
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
