package kitemux.rollout;

import java.util.List;
import java.util.SortedMap;

/** What a keeper says to a {@link Request}. */
public sealed interface Answer {
    /** Promised, with what it has accepted before; {@link Ballot#NONE} and null where nothing. */
    record Promised(long rev, Ballot ballot, Ballot acceptedAt, Change accepted) implements Answer {}

    /** Accepted. */
    record Accepted(long rev, Ballot ballot) implements Answer {}

    /** Not this ballot: a higher one was promised. */
    record Refused(long rev, Ballot ballot, Ballot promised) implements Answer {}

    /** It does not know all that comes before, or has no vote; it knows up to {@code known}. */
    record Behind(long rev, long known) implements Answer {}

    /** The versions after one, {@link Terms#MOST_VERSIONS} at most; {@code known} is its newest. */
    record Known(long after, long known, List<Version> versions) implements Answer {}

    /** Whoever asked is older than the versions that are kept one by one: the whole, as of {@code known}. */
    record Whole(long known, SortedMap<String, String> values) implements Answer {}
}
