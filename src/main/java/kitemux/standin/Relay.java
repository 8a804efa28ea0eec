package kitemux.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Passes bytes on, both ways, and knows nothing of them: the least that anything between two sockets
 * costs. */
public final class Relay {
    private Relay() {}

    /** Listens; each connection gets one of its own to the target. */
    public static Channel start(EventLoopGroup loop, InetSocketAddress listen, InetSocketAddress target) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        new Bootstrap()
                                .group(near.eventLoop())
                                .channel(NioSocketChannel.class)
                                .option(ChannelOption.TCP_NODELAY, true)
                                .handler(new To(near))
                                .connect(target)
                                .addListener(done -> {
                                    if (!done.isSuccess()) {
                                        near.close();
                                    }
                                });
                    }
                })
                .bind(listen)
                .syncUninterruptibly()
                .channel();
    }

    /** Passes on to another channel what is read here; the far side's brings the near one up. */
    private static final class To extends ChannelInboundHandlerAdapter {
        private final Channel other;

        To(Channel other) {
            this.other = other;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!other.config().isAutoRead()) {
                other.pipeline().addLast(new To(context.channel()));
                other.config().setAutoRead(true);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            other.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
