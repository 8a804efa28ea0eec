package kitemux.node;

/** What a node allows at most, either way, and what each bound guards against. */
final class Limits {
    /** A request's body, by the protocol: memory is short. */
    static final int MOST_BODY = 64 << 10;
    /** An answer's body: servers send more than the protocol says, but one without end fills the memory. */
    static final int MOST_ANSWER = 1 << 20;
    /** All answers together that are on their way from servers: a quarter of the heap. */
    static final int MOST_ANSWERS = 16 << 20;
    /** Room that an answer is given before it comes, whatever length it says it has. */
    static final int FIRST_ROOM = 16 << 10;
    /** Requests that a client may send ahead of the answer: each takes memory, and clients send one. */
    static final int MOST_AHEAD = 16;
    /** Connections taken in one turn of the loop. Netty's sixteen were fewer than came while a turn took
     * 100 ms: clients gave up in the backlog, and the next turn met only those. More would need more
     * descriptors at once, before any can be closed to make room. */
    static final int MOST_ACCEPTED = 64;
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
