package kitemux.members;

/**
 * What checks have told of one server. Failures in a row take it out, passes in a row bring it back, and one
 * that goes
 * to and fro stays out for longer each time.
 */
final class ServerHealth {
    private final MemberSettings.HealthCheck settings;
    private boolean ejected;
    private boolean awaitingFirstPass;
    private int consecutiveResults;
    /** How often it was taken out since it was last well for long. */
    private int ejectionCount;

    private long changedUs;
    /** When it was last seen to begin, for whoever sends cold servers less; 0 for long ago. */
    private long startedUs;

    /**
     * @param fresh whether it has just joined: it is out until a check passes
     */
    ServerHealth(MemberSettings.HealthCheck settings, boolean awaitingFirstPass, long nowUs) {
        this.settings = settings;
        this.awaitingFirstPass = awaitingFirstPass;
        changedUs = nowUs;
        startedUs = awaitingFirstPass ? nowUs : 0;
    }

    /** As it was told before a restart of this process. */
    ServerHealth(
            MemberSettings.HealthCheck settings, boolean ejected, int ejectionCount, long changedUs, long startedUs) {
        this.settings = settings;
        this.ejected = ejected;
        this.ejectionCount = ejectionCount;
        this.changedUs = changedUs;
        this.startedUs = startedUs;
    }

    /** A check is over; whether this changed whether it is out. */
    boolean recordCheck(long nowUs, boolean passed) {
        if (awaitingFirstPass) {
            awaitingFirstPass = !passed;
            startedUs = passed ? nowUs : startedUs;
            changedUs = nowUs;
            return passed;
        }
        if (passed != ejected) {
            consecutiveResults = 0;
            return false;
        }
        consecutiveResults++;
        if (ejected
                ? consecutiveResults < settings.rise() || nowUs - changedUs < ejectionUs()
                : consecutiveResults < settings.fall()) {
            return false;
        }
        if (!ejected) {
            ejectionCount = nowUs - changedUs >= settings.maxEjectionUs() ? 1 : ejectionCount + 1;
        } else {
            // What did not answer may have been restarted: to send it its full share at once could push it
            // over.
            startedUs = nowUs;
        }
        ejected = !ejected;
        consecutiveResults = 0;
        changedUs = nowUs;
        return true;
    }

    private long ejectionUs() {
        // Beyond some thirty doublings the shift would overflow.
        return Math.min(
                settings.maxEjectionUs(), settings.baseEjectionUs() << Math.min(30, Math.max(0, ejectionCount - 1)));
    }

    /** Whether checks would have it out. */
    boolean isExcluded() {
        return ejected || awaitingFirstPass;
    }

    boolean isEjected() {
        return ejected;
    }

    int ejectionCount() {
        return ejectionCount;
    }

    long changedUs() {
        return changedUs;
    }

    long startedUs() {
        return startedUs;
    }
}
