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
    private static final double LEAST_DEADLINE_MS = 250;
    private static final double MOST_DEADLINE_MS = 3_500;
    private static final int MOST_HANG_UPS = 4;

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
     * @param hanging how many servers hang from SIGTERM on
     * @param crowdAfterMs when all resting clients send, counted from SIGTERM; negative for never
     * @param hangUps SIGHUPs around SIGTERM
     * @param termTwice whether SIGTERM is sent twice
     * @param termAfterMs for {@link Kind#TERM_IN_START}: when SIGTERM comes, counted from the start
     */
    record Step(Kind kind, int hanging, long crowdAfterMs, int hangUps, boolean termTwice, long termAfterMs) {}

    /** The plan of a seed. */
    static Plan of(long seed, List<Kind> kinds, int steps, int servers) {
        SplittableRandom random = new SplittableRandom(seed);
        double spread = Math.log(MOST_DEADLINE_MS / LEAST_DEADLINE_MS);
        long deadlineMs = (long) (LEAST_DEADLINE_MS * Math.exp(random.nextDouble() * spread));
        List<Step> drawn = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            long lifeMs = Math.min(deadlineMs, SoakNode.MOST_DEADLINE_MS) + SoakNode.KILL_AFTER_DEADLINE_MS;
            drawn.add(new Step(
                    kinds.get(random.nextInt(kinds.size())),
                    random.nextInt(servers),
                    random.nextBoolean() ? random.nextLong(lifeMs) : -1,
                    random.nextBoolean() ? 0 : random.nextInt(MOST_HANG_UPS) + 1,
                    random.nextInt(4) == 0,
                    random.nextLong(1_000)));
        }
        return new Plan(seed, deadlineMs, List.copyOf(drawn));
    }
}
