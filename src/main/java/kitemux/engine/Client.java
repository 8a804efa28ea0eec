package kitemux.engine;

/**
 * A client that is owed one answer to a request: exactly one of these is called, once, unless the client has
 * left before.
 *
 * @param <A> what servers answer
 */
public interface Client<A> {
    /** Served: what a server made for it. */
    void served(A answer);

    /** Turned away: trying again is harmless, after so many microseconds; 0 gives no advice. */
    void refused(long retryAfterUs);

    /** Failed: nothing is promised about its effect. */
    void failed();

    /** A defect of this program was met; nothing is promised either. */
    void broken();
}
