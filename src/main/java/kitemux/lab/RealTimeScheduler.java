package kitemux.lab;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import kitemux.sim.Scheduler;

/**
 * Runs the events of a scheduler in real time on one event loop. A timer of the loop triggers due events; they also
 * run before any external event. As all events run on one thread, servers and clients written for virtual time need
 * no locks.
 */
final class RealTimeScheduler {
    /** Shorter delays are the usual jitter of timers. */
    private static final long MIN_REPORTED_DELAY_NANOS = 15_000_000;

    private final Scheduler scheduler = new Scheduler();
    private final EventLoop loop;
    private final LongConsumer delayListener;
    private long startNanos;
    private boolean started;
    private boolean runningDueEvents;
    private Future<?> timer;
    private long timerDueNanos;
    private long maxDelayNanos;
    private RuntimeException failure;

    /**
     * Creates a scheduler that is not started.
     *
     * @param delayListener called with the delay in microseconds when the run was noticeably behind its clock
     */
    RealTimeScheduler(EventLoop loop, LongConsumer delayListener) {
        this.delayListener = delayListener;
        this.loop = loop;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Starts the run: its time is 0 now. */
    void start() {
        startNanos = System.nanoTime();
        started = true;
    }

    /** Returns the longest delay of a due event in microseconds, which limits the accuracy of the run's results. */
    long maxDelayUs() {
        return maxDelayNanos / 1_000;
    }

    /** Runs an external event, after all events that are due before it. */
    void runExternalEvent(Runnable event) {
        if (runningDueEvents || !started) {
            // The event is caused by one that is running now, at the run's current time, or the run has not started.
            event.run();
            return;
        }
        runDueEvents();
        try {
            event.run();
        } catch (RuntimeException e) {
            recordFailure(e);
        }
        armTimer();
    }

    /** Records a defect that an event has met, so that it is not mistaken for a result of the fleet. */
    private void recordFailure(RuntimeException e) {
        if (failure == null) {
            failure = e;
        }
    }

    /** Returns the first recorded defect, or null. */
    RuntimeException failure() {
        return failure;
    }

    private void runDueEvents() {
        runningDueEvents = true;
        try {
            long now = System.nanoTime() - startNanos;
            long delayNanos = now - scheduler.nextEventNanos();
            // Events that are due behind a slow one are late as well, so the delay of each is taken into account.
            while (scheduler.runNext(now)) {
                now = System.nanoTime() - startNanos;
                delayNanos = Math.max(delayNanos, now - scheduler.nextEventNanos());
            }
            recordDelay(delayNanos);
        } catch (RuntimeException e) {
            recordFailure(e);
        } finally {
            runningDueEvents = false;
        }
    }

    /** Records that the run has been behind its clock until now. */
    void recordDelay(long delayNanos) {
        maxDelayNanos = Math.max(maxDelayNanos, delayNanos);
        if (delayNanos > MIN_REPORTED_DELAY_NANOS) {
            delayListener.accept(delayNanos / 1_000);
        }
    }

    private void armTimer() {
        long next = scheduler.nextEventNanos();
        if (timer != null && timerDueNanos <= next) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        if (next != Long.MAX_VALUE) {
            timerDueNanos = next;
            timer = loop.schedule(
                    () -> {
                        timer = null;
                        runDueEvents();
                        armTimer();
                    },
                    Math.max(0, next - (System.nanoTime() - startNanos)),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Stops running due events. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
        timerDueNanos = Long.MIN_VALUE;
        timer = loop.newSucceededFuture(null);
    }
}
