package kitemux.peers;

import java.util.ArrayList;
import java.util.List;

/**
 * Settings of the membership protocol. Times are in microseconds.
 *
 * @param nodeCount configured number of nodes in the fleet
 * @param self number of this node, from 0
 * @param probePeriodUs time between two probes that this node sends, each to another node
 * @param probeTimeoutUs time without an answer after which a probe is repeated through other nodes
 * @param indirectProbes number of other nodes that are asked to ping the target
 * @param suspicionMultiplier minimum suspicion timeout in probe periods; it is also multiplied by the decimal
 *     logarithm of the fleet's size, if that is above 1
 * @param maxDatagramBytes largest datagram that may be sent
 */
public record MembershipConfig(
        int nodeCount,
        int self,
        long probePeriodUs,
        long probeTimeoutUs,
        int indirectProbes,
        double suspicionMultiplier,
        int maxDatagramBytes) {
    /** Room for the header, the sender, the node that a message is about, and some gossip. */
    private static final int MIN_DATAGRAM_BYTES = Datagram.HEADER_BYTES + 4 * Datagram.MEMBER_RECORD_BYTES;

    /** Returns the default settings: one probe per second and 400 ms for its answer. */
    public static MembershipConfig defaults(int nodeCount, int self) {
        return new MembershipConfig(nodeCount, self, 1_000_000, 400_000, 3, 4, Datagram.PLATFORM_MAX_BYTES);
    }

    /** Returns one line with field and reason for each invalid setting, or an empty list. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        require(
                violations,
                nodeCount >= 1 && nodeCount <= Datagram.MAX_NODE_COUNT,
                "nodeCount: must be from 1 to " + Datagram.MAX_NODE_COUNT);
        require(violations, self >= 0 && self < nodeCount, "self: must be from 0 to nodeCount - 1");
        require(violations, probePeriodUs >= 10_000, "probePeriod: must be at least 10ms");
        require(
                violations,
                probeTimeoutUs >= 1_000 && 2 * probeTimeoutUs <= probePeriodUs,
                "probeTimeout: must be from 1ms to half the probe period");
        require(violations, indirectProbes >= 0 && indirectProbes <= 16, "indirectProbes: must be from 0 to 16");
        require(
                violations,
                suspicionMultiplier >= 1 && suspicionMultiplier <= 100,
                "suspicionMultiplier: must be from 1 to 100");
        require(
                violations,
                maxDatagramBytes >= MIN_DATAGRAM_BYTES && maxDatagramBytes <= 65_000,
                "maxDatagramBytes: must be from " + MIN_DATAGRAM_BYTES + " to 65000");
        return violations;
    }

    private static void require(List<String> violations, boolean valid, String violation) {
        if (!valid) {
            violations.add(violation);
        }
    }

    /** Suspicion timeout of a node that has been suspected by several others, in microseconds. */
    long minSuspicionUs() {
        return (long) (suspicionMultiplier * Math.max(1, Math.log10(nodeCount)) * probePeriodUs);
    }

    /** Suspicion timeout of a node that a single node suspects, in microseconds. */
    long maxSuspicionUs() {
        return 3 * minSuspicionUs();
    }

    /** How often each node passes on a gossip entry. */
    int transmitLimit() {
        return 3 * (int) Math.ceil(Math.log10(nodeCount + 1.0) + 1);
    }
}
