package kitemux.rollout;

/**
 * How much a watch may be sent: so much a second in the long run, and so much at once. What must go, a beat,
 * goes whatever was sent, and is made up for by what follows.
 */
public final class TokenBucket {
    private final long bytesPerSecond;
    private final long burstBytes;
    private double availableBytes;
    private long updatedAtUs;

    /**
     * A new watch.
     *
     * @param perSecond bytes a second, above 0
     * @param atOnce bytes that may go at once after a pause
     * @param first bytes that may go at the beginning; 0 where nobody knows what was sent just before by
     *     another
     */
    public TokenBucket(long nowUs, long bytesPerSecond, long burstBytes, long initialBytes) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = burstBytes;
        this.availableBytes = initialBytes;
        this.updatedAtUs = nowUs;
    }

    private void refill(long nowUs) {
        availableBytes =
                Math.min(burstBytes, availableBytes + (nowUs - updatedAtUs) * (double) bytesPerSecond / 1_000_000);
        updatedAtUs = nowUs;
    }

    /** When so many bytes may go, in microseconds; no later than now if they may go at once. */
    public long readyAtUs(long nowUs, int byteCount) {
        refill(nowUs);
        double missing = Math.min(byteCount, burstBytes) - availableBytes;
        return missing <= 0 ? nowUs : nowUs + (long) Math.ceil(missing * 1_000_000 / bytesPerSecond);
    }

    /** So many bytes went. */
    public void consume(long nowUs, int byteCount) {
        refill(nowUs);
        availableBytes -= byteCount;
    }
}
