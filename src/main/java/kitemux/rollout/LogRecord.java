package kitemux.rollout;

import java.util.SortedMap;

/**
 * A record of a keeper's log. Replaying the records in the order in which they were written restores the
 * state of the keeper.
 */
public sealed interface LogRecord {
    /** A version was chosen. */
    record Chosen(Version version) implements LogRecord {}

    /** The keeper has made a promise or accepted a value. */
    record Voted(Vote vote) implements LogRecord {}

    /** A snapshot of the values as of version {@code rev}, which replaces all versions up to it. */
    record Snapshot(long rev, SortedMap<String, String> values) implements LogRecord {}
}
