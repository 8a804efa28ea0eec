package kitemux.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;

/**
 * Wraps the selector of an event loop and rounds the wait for timers up to whole milliseconds. Selectors have a
 * resolution of one millisecond. Netty rounds to the nearest, so in the last half millisecond it polls
 * continuously until the timer is due; with a timer every few milliseconds this took most of a node's processor
 * time. The drawback is that timers run up to one millisecond late. This class also records when the sockets
 * were polled, for {@link PollingLoop}.
 */
public final class MillisecondTimerIoHandler implements IoHandler {
    private static final long NANOS_PER_MS = 1_000_000;
    /** Longest wait of a loop with ticks; a longer one shows that the process was held up meanwhile. */
    private static final long MAX_WAIT_NANOS = 2 * EventLoopClock.TICK_INTERVAL_MS * NANOS_PER_MS;

    private final IoHandler selector;
    private final Ticker ticker = Ticker.systemTicker();
    /** Time at which the selector last returned the ready sockets. */
    private long lastSelectNanos = ticker.nanoTime();

    private long lastPollNanos = lastSelectNanos;

    private MillisecondTimerIoHandler(IoHandler selector) {
        this.selector = selector;
    }

    /** Returns a factory for event loops that use the system's selector. */
    public static IoHandlerFactory factory() {
        return wrapping(NioIoHandler.newFactory());
    }

    static IoHandlerFactory wrapping(IoHandlerFactory selectors) {
        return executor -> new MillisecondTimerIoHandler(selectors.newHandler(executor));
    }

    /** Returns the time of {@link PollingLoop#lastPollNanos}. */
    long lastPollNanos() {
        return lastPollNanos;
    }

    /** The loop's context with timer delays rounded up to whole milliseconds. */
    private final class RoundedTimerContext implements IoHandlerContext {
        private final IoHandlerContext loop;

        RoundedTimerContext(IoHandlerContext loop) {
            this.loop = loop;
        }

        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long delayNanos = loop.delayNanos(currentTimeNanos);
            // Values near the maximum mean that no timer is set; rounding them would overflow.
            return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MS
                    ? delayNanos
                    : (delayNanos + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loop.reportActiveIoTime(activeNanos);
        }

        /** Netty calls this once per loop iteration, after the wait and before any input is read. */
        @Override
        public boolean shouldReportActiveIoTime() {
            lastSelectNanos = ticker.nanoTime();
            return loop.shouldReportActiveIoTime();
        }
    }

    @Override
    public void initialize() {
        selector.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        long startNanos = ticker.nanoTime();
        int handled = selector.run(new RoundedTimerContext(context));
        // A wait that a stop of the process interrupts ends without a look at the sockets.
        boolean isInterrupted = handled == 0 && lastSelectNanos - startNanos > MAX_WAIT_NANOS;
        lastPollNanos = isInterrupted ? startNanos : lastSelectNanos;
        return handled;
    }

    @Override
    public void prepareToDestroy() {
        selector.prepareToDestroy();
    }

    @Override
    public void destroy() {
        selector.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return selector.register(handle);
    }

    @Override
    public void wakeup() {
        selector.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return selector.isCompatible(type);
    }
}
