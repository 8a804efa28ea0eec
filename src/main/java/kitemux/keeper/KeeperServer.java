package kitemux.keeper;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.net.NioNetwork;
import kitemux.net.SocketBuffers;
import kitemux.rollout.ProtocolParameters;

/**
 * HTTP/1.1 server of a keeper, with one call at a time on a connection. It handles framing, size limits and slow
 * clients; the {@link CallHandler} handles the calls themselves.
 */
final class KeeperServer {
    /** Concurrent connections: watches, reports, calls of operators and calls of other keepers. */
    static final int MAX_CONNECTION_COUNT = 512;
    /** Largest body of a call: a change of the maximum size within a request of a keeper, or a report. */
    static final int MAX_BODY_BYTES = 16 << 10;
    /** Time from the connect, or from the last response, to the end of the next call. */
    static final long CALL_TIMEOUT_MS = 5_000;
    /**
     * Size of a connection's socket send buffer. With the system's default, a connection that is not read would reach
     * the bound on unwritten bytes only after several megabytes.
     */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final EventLoop loop;
    private final CallHandler callHandler;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private long rejectedConnections;
    private long malformedCalls;
    private Channel serverChannel;

    /** Handles calls. */
    interface CallHandler {
        /** Handles a complete call; its single answer may be given later, on the loop. */
        void handle(Call call);
    }

    KeeperServer(EventLoop loop, CallHandler callHandler) {
        this.loop = loop;
        this.callHandler = callHandler;
    }

    /** Starts to listen; the future completes once the server accepts calls. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.SO_RCVBUF,
                        SocketBuffers.full().bound(SocketBuffers.Kind.KEEPER).receiveBytes())
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                ProtocolParameters.MAX_UNWRITTEN_BYTES / 2, ProtocolParameters.MAX_UNWRITTEN_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccepted(channel);
                    }
                })
                .bind(address);
        serverChannel = binding.channel();
        return binding;
    }

    private void onAccepted(Channel channel) {
        if (connections.size() >= MAX_CONNECTION_COUNT) {
            rejectedConnections++;
            channel.close();
            return;
        }
        connections.add(channel);
        channel.closeFuture().addListener(done -> connections.remove(channel));
        channel.pipeline().addLast(new HttpServerCodec(), new BodyLimiter(), new ConnectionHandler(channel));
    }

    /** Number of connections that were closed because too many were open. */
    long rejectedConnections() {
        return rejectedConnections;
    }

    /** Number of calls that were too large or malformed. */
    long malformedCalls() {
        return malformedCalls;
    }

    /** Number of open connections. */
    int connections() {
        return connections.size();
    }

    /** Closes the server and all connections at once. Must be called on the loop. */
    void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        Set.copyOf(connections).forEach(Channel::close);
    }

    private static FullHttpResponse response(int status, byte[] body, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        if (status != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /** Rejects a call that exceeds the size limit before it has arrived completely. */
    private final class BodyLimiter extends HttpObjectAggregator {
        BodyLimiter() {
            super(MAX_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            malformedCalls++;
            byte[] errors = StatusJson.error("body", "has more than " + MAX_BODY_BYTES + " bytes");
            context.writeAndFlush(response(413, errors, false)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** A call of this server. */
    static final class Call {
        private final Channel channel;
        private final ConnectionHandler connection;
        private final boolean keepAlive;
        private final String method;
        private final QueryStringDecoder uri;
        private final byte[] body;

        private Call(Channel channel, ConnectionHandler connection, FullHttpRequest request) {
            this.channel = channel;
            this.connection = connection;
            keepAlive = HttpUtil.isKeepAlive(request);
            method = request.method().name();
            uri = new QueryStringDecoder(request.uri());
            body = ByteBufUtil.getBytes(request.content());
        }

        String method() {
            return method;
        }

        String path() {
            return uri.path();
        }

        /** Query parameters by name. */
        Map<String, List<String>> query() {
            return uri.parameters();
        }

        byte[] body() {
            return body;
        }

        /** Sends the complete answer as JSON; has no effect if the client has disconnected. */
        void answer(int status, byte[] json) {
            ChannelFuture written = channel.writeAndFlush(response(status, json, keepAlive));
            if (keepAlive) {
                connection.awaitCall();
            } else {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** Starts an endless chunked response; returns the channel to which its content is written. */
        Channel startStream() {
            HttpResponse header = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            header.headers()
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            channel.writeAndFlush(header);
            return channel;
        }
    }

    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        /** Closes the connection if no call arrives in time; null while a call is being answered. */
        private Future<?> timeout;

        ConnectionHandler(Channel channel) {
            this.channel = channel;
            awaitCall();
        }

        void awaitCall() {
            timeout = loop.schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (timeout == null) {
                // Pipelined call, which our clients never send: it could not be answered in order.
                context.close();
                return;
            }
            timeout.cancel(false);
            timeout = null;
            if (request.decoderResult().isFailure()) {
                malformedCalls++;
                byte[] errors = StatusJson.error(
                        "call",
                        "cannot be read: " + request.decoderResult().cause().getMessage());
                context.writeAndFlush(response(400, errors, false)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            Call call;
            try {
                call = new Call(channel, this, request);
                call.query();
            } catch (IllegalArgumentException e) {
                malformedCalls++;
                byte[] errors = StatusJson.error("query", "cannot be read: " + e.getMessage());
                context.writeAndFlush(response(400, errors, false)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            callHandler.handle(call);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
            if (!(cause instanceof IOException)) {
                context.fireExceptionCaught(cause);
            }
        }
    }

    /** Encodes text as the bytes of an answer. */
    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
