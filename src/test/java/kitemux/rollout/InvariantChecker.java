package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/**
 * Checks the invariants of the configuration rollout on a sequence of observations. It does not depend on
 * the code under test and uses only numbers, strings and values. Times are in microseconds and never
 * decrease.
 */
final class InvariantChecker {
    /** Time within which a change must be in force. */
    static final long MAX_APPLY_DELAY_US = 4_000_000;
    /**
     * Time within which a node that is not heard must be reported as silent, including one second for
     * messages to travel.
     */
    static final long MAX_SILENCE_US = 26_000_000;

    private static final long RATE_WINDOW_US = 2_000_000;
    private static final long MAX_WINDOW_BYTES = 16_384;
    private static final int MAJORITY_COUNT = 3;
    private static final int MAX_VIOLATION_COUNT = 20;

    /** The invariants. */
    enum Invariant {
        /** At most one change is chosen per version, and only chosen versions are put in force. */
        ONE_HISTORY,
        /** No keeper and no node goes back to an earlier version. */
        MONOTONIC,
        /** The values in force are exactly those of the version. */
        COMPLETE,
        /** Each reachable node has a version in force within the time limit. */
        TIMELY,
        /** Operators are told only of nodes that have the version in force. */
        TRUTHFUL,
        /** A confirmed change is on the disks of a majority and is never lost. */
        DURABLE,
        /** No node is sent more than the allowed bytes in a time window. */
        RATE_LIMITED,
        /** Only valid values are chosen, and rejections name a path of the version. */
        VALID
    }

    /** A violated invariant. */
    record Violation(Invariant invariant, long atUs, String description) {}

    /** Something that happened in the system under test. */
    sealed interface Observation {
        /** The time of the observation. */
        long atUs();
    }

    /**
     * A keeper's process knows that a version was chosen: the id of its change, and the values that result
     * from it.
     */
    record Known(long atUs, String process, long rev, String id, Map<String, String> values) implements Observation {}

    /** A node's process has a version in force. */
    record InForce(long atUs, int node, String process, long rev, Map<String, String> values) implements Observation {}

    /** A node's process started. Of two processes of a node, the one that started later counts. */
    record NodeStarted(long atUs, int node, String process) implements Observation {}

    /** A node's process ended. */
    record NodeStopped(long atUs, int node, String process) implements Observation {}

    /**
     * A keeper that considers itself up to date sent an event to a node's process; {@code keeperRev} is its
     * newest version.
     */
    record KeeperServed(long atUs, String process, long keeperRev) implements Observation {}

    /**
     * The disk of a voter shows that a change was accepted or chosen for a version. A disk that is lost
     * later is one of the two that may fail.
     */
    record Persisted(long atUs, int voter, long rev, String id) implements Observation {}

    /** An operator was told that a change was chosen. */
    record ChangeConfirmed(long atUs, String id, long rev) implements Observation {}

    /** A node's process sent a report that nothing prevented from arriving. */
    record ReportSent(long atUs, int node) implements Observation {}

    /** A keeper's process received a report of a node's process. */
    record ReportReceived(long atUs, String keeper, String process) implements Observation {}

    /**
     * An operator was told that a node has a version in force, according to reports received by these
     * keepers' processes.
     */
    record CountedInForce(long atUs, int node, long rev, List<String> keepers) implements Observation {}

    /** Bytes were sent to a node's process. */
    record BytesSent(long atUs, String process, int bytes) implements Observation {}

    /** A node reported that it rejects a version because of an error at a path. */
    record RejectionReported(long atUs, int node, long rev, String path) implements Observation {}

    /**
     * The reachability of a node has changed, because of a change of links or processes.
     *
     * @param reachesMajority whether the node can reach a keeper that reaches a majority
     * @param extraTimeUs time that the node needs beyond the usual limit, to try unreachable keepers or to
     *     receive a snapshot at the limited rate
     */
    record Reachability(long atUs, int node, boolean reachesMajority, long extraTimeUs) implements Observation {}

    /** Time has passed without any other observation. */
    record TimePassed(long atUs) implements Observation {}

    private record Chosen(String id, Map<String, String> values, long atUs) {}

    private static final class Process {
        /** Keepers' processes that have received a report of this process. */
        final Set<String> heardBy = new HashSet<>();

        long rev = -1;
    }

    private static final class Node {
        String newestProcess;
        long stoppedAtUs = Long.MAX_VALUE;
        Reachability reachability;
        long majoritySinceUs = Long.MAX_VALUE;
        long lastReportAtUs = Long.MIN_VALUE / 2;
        long highestRev = -1;
        boolean isLateReported;
    }

    private final Predicate<Map<String, String>> isValid;
    private final BiPredicate<Integer, Map<String, String>> isSupported;
    private final TreeMap<Long, Chosen> chosen = new TreeMap<>();
    private final Map<String, Long> revByKeeper = new HashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final TreeMap<Integer, Node> nodes = new TreeMap<>();
    private final Map<Integer, Set<String>> recordsByVoter = new HashMap<>();
    private final Map<Long, String> confirmedIdByRev = new HashMap<>();
    private final Map<String, ArrayDeque<long[]>> sentByProcess = new HashMap<>();
    private final Map<String, Long> bytesInWindowByProcess = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    /**
     * Creates a checker without observations.
     *
     * @param initialVersions the versions known at the start with their values, including those in the
     *     files of nodes
     * @param isValid whether values may be chosen at all
     * @param isSupported whether the program of a node supports the values
     */
    InvariantChecker(
            Map<Long, Map<String, String>> initialVersions,
            Predicate<Map<String, String>> isValid,
            BiPredicate<Integer, Map<String, String>> isSupported) {
        this.isValid = isValid;
        this.isSupported = isSupported;
        initialVersions.forEach((rev, values) -> chosen.put(rev, new Chosen("", values, 0)));
    }

    List<Violation> violations() {
        return violations;
    }

    /** Returns the version that a node's process has in force, according to the observations. */
    long revOf(String process) {
        return processes.get(process).rev;
    }

    private void addViolation(Invariant invariant, Observation observation, String description) {
        if (violations.size() < MAX_VIOLATION_COUNT) {
            violations.add(new Violation(invariant, observation.atUs(), description + ": " + abbreviate(observation)));
        }
    }

    private static String abbreviate(Observation observation) {
        String text = observation.toString();
        return text.length() > 200 ? text.substring(0, 200) + "..." : text;
    }

    /** Checks the next observation. */
    void observe(Observation observation) {
        if (observation instanceof Known seen) {
            checkKnown(seen);
        } else if (observation instanceof InForce seen) {
            checkInForce(seen);
        } else if (observation instanceof NodeStarted seen) {
            Node node = nodes.computeIfAbsent(seen.node, n -> new Node());
            node.newestProcess = seen.process;
            node.stoppedAtUs = Long.MAX_VALUE;
            processes.put(seen.process, new Process());
        } else if (observation instanceof NodeStopped seen) {
            Node node = nodes.get(seen.node);
            node.stoppedAtUs = seen.process.equals(node.newestProcess) ? seen.atUs : node.stoppedAtUs;
        } else if (observation instanceof KeeperServed seen) {
            if (seen.keeperRev < processes.get(seen.process).rev) {
                addViolation(Invariant.MONOTONIC, seen, "a keeper serves a node that has a later version");
            }
        } else if (observation instanceof Persisted seen) {
            recordsByVoter.computeIfAbsent(seen.voter, v -> new HashSet<>()).add(seen.rev + " " + seen.id);
        } else if (observation instanceof ChangeConfirmed seen) {
            checkAnswered(seen);
        } else if (observation instanceof ReportSent seen) {
            nodes.get(seen.node).lastReportAtUs = seen.atUs;
        } else if (observation instanceof ReportReceived seen) {
            processes.get(seen.process).heardBy.add(seen.keeper);
        } else if (observation instanceof CountedInForce seen) {
            checkCounted(seen);
        } else if (observation instanceof BytesSent seen) {
            checkRate(seen);
        } else if (observation instanceof RejectionReported seen) {
            Chosen version = chosen.get(seen.rev);
            if (seen.path.isEmpty() || version == null || !version.values.containsKey(seen.path)) {
                addViolation(Invariant.VALID, seen, "a rejection without a known path");
            }
        } else if (observation instanceof Reachability seen) {
            checkReachability(seen);
        }
        checkTimely(observation);
    }

    private void checkKnown(Known seen) {
        Chosen before = chosen.putIfAbsent(seen.rev, new Chosen(seen.id, seen.values, seen.atUs));
        if (before == null) {
            if (!isValid.test(seen.values)) {
                addViolation(Invariant.VALID, seen, "an invalid configuration was chosen");
            }
        } else if (!before.values.equals(seen.values)
                || !seen.id.isEmpty() && !before.id.isEmpty() && !before.id.equals(seen.id)) {
            addViolation(Invariant.ONE_HISTORY, seen, "another change was chosen: " + before.id);
        }
        if (!seen.id.isEmpty()
                && !confirmedIdByRev.getOrDefault(seen.rev, seen.id).equals(seen.id)) {
            addViolation(Invariant.DURABLE, seen, "a confirmed change is lost");
        }
        Long last = revByKeeper.put(seen.process, seen.rev);
        if (last != null && last > seen.rev) {
            addViolation(Invariant.MONOTONIC, seen, "a keeper goes back from version " + last);
        }
    }

    private void checkInForce(InForce seen) {
        Process process = processes.get(seen.process);
        Chosen version = chosen.get(seen.rev);
        if (version == null) {
            addViolation(Invariant.ONE_HISTORY, seen, "the version is not known to be chosen");
        } else if (!version.values.equals(seen.values)) {
            addViolation(Invariant.COMPLETE, seen, "the values differ from those of the version");
        }
        if (seen.rev < process.rev) {
            addViolation(Invariant.MONOTONIC, seen, "a node goes back from version " + process.rev);
        }
        process.rev = seen.rev;
        Node node = nodes.get(seen.node);
        node.highestRev = Math.max(node.highestRev, seen.rev);
    }

    private void checkAnswered(ChangeConfirmed seen) {
        confirmedIdByRev.put(seen.rev, seen.id);
        Chosen version = chosen.get(seen.rev);
        if (version == null || !version.id.isEmpty() && !version.id.equals(seen.id)) {
            addViolation(Invariant.DURABLE, seen, "the confirmed change was not chosen");
        }
        long diskCount = recordsByVoter.values().stream()
                .filter(disk -> disk.contains(seen.rev + " " + seen.id))
                .count();
        if (diskCount < MAJORITY_COUNT) {
            addViolation(Invariant.DURABLE, seen, "only on " + diskCount + " disks");
        }
    }

    private void checkCounted(CountedInForce seen) {
        Node node = nodes.get(seen.node);
        Process newest = processes.get(node.newestProcess);
        if (node.highestRev < seen.rev) {
            addViolation(Invariant.TRUTHFUL, seen, "no process of the node has the version in force");
        } else if (newest.rev < seen.rev && seen.keepers.stream().anyMatch(newest.heardBy::contains)) {
            addViolation(Invariant.TRUTHFUL, seen, "only an earlier process of the node has the version in force");
        } else if (node.lastReportAtUs <= seen.atUs - MAX_SILENCE_US) {
            addViolation(Invariant.TRUTHFUL, seen, "the node has not reported for too long");
        }
    }

    private void checkRate(BytesSent seen) {
        ArrayDeque<long[]> sent = sentByProcess.computeIfAbsent(seen.process, p -> new ArrayDeque<>());
        sent.add(new long[] {seen.atUs, seen.bytes});
        long sum = bytesInWindowByProcess.merge(seen.process, (long) seen.bytes, Long::sum);
        while (sent.peek()[0] <= seen.atUs - RATE_WINDOW_US) {
            sum -= sent.poll()[1];
        }
        bytesInWindowByProcess.put(seen.process, sum);
        if (sum > MAX_WINDOW_BYTES) {
            addViolation(Invariant.RATE_LIMITED, seen, sum + " bytes in two seconds");
        }
    }

    private void checkReachability(Reachability seen) {
        Node node = nodes.computeIfAbsent(seen.node, n -> new Node());
        node.reachability = seen;
        // The time limit starts again after each change.
        node.majoritySinceUs = seen.reachesMajority ? seen.atUs : Long.MAX_VALUE;
        node.isLateReported = false;
    }

    /** Returns the version that a node must have in force by now; -1 if there is none. */
    private long requiredRev(int number, Node node, long nowUs) {
        long chosenByUs = nowUs - MAX_APPLY_DELAY_US - node.reachability.extraTimeUs;
        if (node.majoritySinceUs > chosenByUs || node.stoppedAtUs != Long.MAX_VALUE) {
            return -1;
        }
        for (Map.Entry<Long, Chosen> each : chosen.descendingMap().entrySet()) {
            if (each.getValue().atUs <= chosenByUs) {
                return isSupported.test(number, each.getValue().values) ? each.getKey() : -1;
            }
        }
        return -1;
    }

    private void checkTimely(Observation observation) {
        if (!(observation instanceof TimePassed)) {
            return;
        }
        nodes.forEach((number, node) -> {
            if (node.newestProcess != null && node.reachability != null && !node.isLateReported) {
                long due = requiredRev(number, node, observation.atUs());
                long rev = processes.get(node.newestProcess).rev;
                if (rev < due) {
                    node.isLateReported = true;
                    addViolation(
                            Invariant.TIMELY,
                            observation,
                            "node " + number + " has version " + rev + " in force instead of " + due);
                }
            }
        });
    }
}
