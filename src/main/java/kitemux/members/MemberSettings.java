package kitemux.members;

/**
 * How far sources and checks are believed. Times are microseconds.
 *
 * @param maxLostRatio share of the servers that may be missing from a list at once, or within {@code sureUs};
 * more is
 *     doubted, in [0, 1]
 * @param lossConfirmationUs what is doubted counts once it has been told for so long
 * @param healthCheck how servers are checked; null where they are not
 */
public record MemberSettings(double maxLostRatio, long lossConfirmationUs, HealthCheck healthCheck) {

    /**
     * How servers are checked.
     *
     * @param fall so many checks in a row that fail take one out, at least 1
     * @param rise so many in a row that pass bring it back, at least 1
     * @param maxEjectedRatio share of the servers that checks may take out together, in [0, 1): beyond it checks are
     *     more likely wrong than servers, and a server that may be sick is better than one that drowns
     * @param baseEjectionUs one that was taken out stays out for so long at least; twice as long each time that it
     * is taken
     *     out again
     * @param maxEjectionUs but no longer than this; one that was well for so long begins anew
     */
    public record HealthCheck(int fall, int rise, double maxEjectedRatio, long baseEjectionUs, long maxEjectionUs) {}
}
