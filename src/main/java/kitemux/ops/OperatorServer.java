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

/**
 * Where operators call: HTTP/1.1, one call a connection. It knows framing and callers that are slow; what a
 * call means is the {@link CallHandler}'.
 */
final class OperatorServer {
    /** Callers at once: few call, and a flood of silent ones must take no descriptor that clients need. */
    static final int MOST_CALLERS = 24;
    /** From connecting to the end of the answer: a caller that completes no call holds a descriptor. */
    static final long MOST_MS = 5_000;

    private final EventLoopGroup loop;
    private final SocketBudget sockets;
    private final CallHandler calls;
    /** Those that are open, the oldest first. */
    private final Set<Channel> callers = new LinkedHashSet<>();

    private Channel listening;

    /** What can be called. */
    interface CallHandler {
        /** A call has come; its one answer may be given later, on the loop's thread. */
        void handle(String method, String path, Responder answer);
    }

    /** Takes the answer to a call. */
    interface Responder {
        /** A status of HTTP's, and a text for whoever called. */
        void respond(int status, String text);
    }

    OperatorServer(EventLoopGroup loop, SocketBudget sockets, CallHandler calls) {
        this.loop = loop;
        this.sockets = sockets;
        this.calls = calls;
    }

    /** Listens; the future is done once operators can call. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture opening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, NioNetwork.SYSTEM.allocator())
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
        sockets.serverConnectionOpened();
        callers.add(channel);
        channel.closeFuture().addListener(done -> {
            sockets.serverConnectionClosed();
            callers.remove(channel);
        });
        if (callers.size() > MOST_CALLERS) {
            // The oldest is the likeliest to be one that completes no call.
            callers.iterator().next().close();
        }
        loop.schedule(() -> channel.close(), MOST_MS, TimeUnit.MILLISECONDS);
        channel.pipeline().addLast(new HttpServerCodec(), new Caller());
    }

    void close() {
        if (listening != null) {
            listening.close();
            Set.copyOf(callers).forEach(Channel::close);
        }
    }

    private final class Caller extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest head;
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (answered) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                answer(context, 400, "cannot be read\n");
                return;
            }
            if (part instanceof HttpRequest begun) {
                head = begun;
            }
            if (part instanceof LastHttpContent) {
                int end = head.uri().indexOf('?');
                calls.handle(
                        head.method().name(),
                        end < 0 ? head.uri() : head.uri().substring(0, end),
                        (status, text) -> answer(context, status, text));
            }
        }

        private void answer(ChannelHandlerContext context, int status, String text) {
            if (answered) {
                return;
            }
            answered = true;
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
