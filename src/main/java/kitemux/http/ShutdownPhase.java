package kitemux.http;

import java.util.EnumSet;
import java.util.Set;

/** The phases of the shutdown of the client side, in the only order in which they may follow one another. */
public enum ShutdownPhase {
    /** No shutdown has been requested. */
    SERVING,
    /** Each response closes its connection, and the listener closes; idle connections stay open. */
    LAME_DUCK,
    /** Idle connections are closed; requests that arrive on the other connections are served. */
    CLOSING_IDLE,
    /** Every open request gets its final response now; requests that are still being received are rejected. */
    ANSWERING_REST,
    /** No connection is open and none can be accepted. */
    CLOSED;

    /** Returns the phases that may follow this one. */
    Set<ShutdownPhase> next() {
        return switch (this) {
            case SERVING -> EnumSet.of(LAME_DUCK);
            case LAME_DUCK -> EnumSet.of(CLOSING_IDLE);
            case CLOSING_IDLE -> EnumSet.of(ANSWERING_REST, CLOSED);
            case ANSWERING_REST -> EnumSet.of(CLOSED);
            case CLOSED -> EnumSet.noneOf(ShutdownPhase.class);
        };
    }
}
