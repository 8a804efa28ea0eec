package kitemux.rollout;

/**
 * One attempt of one keeper to have a version decided. Of two the one with the higher round counts for more,
 * then the one of the higher keeper, so that no two keepers share one.
 *
 * @param round from 1; 0 in {@link #NONE} alone
 * @param keeper number of the keeper that drew it, from 0
 */
public record Ballot(long round, int keeper) implements Comparable<Ballot> {
    /** Less than all that are drawn. */
    public static final Ballot NONE = new Ballot(0, -1);

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : Integer.compare(keeper, other.keeper);
    }

    @Override
    public String toString() {
        return round + "." + keeper;
    }

    /** Whether it counts for more than another. */
    public boolean isGreaterThan(Ballot other) {
        return compareTo(other) > 0;
    }
}
