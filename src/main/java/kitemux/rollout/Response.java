package kitemux.rollout;

import java.util.List;
import java.util.SortedMap;

/** A keeper's response to a {@link Request}. */
public sealed interface Response {
    /**
     * The voter promises, and reports the value that it has accepted before; {@link Ballot#NONE} and null
     * if there is none.
     */
    record Promised(long rev, Ballot ballot, Ballot acceptedBallot, Change accepted) implements Response {}

    /** The voter has accepted the value. */
    record Accepted(long rev, Ballot ballot) implements Response {}

    /** The voter rejects the ballot, because it has promised {@code promised}. */
    record Rejected(long rev, Ballot ballot, Ballot promised) implements Response {}

    /**
     * The keeper does not know all versions before the requested one, or is no voter. The newest version
     * that it knows is {@code newestRev}.
     */
    record Behind(long rev, long newestRev) implements Response {}

    /**
     * The versions after {@code afterRev}, at most {@link ProtocolParameters#MAX_RESPONSE_VERSION_COUNT}.
     * The newest version that the keeper knows is {@code newestRev}.
     */
    record Versions(long afterRev, long newestRev, List<Version> versions) implements Response {}

    /**
     * A snapshot as of version {@code rev}, sent when the versions that were asked for are no longer kept
     * individually.
     */
    record Snapshot(long rev, SortedMap<String, String> values) implements Response {}
}
