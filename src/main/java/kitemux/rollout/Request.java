package kitemux.rollout;

/**
 * A request of one keeper to another one. Each has one {@link Response}, or none if the request or the
 * response is lost.
 */
public sealed interface Request {
    /** Asks for a promise to accept nothing with a lower ballot for this version. */
    record Prepare(long rev, Ballot ballot) implements Request {}

    /** Asks the voter to accept a value for this version. */
    record Accept(long rev, Ballot ballot, Change value) implements Request {}

    /** Tells the keeper that a version was chosen. */
    record Chosen(Version version) implements Request {}

    /**
     * Asks for the versions after {@code afterRev}. It is also sent periodically as a heartbeat: a keeper
     * that responds is reachable.
     */
    record Fetch(long afterRev) implements Request {}
}
