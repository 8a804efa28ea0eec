package kitemux.peers;

/**
 * What is said of a node.
 *
 * @param node its number in the fleet
 * @param generation of the process: when it was started, in milliseconds of Unix time; a later life replaces all
 *     earlier ones
 * @param incarnation within that life; only the node itself raises it, to take back what is said of it
 * @param reporter who found it so: the node itself where it is there or leaves, else whoever had no answer
 */
public record MemberRecord(int node, long generation, int incarnation, MemberState state, int reporter) {
    /** Whether this takes the place of another belief about the same node. */
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

    /** The same life and incarnation, seen otherwise by somebody. */
    MemberRecord withState(MemberState newState, int newReporter) {
        return new MemberRecord(node, generation, incarnation, newState, newReporter);
    }

    /** Whether another one says the same, whoever found it. */
    boolean equalsIgnoringReporter(MemberRecord other) {
        return equals(other.withState(other.state, reporter));
    }
}
