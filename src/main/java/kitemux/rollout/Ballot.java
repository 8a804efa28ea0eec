package kitemux.rollout;

/**
 * A Paxos ballot: one attempt of one keeper to get a version chosen. Ballots are ordered by round and then
 * by keeper number, so no two keepers share a ballot.
 *
 * @param round round number, from 1; 0 only in {@link #NONE}
 * @param keeper number of the keeper that created the ballot, from 0
 */
public record Ballot(long round, int keeper) implements Comparable<Ballot> {
    /** The null ballot, which is less than every ballot that a keeper creates. */
    public static final Ballot NONE = new Ballot(0, -1);

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : Integer.compare(keeper, other.keeper);
    }

    @Override
    public String toString() {
        return round + "." + keeper;
    }

    /** Returns whether this ballot has priority over the other one. */
    public boolean isGreaterThan(Ballot other) {
        return compareTo(other) > 0;
    }
}
