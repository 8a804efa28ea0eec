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

class SelectorLoopTest {
    private final SelectorLoop loop = SelectorLoop.open();

    @AfterEach
    void close() throws InterruptedException {
        loop.parent().shutdownGracefully(0, 20, TimeUnit.SECONDS).sync();
    }

    /** What has waited in the selector has not lain there unread. */
    @Test
    void aPollIsWhereItsWaitEnds() throws Exception {
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
    void whileItReadsAPollIsTheOneBeforeAndInTasksItIsOfTheirTurn() throws Exception {
        CompletableFuture<Long> reading = new CompletableFuture<>();
        CompletableFuture<Long> behind = new CompletableFuture<>();
        try (ServerSocket far = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object bytes) {
                            ((ByteBuf) bytes).release();
                            reading.complete(loop.lastPollNanos());
                            loop.execute(() -> behind.complete(loop.lastPollNanos()));
                        }
                    })
                    .connect(far.getLocalSocketAddress())
                    .sync();
            try (Socket peer = far.accept()) {
                CountDownLatch standing = new CountDownLatch(1);
                CountDownLatch release = new CountDownLatch(1);
                loop.execute(() -> {
                    standing.countDown();
                    try {
                        release.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                standing.await();
                long writtenNanos = loop.ticker().nanoTime();
                peer.getOutputStream().write(0);
                release.countDown();
                assertTrue(reading.get(20, TimeUnit.SECONDS) - writtenNanos < 0);
                assertTrue(behind.get(20, TimeUnit.SECONDS) - writtenNanos > 0);
            }
        }
    }
}
