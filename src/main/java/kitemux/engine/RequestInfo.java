package kitemux.engine;

import java.util.List;

/** What the engine must know of a request, whatever the protocol that it came by. */
public interface RequestInfo {
    /** The client's id for it: of two requests that are open at once none may have the same. */
    String txn();

    /** Its class, an index into the settings' classes. */
    int classIndex();

    /** Its tenant, an index into the settings' tenants, or -1. */
    int tenant();

    /** How long the client waits from now on, in microseconds, 0 or more. */
    long remainingUs();

    /** How long ago it came, as far as that can be told, in microseconds: 0 where the node keeps up. */
    default long ageUs() {
        return 0;
    }

    /** Whether answers of its class are streams, of which the module is told the first byte and the end. */
    default boolean isStreamed() {
        return false;
    }

    /** A guess at the work in microseconds on a standard core, or 0. */
    default long workUs() {
        return 0;
    }

    /** Whether the client marks it as a repeat. */
    default boolean isRetry() {
        return false;
    }

    /** What it is about, or null. */
    default String key() {
        return null;
    }

    /** The client's own key for its effect, or null. */
    default String idempotencyKey() {
        return null;
    }

    /** What it carries, in parts; not to be changed. */
    default List<byte[]> body() {
        return List.of();
    }
}
