package kitemux.peers;

/**
 * What is known about the state of one node, as gossip carries it.
 *
 * @param node number of the node in the fleet
 * @param generation when the node's process was started, in milliseconds of Unix time; a later generation
 *     replaces all earlier ones
 * @param incarnation counter within the generation; only the node itself raises it, to refute what others
 *     report about it
 * @param state last known state of the node
 * @param reporter number of the node that observed the state: the node itself if it is alive or leaves,
 *     otherwise the node that received no answer
 */
public record MemberRecord(int node, long generation, int incarnation, MemberState state, int reporter) {
    /** Whether this record takes precedence over another record of the same node. */
    public boolean overrides(MemberRecord other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (other.state == MemberState.LEFT || state == MemberState.LEFT) {
            return other.state != MemberState.LEFT;
        }
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : state.ordinal() > other.state.ordinal();
    }

    /** Returns a record of the same generation and incarnation with another state and reporter. */
    MemberRecord withState(MemberState newState, int newReporter) {
        return new MemberRecord(node, generation, incarnation, newState, newReporter);
    }

    /** Whether another record equals this one in everything but the reporter. */
    boolean equalsIgnoringReporter(MemberRecord other) {
        return equals(other.withState(other.state, reporter));
    }
}
