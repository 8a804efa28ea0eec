package kitemux.net;

import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;
import kitemux.engine.Clock;

/**
 * The clock of an event loop: Unix time in microseconds that never goes backwards. The wall clock is read once;
 * after that, elapsed time is measured with the loop's ticker, because setting the wall clock would shift the
 * deadlines of pending requests.
 */
public final class EventLoopClock implements Clock {
    /** Interval between two ticks: short compared with any deadline, long compared with the cost of a timer. */
    public static final long TICK_INTERVAL_MS = 10;
    /**
     * Delay after which a due timer is overdue. It is short enough for the request's final answer to arrive
     * within half a second of its deadline, after which it no longer counts. It is long enough that a server's
     * response among the unread input has usually been read: with 100 ms, slow simulated nodes reported an
     * unknown outcome to four times as many clients.
     */
    public static final long OVERDUE_TIMER_MS = 350;
    /** Maximum delay of a timer: longer than any process runs, and safe to add to any reading of the ticker. */
    private static final long MAX_DELAY_NANOS = Long.MAX_VALUE / 4;

    private final PollingLoop loop;
    private final Ticker ticker;
    private final long originUs;
    private final long originNanos;
    private final TimerQueue timers = new TimerQueue();
    /** The loop's own timer for the earliest deadline, or null if no timer is scheduled. */
    private Future<?> loopTimer;

    private long loopTimerDueNanos;
    private long lastTickNanos;

    private EventLoopClock(PollingLoop loop, long originUs) {
        this.loop = loop;
        this.originUs = originUs;
        ticker = loop.ticker();
        originNanos = ticker.nanoTime();
        lastTickNanos = originNanos;
    }

    /** Returns a clock that starts at the system's wall clock time. */
    public static EventLoopClock of(PollingLoop loop) {
        return startingAt(loop, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /** Returns a clock that starts at the given Unix time in microseconds. */
    public static EventLoopClock startingAt(PollingLoop loop, long nowUs) {
        return new EventLoopClock(loop, nowUs);
    }

    @Override
    public long nowUs() {
        return originUs + (ticker.nanoTime() - originNanos) / 1_000;
    }

    /**
     * Records a tick; must be called from a timer on the loop every {@link #TICK_INTERVAL_MS}.
     *
     * @return how long the loop was blocked, in microseconds: the time since the last tick beyond the interval
     */
    public long tick() {
        long now = ticker.nanoTime();
        long lateUs = beyondTickIntervalUs(now - lastTickNanos);
        lastTickNanos = now;
        return lateUs;
    }

    /**
     * {@inheritDoc}
     *
     * <p>The lag is measured from the last poll of the sockets. The last tick cannot be used, because a tick,
     * like any due timer, may have waited behind the very task that blocked the loop. The ticks bound the time
     * between polls of a loop that keeps up. A request's time limit runs from its arrival: without this
     * correction, a node that was 100 ms behind would answer 100 ms after the client's deadline.
     */
    @Override
    public long readLagUs() {
        return beyondTickIntervalUs(ticker.nanoTime() - loop.lastPollNanos());
    }

    private static long beyondTickIntervalUs(long elapsedNanos) {
        return Math.max(0, elapsedNanos / 1_000 - TICK_INTERVAL_MS * 1_000);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The task runs among the loop's timers, after the available input has been read; see
     * {@link #runOverdueTimers}.
     */
    @Override
    public Timer schedule(long delayUs, Runnable task) {
        long delayNanos = Math.min(TimeUnit.MICROSECONDS.toNanos(delayUs), MAX_DELAY_NANOS);
        Timer timer = timers.schedule(ticker.nanoTime() + delayNanos, task);
        scheduleLoopTimer();
        return () -> {
            timer.cancel();
            if (timers.isEmpty() && loopTimer != null) {
                cancelLoopTimer();
            }
        };
    }

    /**
     * Runs the timers of {@link #schedule} that have been due for {@link #OVERDUE_TIMER_MS} or longer. This must be
     * called on the loop before each operation that takes time, never from inside an event. A loop that is far
     * behind has much input to read and runs its timers only after that, so requests past their deadline would
     * wait for requests that have just arrived. Timers do not run here as soon as they are due, because the
     * awaited response may be among the unread input.
     */
    public void runOverdueTimers() {
        if (!timers.isEmpty()) {
            timers.runDue(ticker.nanoTime() - TimeUnit.MILLISECONDS.toNanos(OVERDUE_TIMER_MS));
        }
    }

    private void scheduleLoopTimer() {
        if (timers.isEmpty() || loopTimer != null && loopTimerDueNanos - timers.nextDeadlineNanos() <= 0) {
            return;
        }
        if (loopTimer != null) {
            cancelLoopTimer();
        }
        loopTimerDueNanos = timers.nextDeadlineNanos();
        loopTimer = loop.schedule(
                () -> {
                    loopTimer = null;
                    try {
                        timers.runDue(ticker.nanoTime());
                    } finally {
                        scheduleLoopTimer();
                    }
                },
                Math.max(0, loopTimerDueNanos - ticker.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void cancelLoopTimer() {
        loopTimer.cancel(false);
        loopTimer = null;
    }
}
