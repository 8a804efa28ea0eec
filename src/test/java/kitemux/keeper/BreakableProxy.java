package kitemux.keeper;

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
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy that can be cut: connections stay open and new ones are accepted, but no bytes pass. */
final class BreakableProxy {
    private final EventLoopGroup loop;
    private final Channel serverChannel;
    private final Set<Channel> clientChannels = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress connectTo;
    private volatile boolean cut;

    BreakableProxy(EventLoopGroup loop) {
        this.loop = loop;
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        clientChannels.add(channel);
                        channel.closeFuture().addListener(done -> clientChannels.remove(channel));
                        dial(channel);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    private void dial(Channel channel) {
        InetSocketAddress target = connectTo;
        if (cut || target == null) {
            return;
        }
        Bootstrap dialer =
                new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new Relay(channel));
        dialer.connect(target).addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    void connectTo(InetSocketAddress target) {
        connectTo = target;
    }

    /** Drops all bytes from now on without closing connections. */
    void cut() {
        cut = true;
    }

    /** Closes the connections that hung; later connections pass again. */
    void join() {
        cut = false;
        clientChannels.forEach(Channel::close);
    }

    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Relay(Channel other) {
            this.other = other;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!other.config().isAutoRead()) {
                other.pipeline().addLast(new Relay(context.channel()));
                other.config().setAutoRead(true);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (cut) {
                ReferenceCountUtil.release(bytes);
            } else {
                other.writeAndFlush(bytes);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!cut) {
                other.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
