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

/**
 * A TCP relay that forwards bytes in both directions without parsing them. Benchmarks compare a node with it, since no
 * proxy between two sockets costs less.
 */
public final class Relay {
    private Relay() {}

    /**
     * Starts a relay that opens a connection to the target for each one that it accepts.
     *
     * @return the listening channel
     */
    public static Channel start(EventLoopGroup loop, InetSocketAddress listen, InetSocketAddress target) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connect(client, target);
                    }
                })
                .bind(listen)
                .syncUninterruptibly()
                .channel();
    }

    private static void connect(Channel client, InetSocketAddress target) {
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ForwardingHandler(client))
                .connect(target)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        client.close();
                    }
                });
    }

    /**
     * Forwards what it reads to the other channel. Once the target's channel is connected, its handler starts reading
     * from the client.
     */
    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel other;

        ForwardingHandler(Channel other) {
            this.other = other;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!other.config().isAutoRead()) {
                other.pipeline().addLast(new ForwardingHandler(context.channel()));
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
