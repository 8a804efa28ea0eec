package kitemux.fleet;

import java.util.List;
import java.util.stream.IntStream;
import kitemux.Balancer.RequestClass;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of clients' requests by second, class and tenant. All tries of a client's request count
 * as one.
 */
final class OutcomeCounter {
    /** Length of the window for the worst in-time ratio, in seconds. */
    private static final int WINDOW_S = 10;
    /** Upper limit of recorded latencies, in microseconds; they are recorded to two significant digits. */
    private static final long MAX_LATENCY_US = 60_000_000;

    private final Fleet fleet;
    private final double[] offered;
    private final double[] inTime;
    private final long[][] countsByClass;
    private final double[] tenantOffered;
    private final double[] tenantInTime;
    private final double[] quotaRemaining;
    private final long[] quotaUpdatedAtUs;
    private final double totalShare;
    private final Histogram latency = new Histogram(MAX_LATENCY_US, 2);
    long tries;

    /** Indexes of the counters of a class. */
    private enum Category {
        OFFERED,
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    OutcomeCounter(Fleet fleet) {
        this.fleet = fleet;
        int seconds = (int) (fleet.load().durationUs() / 1_000_000) + 1;
        offered = new double[seconds];
        inTime = new double[seconds];
        countsByClass = new long[fleet.classes().size()][Category.values().length];
        int tenants = fleet.tenants().size();
        tenantOffered = new double[tenants];
        tenantInTime = new double[tenants];
        quotaRemaining = new double[tenants];
        quotaUpdatedAtUs = new long[tenants];
        totalShare =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
    }

    /** Counts a new client request and returns its worth. */
    double offered(long atUs, int classIndex, int tenant) {
        RequestClass requestClass = fleet.classes().get(classIndex).requestClass();
        boolean isOverQuota = tenant >= 0 && fleet.load().quotaPerS() > 0 && isOverQuota(atUs, tenant);
        double worth = requestClass.worth() * (isOverQuota ? fleet.load().overShareWorth() : 1);
        offered[(int) (atUs / 1_000_000)] += worth;
        countsByClass[classIndex][Category.OFFERED.ordinal()]++;
        if (tenant >= 0 && !isOverQuota) {
            tenantOffered[tenant] += worth;
        }
        return worth;
    }

    /**
     * Returns whether a request exceeds its tenant's quota. Up to one second's worth of quota may be used at
     * once.
     */
    private boolean isOverQuota(long atUs, int tenant) {
        double quota = fleet.load().quotaPerS() * fleet.tenants().get(tenant).share() / totalShare;
        double elapsedS = quotaUpdatedAtUs[tenant] == 0 ? 1 : (atUs - quotaUpdatedAtUs[tenant]) / 1e6;
        quotaUpdatedAtUs[tenant] = atUs;
        quotaRemaining[tenant] = Math.min(quota, quotaRemaining[tenant] + quota * elapsedS);
        if (quotaRemaining[tenant] < 1) {
            return true;
        }
        quotaRemaining[tenant]--;
        return false;
    }

    /** Counts a request that was answered, in time or late. */
    void served(long arrivedAtUs, int classIndex, int tenant, double worth, long durationUs, long aimUs) {
        latency.recordValue(Math.min(MAX_LATENCY_US, durationUs));
        if (durationUs > aimUs) {
            countsByClass[classIndex][Category.LATE.ordinal()]++;
            return;
        }
        countsByClass[classIndex][Category.IN_TIME.ordinal()]++;
        inTime[(int) (arrivedAtUs / 1_000_000)] += worth;
        if (tenant >= 0
                && worth == fleet.classes().get(classIndex).requestClass().worth()) {
            tenantInTime[tenant] += worth;
        }
    }

    /** Counts a request that was refused or failed for good. */
    void unserved(int classIndex, boolean refused) {
        countsByClass[classIndex][(refused ? Category.REFUSED : Category.FAILED).ordinal()]++;
    }

    // ---------------------------------------------------------------- results

    /**
     * Returns the worth answered in time over the worth offered, between two seconds of the run; 1 if none
     * was.
     */
    double inTimeRatio(int fromS, int toS) {
        double offeredWorth = 0;
        double inTimeWorth = 0;
        for (int s = Math.max(0, fromS); s < Math.min(toS, offered.length); s++) {
            offeredWorth += offered[s];
            inTimeWorth += inTime[s];
        }
        return offeredWorth == 0 ? 1 : inTimeWorth / offeredWorth;
    }

    /** Returns the lowest ratio of in-time worth within any window of {@link #WINDOW_S} seconds. */
    double worstWindowRatio() {
        double worst = 1;
        for (int s = 0; s + WINDOW_S < offered.length; s++) {
            worst = Math.min(worst, inTimeRatio(s, s + WINDOW_S));
        }
        return offered.length <= WINDOW_S ? inTimeRatio(0, offered.length) : worst;
    }

    /** Returns the ratio of in-time worth of each tenant, counting requests within its quota. */
    List<Double> inTimeByTenant() {
        return IntStream.range(0, tenantOffered.length)
                .mapToObj(t -> tenantOffered[t] == 0 ? 1 : tenantInTime[t] / tenantOffered[t])
                .toList();
    }

    /** Returns the ratio of in-time worth of each second. */
    List<Double> inTimeBySecond() {
        return IntStream.range(0, offered.length - 1)
                .mapToObj(s -> inTimeRatio(s, s + 1))
                .toList();
    }

    /** Returns the outcomes by class. */
    List<RunResult.ClassOutcome> classes() {
        return IntStream.range(0, countsByClass.length)
                .mapToObj(c -> new RunResult.ClassOutcome(
                        fleet.classes().get(c).requestClass().name(),
                        countsByClass[c][0],
                        countsByClass[c][1],
                        countsByClass[c][2],
                        countsByClass[c][3],
                        countsByClass[c][4]))
                .toList();
    }

    /** Returns a percentile of the latency of answered requests, in microseconds. */
    long latencyUs(double percentile) {
        return latency.getValueAtPercentile(percentile);
    }
}
