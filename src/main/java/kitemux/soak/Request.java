package kitemux.soak;

import java.util.List;

/**
 * A client's request and its outcome. Times are Unix time in microseconds.
 *
 * @param txn unique identifier of the request
 * @param classIndex index in {@link #CLASSES}
 * @param sentUs when the request was written
 * @param remainingUs how long the client announced that it waits, from {@code sentUs} on
 * @param usedBefore whether the connection had carried another request before
 * @param outcome what the client saw
 * @param endedUs when the client knew the outcome
 */
record Request(
        String txn, int classIndex, long sentUs, long remainingUs, boolean usedBefore, Outcome outcome, long endedUs) {
    /** Names of the request classes. */
    static final List<String> CLASSES = List.of("page", "photo", "order");
    /** Retry safety of each class, as in the settings of the node. */
    static final List<String> RETRY_SAFETY = List.of("safe", "keyed", "unsafe");
    /** Index of the class whose requests carry a key. */
    static final int KEYED_CLASS_INDEX = 1;
    /** How long servers remember keys, in microseconds, as in the settings of the node. */
    static final long DEDUP_WINDOW_US = 1_200_000;
    /** Index of the class whose requests must not run twice. */
    static final int UNSAFE_CLASS_INDEX = 2;

    /** Outcome of a request as the client saw it. */
    enum Outcome {
        /** The client received status 200. */
        SERVED,
        /** The client received status 429 or 503. */
        REFUSED,
        /** The client received any other status. */
        FAILED,
        /** The connection ended before a whole response had arrived. */
        BROKEN,
        /** The connection ended, or was silent for too long, after the head of a response of status 200. */
        TRUNCATED,
        /** No response arrived within half a second after the deadline. */
        SILENT,
        /** The client closed the connection while it waited. */
        LEFT
    }
}
