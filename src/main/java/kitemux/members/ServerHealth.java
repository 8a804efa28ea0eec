package kitemux.members;

/**
 * Health of one server by its checks. Consecutive failures eject the server, consecutive passes restore it, and a
 * server that is ejected repeatedly stays out longer each time.
 */
final class ServerHealth {
    private final MemberSettings.HealthCheck settings;
    private boolean ejected;
    private boolean awaitingFirstPass;
    private int consecutiveResults;
    /** Ejections since the server was last healthy for the maximum ejection time. */
    private int ejectionCount;

    private long changedUs;
    /** Time of the last observed start, for the slow start of cold servers; 0 if the server started long ago. */
    private long startedUs;

    /**
     * Creates the health of a server without any check.
     *
     * @param awaitingFirstPass whether the server has just joined; it is then excluded until a check passes
     */
    ServerHealth(MemberSettings.HealthCheck settings, boolean awaitingFirstPass, long nowUs) {
        this.settings = settings;
        this.awaitingFirstPass = awaitingFirstPass;
        changedUs = nowUs;
        startedUs = awaitingFirstPass ? nowUs : 0;
    }

    /** Restores the health that was saved before a restart of this process. */
    ServerHealth(
            MemberSettings.HealthCheck settings, boolean ejected, int ejectionCount, long changedUs, long startedUs) {
        this.settings = settings;
        this.ejected = ejected;
        this.ejectionCount = ejectionCount;
        this.changedUs = changedUs;
        this.startedUs = startedUs;
    }

    /** Records the result of a check; returns whether {@link #isExcluded} has changed. */
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
            // A server that did not answer may have been restarted, and its full share at once could overload it.
            startedUs = nowUs;
        }
        ejected = !ejected;
        consecutiveResults = 0;
        changedUs = nowUs;
        return true;
    }

    private long ejectionUs() {
        // The shift would overflow beyond about 30 doublings.
        return Math.min(
                settings.maxEjectionUs(), settings.baseEjectionUs() << Math.min(30, Math.max(0, ejectionCount - 1)));
    }

    /** Whether the server is to receive no requests: it is ejected, or has not passed its first check. */
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
