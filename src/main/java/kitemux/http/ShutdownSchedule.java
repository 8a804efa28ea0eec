package kitemux.http;

/**
 * When the phases of a shutdown begin, in microseconds on the loop's clock. All of them lie before the earliest
 * SIGKILL that the platform allows.
 *
 * @param listenUntilUs the listener closes
 * @param idleUntilUs unused connections close
 * @param answerByUs every request that is held has its final answer
 */
public record ShutdownSchedule(long listenUntilUs, long idleUntilUs, long answerByUs) {
    /** The platform kills a process so long after SIGTERM and the longest deadline, at the earliest. */
    static final long KILL_AFTER_DEADLINE_US = 700_000;
    /** A longest deadline above this counts as this. */
    static final long MOST_DEADLINE_US = 3_000_000;
    /** Between the platform's SIGTERM and the moment in which the process knows of it, at most. */
    static final long SIGNAL_DELAY_US = 150_000;
    /** How late the loop may run a timer and write the answers. */
    static final long LOOP_DELAY_US = 150_000;
    /** What a request that crosses the close of its unused connection has for its answer, at least. */
    static final long CROSSING_US = 400_000;

    /**
     * The schedule of a process that was told to end.
     *
     * @param signalUs when it learned that
     * @param longestDeadlineUs of all classes
     * @param replaced whether another process listens at the same address
     */
    public static ShutdownSchedule of(long signalUs, long longestDeadlineUs, boolean replaced) {
        long killUs = signalUs + Math.min(longestDeadlineUs, MOST_DEADLINE_US) + KILL_AFTER_DEADLINE_US;
        long answerByUs = killUs - SIGNAL_DELAY_US - LOOP_DELAY_US;
        if (!replaced) {
            long listenUntilUs = Math.min(signalUs + Limits.LISTENER_DRAIN_MS * 1_000, answerByUs);
            return new ShutdownSchedule(listenUntilUs, listenUntilUs, answerByUs);
        }
        long idleUntilUs = Math.min(signalUs + Limits.IDLE_DRAIN_MS * 1_000, answerByUs - CROSSING_US);
        return new ShutdownSchedule(signalUs, Math.max(signalUs, idleUntilUs), answerByUs);
    }
}
