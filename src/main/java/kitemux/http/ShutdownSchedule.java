package kitemux.http;

/**
 * The start times of the shutdown phases, in microseconds on the event loop's clock. All of them precede the
 * earliest SIGKILL that the platform may send.
 *
 * @param listenUntilUs when the listener closes
 * @param idleUntilUs when idle connections close
 * @param answerByUs when every open request must have its final response
 */
public record ShutdownSchedule(long listenUntilUs, long idleUntilUs, long answerByUs) {
    /** The shortest time from SIGTERM plus the longest deadline until the platform sends SIGKILL. */
    static final long KILL_AFTER_DEADLINE_US = 700_000;
    /** Deadlines above this value count as this value. */
    static final long MAX_DEADLINE_US = 3_000_000;
    /** The longest delay between the platform's SIGTERM and its delivery to the process. */
    static final long MAX_SIGNAL_DELAY_US = 150_000;
    /** The longest delay with which the event loop runs a timer and writes the responses. */
    static final long MAX_LOOP_DELAY_US = 150_000;
    /** The shortest time left to answer a request that was sent while its idle connection was being closed. */
    static final long MIN_RESPONSE_TIME_US = 400_000;

    /**
     * Computes the schedule of a process that was told to shut down.
     *
     * @param signalUs when the process received the signal
     * @param longestDeadlineUs the longest deadline of all classes
     * @param replaced whether another process listens at the same address
     */
    public static ShutdownSchedule of(long signalUs, long longestDeadlineUs, boolean replaced) {
        long killUs = signalUs + Math.min(longestDeadlineUs, MAX_DEADLINE_US) + KILL_AFTER_DEADLINE_US;
        long answerByUs = killUs - MAX_SIGNAL_DELAY_US - MAX_LOOP_DELAY_US;
        if (!replaced) {
            long listenUntilUs = Math.min(signalUs + Limits.LISTENER_DRAIN_MS * 1_000, answerByUs);
            return new ShutdownSchedule(listenUntilUs, listenUntilUs, answerByUs);
        }
        long idleUntilUs = Math.min(signalUs + Limits.IDLE_DRAIN_MS * 1_000, answerByUs - MIN_RESPONSE_TIME_US);
        return new ShutdownSchedule(signalUs, Math.max(signalUs, idleUntilUs), answerByUs);
    }
}
