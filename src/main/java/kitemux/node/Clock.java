package kitemux.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time in microseconds that never goes back: wall time is read once, what follows is measured. A wall
 * clock that is set while requests are held would move their deadlines.
 */
final class Clock {
    private final long originUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long originNanos = System.nanoTime();

    long nowUs() {
        return originUs + (System.nanoTime() - originNanos) / 1_000;
    }
}
