package kitemux.net;

import java.util.List;

/**
 * What the connections of a node's clients do.
 *
 * @param connectionCount open connections
 * @param pausedCount open connections from which nothing is read, so that the end of one is not noticed
 * @param closes closed connections since the start, by reason
 */
public record ClientUsage(int connectionCount, int pausedCount, List<CloseCount> closes) {
    /**
     * Number of connections that were closed for one reason.
     *
     * @param reason name of the reason in lower case
     */
    public record CloseCount(String reason, long count) {}
}
