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

class MillisecondTimerIoHandlerTest {
    private static final int TIMER_COUNT = 50;
    /** Short of half a millisecond past a whole one: the case in which selectors are asked to hurry. */
    private static final long TIMER_DELAY_US = 2_400;

    /** How often the loop looks at its selector until so many timers have run, one after another. */
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
        // A look more where the system woke it early, and some as it starts.
        assertTrue(rounded <= 3 * TIMER_COUNT, "looked " + rounded + " times for " + TIMER_COUNT + " timers");
        int unrounded = countSelects(false);
        assertTrue(unrounded > rounded, "it hurries no more without: " + unrounded + " and " + rounded);
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
