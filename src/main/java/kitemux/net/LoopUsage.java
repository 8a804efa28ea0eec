package kitemux.net;

/**
 * How long the event loop of a node was held up.
 *
 * @param stallCount stalls that were long enough to be logged, since the start
 * @param longestStallUs the longest delay of a tick since the start, in microseconds
 */
public record LoopUsage(long stallCount, long longestStallUs) {}
