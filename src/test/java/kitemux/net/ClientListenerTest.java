package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The end of a listener, in the moment in which connections come up. */
class ClientListenerTest {
    private final SelectorLoop loop = SelectorLoop.open();
    private final Queue<SocketAddress> accepted = new ConcurrentLinkedQueue<>();

    private static final Network.Gate OPEN = new Network.Gate() {
        @Override
        public boolean mayTake() {
            return true;
        }

        @Override
        public void taken() { }
    };

    private Channel listen() {
        return new ServerBootstrap().group(loop).channelFactory(() -> NioNetwork.SYSTEM.listener(OPEN))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.add(channel.remoteAddress());
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly()
                .channel();
    }

    @AfterEach
    void end() throws InterruptedException {
        loop.parent().shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
    }

    /** Guards against connections that the system has completed and resets as their listener closes. */
    @Test
    void whatWaitsIsAcceptedAndNothingComesUpOnceTheListenerIsClosed() throws Exception {
        Channel listener = listen();
        SocketAddress at = listener.localAddress();
        try (SocketChannel waits = SocketChannel.open()) {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            loop.execute(() -> listener.close().addListener(done -> {
                assertThrows(ConnectException.class, () -> SocketChannel.open(at).close());
                closed.complete(null);
            }));
            loop.submit(() -> waits.connect(at)).sync();
            closed.get(5, TimeUnit.SECONDS);
            loop.submit(() -> { }).sync();
            assertEquals(1, accepted.size());
            assertEquals(waits.getLocalAddress(), accepted.peek());
        }
    }
}
