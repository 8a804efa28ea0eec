package kitemux.node;

/** What a node allows at most, and what each bound guards against. */
final class Limits {
    /** A body either way, by the protocol: memory is short. */
    static final int MOST_BODY = 64 << 10;
    /** Requests that a client may send ahead of the answer: each takes memory, and clients send one. */
    static final int MOST_AHEAD = 16;
    /** From the first byte of a request to its last, and from connecting to the first request: whoever does
     * not get on holds a socket and memory for nothing. */
    static final long READING_MS = 2_000;
    /** Without a request: clients with many connections use few of them, and some never come back. */
    static final long IDLE_MS = 5_000;
    /** For a client to take its answer: one that never reads would keep it, and the connection, for good. */
    static final long WRITING_MS = 5_000;
    /** For the rest of what was turned down to come: closing on it at once would break the answer off. */
    static final long LINGER_MS = 1_000;
    /** In which a new connection is not closed to make room: its request may be on its way. */
    static final long FRESH_MS = 100;
    /** After SIGTERM connections arrive for 0.4 s more; a tenth is room for those under way. */
    static final long ARRIVING_MS = 500;
    /** Between two looks at what is too old. */
    static final long HOUSEKEEPING_MS = 200;

    private Limits() { }
}
