package kitemux.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Measures for how long an event loop has not polled its sockets. A timer that fires late shows a task that takes
 * long, or a thread that did not get a processor. Methods are called on the loop unless stated otherwise.
 */
public final class LoopStallMonitor {
    private static final long INTERVAL_NANOS = 5_000_000;
    /** Shorter delays are the usual jitter of timers. */
    private static final long MIN_REPORTED_STALL_NANOS = 15_000_000;

    private final EventLoop loop;
    private final LongConsumer stallListener;
    private volatile long totalStallNanos;
    private boolean stopped;

    /**
     * Creates a monitor that measures nothing before {@link #start}.
     *
     * @param stallListener called on the loop with the length of each reported stall in nanoseconds
     */
    public LoopStallMonitor(EventLoop loop, LongConsumer stallListener) {
        this.loop = loop;
        this.stallListener = stallListener;
    }

    /** Starts the measurement. */
    public void start() {
        scheduleNext();
    }

    /** Ends the measurement. */
    public void stop() {
        stopped = true;
    }

    /** Returns the sum of all reported stalls in nanoseconds; may be called from any thread. */
    public long totalStallNanos() {
        return totalStallNanos;
    }

    private void scheduleNext() {
        long due = System.nanoTime() + INTERVAL_NANOS;
        loop.schedule(
                () -> {
                    long stallNanos = System.nanoTime() - due;
                    if (stopped) {
                        return;
                    }
                    if (stallNanos > MIN_REPORTED_STALL_NANOS) {
                        totalStallNanos += stallNanos;
                        stallListener.accept(stallNanos);
                    }
                    scheduleNext();
                },
                INTERVAL_NANOS,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task on the loop after a poll of the sockets that starts later than this call; may be called from any
     * thread. Submitting the task alone is not enough, as it may run in the iteration whose poll is already over.
     */
    public static void runAfterSocketPoll(EventLoop loop, Runnable task) {
        loop.execute(() -> loop.schedule(task, 1, TimeUnit.MILLISECONDS));
    }
}
