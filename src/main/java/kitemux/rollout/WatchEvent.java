package kitemux.rollout;

import java.util.SortedMap;
import java.util.SortedSet;

/** A line of a node's watch. */
public sealed interface WatchEvent {
    /** The next version. */
    record Update(long rev, SortedMap<String, String> set, SortedSet<String> drop) implements WatchEvent {}

    /** A part of the whole, from 1 to {@code of}; it is in force only with the last. */
    record SnapshotPart(long rev, int part, int partCount, SortedMap<String, String> set) implements WatchEvent {}

    /** The keeper is there, and hears a majority. */
    record Heartbeat() implements WatchEvent {}

    /** The keeper is there, and hears no majority: there may be later versions than its own. */
    record NoQuorum(long rev) implements WatchEvent {}
}
