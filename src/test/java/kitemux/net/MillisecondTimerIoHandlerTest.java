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
    private static final int TIMERS = 50;
    /** Short of half a millisecond past a whole one: the case in which selectors are asked to hurry. */
    private static final long EACH_US = 2_400;

    /** How often the loop looks at its selector until so many timers have run, one after another. */
    private static int looks(boolean whole) throws InterruptedException {
        AtomicInteger looks = new AtomicInteger();
        IoHandlerFactory plain = NioIoHandler.newFactory(SelectorProvider.provider(), () -> (now, hasTasks) -> {
            looks.incrementAndGet();
            return hasTasks ? now.get() : SelectStrategy.SELECT;
        });
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, whole ? MillisecondTimerIoHandler.over(plain) : plain);
        EventLoop loop = (EventLoop) group.next();
        CountDownLatch ran = new CountDownLatch(TIMERS);
        Runnable again = new Runnable() {
            @Override
            public void run() {
                ran.countDown();
                if (ran.getCount() > 0) {
                    loop.schedule(this, EACH_US, TimeUnit.MICROSECONDS);
                }
            }
        };
        loop.execute(again);
        assertTrue(ran.await(20, TimeUnit.SECONDS));
        int looked = looks.get();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        return looked;
    }

    @Test
    void aLoopLooksOnceForATimerAndNotUntilItIsDue() throws InterruptedException {
        int whole = looks(true);
        // A look more where the system woke it early, and some as it starts.
        assertTrue(whole <= 3 * TIMERS, "looked " + whole + " times for " + TIMERS + " timers");
        int plain = looks(false);
        assertTrue(plain > whole, "it hurries no more without: " + plain + " and " + whole);
    }

    @Test
    void timersRunAndTasksFromElsewhereWakeTheLoop() throws Exception {
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
