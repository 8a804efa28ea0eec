package kitemux.engine;

import kitemux.Balancer.Result;

/**
 * Observes the progress of requests. All methods are called on the event loop thread; they must neither block
 * nor throw, and must not call the engine. Request ids are assigned by the engine and are unique within the
 * process. The default implementations do nothing.
 */
public interface Observer {
    /** An observer that ignores all events. */
    Observer NONE = new Observer() {};

    /** Returns an observer that notifies this observer first and the given one second. */
    default Observer andThen(Observer next) {
        Observer current = this;
        return new Observer() {
            @Override
            public void onRequestAccepted(long id, RequestInfo request) {
                current.onRequestAccepted(id, request);
                next.onRequestAccepted(id, request);
            }

            @Override
            public void onAttemptStarted(long id, int attempt, String serverId, long expiresAtUs) {
                current.onAttemptStarted(id, attempt, serverId, expiresAtUs);
                next.onAttemptStarted(id, attempt, serverId, expiresAtUs);
            }

            @Override
            public void onAttemptWritten(long id, int attempt) {
                current.onAttemptWritten(id, attempt);
                next.onAttemptWritten(id, attempt);
            }

            @Override
            public void onAttemptWithheld(long id, int attempt, WithheldReason reason) {
                current.onAttemptWithheld(id, attempt, reason);
                next.onAttemptWithheld(id, attempt, reason);
            }

            @Override
            public void onConnectionLost(long id, int attempt, ConnectionLoss loss) {
                current.onConnectionLost(id, attempt, loss);
                next.onConnectionLost(id, attempt, loss);
            }

            @Override
            public void onAttemptEnded(long id, int attempt, Result result) {
                current.onAttemptEnded(id, attempt, result);
                next.onAttemptEnded(id, attempt, result);
            }

            @Override
            public void onRequestAnswered(long id, RequestOutcome outcome) {
                current.onRequestAnswered(id, outcome);
                next.onRequestAnswered(id, outcome);
            }

            @Override
            public void onRequestReleased(long id) {
                current.onRequestReleased(id);
                next.onRequestReleased(id);
            }
        };
    }

    /** The final outcome of a request. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        LEFT
    }

    /** The engine has accepted a request. */
    default void onRequestAccepted(long id, RequestInfo request) {}

    /**
     * An attempt has started; its request may not have been written yet.
     *
     * @param expiresAtUs when the attempt times out, in microseconds of the engine's clock
     */
    default void onAttemptStarted(long id, int attempt, String serverId, long expiresAtUs) {}

    /** The first byte of an attempt is about to be written to its server; called at most once for each attempt. */
    default void onAttemptWritten(long id, int attempt) {}

    /** Why an attempt was not written although it had begun. */
    enum WithheldReason {
        /** Its time was over. */
        EXPIRED,
        /** The balancer no longer allows it: the window of a keyed request is over, or its server may not be used. */
        NOT_ALLOWED,
        /** Reading from its client is paused, so that the client may have disconnected unnoticed. */
        CLIENT_INPUT_PAUSED
    }

    /** An attempt is not written to its server, and ends. */
    default void onAttemptWithheld(long id, int attempt, WithheldReason reason) {}

    /** The connection of a written attempt was lost; {@link #onAttemptEnded} follows. */
    default void onConnectionLost(long id, int attempt, ConnectionLoss loss) {}

    /** An attempt has ended; called exactly once for each {@link #onAttemptStarted}. */
    default void onAttemptEnded(long id, int attempt, Result result) {}

    /** The request has its final answer, or its client has disconnected. */
    default void onRequestAnswered(long id, RequestOutcome outcome) {}

    /** The request is answered and has no attempt in flight; no more events follow for it. */
    default void onRequestReleased(long id) {}
}
