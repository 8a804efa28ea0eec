package kitemux.rollout;

/**
 * How much a watch may be sent: so much a second in the long run, and so much at once. What must go, a beat,
 * goes whatever was sent, and is made up for by what follows.
 */
public final class TokenBucket {
    private final long perSecond;
    private final long atOnce;
    private double bytes;
    private long asOfUs;

    /**
     * A new watch.
     *
     * @param perSecond bytes a second, above 0
     * @param atOnce bytes that may go at once after a pause
     * @param first bytes that may go at the beginning; 0 where nobody knows what was sent just before by
     *     another
     */
    public TokenBucket(long nowUs, long perSecond, long atOnce, long first) {
        this.perSecond = perSecond;
        this.atOnce = atOnce;
        this.bytes = first;
        this.asOfUs = nowUs;
    }

    private void advance(long nowUs) {
        bytes = Math.min(atOnce, bytes + (nowUs - asOfUs) * (double) perSecond / 1_000_000);
        asOfUs = nowUs;
    }

    /** When so many bytes may go, in microseconds; no later than now if they may go at once. */
    public long readyAtUs(long nowUs, int some) {
        advance(nowUs);
        double missing = Math.min(some, atOnce) - bytes;
        return missing <= 0 ? nowUs : nowUs + (long) Math.ceil(missing * 1_000_000 / perSecond);
    }

    /** So many bytes went. */
    public void consume(long nowUs, int some) {
        advance(nowUs);
        bytes -= some;
    }
}
