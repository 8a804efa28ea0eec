package kitemux.engine;

/** The clock and timers of the event loop thread that a node runs on. */
public interface Clock {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once the task has run. */
        void cancel();
    }

    /** Returns the current Unix time in microseconds; it never goes backwards. */
    long nowUs();

    /**
     * Returns the longest time, in microseconds, that data read from a socket now may have waited to be read;
     * 0 while the loop keeps up. The value is valid while socket events are handled, not inside timers.
     */
    default long readLagUs() {
        return 0;
    }

    /**
     * Runs a task on the loop once the delay has passed, never from inside this call.
     *
     * @param delayUs delay in microseconds
     */
    Timer schedule(long delayUs, Runnable task);
}
