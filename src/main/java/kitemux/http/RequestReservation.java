package kitemux.http;

/**
 * The memory that one request has reserved, from its first byte until its last attempt has ended. All bodies together are
 * bounded, and the long ones by a lower limit of their own, so that each kind leaves room for the other; heads, targets and
 * the objects of requests have a limit apart.
 */
final class RequestReservation {
    private final MemoryAccount account;
    private long bodyBytes;
    /** The part of the reserved bytes that counts as a long body. */
    private long longBodyBytes;

    private long headBytes;

    /** Creates an empty reservation on this account. */
    RequestReservation(MemoryAccount account) {
        this.account = account;
    }

    /**
     * Reserves room for a body of this size, which may have been reserved in part.
     *
     * @return false if there is no room; nothing more is reserved then
     */
    boolean growBodyTo(long bytes) {
        long additionalBytes = RequestBody.capacityFor(bytes) - bodyBytes;
        if (additionalBytes <= 0) {
            return true;
        }
        long additionalLongBytes = bytes > Limits.SMALL_REQUEST_BODY_BYTES ? additionalBytes : 0;
        if (!account.longBodies().tryReserve(additionalLongBytes)) {
            return false;
        }
        if (!account.bodies().tryReserve(additionalBytes)) {
            account.longBodies().release(additionalLongBytes);
            return false;
        }
        bodyBytes += additionalBytes;
        longBodyBytes += additionalLongBytes;
        return true;
    }

    /**
     * Reserves more room for the head and the objects of the request.
     *
     * @return false if there is no room; nothing more is reserved then
     */
    boolean addToHead(long bytes) {
        if (!account.heads().tryReserve(bytes)) {
            return false;
        }
        headBytes += bytes;
        return true;
    }

    /** Gives all room back. */
    void release() {
        account.bodies().release(bodyBytes);
        account.longBodies().release(longBodyBytes);
        account.heads().release(headBytes);
        bodyBytes = 0;
        longBodyBytes = 0;
        headBytes = 0;
    }
}
