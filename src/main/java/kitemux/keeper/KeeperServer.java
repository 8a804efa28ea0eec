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
import kitemux.rollout.ProtocolParameters;

/**
 * Where a keeper is called: HTTP/1.1, one call at a time on a connection. It knows framing, sizes and
 * callers that are slow; what a call means is the {@link Calls}'.
 */
final class KeeperServer {
    /** Connections at once: watches, one for each report and each operator's call, and the keepers'. */
    static final int MOST_CONNECTIONS = 512;
    /** Of a call's body in bytes: a change of the largest size in a keeper's words, or a report. */
    static final int MOST_BODY = 16 << 10;
    /** From connecting, or from the last answer, to the end of the next call. */
    static final long MOST_CALL_MS = 5_000;
    /** What the system may hold for a connection that is not read, in bytes: a bound on unwritten bytes would
     * else be reached only after some megabytes. */
    private static final int SEND_BUFFER = 64 << 10;

    private final EventLoop loop;
    private final Calls calls;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private long turnedAway;
    private long unreadable;
    private Channel listening;

    /** What can be called. */
    interface Calls {
        /** A call has come whole; its one answer may be given later, on the loop. */
        void call(Call call);
    }

    KeeperServer(EventLoop loop, Calls calls) {
        this.loop = loop;
        this.calls = calls;
    }

    /** Listens; the future is done once it can be called. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture opening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                ProtocolParameters.MAX_UNWRITTEN_BYTES / 2, ProtocolParameters.MAX_UNWRITTEN_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(address);
        listening = opening.channel();
        return opening;
    }

    private void accepted(Channel channel) {
        if (connections.size() >= MOST_CONNECTIONS) {
            turnedAway++;
            channel.close();
            return;
        }
        connections.add(channel);
        channel.closeFuture().addListener(done -> connections.remove(channel));
        channel.pipeline().addLast(new HttpServerCodec(), new Bounded(), new Caller(channel));
    }

    /** Connections that were closed as there were too many. */
    long turnedAway() {
        return turnedAway;
    }

    /** Calls that were too long, or no calls. */
    long unreadable() {
        return unreadable;
    }

    /** Connections that are open. */
    int connections() {
        return connections.size();
    }

    /** Ends all at once; to be called on the loop. */
    void close() {
        if (listening != null) {
            listening.close();
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

    /** What is longer than any call is answered before it has come. */
    private final class Bounded extends HttpObjectAggregator {
        Bounded() {
            super(MOST_BODY);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            unreadable++;
            byte[] faults = StatusText.fault("body", "has more than " + MOST_BODY + " bytes");
            context.writeAndFlush(response(413, faults, false)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** One call. */
    static final class Call {
        private final Channel channel;
        private final Caller caller;
        private final boolean keepAlive;
        private final String method;
        private final QueryStringDecoder uri;
        private final byte[] body;

        private Call(Channel channel, Caller caller, FullHttpRequest request) {
            this.channel = channel;
            this.caller = caller;
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

        /** Fields behind the path, by name. */
        Map<String, List<String>> query() {
            return uri.parameters();
        }

        byte[] body() {
            return body;
        }

        /** The whole answer, as JSON; nothing where the caller has gone. */
        void answer(int status, byte[] json) {
            ChannelFuture written = channel.writeAndFlush(response(status, json, keepAlive));
            if (keepAlive) {
                caller.awaitCall();
            } else {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** Begins an answer without an end; what follows is written to this connection as it comes. */
        Channel stream() {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers()
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            channel.writeAndFlush(head);
            return channel;
        }
    }

    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        /** Runs while a call is awaited; null while one is answered. */
        private Future<?> patience;

        Caller(Channel channel) {
            this.channel = channel;
            awaitCall();
        }

        void awaitCall() {
            patience = loop.schedule(() -> channel.close(), MOST_CALL_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (patience == null) {
                // Ahead of an answer, which no caller of ours does: it could not be answered in its turn.
                context.close();
                return;
            }
            patience.cancel(false);
            patience = null;
            if (request.decoderResult().isFailure()) {
                unreadable++;
                byte[] why = StatusText.fault(
                        "call",
                        "cannot be read: " + request.decoderResult().cause().getMessage());
                context.writeAndFlush(response(400, why, false)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            Call call;
            try {
                call = new Call(channel, this, request);
                call.query();
            } catch (IllegalArgumentException e) {
                unreadable++;
                byte[] why = StatusText.fault("query", "cannot be read: " + e.getMessage());
                context.writeAndFlush(response(400, why, false)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            calls.call(call);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (patience != null) {
                patience.cancel(false);
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

    /** Text as the bytes of an answer. */
    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
