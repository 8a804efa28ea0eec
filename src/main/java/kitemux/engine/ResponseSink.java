package kitemux.engine;

/**
 * A client that is owed one answer to a request: exactly one of the others is called, once, unless the client
 * has left before; {@link #onResponseStarted} once before it at most.
 *
 * @param <A> what servers answer
 */
public interface ResponseSink<A> {
    /**
     * An answer begins that comes through this object; it is whole once {@link #onServed} is called with null,
     * and broken off where anything else is.
     */
    default void onResponseStarted(A answer) {
        throw new IllegalStateException("answers of this protocol come whole");
    }

    /** Served: what a server made for it; null for the end of one that has begun. */
    void onServed(A answer);

    /** Turned away: trying again is harmless, after so many microseconds; 0 gives no advice. */
    void onRefused(long retryAfterUs);

    /** Failed: nothing is promised about its effect. */
    void onFailed();

    /** A defect of this program was met; nothing is promised either. */
    void onInternalError();
}
