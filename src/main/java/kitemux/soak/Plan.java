package kitemux.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one seed plays: the longest deadline and the changes of processes, in their order. Times are in
 * milliseconds.
 *
 * @param seed draws all of it
 * @param deadlineMs the longest deadline of a class
 * @param steps one behind the other
 */
record Plan(long seed, long deadlineMs, List<Step> steps) {
    private static final double MIN_DEADLINE_MS = 250;
    private static final double MAX_DEADLINE_MS = 3_500;
    private static final int MAX_SIGHUP_COUNT = 4;

    /** How a process is changed for another. */
    enum Kind {
        /** A second process starts; SIGTERM to the first at the second's yes, then SIGKILL at the earliest. */
        UPGRADE,
        /** SIGTERM, SIGKILL at the earliest, then a new start. */
        RESTART,
        /** SIGKILL, then a new start. */
        KILL,
        /** A second process gets SIGTERM while it starts; the first goes on. */
        TERM_IN_START
    }

    /**
     * One change.
     *
     * @param hangingServerCount how many servers hang from SIGTERM on
     * @param burstAfterMs when all resting clients send, counted from SIGTERM; negative for never
     * @param sighupCount SIGHUPs around SIGTERM
     * @param sendsTermTwice whether SIGTERM is sent twice
     * @param termAfterMs for {@link Kind#TERM_IN_START}: when SIGTERM comes, counted from the start
     */
    record Step(
            Kind kind,
            int hangingServerCount,
            long burstAfterMs,
            int sighupCount,
            boolean sendsTermTwice,
            long termAfterMs) {}

    /** The plan of a seed. */
    static Plan draw(long seed, List<Kind> kinds, int stepCount, int serverCount) {
        SplittableRandom random = new SplittableRandom(seed);
        double logRange = Math.log(MAX_DEADLINE_MS / MIN_DEADLINE_MS);
        long deadlineMs = (long) (MIN_DEADLINE_MS * Math.exp(random.nextDouble() * logRange));
        List<Step> drawnSteps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            long shutdownMs = Math.min(deadlineMs, SoakNode.MAX_DEADLINE_MS) + SoakNode.KILL_AFTER_DEADLINE_MS;
            drawnSteps.add(new Step(
                    kinds.get(random.nextInt(kinds.size())),
                    random.nextInt(serverCount),
                    random.nextBoolean() ? random.nextLong(shutdownMs) : -1,
                    random.nextBoolean() ? 0 : random.nextInt(MAX_SIGHUP_COUNT) + 1,
                    random.nextInt(4) == 0,
                    random.nextLong(1_000)));
        }
        return new Plan(seed, deadlineMs, List.copyOf(drawnSteps));
    }
}
