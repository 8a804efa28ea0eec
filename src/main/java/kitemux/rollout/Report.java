package kitemux.rollout;

import java.util.List;
import java.util.SortedSet;

/**
 * A node's report of the configuration that it has in force.
 *
 * @param node number of the node, from 0
 * @param incarnation start time of its process in milliseconds since 1970; of two processes with one node
 *     number the later one counts
 * @param rev newest version in force
 * @param pendingRestart paths whose values take effect only after a restart
 * @param rejections why the node does not apply the newest version that it received; empty if it does
 */
public record Report(
        int node, long incarnation, long rev, SortedSet<String> pendingRestart, List<Rejection> rejections) {
    /** A validation error because of which a node does not apply a version. */
    public record Rejection(long rev, String path, String reason) {}
}
