package kitemux.rollout;

/**
 * Limits the bytes sent on a watch to a sustained rate and a burst. Heartbeats are sent even if the bucket
 * is empty; the events after them make up for it.
 */
public final class TokenBucket {
    private final long bytesPerSecond;
    private final long burstBytes;
    private double availableBytes;
    private long updatedAtUs;

    /**
     * Creates a bucket for a new watch.
     *
     * @param bytesPerSecond sustained rate, above 0
     * @param burstBytes bytes that may be sent at once after a pause
     * @param initialBytes bytes that may be sent at the beginning; 0 if it is not known what another keeper
     *     has sent just before
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

    /**
     * Returns when the given number of bytes may be sent, in microseconds; {@code nowUs} if it may be sent
     * at once.
     */
    public long readyAtUs(long nowUs, int byteCount) {
        refill(nowUs);
        double missing = Math.min(byteCount, burstBytes) - availableBytes;
        return missing <= 0 ? nowUs : nowUs + (long) Math.ceil(missing * 1_000_000 / bytesPerSecond);
    }

    /** Takes sent bytes from the bucket, which may become negative. */
    public void consume(long nowUs, int byteCount) {
        refill(nowUs);
        availableBytes -= byteCount;
    }
}
