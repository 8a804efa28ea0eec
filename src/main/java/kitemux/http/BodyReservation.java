package kitemux.http;

import kitemux.net.ByteBudget;

/**
 * The memory that a connection has reserved for request bodies. All bodies together are bounded, and the long ones by
 * a lower limit of their own, so that each kind leaves room for the other.
 */
final class BodyReservation {
    private final ByteBudget requests;
    private final ByteBudget longBodies;
    private long reservedBytes;
    /** The part of the reserved bytes that counts as a long body. */
    private long reservedLongBytes;

    /**
     * Creates an empty reservation.
     *
     * @param requests what all bodies and all buffered input may hold
     * @param longBodies what the long bodies among them may hold
     */
    BodyReservation(ByteBudget requests, ByteBudget longBodies) {
        this.requests = requests;
        this.longBodies = longBodies;
    }

    /**
     * Reserves room for a body of this size, which may have been reserved in part.
     *
     * @return false if there is no room; nothing more is reserved then
     */
    boolean growTo(long bodyBytes) {
        long additionalBytes = RequestBody.capacityFor(bodyBytes) - reservedBytes;
        if (additionalBytes <= 0) {
            return true;
        }
        long additionalLongBytes = bodyBytes > Limits.SMALL_REQUEST_BODY_BYTES ? additionalBytes : 0;
        if (!longBodies.tryReserve(additionalLongBytes)) {
            return false;
        }
        if (!requests.tryReserve(additionalBytes)) {
            longBodies.release(additionalLongBytes);
            return false;
        }
        reservedBytes += additionalBytes;
        reservedLongBytes += additionalLongBytes;
        return true;
    }

    /** Passes all of this reservation on to another one. */
    void moveTo(BodyReservation other) {
        other.reservedBytes += reservedBytes;
        other.reservedLongBytes += reservedLongBytes;
        reservedBytes = 0;
        reservedLongBytes = 0;
    }

    /** Gives all room back. */
    void release() {
        requests.release(reservedBytes);
        longBodies.release(reservedLongBytes);
        reservedBytes = 0;
        reservedLongBytes = 0;
    }
}
