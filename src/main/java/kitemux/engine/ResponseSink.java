package kitemux.engine;

/**
 * Receives the final answer to a client's request. Exactly one of {@link #onServed}, {@link #onRefused},
 * {@link #onFailed} and {@link #onInternalError} is called, once, unless the client disconnects first.
 * {@link #onResponseStarted} is called at most once, before the final answer.
 *
 * @param <A> type of the servers' responses
 */
public interface ResponseSink<A> {
    /** What the node knows of whether a client has disconnected: only reading its input reports that. */
    enum ClientInput {
        /** All input that has arrived is read, so the client is still connected as far as the node can know. */
        READ,
        /** Some input is unread; it is read in the next iterations of the event loop. */
        UNREAD,
        /** Some input may be unread, and reading is paused: a disconnect behind it would not be noticed. */
        PAUSED
    }

    /** Returns how much of the client's input is read; no attempt may begin for a client whose input is not. */
    default ClientInput clientInput() {
        return ClientInput.READ;
    }

    /**
     * A response has started whose remaining data arrives through the given object. The response is complete
     * once {@link #onServed} is called with null, and truncated if any other final method is called.
     */
    default void onResponseStarted(A response) {
        throw new IllegalStateException("this protocol does not stream responses");
    }

    /**
     * The request was served.
     *
     * @param response the server's response, or null at the end of a response that was started before
     */
    void onServed(A response);

    /**
     * The request was refused and did not run, so the client can retry it safely.
     *
     * @param retryAfterUs the advised delay before a retry in microseconds, or 0 for no advice
     */
    void onRefused(long retryAfterUs);

    /** The request failed; it may or may not have taken effect. */
    void onFailed();

    /** An internal error occurred in the node; the request may or may not have taken effect. */
    void onInternalError();
}
