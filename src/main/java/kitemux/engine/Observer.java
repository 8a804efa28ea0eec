package kitemux.engine;

import kitemux.Balancer.Result;

/**
 * Told what becomes of requests, on the loop's thread. It must neither block nor throw, and must not call
 * the engine. Ids are the engine's own, new with each request of a process. All methods do nothing unless
 * they are taken over.
 */
public interface Observer {
    /** Told of nothing. */
    Observer NONE = new Observer() {};

    /** Tells both, this one first. */
    default Observer andThen(Observer other) {
        Observer first = this;
        return new Observer() {
            @Override
            public void onRequestAccepted(long id, RequestInfo request) {
                first.onRequestAccepted(id, request);
                other.onRequestAccepted(id, request);
            }

            @Override
            public void onAttemptStarted(long id, int attempt, String serverId, long untilUs) {
                first.onAttemptStarted(id, attempt, serverId, untilUs);
                other.onAttemptStarted(id, attempt, serverId, untilUs);
            }

            @Override
            public void onAttemptEnded(long id, int attempt, Result result) {
                first.onAttemptEnded(id, attempt, result);
                other.onAttemptEnded(id, attempt, result);
            }

            @Override
            public void onRequestAnswered(long id, RequestOutcome answer) {
                first.onRequestAnswered(id, answer);
                other.onRequestAnswered(id, answer);
            }

            @Override
            public void onRequestReleased(long id) {
                first.onRequestReleased(id);
                other.onRequestReleased(id);
            }
        };
    }

    /** How a request was answered. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        LEFT
    }

    /** A request is held from now on. */
    default void onRequestAccepted(long id, RequestInfo request) {}

    /** An attempt begins, given up at this time; its request may not have been written yet. */
    default void onAttemptStarted(long id, int attempt, String serverId, long untilUs) {}

    /** An attempt has ended; told once for each that was {@link #onAttemptStarted}. */
    default void onAttemptEnded(long id, int attempt, Result result) {}

    /** The request has its one answer, or its client has left. */
    default void onRequestAnswered(long id, RequestOutcome answer) {}

    /** Nothing more will be told of a request: it is answered, and no attempt is out. */
    default void onRequestReleased(long id) {}
}
