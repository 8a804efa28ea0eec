package kitemux.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Paces the clients between requests. While the gate is held, the clients that wait for it stay paused, so that
 * all of them send at the same instant once it opens.
 */
final class ClientGate {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private boolean holding;
    private boolean closed;

    /**
     * Pauses the calling client.
     *
     * @param pauseMs length of the pause in milliseconds
     * @param waitsForGate whether the pause lasts as long as the gate is held, and ends once it opens
     * @return false once the run is over
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

    /** Holds the gate, or opens it so that all waiting clients go on. */
    void setHolding(boolean enabled) {
        update(() -> holding = enabled);
    }

    /** Ends all pauses; the run is over. */
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
