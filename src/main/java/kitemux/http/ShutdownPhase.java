package kitemux.http;

import java.util.EnumSet;
import java.util.Set;

/** What the clients' side of a process does for its end. Phases follow one another in this order only. */
public enum ShutdownPhase {
    /** The process was not told to end. */
    SERVING,
    /** Each answer ends its connection; the listener closes; unused connections stay open. */
    LAME_DUCK,
    /** Unused connections are closed; what is read on others is served. */
    CLOSING_IDLE,
    /** Every request that is held gets its final answer now; what is still read is refused. */
    ANSWERING_REST,
    /** No connection is left and none can come. */
    CLOSED;

    /** The phases that may follow this one. */
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
