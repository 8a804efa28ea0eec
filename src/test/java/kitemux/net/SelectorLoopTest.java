package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the poll time that an event loop reports. */
class SelectorLoopTest {
    private final SelectorLoop loop = SelectorLoop.open();

    @AfterEach
    void close() throws InterruptedException {
        loop.parent().shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    /** Time that the loop spends waiting in the selector does not count as read lag. */
    @Test
    void pollTimeIsTakenAfterTheSelectorWait() throws Exception {
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(200);
        CompletableFuture<Long> waited = new CompletableFuture<>();
        loop.execute(() -> {
            long sinceNanos = loop.ticker().nanoTime();
            loop.schedule(() -> waited.complete(loop.lastPollNanos() - sinceNanos), waitNanos, TimeUnit.NANOSECONDS);
        });
        long nanos = waited.get(20, TimeUnit.SECONDS);
        assertTrue(nanos >= waitNanos / 2, "polled " + nanos + " ns after the timer was set");
    }

    @Test
    void readsSeeThePreviousPollAndTasksSeeTheCurrentOne() throws Exception {
        CompletableFuture<Long> whileReading = new CompletableFuture<>();
        CompletableFuture<Long> inTask = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            whileReading.complete(loop.lastPollNanos());
                            loop.execute(() -> inTask.complete(loop.lastPollNanos()));
                        }
                    })
                    .connect(server.getLocalSocketAddress())
                    .sync();
            try (Socket peer = server.accept()) {
                CountDownLatch blocked = new CountDownLatch(1);
                CountDownLatch release = new CountDownLatch(1);
                loop.execute(() -> {
                    blocked.countDown();
                    try {
                        release.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                blocked.await();
                long writtenNanos = loop.ticker().nanoTime();
                peer.getOutputStream().write(0);
                release.countDown();
                assertTrue(whileReading.get(20, TimeUnit.SECONDS) - writtenNanos < 0);
                assertTrue(inTask.get(20, TimeUnit.SECONDS) - writtenNanos > 0);
            }
        }
    }
}
