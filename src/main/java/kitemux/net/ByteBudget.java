package kitemux.net;

/**
 * Counts the bytes that several connections hold in memory against a limit that they share. It belongs to one event
 * loop and is not thread-safe.
 */
public final class ByteBudget {
    private final String name;
    private final long limitBytes;
    private long usedBytes;
    private long peakBytes;
    private long rejectionCount;

    /**
     * What a budget holds, and how often it had no room.
     *
     * @param name name of the budget in lower case
     * @param usedBytes bytes held at present
     * @param peakBytes most bytes held at once since the start
     * @param limitBytes bytes up to which reservations are granted
     * @param rejectionCount reservations that were not granted since the start
     */
    public record Usage(String name, long usedBytes, long peakBytes, long limitBytes, long rejectionCount) {}

    /**
     * Creates an unused budget.
     *
     * @param name name of the budget in lower case, for its figures
     * @param limitBytes number of bytes up to which reservations are granted
     */
    public ByteBudget(String name, long limitBytes) {
        this.name = name;
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves this many bytes if there is room for all of them.
     *
     * @return false if there is no room; nothing is reserved then
     */
    public boolean tryReserve(long bytes) {
        if (bytes > roomBytes()) {
            rejectionCount++;
            return false;
        }
        add(bytes);
        return true;
    }

    /** Records bytes that are held already, also beyond the limit; no reservation is granted until they are released. */
    public void add(long bytes) {
        usedBytes += bytes;
        peakBytes = Math.max(peakBytes, usedBytes);
    }

    /**
     * Releases bytes that were reserved or added before.
     *
     * @throws IllegalStateException if more is released than was reserved
     */
    public void release(long bytes) {
        if (bytes > usedBytes) {
            throw new IllegalStateException(bytes + " bytes released of " + usedBytes + " of " + name);
        }
        usedBytes -= bytes;
    }

    /** Returns the number of bytes for which there is room; never negative. */
    public long roomBytes() {
        return Math.max(0, limitBytes - usedBytes);
    }

    /** Returns the number of bytes held at present. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the figures of this budget. */
    public Usage usage() {
        return new Usage(name, usedBytes, peakBytes, limitBytes, rejectionCount);
    }
}
