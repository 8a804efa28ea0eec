package kitemux.soak;

/** What a server does with a request, drawn from the request's id so that a run can be repeated. */
enum ServerFault {
    /** Answers at once. */
    NONE,
    /** Resets the connection after a while; the request may have run. */
    RESET,
    /** Turns the request away after a while; it has not run. */
    TURN_AWAY,
    /** Gives a chunked answer of more than 64 KiB in lumps, across the client's deadline. */
    LUMPS,
    /** Gives an answer without a length in small steady pieces. */
    STEADY,
    /** Gives the head of an answer and nothing more. */
    STOP_AFTER_HEAD,
    /** Gives the head and a part of the body, and nothing more. */
    STOP_WITHIN_BODY,
    /** Gives the head and a part of the body, and the rest after a pause that is shorter than 2 s. */
    PAUSE_WITHIN_BODY;

    /** How an answer that stops or pauses tells where it ends. */
    enum Framing {
        /** By a length that a node buffers. */
        SHORT_LENGTH,
        /** By a length beyond what a node buffers. */
        LONG_LENGTH,
        /** By a last chunk. */
        CHUNKED,
        /** By the end of the connection. */
        CLOSE
    }

    private static final int DRAW_COUNT = 100;
    private static final int RESET_PERCENT = 4;
    private static final int TURN_AWAY_PERCENT = 4;
    private static final int LUMPS_PERCENT = 3;
    private static final int STEADY_PERCENT = 3;
    private static final int STOP_AFTER_HEAD_PERCENT = 3;
    private static final int STOP_WITHIN_BODY_PERCENT = 2;
    private static final int PAUSE_WITHIN_BODY_PERCENT = 2;

    /** Returns what servers do with the attempt of this number, from 0, of the request with this id. */
    static ServerFault of(String txn, int attempt) {
        int draw = Math.floorMod((txn + "/" + attempt).hashCode() * 31, DRAW_COUNT);
        if ((draw -= RESET_PERCENT) < 0) {
            return RESET;
        }
        if ((draw -= TURN_AWAY_PERCENT) < 0) {
            return TURN_AWAY;
        }
        if ((draw -= LUMPS_PERCENT) < 0) {
            return LUMPS;
        }
        if ((draw -= STEADY_PERCENT) < 0) {
            return STEADY;
        }
        if ((draw -= STOP_AFTER_HEAD_PERCENT) < 0) {
            return STOP_AFTER_HEAD;
        }
        if ((draw -= STOP_WITHIN_BODY_PERCENT) < 0) {
            return STOP_WITHIN_BODY;
        }
        return draw < PAUSE_WITHIN_BODY_PERCENT ? PAUSE_WITHIN_BODY : NONE;
    }

    /** Returns the framing of the answer to the request with this id. */
    static Framing framingOf(String txn) {
        return Framing.values()[Math.floorMod(txn.hashCode() * 17, Framing.values().length)];
    }
}
