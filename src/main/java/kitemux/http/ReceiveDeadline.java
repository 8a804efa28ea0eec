package kitemux.http;

/**
 * The time by which a client has to send more of the request that is being received. A pause may last
 * {@link Limits#MAX_REQUEST_PAUSE_MS}; a head has {@link Limits#REQUEST_READ_TIMEOUT_MS} in all, and a body must come at
 * {@link Limits#MIN_BODY_RATE_BYTES_PER_MS} or faster. Each byte of a body extends the deadline by its share of that rate, up
 * to one full pause ahead, so that neither what came earlier nor single bytes can put the end off.
 *
 * <p>The class has no clock; all times are in microseconds on one clock.
 */
final class ReceiveDeadline {
    private static final long US_PER_MS = 1_000;
    private static final long MAX_PAUSE_US = Limits.MAX_REQUEST_PAUSE_MS * US_PER_MS;
    private static final long MAX_HEAD_US = Limits.REQUEST_READ_TIMEOUT_MS * US_PER_MS;

    private boolean isInBody;
    private long lastInputUs;
    private long headDueUs;
    private long dueUs;

    /** Creates a deadline for a connection on which nothing has arrived yet. */
    ReceiveDeadline(long nowUs) {
        lastInputUs = nowUs;
    }

    /** Records input of the connection, whatever request it belongs to, before any of it is parsed. */
    void onInput(int bytes, long arrivedUs) {
        lastInputUs = arrivedUs;
        long extendedUs = isInBody ? dueUs + bytes * US_PER_MS / Limits.MIN_BODY_RATE_BYTES_PER_MS : headDueUs;
        dueUs = Math.min(arrivedUs + MAX_PAUSE_US, extendedUs);
    }

    /** The last input holds the beginning of a request. */
    void onRequestBegun() {
        isInBody = false;
        headDueUs = lastInputUs + MAX_HEAD_US;
        dueUs = lastInputUs + MAX_PAUSE_US;
    }

    /** The last input holds the end of the request's head. */
    void onHeadReceived() {
        isInBody = true;
        dueUs = lastInputUs + MAX_PAUSE_US;
    }

    /** Input was left unread by this node until now, so that the client could not send more. */
    void restart(long nowUs) {
        headDueUs = Math.max(headDueUs, nowUs + MAX_PAUSE_US);
        dueUs = nowUs + MAX_PAUSE_US;
    }

    /** Returns whether the client has stopped, or sends too slowly. */
    boolean isPast(long nowUs) {
        return nowUs >= dueUs;
    }
}
