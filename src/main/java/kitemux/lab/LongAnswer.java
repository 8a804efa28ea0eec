package kitemux.lab;

/**
 * An answer that a server sends piece by piece: 70,000 bytes at once, which is more than a node buffers, followed by
 * pieces of 1,000 bytes.
 *
 * @param pieces the number of pieces after the first part; at least 1
 * @param intervalUs the time between two pieces, in microseconds
 * @param sentPieces the number of pieces that are sent before the server stops for good with its connection open;
 *     equal to {@code pieces} if it does not stop
 */
public record LongAnswer(int pieces, long intervalUs, int sentPieces) {
    static final int FIRST_PART_BYTES = 70_000;
    static final int PIECE_BYTES = 1_000;

    /** How the sending of a long answer ends. */
    public enum End {
        /** The last byte was sent. */
        WHOLE,
        /** The server stops before the end and keeps the connection open. */
        STOPPED,
        /** The server's process ends. */
        DIED,
        /** The node closes the connection. */
        CLOSED
    }

    int lengthBytes() {
        return FIRST_PART_BYTES + pieces * PIECE_BYTES;
    }
}
