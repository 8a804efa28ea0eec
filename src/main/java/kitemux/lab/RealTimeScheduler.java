package kitemux.lab;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import kitemux.sim.Scheduler;

/**
 * Lets a run's time pass as the clock does, on one event loop: what is due happens by a timer of the loop,
 * and before anything that comes from outside. One thread has it all, so that servers and clients that were
 * written for virtual time need no locks here.
 */
final class RealTimeScheduler {
    /** Under this it is the usual unevenness of timers. */
    private static final long TELL_NANOS = 15_000_000;

    private final Scheduler time = new Scheduler();
    private final EventLoop loop;
    private final LongConsumer late;
    private long beganNanos;
    private boolean began;
    private boolean passing;
    private Future<?> armed;
    private long armedAt;
    private long mostLateNanos;
    private RuntimeException failure;

    /**
     * @param late told when the run was behind by so many microseconds, where that is worth telling
     */
    RealTimeScheduler(EventLoop loop, LongConsumer late) {
        this.late = late;
        this.loop = loop;
    }

    Scheduler scheduler() {
        return time;
    }

    /** The run's time is 0 now. */
    void begin() {
        beganNanos = System.nanoTime();
        began = true;
    }

    /** The longest that something due was late by, in microseconds: what a run says is as good as this. */
    long mostLateUs() {
        return mostLateNanos / 1_000;
    }

    /** Something comes from outside: what was due before it happens first. */
    void happens(Runnable what) {
        if (passing || !began) {
            // It came of what is happening now, whose time is the run's; or before its time began.
            what.run();
            return;
        }
        pass();
        try {
            what.run();
        } catch (RuntimeException e) {
            failed(e);
        }
        arm();
    }

    /** A defect met by one event must not pass for what a fleet did. */
    private void failed(RuntimeException e) {
        if (failure == null) {
            failure = e;
        }
    }

    /** The first defect that was met, or null. */
    RuntimeException failure() {
        return failure;
    }

    private void pass() {
        passing = true;
        try {
            long now = System.nanoTime() - beganNanos;
            long by = now - time.nextEventNanos();
            // What is due behind a step that took long is late as well: not just the first is looked at.
            while (time.runNext(now)) {
                now = System.nanoTime() - beganNanos;
                by = Math.max(by, now - time.nextEventNanos());
            }
            wasLate(by);
        } catch (RuntimeException e) {
            failed(e);
        } finally {
            passing = false;
        }
    }

    /** It has been behind by so much, until now. */
    void wasLate(long byNanos) {
        mostLateNanos = Math.max(mostLateNanos, byNanos);
        if (byNanos > TELL_NANOS) {
            late.accept(byNanos / 1_000);
        }
    }

    private void arm() {
        long next = time.nextEventNanos();
        if (armed != null && armedAt <= next) {
            return;
        }
        if (armed != null) {
            armed.cancel(false);
            armed = null;
        }
        if (next != Long.MAX_VALUE) {
            armedAt = next;
            armed = loop.schedule(
                    () -> {
                        armed = null;
                        pass();
                        arm();
                    },
                    Math.max(0, next - (System.nanoTime() - beganNanos)),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Nothing more happens by itself. */
    void stop() {
        if (armed != null) {
            armed.cancel(false);
        }
        armedAt = Long.MIN_VALUE;
        armed = loop.newSucceededFuture(null);
    }
}
