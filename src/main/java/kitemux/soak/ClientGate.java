package kitemux.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Where clients rest between requests: a gathering holds them all until they send at one instant. */
final class ClientGate {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private boolean holding;
    private boolean closed;

    /**
     * Rests for so long, or, for one that joins, until a gathering ends; false once the play is over.
     */
    boolean pause(long pauseMs, boolean waitsForGate) throws InterruptedException {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(pauseMs);
        lock.lock();
        try {
            while (!closed && (waitsForGate && holding || remainingNanos > 0)) {
                if (waitsForGate && holding) {
                    stateChanged.await();
                    remainingNanos = holding ? remainingNanos : 0;
                } else {
                    remainingNanos = stateChanged.awaitNanos(remainingNanos);
                }
            }
            return !closed;
        } finally {
            lock.unlock();
        }
    }

    /** From now on those who rest stay, until this is called with false: then all send. */
    void setHolding(boolean enabled) {
        update(() -> holding = enabled);
    }

    /** Ends the play. */
    void close() {
        update(() -> closed = true);
    }

    private void update(Runnable action) {
        lock.lock();
        try {
            action.run();
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
