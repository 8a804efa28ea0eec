package kitemux.http;

/** Limits of the HTTP implementation on both sides, and the failure that each of them prevents. */
public final class Limits {
    /**
     * Maximum size of a request body. The body is kept until the request is complete, since it may have to be
     * sent again.
     */
    public static final int MAX_REQUEST_BODY_BYTES = 32 << 20;
    /** Size up to which a body does not count towards {@link #MAX_TOTAL_LONG_REQUEST_BODY_BYTES}. */
    public static final int SMALL_REQUEST_BODY_BYTES = 64 << 10;
    /** Maximum total size of all request bodies. With the other limits of memory it fits into the heap of the deploy file. */
    public static final long MAX_TOTAL_REQUEST_BYTES = 35L << 20;
    /** Maximum total size of all long request bodies: the longest one. */
    public static final long MAX_TOTAL_LONG_REQUEST_BODY_BYTES = 32L << 20;
    /** Maximum memory of all requests that are received, queued or served, without their bodies. */
    public static final long MAX_TOTAL_HEAD_BYTES = 5L << 19;
    /** Memory of the objects of one request, besides its kept fields and its target, in bytes. */
    static final int REQUEST_BYTES = 1_536;
    /** Maximum memory of all input that has been read and waits to be parsed. */
    public static final long MAX_TOTAL_INPUT_BYTES = 5L << 19;
    /** Part of the room for input that one read may take. */
    static final int INPUT_SHARE_DIVISOR = 16;
    /**
     * Room for input that is left to the others by a connection whose client sends much ahead. Within the rest it is read, so
     * that its client's disconnect is noticed, as only reading reports the end of a socket here.
     */
    static final long INPUT_BYTES_FOR_OTHERS = 512 << 10;
    /** Smallest read from a client while memory is short, in bytes: a short request with its head. */
    static final int MIN_INPUT_READ_BYTES = 1 << 10;
    /** Room for input below which nothing is read, in bytes. */
    static final int MIN_INPUT_ROOM_BYTES = 2 * MIN_INPUT_READ_BYTES;
    /**
     * Size up to which a response is buffered, so that another server can be asked if it is cut off; a longer
     * response is streamed.
     */
    public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;
    /**
     * Maximum size of a response body, streamed or not. An endless response would occupy two connections for up
     * to {@link #MAX_STREAMING_US}.
     */
    public static final long MAX_RESPONSE_BYTES = 1L << 30;
    /**
     * Maximum size of the body of an error response, which is discarded. An endless one would occupy the
     * connection.
     */
    public static final int MAX_ERROR_BODY_BYTES = 1 << 20;
    /**
     * How long a server may pause while its response is streamed, whatever has come of it; a server that has vanished
     * sends nothing more. Beyond one such pause, a response that may be short comes at half of the lowest rate of slow
     * peers at least; one that trickles without end would keep its client waiting. Clients consider a response lost once it is withheld for 2 s, so a longer timeout could not be told
     * from withholding, and a much shorter one would cut off servers that only pause. The check runs every 200
     * ms, so the client is notified just before its 2 s.
     */
    public static final long STALL_TIMEOUT_US = 1_750_000;
    /**
     * Maximum duration of a streamed response, from its first bytes to its last. The longest one, of 32 MiB,
     * takes 512 s at the lowest rate at which peers write, 64 kB/s. A response that trickles forever would
     * occupy two connections.
     */
    public static final long MAX_STREAMING_US = 600_000_000;
    /**
     * Maximum total size of all responses on the heap, while they arrive from servers and while they wait for their
     * clients. Beyond it responses are streamed.
     */
    public static final int MAX_TOTAL_BUFFERED_RESPONSE_BYTES = 5 << 19;
    /**
     * Maximum number of requests that a client may pipeline: each takes memory, and usual clients send one at a
     * time.
     */
    public static final int MAX_PIPELINED_REQUEST_COUNT = 16;
    /**
     * How long input may wait to be parsed. Input that costs too much time is refused, so that its client has its answer
     * soon after its time and the input of others does not wait behind it.
     */
    public static final long MAX_BACKLOG_AGE_US = 200_000;
    /**
     * Size up to which input is read and discarded from a client that sent an invalid request and waits for its
     * error response, so that its disconnect is noticed. Reading a flood must not use up the processor.
     */
    public static final long MAX_DISCARDED_BYTES = 1 << 20;
    /**
     * Timeout from the first to the last byte of a request head, and from the connection's start to its first
     * request. A client that makes no progress holds a socket and memory for nothing. Slow clients take 2 s for
     * a head.
     */
    public static final long REQUEST_READ_TIMEOUT_MS = 3_000;
    /**
     * How long a client may pause within a request. One that stops is owed its error within 3 s of its last byte; the rest of
     * them is for the interval of the check, for a loop that is held up for 0.15 s and for the answer. Slow clients send
     * their bodies in lumps up to 2 s apart.
     */
    public static final long MAX_REQUEST_PAUSE_MS = 2_500;
    /** Minimum rate of a body: half of what slow clients achieve. */
    public static final long MIN_BODY_RATE_BYTES_PER_MS = 32;
    /**
     * How long a connection may be idle. Clients with many connections use few of them, and some never come
     * back.
     */
    public static final long IDLE_TIMEOUT_MS = 5_000;
    /**
     * Timeout for a client to read a response. A client that never reads would keep it and the connection
     * forever.
     */
    public static final long WRITE_TIMEOUT_MS = 5_000;
    /**
     * How long the remaining input of a rejected request is discarded before the connection closes; an
     * immediate close would cut off the response.
     */
    public static final long LINGER_MS = 1_000;
    /**
     * How long the remaining input of a refused request is discarded at least, also if descriptors are short: its client has
     * read the answer by then.
     */
    public static final long MIN_LINGER_MS = 100;
    /** Age below which a new connection is not closed to make room: its first request may be on its way. */
    public static final long NEW_CONNECTION_GRACE_MS = 100;
    /**
     * How long the listener stays open after SIGTERM. Connections arrive for another 0.4 s, and 0.1 s is left
     * for those under way.
     */
    public static final long LISTENER_DRAIN_MS = 500;

    /**
     * How long idle connections stay open once clients are drained. Each client that sends its next request by
     * itself gets its response, which closes the connection; connections that are still idle afterwards are
     * closed.
     */
    public static final long IDLE_DRAIN_MS = 1_500;
    /** How long a connection of a drained client must have been idle to assume that no request is on its way. */
    public static final long MIN_UNUSED_MS = 300;

    private Limits() {}
}
