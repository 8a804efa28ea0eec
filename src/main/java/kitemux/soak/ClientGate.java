package kitemux.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Where clients rest between requests: a gathering holds them all until they send at one instant. */
final class ClientGate {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private boolean gathering;
    private boolean over;

    /**
     * Rests for so long, or, for one that joins, until a gathering ends; false once the play is over.
     */
    boolean rest(long ms, boolean joins) throws InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(ms);
        lock.lock();
        try {
            while (!over && (joins && gathering || left > 0)) {
                if (joins && gathering) {
                    changed.await();
                    left = gathering ? left : 0;
                } else {
                    left = changed.awaitNanos(left);
                }
            }
            return !over;
        } finally {
            lock.unlock();
        }
    }

    /** From now on those who rest stay, until this is called with false: then all send. */
    void gather(boolean now) {
        change(() -> gathering = now);
    }

    /** Ends the play. */
    void end() {
        change(() -> over = true);
    }

    private void change(Runnable what) {
        lock.lock();
        try {
            what.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
