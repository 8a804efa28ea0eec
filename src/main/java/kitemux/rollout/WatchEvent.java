package kitemux.rollout;

import java.util.SortedMap;
import java.util.SortedSet;

/** A line that a keeper sends to a node on a watch. */
public sealed interface WatchEvent {
    /** The next version, as its changes to the version before. */
    record Update(long rev, SortedMap<String, String> set, SortedSet<String> drop) implements WatchEvent {}

    /**
     * A part of a snapshot, numbered from 1 to {@code partCount}. The snapshot is applied only once its
     * last part has arrived.
     */
    record SnapshotPart(long rev, int part, int partCount, SortedMap<String, String> set) implements WatchEvent {}

    /** Tells the node that the keeper is alive and reaches a majority of the voters. */
    record Heartbeat() implements WatchEvent {}

    /**
     * Tells the node that the keeper is alive but reaches no majority of the voters, so that there may be
     * versions later than {@code rev} that it does not know.
     */
    record NoQuorum(long rev) implements WatchEvent {}
}
