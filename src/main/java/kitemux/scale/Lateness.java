package kitemux.scale;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Whether this process gets a processor when it wants one: a thread that sleeps for a short time again and
 * again, and notes by how much it woke late. A run that was late itself says little of what it measured.
 */
final class Lateness implements AutoCloseable {
    private static final long BEAT_NANOS = 5_000_000;
    /** From here on a run says that it was late: a third of the longest turns that it looks for. */
    private static final long LATE_US = 20_000;

    private final AtomicLong mostNanos = new AtomicLong();
    private volatile boolean over;

    /** Looks from now on. */
    Lateness() {
        Thread thread = new Thread(
                () -> {
                    while (!over) {
                        long until = System.nanoTime() + BEAT_NANOS;
                        LockSupport.parkNanos(BEAT_NANOS);
                        mostNanos.accumulateAndGet(System.nanoTime() - until, Math::max);
                    }
                },
                "lateness");
        thread.setDaemon(true);
        thread.start();
    }

    /** Another part of this process was late by so many microseconds. */
    void was(long us) {
        mostNanos.accumulateAndGet(us * 1_000, Math::max);
    }

    long mostUs() {
        return mostNanos.get() / 1_000;
    }

    boolean isLate() {
        return mostUs() > LATE_US;
    }

    void begin() {
        mostNanos.set(0);
    }

    @Override
    public void close() {
        over = true;
    }
}
