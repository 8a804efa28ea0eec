package kitemux.net;

/**
 * Counts the bytes that several connections hold in memory against a limit that they share. It belongs to one event
 * loop and is not thread-safe.
 */
public final class ByteBudget {
    private final long limitBytes;
    private long usedBytes;

    /**
     * Creates an unused budget.
     *
     * @param limitBytes number of bytes up to which reservations are granted
     */
    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves this many bytes if there is room for all of them.
     *
     * @return false if there is no room; nothing is reserved then
     */
    public boolean tryReserve(long bytes) {
        return tryReserve(bytes, limitBytes);
    }

    /**
     * Reserves this many bytes if no more than a lower limit is in use afterwards, so that room for others is left.
     *
     * @return false if there is no room; nothing is reserved then
     */
    public boolean tryReserve(long bytes, long lowerLimitBytes) {
        if (usedBytes + bytes > lowerLimitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Records bytes that are held already, also beyond the limit; no reservation is granted until they are released. */
    public void add(long bytes) {
        usedBytes += bytes;
    }

    /**
     * Releases bytes that were reserved or added before.
     *
     * @throws IllegalStateException if more is released than was reserved
     */
    public void release(long bytes) {
        if (bytes > usedBytes) {
            throw new IllegalStateException(bytes + " bytes released of " + usedBytes);
        }
        usedBytes -= bytes;
    }

    /** Returns the number of bytes held at present. */
    public long usedBytes() {
        return usedBytes;
    }
}
