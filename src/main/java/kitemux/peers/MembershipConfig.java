package kitemux.peers;

import java.util.ArrayList;
import java.util.List;

/**
 * How the nodes of a fleet keep in touch. Times are microseconds.
 *
 * @param nodeCount how many the fleet has, by its description
 * @param self this one's number, from 0
 * @param probePeriodUs between two probes of a node, each of another one
 * @param probeTimeoutUs after which a probe that has no answer is tried by way of others
 * @param indirectProbes how many others are asked for that
 * @param suspicionMultiplier so many times the period, and the more the larger the fleet, a suspect has to answer
 * @param maxDatagramBytes of a datagram
 */
public record MembershipConfig(
        int nodeCount,
        int self,
        long probePeriodUs,
        long probeTimeoutUs,
        int indirectProbes,
        double suspicionMultiplier,
        int maxDatagramBytes) {
    /** Itself, whom it speaks of, and room for news. */
    private static final int MIN_DATAGRAM_BYTES = Datagram.HEADER_BYTES + 4 * Datagram.MEMBER_RECORD_BYTES;

    /** The usual ones of a fleet: a probe a second, 400 ms for its answer. */
    public static MembershipConfig defaults(int nodeCount, int self) {
        return new MembershipConfig(nodeCount, self, 1_000_000, 400_000, 3, 4, Datagram.PLATFORM_MAX_BYTES);
    }

    /** All that cannot be, one line each with field and reason; empty where there is nothing. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        require(
                violations,
                nodeCount >= 1 && nodeCount <= Datagram.MAX_NODE_COUNT,
                "nodes: is not from 1 to " + Datagram.MAX_NODE_COUNT);
        require(violations, self >= 0 && self < nodeCount, "me: is not from 0 to nodes - 1");
        require(violations, probePeriodUs >= 10_000, "period: is under 10ms");
        require(
                violations,
                probeTimeoutUs >= 1_000 && 2 * probeTimeoutUs <= probePeriodUs,
                "answer: is not from 1ms to half a period");
        require(violations, indirectProbes >= 0 && indirectProbes <= 16, "helpers: is not from 0 to 16");
        require(violations, suspicionMultiplier >= 1 && suspicionMultiplier <= 100, "suspicion: is not from 1 to 100");
        require(
                violations,
                maxDatagramBytes >= MIN_DATAGRAM_BYTES && maxDatagramBytes <= 65_000,
                "most_bytes: is not from " + MIN_DATAGRAM_BYTES + " to 65000");
        return violations;
    }

    private static void require(List<String> violations, boolean valid, String violation) {
        if (!valid) {
            violations.add(violation);
        }
    }

    /** How long a suspect has where many suspect it; and, below, where one does. */
    long minSuspicionUs() {
        return (long) (suspicionMultiplier * Math.max(1, Math.log10(nodeCount)) * probePeriodUs);
    }

    long maxSuspicionUs() {
        return 3 * minSuspicionUs();
    }

    /** How often a piece of news is passed on by each node that hears it. */
    int transmitLimit() {
        return 3 * (int) Math.ceil(Math.log10(nodeCount + 1.0) + 1);
    }
}
