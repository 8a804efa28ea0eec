package kitemux.soak;

import java.util.List;

/**
 * A client's request and what became of it. Times are Unix time in microseconds.
 *
 * @param classIndex of {@link #CLASSES}
 * @param remainingUs how long the client said that it waits, from {@code sentUs} on
 * @param usedBefore whether its connection had carried another request
 * @param endedUs when the client knew the outcome
 */
record Request(
        String txn, int classIndex, long sentUs, long remainingUs, boolean usedBefore, Outcome outcome, long endedUs) {
    static final List<String> CLASSES = List.of("page", "photo", "order");
    static final List<String> RETRY_SAFETY = List.of("safe", "keyed", "unsafe");
    /** The index of the class that must not run twice. */
    static final int UNSAFE_CLASS_INDEX = 2;

    /** What the client saw. */
    enum Outcome {
        /** 200. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** The connection ended with no whole answer. */
        BROKEN,
        /** No answer came by half a second after its time. */
        SILENT,
        /** The client closed while it waited. */
        LEFT
    }
}
