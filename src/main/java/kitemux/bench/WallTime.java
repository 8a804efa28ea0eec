package kitemux.bench;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import kitemux.engine.Clock;

/** The system's time, read as cheaply as a node's loop reads it, and no timers: nothing here is ever late. */
final class WallTime implements Clock {
    private final long beganUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long beganNanos = System.nanoTime();

    @Override
    public long nowUs() {
        return beganUs + (System.nanoTime() - beganNanos) / 1_000;
    }

    @Override
    public Timer schedule(long us, Runnable task) {
        return () -> {};
    }
}
