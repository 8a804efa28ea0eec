package kitemux.rollout;

/**
 * What a voter has bound itself to for one version. PROMISED and ACCEPTED of the design are one record: an
 * accepted pair stays beside a higher promise.
 *
 * @param rev the version
 * @param promised nothing of a lower ballot is accepted; {@link Ballot#NONE} where nothing was promised
 * @param acceptedAt ballot of what was accepted; {@link Ballot#NONE} where nothing was
 * @param accepted what was accepted, or null
 */
public record Vote(long rev, Ballot promised, Ballot acceptedAt, Change accepted) {
    /** Bound to nothing. */
    public static Vote empty(long rev) {
        return new Vote(rev, Ballot.NONE, Ballot.NONE, null);
    }
}
