package kitemux.rollout;

import java.util.SortedMap;

/** What a keeper writes to its folder, in order. Read back in order, it is the keeper again. */
public sealed interface Kept {
    /** A version was chosen. */
    record Chosen(Version version) implements Kept {}

    /** It has bound itself. */
    record Voted(Vote vote) implements Kept {}

    /** All up to {@code rev} in one. */
    record Whole(long rev, SortedMap<String, String> values) implements Kept {}
}
