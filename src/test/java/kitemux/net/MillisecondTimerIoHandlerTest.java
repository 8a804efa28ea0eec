package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that rounding timer delays avoids repeated polls of the selector. */
class MillisecondTimerIoHandlerTest {
    private static final int TIMER_COUNT = 50;
    /** Less than half a millisecond above a whole number, the case in which unrounded selectors poll continuously. */
    private static final long TIMER_DELAY_US = 2_400;

    /** Returns how often the loop polls its selector until {@link #TIMER_COUNT} timers have run in sequence. */
    private static int countSelects(boolean rounded) throws InterruptedException {
        AtomicInteger selects = new AtomicInteger();
        IoHandlerFactory selectors = NioIoHandler.newFactory(SelectorProvider.provider(), () -> (now, hasTasks) -> {
            selects.incrementAndGet();
            return hasTasks ? now.get() : SelectStrategy.SELECT;
        });
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, rounded ? MillisecondTimerIoHandler.wrapping(selectors) : selectors);
        EventLoop loop = (EventLoop) group.next();
        CountDownLatch ran = new CountDownLatch(TIMER_COUNT);
        Runnable chainedTimer = new Runnable() {
            @Override
            public void run() {
                ran.countDown();
                if (ran.getCount() > 0) {
                    loop.schedule(this, TIMER_DELAY_US, TimeUnit.MICROSECONDS);
                }
            }
        };
        loop.execute(chainedTimer);
        assertTrue(ran.await(20, TimeUnit.SECONDS));
        int selectCount = selects.get();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        return selectCount;
    }

    @Test
    void loopSelectsOnceForEachTimer() throws InterruptedException {
        int rounded = countSelects(true);
        // Allows for early wake-ups by the system and for some polls at the start.
        assertTrue(rounded <= 3 * TIMER_COUNT, "polled " + rounded + " times for " + TIMER_COUNT + " timers");
        int unrounded = countSelects(false);
        assertTrue(unrounded > rounded, "unrounded timers do not poll more often: " + unrounded + " and " + rounded);
    }

    @Test
    void timersRunAndExternalTasksWakeTheLoop() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MillisecondTimerIoHandler.factory());
        try {
            assertEquals("task", group.submit(() -> "task").get(20, TimeUnit.SECONDS));
            assertEquals(
                    "timer",
                    group.schedule(() -> "timer", 1, TimeUnit.MILLISECONDS).get(20, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}
