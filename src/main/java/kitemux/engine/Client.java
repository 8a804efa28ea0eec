package kitemux.engine;

/**
 * A client that is owed one answer to a request: exactly one of the others is called, once, unless the client
 * has left before; {@link #begun} once before it at most.
 *
 * @param <A> what servers answer
 */
public interface Client<A> {
    /**
     * An answer begins that comes through this object; it is whole once {@link #served} is called with null,
     * and broken off where anything else is.
     */
    default void begun(A answer) {
        throw new IllegalStateException("answers of this protocol come whole");
    }

    /** Served: what a server made for it; null for the end of one that has begun. */
    void served(A answer);

    /** Turned away: trying again is harmless, after so many microseconds; 0 gives no advice. */
    void refused(long retryAfterUs);

    /** Failed: nothing is promised about its effect. */
    void failed();

    /** A defect of this program was met; nothing is promised either. */
    void broken();
}
