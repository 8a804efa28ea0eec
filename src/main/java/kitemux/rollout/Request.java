package kitemux.rollout;

/** What one keeper asks another one. Each has one {@link Response}, or none where it or the answer is lost. */
public sealed interface Request {
    /** Promise to accept nothing of a lower ballot for this version. */
    record Prepare(long rev, Ballot ballot) implements Request {}

    /** Accept this for the version. */
    record Accept(long rev, Ballot ballot, Change value) implements Request {}

    /** This was chosen. */
    record Chosen(Version version) implements Request {}

    /** What came after this version? Asked as a pulse, too: whoever answers is heard. */
    record Fetch(long afterRev) implements Request {}
}
