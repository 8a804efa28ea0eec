package kitemux.engine;

import java.util.List;

/** The properties of a client's request that the engine needs, independent of the protocol. */
public interface RequestInfo {
    /** Returns the client's id for the request; it is unique among the requests that are open at the same time. */
    String txn();

    /** Returns the index of the request's class in the settings. */
    int classIndex();

    /** Returns the index of the request's tenant in the settings, or -1 if it has none. */
    int tenant();

    /** Returns how much longer the client waits for its answer, in microseconds; never negative. */
    long remainingUs();

    /** Returns the estimated time since the request arrived, in microseconds; 0 while the event loop keeps up. */
    default long ageUs() {
        return 0;
    }

    /** Whether responses of the request's class are streams, whose first byte and end are reported separately. */
    default boolean isStreamed() {
        return false;
    }

    /** Whether the request may run any number of times without a difference to its effect. */
    default boolean isSafeToRepeat() {
        return false;
    }

    /** Returns the estimated work in microseconds on a standard core, or 0 if it is unknown. */
    default long workUs() {
        return 0;
    }

    /** Whether the client marks the request as a retry. */
    default boolean isRetry() {
        return false;
    }

    /** Returns the key that identifies the subject of the request, or null. */
    default String key() {
        return null;
    }

    /** Returns the client's idempotency key, or null. */
    default String idempotencyKey() {
        return null;
    }

    /** The engine holds the request no longer: its answer is given and its last attempt has ended. */
    default void onReleased() {}

    /** Returns the parts of the request body; callers must not modify them. */
    default List<byte[]> body() {
        return List.of();
    }
}
