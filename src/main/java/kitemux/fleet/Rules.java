package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.sim.Scheduler;

/**
 * Holds what servers and clients see against the four rules, and counts breaks. It knows nothing of nodes or
 * modules but what they sent.
 */
final class Rules {
    /** Breaks that are told of by a line each; the rest is counted. */
    private static final int MOST_TOLD = 20;

    private final Scheduler time;
    private final Limits limits;
    private final List<String> told = new ArrayList<>();
    private long breaks;

    /**
     * @param fallMultiple a cold server falls over beyond so many times what it can do
     * @param fallUs within any stretch so long
     */
    record Limits(double fallMultiple, long fallUs) {}

    /** One try of a client, as servers see it. */
    static final class Asked {
        final RequestClass of;
        final long number;
        private int runs;
        private long firstSentUs;
        private int rack;
        private boolean answered;
        private boolean refused;

        Asked(RequestClass of, long number) {
            this.of = of;
            this.number = number;
        }
    }

    Rules(Scheduler time, Limits limits) {
        this.time = time;
        this.limits = limits;
    }

    Limits limits() {
        return limits;
    }

    /** A server begins work on it, which was sent at this time. */
    void runs(Asked asked, Box box, long sentUs) {
        if (asked.refused && asked.of.retrySafety() == RetrySafety.UNSAFE) {
            breakOf("no effect twice: request " + asked.number + " of " + asked.of.name()
                    + " runs though it was refused as harmless");
        }
        if (asked.runs++ == 0) {
            asked.firstSentUs = sentUs;
            asked.rack = box.rack;
            return;
        }
        boolean lawful =
                switch (asked.of.retrySafety()) {
                    case SAFE -> true;
                    // Of two copies the one that was sent last may begin first: the rack remembers either.
                    case KEYED ->
                        sentUs <= asked.firstSentUs + asked.of.dedupWindowUs()
                                && (asked.of.dedupScope() != DedupScope.CELL || asked.rack == box.rack);
                    case UNSAFE -> false;
                };
        if (!lawful) {
            breakOf("no effect twice: request " + asked.number + " of " + asked.of.name() + " runs again at " + box.id);
        }
    }

    /** Its client has a final answer. */
    void answered(Asked asked, boolean refused) {
        if (asked.answered) {
            breakOf("no request lost: request " + asked.number + " has a second answer");
        }
        asked.answered = true;
        asked.refused |= refused;
        if (refused && asked.runs > 0 && asked.of.retrySafety() == RetrySafety.UNSAFE) {
            breakOf("no effect twice: request " + asked.number + " of " + asked.of.name()
                    + " has run and is refused as harmless");
        }
    }

    /** Its client's time is over, with no answer though its node runs. */
    void unanswered(Asked asked) {
        if (!asked.answered) {
            breakOf("no request lost: request " + asked.number + " has no answer in its time");
        }
    }

    void sentWhileDraining(Box box) {
        breakOf("drains kept: sent to " + box.id);
    }

    void pushedOver(Box box) {
        breakOf("no cold server pushed over: " + box.id);
    }

    private void breakOf(String what) {
        if (breaks++ < MOST_TOLD) {
            told.add(String.format(Locale.ROOT, "%.3f s  %s", time.nowUs() / 1e6, what));
        }
    }

    long breaks() {
        return breaks;
    }

    List<String> told() {
        return List.copyOf(told);
    }
}
