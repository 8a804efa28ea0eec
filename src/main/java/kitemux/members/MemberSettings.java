package kitemux.members;

/**
 * Limits on how far membership sources and health checks are trusted. Times are in microseconds.
 *
 * @param maxLostRatio share of the servers that may disappear at once, or within {@code lossConfirmationUs},
 *     without confirmation; in [0, 1]
 * @param lossConfirmationUs time for which a larger loss must persist before it takes effect
 * @param healthCheck settings of health checks; null if servers are not checked
 */
public record MemberSettings(double maxLostRatio, long lossConfirmationUs, HealthCheck healthCheck) {

    /**
     * Thresholds and ejection times of health checks.
     *
     * @param fall number of consecutive failed checks that ejects a server, at least 1
     * @param rise number of consecutive passed checks that restores a server, at least 1
     * @param maxEjectedRatio share of the servers that may be ejected at the same time, in [0, 1). Beyond it the
     *     checks are
     *     more likely wrong than the servers, and a possibly unhealthy server is better than an overloaded one
     * @param baseEjectionUs minimum time of the first ejection; it doubles with each further ejection
     * @param maxEjectionUs upper bound of the ejection time; a server that was healthy for this long starts again
     *     from {@code baseEjectionUs}
     */
    public record HealthCheck(int fall, int rise, double maxEjectedRatio, long baseEjectionUs, long maxEjectionUs) {}
}
