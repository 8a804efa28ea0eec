package kitemux.engine;

/** The clock and the timers of the one thread that a node runs on. */
public interface Clock {
    /** A task that has not run yet. */
    interface Timer {
        /** Calls it off; without effect once it has run. */
        void cancel();
    }

    /** Unix time in microseconds that never goes back. */
    long nowUs();

    /**
     * How long what is read from a socket now may have lain there unread, at most, in microseconds: 0 while
     * the loop keeps up. True of what comes from sockets, and not inside timers.
     */
    default long readLagUs() {
        return 0;
    }

    /** Runs a task on the loop so many microseconds from now or soon after, never from inside this call. */
    Timer schedule(long us, Runnable task);
}
