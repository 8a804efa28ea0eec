package kitemux.peers;

/**
 * What is said of a node.
 *
 * @param node its number in the fleet
 * @param life of the process: when it was started, in milliseconds of Unix time; a later life replaces all
 *     earlier ones
 * @param incarnation within that life; only the node itself raises it, to take back what is said of it
 * @param by who found it so: the node itself where it is there or leaves, else whoever had no answer
 */
public record Belief(int node, long life, int incarnation, Standing standing, int by) {
    /** Whether this takes the place of another belief about the same node. */
    public boolean overrides(Belief other) {
        if (life != other.life) {
            return life > other.life;
        }
        if (other.standing == Standing.LEFT || standing == Standing.LEFT) {
            return other.standing != Standing.LEFT;
        }
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : standing.ordinal() > other.standing.ordinal();
    }

    /** The same life and incarnation, seen otherwise by somebody. */
    Belief with(Standing other, int finder) {
        return new Belief(node, life, incarnation, other, finder);
    }

    /** Whether another one says the same, whoever found it. */
    boolean isLike(Belief other) {
        return equals(other.with(other.standing, by));
    }
}
