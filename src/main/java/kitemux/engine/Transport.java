package kitemux.engine;

import kitemux.Balancer.Result;

/**
 * Sends attempts to servers. All methods are called on the event loop thread and may report the end of an
 * exchange before they return.
 *
 * @param <Q> type of the protocol's requests
 * @param <A> type of the protocol's responses
 */
public interface Transport<Q, A> {
    /**
     * One request sent to a server and the response to it.
     *
     * @param <Q> type of the protocol's requests
     * @param <A> type of the protocol's responses
     */
    interface Exchange<Q, A> {
        /** Returns the request to send. */
        Q request();

        /** Returns when the exchange times out, in microseconds of the engine's clock. */
        long expiresAtUs();

        /** Returns the client's deadline on the same clock; it is never before {@link #expiresAtUs}. */
        default long deadlineUs() {
            return expiresAtUs();
        }

        /**
         * Whether the request may be written now. The transport asks right before the first byte of the request, as
         * any condition that held when the server was chosen may have changed while the exchange waited for a
         * connection. If the answer is false, nothing is written and the exchange ends with {@link Result#MOOT}.
         */
        default boolean mayBeWritten() {
            return true;
        }

        /** The first byte of the request is about to be written; called at most once. */
        default void onWriting() {}

        /**
         * A response has started that is not buffered: its remaining data arrives through the response object,
         * and its end is reported by {@link #onEnded} as usual. The request is not retried from here on,
         * because data that was forwarded cannot be taken back. The client's deadline no longer applies as
         * long as data keeps arriving. The transport ends a response that stalls or does not end, with
         * {@link Result#RESET}.
         *
         * @return false if the response is not wanted because the client has disconnected or another attempt
         *     is answering it. The transport must then abort the exchange without reporting its end
         */
        default boolean onResponseStarted(A response) {
            return false;
        }

        /** The connection was lost after the request had been written; {@link #onEnded} follows. */
        default void onConnectionLost(ConnectionLoss loss) {}

        /**
         * The exchange has ended; called at most once.
         *
         * @param response the server's response if the result is OK and no response was started before; otherwise
         *     null
         */
        void onEnded(Result result, A response);
    }

    /** Starts an exchange; its end is reported unless it is abandoned or withdrawn first. */
    void start(String serverId, Exchange<Q, A> exchange);

    /**
     * Abandons an exchange without reporting its end.
     *
     * @return true if its request may have been written completely
     */
    boolean abandon(String serverId, Exchange<Q, A> exchange);

    /**
     * Starts to pass on a response of whose body some bytes have arrived and whose end is not known, by {@link
     * Exchange#onResponseStarted}. Called at the client's deadline, when the exchange would be abandoned otherwise.
     *
     * @return false if no byte of such a body has arrived
     */
    default boolean startPartialResponse(String serverId, Exchange<Q, A> exchange) {
        return false;
    }

    /**
     * Withdraws an exchange of which nothing has been written, without reporting its end.
     *
     * @return false if any part of it may have been written; the exchange then continues
     */
    boolean withdraw(String serverId, Exchange<Q, A> exchange);

    /** Returns the request that probes a server, where the settings allow probes. */
    Q probeRequest();

    /** Returns a server's address as text, or an empty string if the server is unknown. */
    String endpoint(String serverId);

    /** Closes the idle connections to the server. */
    void closeIdle(String serverId);
}
