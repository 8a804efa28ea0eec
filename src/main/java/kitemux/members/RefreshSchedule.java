package kitemux.members;

import java.util.function.DoubleSupplier;

/**
 * Schedule of requests to a membership source. Each delay has jitter, so that processes that started together do not
 * send requests together. Consecutive failures double the delay, so that retries do not keep an overloaded source
 * down.
 */
public final class RefreshSchedule {
    /** Relative jitter of the delay after a success, in either direction. */
    private static final double JITTER_RATIO = 0.1;

    private final long intervalUs;
    private final long maxDelayUs;
    private final DoubleSupplier random;
    private int consecutiveFailures;

    /**
     * Creates a schedule without failures.
     *
     * @param intervalUs mean delay after a success, and upper bound of the delay after the first failure
     * @param maxDelayUs upper bound of the delay after failures
     * @param random uniformly distributed numbers in [0, 1)
     */
    public RefreshSchedule(long intervalUs, long maxDelayUs, DoubleSupplier random) {
        this.intervalUs = intervalUs;
        this.maxDelayUs = maxDelayUs;
        this.random = random;
    }

    /** Records a success; returns the delay in microseconds until the next request. */
    public long recordSuccess() {
        consecutiveFailures = 0;
        return (long) (intervalUs * (1 - JITTER_RATIO + 2 * JITTER_RATIO * random.getAsDouble()));
    }

    /**
     * Records a failure; returns the delay in microseconds until the next request, between half of the doubled delay
     * and all of it.
     *
     */
    public long recordFailure() {
        double delayUs = Math.min(maxDelayUs, intervalUs * Math.pow(2, Math.min(30, consecutiveFailures++)));
        return (long) (delayUs * (0.5 + 0.5 * random.getAsDouble()));
    }

    /** Number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
