package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The end of a listener, in the moment in which connections come up. */
class ClientListenerTest {
    /** Calls of accept that fail on end. */
    private static final int FAILURES = 5;
    /** Connections that come while a listener closes. */
    private static final int FLOOD = 1_500;

    /** Half of how long a listener stops that leaves it to the network library. */
    private static final long STOPPED_NANOS = 500_000_000;

    private final SelectorLoop loop = SelectorLoop.open();
    private final Queue<SocketAddress> accepted = new ConcurrentLinkedQueue<>();

    private static final Network.AcceptGate OPEN = new Network.AcceptGate() {
        @Override
        public boolean canAccept() {
            return true;
        }

        @Override
        public void onAccepted() {}

        @Override
        public void onAcceptFailed(IOException cause) {}
    };

    private Channel listen(ChannelFactory<ServerChannel> listener) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(listener)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.add(channel.remoteAddress());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    @AfterEach
    void end() throws InterruptedException {
        loop.parent().shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
    }

    /** Guards against a listener that stops for a second at each accept that fails. */
    @Test
    void anAcceptThatFailsForAWhileIsTriedAgainWithinTensOfMilliseconds() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        CompletableFuture<Long> acceptedAtNanos = new CompletableFuture<>();
        AtomicLong lastFailureNanos = new AtomicLong();
        Network.AcceptGate counting = new Network.AcceptGate() {
            @Override
            public boolean canAccept() {
                return true;
            }

            @Override
            public void onAccepted() {
                acceptedAtNanos.complete(System.nanoTime());
            }

            @Override
            public void onAcceptFailed(IOException cause) {
                failures.incrementAndGet();
                lastFailureNanos.set(System.nanoTime());
            }
        };
        Channel listener = listen(() -> new ClientListener(counting) {
            @Override
            SocketChannel accept() throws IOException {
                if (failures.get() < FAILURES) {
                    throw new IOException("Too many open files in system");
                }
                return super.accept();
            }
        });
        try (SocketChannel client = SocketChannel.open(listener.localAddress())) {
            long pauseNanos = acceptedAtNanos.get(5, TimeUnit.SECONDS) - lastFailureNanos.get();
            assertEquals(FAILURES, failures.get());
            assertTrue(client.isConnected());
            assertTrue(pauseNanos < STOPPED_NANOS, "accepted only after " + pauseNanos);
        }
    }

    /** Guards against a loop that accepts without end as it closes its listener, where connections keep coming. */
    @Test
    void aCloseAcceptsNoMoreThanCanHaveWaited() throws Exception {
        AtomicBoolean closing = new AtomicBoolean();
        Queue<SocketChannel> flood = new ConcurrentLinkedQueue<>();
        Channel listener = listen(() -> new ClientListener(OPEN) {
            @Override
            SocketChannel accept() throws IOException {
                if (closing.get() && flood.size() < FLOOD) {
                    flood.add(SocketChannel.open(localAddress()));
                }
                return super.accept();
            }
        });
        try {
            closing.set(true);
            listener.close().get(20, TimeUnit.SECONDS);
            assertEquals(Network.BACKLOG, accepted.size());
        } finally {
            for (SocketChannel one : flood) {
                one.close();
            }
        }
    }

    /** Guards against connections that the system has completed and resets as their listener closes. */
    @Test
    void whatWaitsIsAcceptedAndNothingComesUpOnceTheListenerIsClosed() throws Exception {
        Channel listener = listen(() -> NioNetwork.SYSTEM.newListener(OPEN));
        SocketAddress at = listener.localAddress();
        try (SocketChannel waits = SocketChannel.open()) {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            loop.submit(() -> {
                        listener.close().addListener(done -> {
                            assertThrows(
                                    ConnectException.class,
                                    () -> SocketChannel.open(at).close());
                            closed.complete(null);
                        });
                        return waits.connect(at);
                    })
                    .sync();
            closed.get(5, TimeUnit.SECONDS);
            loop.submit(() -> {}).sync();
            assertEquals(1, accepted.size());
            assertEquals(waits.getLocalAddress(), accepted.peek());
        }
    }
}
