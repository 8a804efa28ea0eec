package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.sim.Scheduler;

/**
 * Checks the four service rules against what servers and clients observe, and counts violations. The checker
 * does not know the nodes or their modules, only the requests they sent.
 */
final class RuleChecker {
    /** Number of violations that are reported in full; further ones are only counted. */
    private static final int MAX_REPORTED_VIOLATION_COUNT = 20;

    private final Scheduler scheduler;
    private final ColdLoadLimit limits;
    private final List<String> violations = new ArrayList<>();
    private long violationCount;

    /**
     * The load under which a cold server collapses.
     *
     * @param capacityMultiple multiple of the server's present capacity
     * @param windowUs window within which the load is summed, in microseconds
     */
    record ColdLoadLimit(double capacityMultiple, long windowUs) {}

    /** One client try as seen by servers. */
    static final class TrackedTry {
        final RequestClass requestClass;
        final long number;
        private int executionCount;
        private long firstSentUs;
        private int rack;
        private boolean answered;
        private boolean refused;

        TrackedTry(RequestClass requestClass, long number) {
            this.requestClass = requestClass;
            this.number = number;
        }
    }

    RuleChecker(Scheduler scheduler, ColdLoadLimit limits) {
        this.scheduler = scheduler;
        this.limits = limits;
    }

    /** Returns the load under which a cold server collapses. */
    ColdLoadLimit limits() {
        return limits;
    }

    /**
     * Records that a server starts to execute a try.
     *
     * @param sentUs time at which the request was sent, in microseconds of the run
     */
    void executionStarted(TrackedTry clientTry, Box box, long sentUs) {
        if (clientTry.refused && clientTry.requestClass.retrySafety() == RetrySafety.UNSAFE) {
            recordViolation("no effect twice: request " + clientTry.number + " of " + clientTry.requestClass.name()
                    + " is executed although it was refused as not executed");
        }
        if (clientTry.executionCount++ == 0) {
            clientTry.firstSentUs = sentUs;
            clientTry.rack = box.rack;
            return;
        }
        boolean isAllowed =
                switch (clientTry.requestClass.retrySafety()) {
                    case SAFE -> true;
                    // The copy that was sent last may start first; the rack recognises a duplicate in either order.
                    case KEYED ->
                        sentUs <= clientTry.firstSentUs + clientTry.requestClass.dedupWindowUs()
                                && (clientTry.requestClass.dedupScope() != DedupScope.CELL
                                        || clientTry.rack == box.rack);
                    case UNSAFE -> false;
                };
        if (!isAllowed) {
            recordViolation("no effect twice: request " + clientTry.number + " of " + clientTry.requestClass.name()
                    + " runs again at " + box.id);
        }
    }

    /** Records that a try's client has received a final answer. */
    void answered(TrackedTry clientTry, boolean refused) {
        if (clientTry.answered) {
            recordViolation("no request lost: request " + clientTry.number + " has a second answer");
        }
        clientTry.answered = true;
        clientTry.refused |= refused;
        if (refused && clientTry.executionCount > 0 && clientTry.requestClass.retrySafety() == RetrySafety.UNSAFE) {
            recordViolation("no effect twice: request " + clientTry.number + " of " + clientTry.requestClass.name()
                    + " was executed and is refused as not executed");
        }
    }

    /** Records that a try's client timed out without an answer although its node is running. */
    void unanswered(TrackedTry clientTry) {
        if (!clientTry.answered) {
            recordViolation("no request lost: request " + clientTry.number + " has no answer before its timeout");
        }
    }

    /** Records that a request was sent to a server after its drain grace period. */
    void sentWhileDraining(Box box) {
        recordViolation("drains kept: sent to " + box.id);
    }

    /** Records that nodes have overloaded a cold server so that it collapsed. */
    void coldServerOverloaded(Box box) {
        recordViolation("no cold server pushed over: " + box.id);
    }

    private void recordViolation(String description) {
        if (violationCount++ < MAX_REPORTED_VIOLATION_COUNT) {
            violations.add(String.format(Locale.ROOT, "%.3f s  %s", scheduler.nowUs() / 1e6, description));
        }
    }

    /** Returns the number of violations. */
    long violationCount() {
        return violationCount;
    }

    /** Returns the first violations, one line each. */
    List<String> violations() {
        return List.copyOf(violations);
    }
}
