package kitemux.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;

/**
 * The selector of a node's loop, which waits for timers in whole milliseconds, rounded up. Selectors know no
 * finer time; the network library rounds to the nearest, so with less than half a millisecond to go it looks
 * again and again until the timer is due. With a timer every few milliseconds that was most of what a node
 * used of its processor. Harm: timers are up to a millisecond later. It also notes when it has polled the
 * sockets, for {@link PollingLoop}.
 */
public final class MillisecondTimerIoHandler implements IoHandler {
    private static final long MILLI = 1_000_000;

    private final IoHandler selector;
    private final Ticker ticker = Ticker.systemTicker();
    /** When the selector last said what there is to be read. */
    private long saidNanos = ticker.nanoTime();

    private long polledNanos = saidNanos;

    private MillisecondTimerIoHandler(IoHandler selector) {
        this.selector = selector;
    }

    /** For an event loop over the system's selector. */
    public static IoHandlerFactory factory() {
        return over(NioIoHandler.newFactory());
    }

    static IoHandlerFactory over(IoHandlerFactory selectors) {
        return executor -> new MillisecondTimerIoHandler(selectors.newHandler(executor));
    }

    /** As {@link PollingLoop#lastPollNanos}. */
    long polledNanos() {
        return polledNanos;
    }

    /** What the loop tells of its timers, rounded. */
    private final class Rounded implements IoHandlerContext {
        private final IoHandlerContext loop;

        Rounded(IoHandlerContext loop) {
            this.loop = loop;
        }

        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long nanos = loop.delayNanos(currentTimeNanos);
            // Also up to where the sum would run over: that is no delay at all but "none is set".
            return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI ? nanos : (nanos + MILLI - 1) / MILLI * MILLI;
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loop.reportActiveIoTime(activeNanos);
        }

        /** Asked once a turn, behind the wait and before anything is read. */
        @Override
        public boolean shouldReportActiveIoTime() {
            saidNanos = ticker.nanoTime();
            return loop.shouldReportActiveIoTime();
        }
    }

    @Override
    public void initialize() {
        selector.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        int handled = selector.run(new Rounded(context));
        polledNanos = saidNanos;
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
