package kitemux.rollout;

import java.util.SortedMap;

/** What a keeper writes to its folder, in order. Read back in order, it is the keeper again. */
public sealed interface LogRecord {
    /** A version was chosen. */
    record Chosen(Version version) implements LogRecord {}

    /** It has bound itself. */
    record Voted(Vote vote) implements LogRecord {}

    /** All up to {@code rev} in one. */
    record Snapshot(long rev, SortedMap<String, String> values) implements LogRecord {}
}
