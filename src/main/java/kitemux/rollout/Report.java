package kitemux.rollout;

import java.util.List;
import java.util.SortedSet;

/**
 * What a node says that it has in force.
 *
 * @param node its number, from 0
 * @param incarnation when its process started, in milliseconds since 1970; of two of a number the later counts
 * @param rev the newest version that is in force
 * @param pendingRestart paths of it that are so only after a restart
 * @param rejections what it does not take, and why
 */
public record Report(
        int node, long incarnation, long rev, SortedSet<String> pendingRestart, List<Rejection> rejections) {
    /** A fault of a version that stays out of force. */
    public record Rejection(long rev, String path, String reason) {}
}
