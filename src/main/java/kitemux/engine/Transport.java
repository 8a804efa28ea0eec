package kitemux.engine;

import kitemux.Balancer.Result;

/**
 * Carries attempts to servers. All calls come from the loop's thread, and an exchange's end may be told from
 * inside them.
 *
 * @param <Q> requests of its protocol
 * @param <A> answers of its protocol
 */
public interface Transport<Q, A> {
    /**
     * What is sent to a server and waits for its answer.
     *
     * @param <Q> requests
     * @param <A> answers
     */
    interface Exchange<Q, A> {
        /** What to send. */
        Q request();

        /** When it is given up, in microseconds of the engine's clock. */
        long expiresAtUs();

        /** When its client's time is over, on the same clock: then or later than it is given up. */
        default long deadlineUs() {
            return expiresAtUs();
        }

        /**
         * An answer has begun to come that nobody holds whole: the rest of it comes through the answer
         * itself, and the end is told as ever. Nothing is tried again: what has been passed on cannot be
         * taken back. The client's time holds no longer: what keeps coming is passed on to its end. What
         * stops or has no end the transport breaks off, as {@link Result#RESET}.
         *
         * @return false if nobody wants it: the client has left, or has another attempt's answer. The
         *     transport is to break it off, and tells no end
         */
        default boolean onResponseStarted(A answer) {
            return false;
        }

        /** Its one end; the answer is the server's where the result is OK and none has begun, else null. */
        void onEnded(Result result, A answer);
    }

    /** Starts an exchange, which is told its end unless it is given up. */
    void start(String serverId, Exchange<Q, A> exchange);

    /** Gives an exchange up without telling its end. True if its request may have been written whole. */
    boolean abandon(String serverId, Exchange<Q, A> exchange);

    /** Takes back an exchange of which nothing has been written, without telling its end. False if any of it
     * may have been. */
    boolean withdraw(String serverId, Exchange<Q, A> exchange);

    /** What checks a server, where the settings allow probes. */
    Q probeRequest();

    /** A server's address as text; empty if it is not known, or no more. */
    String endpoint(String serverId);

    /** Closes the idle connections to a server. */
    void closeIdle(String serverId);
}
