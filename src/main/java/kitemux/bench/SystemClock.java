package kitemux.bench;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import kitemux.engine.Clock;

/** The system's time, read at the same cost as by a node's event loop. Its timers never fire. */
final class SystemClock implements Clock {
    private final long startUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long startNanos = System.nanoTime();

    @Override
    public long nowUs() {
        return startUs + (System.nanoTime() - startNanos) / 1_000;
    }

    @Override
    public Timer schedule(long delayUs, Runnable task) {
        return () -> {};
    }
}
