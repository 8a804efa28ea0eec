package kitemux.rollout;

import java.util.List;
import java.util.SortedMap;

/** What a keeper says to a {@link Request}. */
public sealed interface Response {
    /** Promised, with what it has accepted before; {@link Ballot#NONE} and null where nothing. */
    record Promised(long rev, Ballot ballot, Ballot acceptedBallot, Change accepted) implements Response {}

    /** Accepted. */
    record Accepted(long rev, Ballot ballot) implements Response {}

    /** Not this ballot: a higher one was promised. */
    record Rejected(long rev, Ballot ballot, Ballot promised) implements Response {}

    /** It does not know all that comes before, or has no vote; it knows up to {@code known}. */
    record Behind(long rev, long newestRev) implements Response {}

    /** The versions after one, {@link ProtocolParameters#MAX_RESPONSE_VERSION_COUNT} at most; {@code known} is its newest. */
    record Versions(long afterRev, long newestRev, List<Version> versions) implements Response {}

    /** Whoever asked is older than the versions that are kept one by one: the whole, as of {@code known}. */
    record Snapshot(long rev, SortedMap<String, String> values) implements Response {}
}
