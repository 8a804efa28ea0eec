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
    default Observer and(Observer other) {
        Observer first = this;
        return new Observer() {
            @Override
            public void taken(long id, Asked request) {
                first.taken(id, request);
                other.taken(id, request);
            }

            @Override
            public void sent(long id, int attempt, String serverId, long untilUs) {
                first.sent(id, attempt, serverId, untilUs);
                other.sent(id, attempt, serverId, untilUs);
            }

            @Override
            public void ended(long id, int attempt, Result result) {
                first.ended(id, attempt, result);
                other.ended(id, attempt, result);
            }

            @Override
            public void answered(long id, Answer answer) {
                first.answered(id, answer);
                other.answered(id, answer);
            }

            @Override
            public void forgotten(long id) {
                first.forgotten(id);
                other.forgotten(id);
            }
        };
    }

    /** How a request was answered. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        LEFT
    }

    /** A request is held from now on. */
    default void taken(long id, Asked request) {}

    /** An attempt begins, given up at this time; its request may not have been written yet. */
    default void sent(long id, int attempt, String serverId, long untilUs) {}

    /** An attempt has ended; told once for each that was {@link #sent}. */
    default void ended(long id, int attempt, Result result) {}

    /** The request has its one answer, or its client has left. */
    default void answered(long id, Answer answer) {}

    /** Nothing more will be told of a request: it is answered, and no attempt is out. */
    default void forgotten(long id) {}
}
