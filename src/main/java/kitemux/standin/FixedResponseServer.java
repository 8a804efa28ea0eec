package kitemux.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** An HTTP server that answers every request at once with the same response. */
public final class FixedResponseServer implements AutoCloseable {
    private static final int MAX_REQUEST_BODY_BYTES = 1 << 20;
    private static final int BACKLOG = 1024;

    private final Channel listener;

    private FixedResponseServer(Channel listener) {
        this.listener = listener;
    }

    /** Starts a server on a free loopback port; its responses have this many bytes. */
    public static FixedResponseServer start(EventLoopGroup loops, int responseBytes) {
        return start(loops, responseBytes, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Starts a server at this address; its responses have this many bytes. */
    public static FixedResponseServer start(EventLoopGroup loops, int responseBytes, InetSocketAddress address) {
        byte[] body = new byte[responseBytes];
        return new FixedResponseServer(new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
                                        new ResponseWriter(body));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel());
    }

    /** Returns the address at which it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private static final class ResponseWriter extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final byte[] body;

        ResponseWriter(byte[] body) {
            this.body = body;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
