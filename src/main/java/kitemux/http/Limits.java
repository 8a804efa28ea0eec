package kitemux.http;

/** What is allowed at most of HTTP, either way, and what each bound guards against. */
public final class Limits {
    /** A request's body: it is held whole until its request is over, as it may have to be sent again. */
    public static final int MAX_REQUEST_BODY_BYTES = 32 << 20;
    /** Up to here a body counts for nothing in {@link #MAX_TOTAL_REQUEST_BODY_BYTES}: clients send one at a time. */
    public static final int SMALL_REQUEST_BODY_BYTES = 64 << 10;
    /** All long bodies together: with all else that is held they have to fit a heap of 64 MiB. */
    public static final long MAX_TOTAL_REQUEST_BODY_BYTES = 34L << 20;
    /** How much of an answer is gathered, so that another server can be asked where it breaks off; what is
     * longer is passed on as it comes. */
    public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;
    /** An answer's body, also one that is passed on: one without end would hold two connections for as long
     * as {@link #MAX_STREAMING_US}. */
    public static final long MAX_RESPONSE_BYTES = 1L << 30;
    /** An error's body, which is dropped: one without end would hold the connection. */
    public static final int MAX_ERROR_BODY_BYTES = 1 << 20;
    /** For a server to go on with an answer that is passed on: one that has vanished says nothing more.
     * Clients take what is withheld for 2 s for lost: a node that waits longer cannot be told from one that
     * withholds, and one that waits much less cuts off a server that only pauses. Looked at every 200 ms,
     * this tells the client just before. */
    public static final long STALL_TIMEOUT_US = 1_750_000;
    /** For a server that was last heard within its client's time to be heard after it. One that gives on is
     * heard to the last; one that has stopped would keep its client from the final answer, which is due by
     * half a second after its time: a check every 200 ms and a loop that is late have to fit in. */
    public static final long DEADLINE_GRACE_US = 200_000;
    /** For an answer that is passed on, from its first bytes to its last: the longest, of 32 MiB, takes 512 s
     * at the slowest that peers write, 64 kB a second. One that drips for good would hold two connections. */
    public static final long MAX_STREAMING_US = 600_000_000;
    /** All answers together that are on their way from servers: a quarter of the heap. */
    public static final int MAX_TOTAL_BUFFERED_RESPONSE_BYTES = 16 << 20;
    /** Room that an answer is given before it comes, whatever length it says it has. */
    public static final int MAX_INITIAL_BUFFER_BYTES = 16 << 10;
    /** Requests that a client may send ahead of the answer: each takes memory, and clients send one. */
    public static final int MAX_PIPELINED_REQUEST_COUNT = 16;
    /** What is kept as it comes behind requests that wait, within {@link #MAX_TOTAL_REQUEST_BODY_BYTES}: a client that leaves
     * behind it is seen to only where reading goes on, as nothing but reading tells a socket's end here. Like
     * what is dropped: with a read more its buffer has 1 MiB. */
    public static final int MAX_PIPELINED_BYTES = 960 << 10;
    /** What is read and dropped of a client that has sent what cannot be used and waits to be told so, for
     * the same end: a flood must not use up the processor. */
    public static final long MAX_DISCARDED_BYTES = 1 << 20;
    /** From the first byte of a request's head to its last, and from connecting to the first request: whoever
     * does not get on holds a socket and memory for nothing. Slow clients take 2 s for a head. */
    public static final long REQUEST_READ_TIMEOUT_MS = 3_000;
    /** Bytes a millisecond that a body has to come at, beyond that time: half of what slow clients manage. */
    public static final long MIN_BODY_RATE_BYTES_PER_MS = 32;
    /** Without a request: clients with many connections use few of them, and some never come back. */
    public static final long IDLE_TIMEOUT_MS = 5_000;
    /** For a client to take its answer: one that never reads would keep it, and the connection, for good. */
    public static final long WRITE_TIMEOUT_MS = 5_000;
    /** For the rest of what was turned down to come: closing on it at once would break the answer off. */
    public static final long LINGER_MS = 1_000;
    /** In which a new connection is not closed to make room: its request may be on its way. */
    public static final long NEW_CONNECTION_GRACE_MS = 100;
    /** After SIGTERM connections arrive for 0.4 s more; a tenth is room for those under way. */
    public static final long LISTENER_DRAIN_MS = 500;

    /** Once clients are sent away, for their next request to come by itself: each is answered, and with its
     * answer the connection ends. What is still idle then is closed. */
    public static final long IDLE_DRAIN_MS = 1_500;
    /** Unused for so long, a connection of a client that is sent away holds no request on its way. */
    public static final long MIN_UNUSED_MS = 300;

    private Limits() {}
}
