package kitemux.world;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.ManualIoEventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.net.PollingLoop;
import kitemux.sim.Scheduler;

/**
 * A node's event loop on virtual time. A turn is what it is on real sockets: all that is ready is read, in no
 * order that can be relied upon, then tasks and timers run. The world says when the next turn is.
 */
final class WorldLoop extends ManualIoEventLoop implements PollingLoop {
    private final Readiness readiness;

    /** A channel that the loop asks, in each turn in which something has happened to it. */
    interface Ready {
        /** Does what there is to be done; true if there is more for the next turn. */
        boolean process();
    }

    WorldLoop(Scheduler time, Machine machine, Random order) {
        this(new VirtualTicker(time, machine), machine, order);
    }

    private WorldLoop(VirtualTicker ticker, Machine machine, Random order) {
        this(ticker, new Readiness(ticker, machine, order));
    }

    private WorldLoop(VirtualTicker ticker, Readiness readiness) {
        super(null, Thread.currentThread(), executor -> readiness, ticker);
        this.readiness = readiness;
    }

    void ready(Ready channel) {
        readiness.changed.add(channel);
    }

    boolean hasReady() {
        return !readiness.changed.isEmpty();
    }

    @Override
    public long lastPollNanos() {
        return readiness.polledNanos;
    }

    /** Nanoseconds until the next timer; negative if there is none. */
    long untilTimer() {
        return nextScheduledTaskNano();
    }

    /** Stands in for a selector. */
    private static final class Readiness implements IoHandler {
        private final Ticker ticker;
        private final Machine machine;
        private final Random order;
        private final Set<Ready> changed = new LinkedHashSet<>();
        private long polledNanos;

        Readiness(Ticker ticker, Machine machine, Random order) {
            this.ticker = ticker;
            this.machine = machine;
            this.order = order;
        }

        @Override
        public int run(IoHandlerContext context) {
            long saidNanos = ticker.nanoTime();
            int handled = process();
            polledNanos = saidNanos;
            return handled;
        }

        private int process() {
            if (changed.isEmpty()) {
                return 0;
            }
            List<Ready> now = new ArrayList<>(changed);
            changed.clear();
            Collections.shuffle(now, order);
            for (Ready channel : now) {
                machine.does();
                if (channel.process()) {
                    changed.add(channel);
                }
            }
            return now.size();
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("channels of the world tell the loop themselves");
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return false;
        }
    }

    /** The world's time as Netty asks for it, which passes within a turn as far as that is counted. */
    private static final class VirtualTicker implements Ticker {
        private final Scheduler time;
        private final Machine machine;

        VirtualTicker(Scheduler time, Machine machine) {
            this.time = time;
            this.machine = machine;
        }

        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return time.nowNanos() + machine.spent;
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            throw new UnsupportedOperationException("nothing sleeps in a world of one thread");
        }
    }
}
