package kitemux.members;

import java.util.function.DoubleSupplier;

/**
 * When a source is asked next. With chance in each pause, so that processes which began together do not ask
 * together;
 * after failures in a row the pause doubles, so that a source which is down is not kept there.
 */
public final class RefreshSchedule {
    /** Pauses after an answer differ by so much either way. */
    private static final double JITTER_RATIO = 0.1;

    private final long intervalUs;
    private final long maxDelayUs;
    private final DoubleSupplier random;
    private int consecutiveFailures;

    /**
     * @param everyUs pause after an answer; the first after a failure
     * @param mostUs longest pause after failures
     * @param chance even draws in [0, 1)
     */
    public RefreshSchedule(long intervalUs, long maxDelayUs, DoubleSupplier random) {
        this.intervalUs = intervalUs;
        this.maxDelayUs = maxDelayUs;
        this.random = random;
    }

    /** It has answered; the pause until it is asked again. */
    public long recordSuccess() {
        consecutiveFailures = 0;
        return (long) (intervalUs * (1 - JITTER_RATIO + 2 * JITTER_RATIO * random.getAsDouble()));
    }

    /**
     * It has not; the pause until it is asked again, between half and all of what has been doubled so far.
     *
     */
    public long recordFailure() {
        double delayUs = Math.min(maxDelayUs, intervalUs * Math.pow(2, Math.min(30, consecutiveFailures++)));
        return (long) (delayUs * (0.5 + 0.5 * random.getAsDouble()));
    }

    /** How often in a row it has not answered. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
