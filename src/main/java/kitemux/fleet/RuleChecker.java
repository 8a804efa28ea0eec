package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kitemux.Balancer.Group;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.RequestClass;
import kitemux.sim.Scheduler;

/**
 * Holds what servers and clients see against the four rules, and counts breaks. It knows nothing of nodes or
 * modules but what they sent.
 */
final class RuleChecker {
    /** Breaks that are told of by a line each; the rest is counted. */
    private static final int MOST_TOLD = 20;

    private final Scheduler time;
    private final ColdLoadLimit limits;
    private final List<String> violations = new ArrayList<>();
    private long violationCount;

    /**
     * @param capacityMultiple a cold server falls over beyond so many times what it can do
     * @param windowUs within any stretch so long
     */
    record ColdLoadLimit(double capacityMultiple, long windowUs) {}

    /** One try of a client, as servers see it. */
    static final class TrackedTry {
        final RequestClass requestClass;
        final long number;
        private int runs;
        private long firstSentUs;
        private int rack;
        private boolean answered;
        private boolean refused;

        TrackedTry(RequestClass of, long number) {
            this.requestClass = of;
            this.number = number;
        }
    }

    RuleChecker(Scheduler time, ColdLoadLimit limits) {
        this.time = time;
        this.limits = limits;
    }

    ColdLoadLimit limits() {
        return limits;
    }

    /** A server begins work on it, which was sent at this time. */
    void executionStarted(TrackedTry asked, Box box, long sentUs) {
        if (asked.refused && asked.requestClass.repeat() == Repeat.UNSAFE) {
            recordViolation("no effect twice: request " + asked.number + " of " + asked.requestClass.name()
                    + " runs though it was refused as harmless");
        }
        if (asked.runs++ == 0) {
            asked.firstSentUs = sentUs;
            asked.rack = box.rack;
            return;
        }
        boolean lawful =
                switch (asked.requestClass.repeat()) {
                    case SAFE -> true;
                    // Of two copies the one that was sent last may begin first: the rack remembers either.
                    case KEYED ->
                        sentUs <= asked.firstSentUs + asked.requestClass.windowUs()
                                && (asked.requestClass.group() != Group.CELL || asked.rack == box.rack);
                    case UNSAFE -> false;
                };
        if (!lawful) {
            recordViolation("no effect twice: request " + asked.number + " of " + asked.requestClass.name()
                    + " runs again at " + box.id);
        }
    }

    /** Its client has a final answer. */
    void answered(TrackedTry asked, boolean refused) {
        if (asked.answered) {
            recordViolation("no request lost: request " + asked.number + " has a second answer");
        }
        asked.answered = true;
        asked.refused |= refused;
        if (refused && asked.runs > 0 && asked.requestClass.repeat() == Repeat.UNSAFE) {
            recordViolation("no effect twice: request " + asked.number + " of " + asked.requestClass.name()
                    + " has run and is refused as harmless");
        }
    }

    /** Its client's time is over, with no answer though its node runs. */
    void unanswered(TrackedTry asked) {
        if (!asked.answered) {
            recordViolation("no request lost: request " + asked.number + " has no answer in its time");
        }
    }

    void sentWhileDraining(Box box) {
        recordViolation("drains kept: sent to " + box.id);
    }

    void coldServerOverloaded(Box box) {
        recordViolation("no cold server pushed over: " + box.id);
    }

    private void recordViolation(String what) {
        if (violationCount++ < MOST_TOLD) {
            violations.add(String.format(Locale.ROOT, "%.3f s  %s", time.nowUs() / 1e6, what));
        }
    }

    long violationCount() {
        return violationCount;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
