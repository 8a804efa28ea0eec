package kitemux.members;

/**
 * What checks have told of one server. Failures in a row take it out, passes in a row bring it back, and one
 * that goes
 * to and fro stays out for longer each time.
 */
final class Health {
    private final MemberSettings.HealthCheck how;
    private boolean down;
    private boolean fresh;
    private int inARow;
    /** How often it was taken out since it was last well for long. */
    private int downs;

    private long changedUs;
    /** When it was last seen to begin, for whoever sends cold servers less; 0 for long ago. */
    private long startedUs;

    /**
     * @param fresh whether it has just joined: it is out until a check passes
     */
    Health(MemberSettings.HealthCheck how, boolean fresh, long nowUs) {
        this.how = how;
        this.fresh = fresh;
        changedUs = nowUs;
        startedUs = fresh ? nowUs : 0;
    }

    /** As it was told before a restart of this process. */
    Health(MemberSettings.HealthCheck how, boolean down, int downs, long changedUs, long startedUs) {
        this.how = how;
        this.down = down;
        this.downs = downs;
        this.changedUs = changedUs;
        this.startedUs = startedUs;
    }

    /** A check is over; whether this changed whether it is out. */
    boolean checked(long nowUs, boolean passed) {
        if (fresh) {
            fresh = !passed;
            startedUs = passed ? nowUs : startedUs;
            changedUs = nowUs;
            return passed;
        }
        if (passed != down) {
            inARow = 0;
            return false;
        }
        inARow++;
        if (down ? inARow < how.rise() || nowUs - changedUs < holdUs() : inARow < how.fall()) {
            return false;
        }
        if (!down) {
            downs = nowUs - changedUs >= how.maxEjectionUs() ? 1 : downs + 1;
        } else {
            // What did not answer may have been restarted: to send it its full share at once could push it
            // over.
            startedUs = nowUs;
        }
        down = !down;
        inARow = 0;
        changedUs = nowUs;
        return true;
    }

    private long holdUs() {
        // Beyond some thirty doublings the shift would overflow.
        return Math.min(how.maxEjectionUs(), how.baseEjectionUs() << Math.min(30, Math.max(0, downs - 1)));
    }

    /** Whether checks would have it out. */
    boolean isOut() {
        return down || fresh;
    }

    boolean isDown() {
        return down;
    }

    int downs() {
        return downs;
    }

    long changedUs() {
        return changedUs;
    }

    long startedUs() {
        return startedUs;
    }
}
