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

/** Tests failed accepts and the closing of a listener while connections arrive. */
class ClientListenerTest {
    /** Number of consecutive accept calls that fail. */
    private static final int ACCEPT_FAILURE_COUNT = 5;
    /** Number of connections that arrive while the listener closes. */
    private static final int FLOOD_CONNECTION_COUNT = 1_500;

    /** Half of the time for which Netty stops accepting after a failure. */
    private static final long MAX_RETRY_DELAY_NANOS = 500_000_000;

    private final SelectorLoop loop = SelectorLoop.open();
    private final Queue<SocketAddress> accepted = new ConcurrentLinkedQueue<>();

    private static final Network.AcceptGate UNRESTRICTED_GATE = new Network.AcceptGate() {
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
    void shutDownLoop() throws InterruptedException {
        loop.parent().shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
    }

    /** Guards against a listener that stops accepting for a second after each failed accept. */
    @Test
    void failedAcceptIsRetriedWithinTensOfMilliseconds() throws Exception {
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
                if (failures.get() < ACCEPT_FAILURE_COUNT) {
                    throw new IOException("Too many open files in system");
                }
                return super.accept();
            }
        });
        try (SocketChannel client = SocketChannel.open(listener.localAddress())) {
            long retryDelayNanos = acceptedAtNanos.get(5, TimeUnit.SECONDS) - lastFailureNanos.get();
            assertEquals(ACCEPT_FAILURE_COUNT, failures.get());
            assertTrue(client.isConnected());
            assertTrue(retryDelayNanos < MAX_RETRY_DELAY_NANOS, "accepted only after " + retryDelayNanos);
        }
    }

    /** Guards against a closing listener that accepts forever while connections keep arriving. */
    @Test
    void closeAcceptsAtMostTheBacklog() throws Exception {
        AtomicBoolean closing = new AtomicBoolean();
        Queue<SocketChannel> flood = new ConcurrentLinkedQueue<>();
        Channel listener = listen(() -> new ClientListener(UNRESTRICTED_GATE) {
            @Override
            SocketChannel accept() throws IOException {
                if (closing.get() && flood.size() < FLOOD_CONNECTION_COUNT) {
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

    /** Guards against connections that the system completes and then resets when their listener closes. */
    @Test
    void closeAcceptsWaitingConnectionsAndRefusesNewOnes() throws Exception {
        Channel listener = listen(() -> NioNetwork.SYSTEM.newListener(UNRESTRICTED_GATE));
        SocketAddress address = listener.localAddress();
        try (SocketChannel waiting = SocketChannel.open()) {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            loop.submit(() -> {
                        listener.close().addListener(done -> {
                            assertThrows(
                                    ConnectException.class,
                                    () -> SocketChannel.open(address).close());
                            closed.complete(null);
                        });
                        return waiting.connect(address);
                    })
                    .sync();
            closed.get(5, TimeUnit.SECONDS);
            loop.submit(() -> {}).sync();
            assertEquals(1, accepted.size());
            assertEquals(waiting.getLocalAddress(), accepted.peek());
        }
    }
}
