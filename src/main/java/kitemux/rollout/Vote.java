package kitemux.rollout;

/**
 * The promise and the acceptance that a voter is bound to for one version. Both are kept in one record,
 * since an accepted value remains valid beside a later promise of a higher ballot.
 *
 * @param rev number of the version
 * @param promised lowest ballot that may still be accepted; {@link Ballot#NONE} if nothing was promised
 * @param acceptedAt ballot of the accepted value; {@link Ballot#NONE} if nothing was accepted
 * @param accepted the accepted value, or null if nothing was accepted
 */
public record Vote(long rev, Ballot promised, Ballot acceptedAt, Change accepted) {
    /** Returns a vote for a version without promise and acceptance. */
    public static Vote empty(long rev) {
        return new Vote(rev, Ballot.NONE, Ballot.NONE, null);
    }
}
