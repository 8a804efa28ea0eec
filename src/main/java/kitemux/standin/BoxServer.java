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

/** A web box that answers all that it is asked at once, on a loopback port of the system's choice. */
public final class BoxServer implements AutoCloseable {
    private static final int MOST_BODY = 1 << 20;

    private final Channel listening;

    private BoxServer(Channel listening) {
        this.listening = listening;
    }

    /** Starts one on these loops; its answers have so many bytes. */
    public static BoxServer start(EventLoopGroup loops, int answerBytes) {
        return start(loops, answerBytes, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** The same at this address. */
    public static BoxServer start(EventLoopGroup loops, int answerBytes, InetSocketAddress at) {
        byte[] body = new byte[answerBytes];
        return new BoxServer(new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Answers(body));
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final byte[] body;

        Answers(byte[] body) {
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
