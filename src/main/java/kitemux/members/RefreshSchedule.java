package kitemux.members;

import java.util.function.DoubleSupplier;

/**
 * When a source is asked next. With chance in each pause, so that processes which began together do not ask
 * together;
 * after failures in a row the pause doubles, so that a source which is down is not kept there.
 */
public final class RefreshSchedule {
    /** Pauses after an answer differ by so much either way. */
    private static final double SPREAD = 0.1;

    private final long everyUs;
    private final long mostUs;
    private final DoubleSupplier chance;
    private int consecutiveFailures;

    /**
     * @param everyUs pause after an answer; the first after a failure
     * @param mostUs longest pause after failures
     * @param chance even draws in [0, 1)
     */
    public RefreshSchedule(long everyUs, long mostUs, DoubleSupplier chance) {
        this.everyUs = everyUs;
        this.mostUs = mostUs;
        this.chance = chance;
    }

    /** It has answered; the pause until it is asked again. */
    public long recordSuccess() {
        consecutiveFailures = 0;
        return (long) (everyUs * (1 - SPREAD + 2 * SPREAD * chance.getAsDouble()));
    }

    /**
     * It has not; the pause until it is asked again, between half and all of what has been doubled so far.
     *
     */
    public long recordFailure() {
        double pause = Math.min(mostUs, everyUs * Math.pow(2, Math.min(30, consecutiveFailures++)));
        return (long) (pause * (0.5 + 0.5 * chance.getAsDouble()));
    }

    /** How often in a row it has not answered. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
