package kitemux.lab;

/**
 * An answer that a server gives bit by bit: 70,000 bytes at once, more than a node holds, and then pieces of
 * 1,000 bytes.
 *
 * @param pieces that follow the first bytes; 1 or more
 * @param intervalUs between two of them, in microseconds
 * @param sentPieces how many of them are given before it stops for good, its connection open; all of them where it
 *     does not stop
 */
public record LongAnswer(int pieces, long intervalUs, int sentPieces) {
    static final int FIRST_PART_BYTES = 70_000;
    static final int PIECE_BYTES = 1_000;

    /** How the giving of one ends. */
    public enum End {
        /** With its last byte. */
        WHOLE,
        /** The server stops amid it and keeps the connection. */
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
