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
    STEADY;

    private static final int DRAW_COUNT = 100;
    private static final int RESET_PERCENT = 4;
    private static final int TURN_AWAY_PERCENT = 4;
    private static final int LUMPS_PERCENT = 3;
    private static final int STEADY_PERCENT = 3;

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
        return draw < STEADY_PERCENT ? STEADY : NONE;
    }
}
