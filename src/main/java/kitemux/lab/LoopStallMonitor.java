package kitemux.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Measures for how long an event loop has not looked at its sockets, by a timer that comes with each of its
 * turns: a turn that takes long, or a thread that has no processor, is a beat that comes late. Called on the
 * loop.
 */
public final class LoopStallMonitor {
    private static final long EVERY_NANOS = 5_000_000;
    /** Under this it is the usual unevenness of timers. */
    private static final long TELL_NANOS = 15_000_000;

    private final EventLoop loop;
    private final LongConsumer late;
    private volatile long totalStallNanos;
    private boolean stopped;

    /**
     * Does not beat before {@link #start}.
     *
     * @param late told on the loop by how many nanoseconds a beat came late, where that is worth telling
     */
    public LoopStallMonitor(EventLoop loop, LongConsumer late) {
        this.loop = loop;
        this.late = late;
    }

    public void start() {
        next();
    }

    /** It beats no more. */
    public void stop() {
        stopped = true;
    }

    /** The sum of what was told, from any thread. */
    public long totalStallNanos() {
        return totalStallNanos;
    }

    private void next() {
        long due = System.nanoTime() + EVERY_NANOS;
        loop.schedule(
                () -> {
                    long by = System.nanoTime() - due;
                    if (stopped) {
                        return;
                    }
                    if (by > TELL_NANOS) {
                        totalStallNanos += by;
                        late.accept(by);
                    }
                    next();
                },
                EVERY_NANOS,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Does something after a look at the sockets that begins later than now; from any thread. A task alone
     * would not do: it may run in the turn whose look was before.
     */
    public static void runAfterSocketPoll(EventLoop loop, Runnable what) {
        loop.execute(() -> loop.schedule(what, 1, TimeUnit.MILLISECONDS));
    }
}
