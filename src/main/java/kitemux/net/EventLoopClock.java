package kitemux.net;

import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;
import kitemux.engine.Clock;

/**
 * The time of an event loop: Unix time in microseconds that never goes back. Wall time is read once, what
 * follows is measured. A wall clock that is set while requests are held would move their deadlines.
 */
public final class EventLoopClock implements Clock {
    /** Between two beats: short against any deadline, long against the cost of a timer. */
    public static final long TICK_INTERVAL_MS = 10;
    /** From here on a timer is overdue. Early enough that its request's final answer is there within half a
     * second of its time, after which it counts as none; late enough that the server's answer, which may be
     * among what is there to be read, mostly has been: at 100 ms slow nodes of the virtual clock told four
     * times as many clients that nobody knows what became of their request. */
    public static final long OVERDUE_TIMER_MS = 350;
    /** Later than any process lives, and early enough to be added to any reading of the clock. */
    private static final long NEVER_NANOS = Long.MAX_VALUE / 4;

    private final PollingLoop loop;
    private final Ticker ticker;
    private final long originUs;
    private final long originNanos;
    private final TimerQueue timers = new TimerQueue();
    /** The loop's timer for the first of them, and when it runs; null if none is set. */
    private Future<?> armed;

    private long armedNanos;
    private long beatNanos;

    private EventLoopClock(PollingLoop loop, long originUs) {
        this.loop = loop;
        this.originUs = originUs;
        ticker = loop.ticker();
        originNanos = ticker.nanoTime();
        beatNanos = originNanos;
    }

    /** From the system's wall clock on. */
    public static EventLoopClock of(PollingLoop loop) {
        return startingAt(loop, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /** From this Unix time in microseconds on, which is the loop's now. */
    public static EventLoopClock startingAt(PollingLoop loop, long nowUs) {
        return new EventLoopClock(loop, nowUs);
    }

    @Override
    public long nowUs() {
        return originUs + (ticker.nanoTime() - originNanos) / 1_000;
    }

    /**
     * To be called from a timer on the loop every {@link #TICK_INTERVAL_MS}.
     *
     * @return how much later than that it comes, in microseconds: for so long the loop was held up
     */
    public long tick() {
        long now = ticker.nanoTime();
        long lateUs = laterThanBeatUs(now - beatNanos);
        beatNanos = now;
        return lateUs;
    }

    /**
     * How long what is read from a socket now may have lain there unread, at most, in microseconds. Only a
     * poll of the sockets tells since when the loop has not looked: a beat does not, which may have waited,
     * as any timer that is due, behind the very task that held the loop up. The beats bound how long a loop
     * that keeps up goes without a poll. A request's time runs from when it came: a node that was a tenth of
     * a second behind would else answer a tenth of a second after the client's time was over.
     */
    @Override
    public long readLagUs() {
        return laterThanBeatUs(ticker.nanoTime() - loop.lastPollNanos());
    }

    private static long laterThanBeatUs(long nanos) {
        return Math.max(0, nanos / 1_000 - TICK_INTERVAL_MS * 1_000);
    }

    /** Runs from the loop's timers, behind what there is to be read; see {@link #runOverdueTimers}. */
    @Override
    public Timer schedule(long us, Runnable task) {
        long nanos = Math.min(TimeUnit.MICROSECONDS.toNanos(us), NEVER_NANOS);
        Timer set = timers.set(ticker.nanoTime() + nanos, task);
        arm();
        return () -> {
            set.cancel();
            if (timers.isEmpty() && armed != null) {
                disarm();
            }
        };
    }

    /**
     * Runs the timers of {@link #schedule} that are due since {@link #OVERDUE_TIMER_MS} and more. To be called on the
     * loop before each thing that takes time, never from inside an event: a loop that is far behind has much
     * to read, and runs its timers only behind all of that. Whoever's time is over would wait for those whose
     * time has just begun. Not at once when they are due: the answer that a request waits for may be among
     * what is there to be read.
     */
    public void runOverdueTimers() {
        if (!timers.isEmpty()) {
            timers.run(ticker.nanoTime() - TimeUnit.MILLISECONDS.toNanos(OVERDUE_TIMER_MS));
        }
    }

    private void arm() {
        if (timers.isEmpty() || armed != null && armedNanos - timers.firstNanos() <= 0) {
            return;
        }
        if (armed != null) {
            disarm();
        }
        armedNanos = timers.firstNanos();
        armed = loop.schedule(
                () -> {
                    armed = null;
                    try {
                        timers.run(ticker.nanoTime());
                    } finally {
                        arm();
                    }
                },
                Math.max(0, armedNanos - ticker.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void disarm() {
        armed.cancel(false);
        armed = null;
    }
}
