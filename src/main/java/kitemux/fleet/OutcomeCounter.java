package kitemux.fleet;

import java.util.List;
import java.util.stream.IntStream;
import kitemux.Balancer.RequestClass;
import org.HdrHistogram.Histogram;

/** Counts what became of clients' wishes, by second, class and tenant. A client's tries are one wish. */
final class OutcomeCounter {
    private static final int WINDOW_S = 10;
    /** Latencies are told to two digits, up to a minute. */
    private static final long MOST_LATENCY_US = 60_000_000;

    private final Fleet fleet;
    private final double[] offered;
    private final double[] inTime;
    private final long[][] byClass;
    private final double[] tenantOffered;
    private final double[] tenantInTime;
    private final double[] quotaLeft;
    private final long[] quotaSeenUs;
    private final double allShares;
    private final Histogram latency = new Histogram(MOST_LATENCY_US, 2);
    long tries;

    /** Places in what is counted for a class. */
    private enum Of {
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
        byClass = new long[fleet.classes().size()][Of.values().length];
        int tenants = fleet.tenants().size();
        tenantOffered = new double[tenants];
        tenantInTime = new double[tenants];
        quotaLeft = new double[tenants];
        quotaSeenUs = new long[tenants];
        allShares =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
    }

    /** A client wants something; what that is worth. */
    double offered(long atUs, int classIndex, int tenant) {
        RequestClass of = fleet.classes().get(classIndex).requestClass();
        boolean over = tenant >= 0 && fleet.load().quotaPerS() > 0 && isOver(atUs, tenant);
        double worth = of.worth() * (over ? fleet.load().overShareWorth() : 1);
        offered[(int) (atUs / 1_000_000)] += worth;
        byClass[classIndex][Of.OFFERED.ordinal()]++;
        if (tenant >= 0 && !over) {
            tenantOffered[tenant] += worth;
        }
        return worth;
    }

    /** A second's worth of its share may be used at once. */
    private boolean isOver(long atUs, int tenant) {
        double quota = fleet.load().quotaPerS() * fleet.tenants().get(tenant).share() / allShares;
        double sinceS = quotaSeenUs[tenant] == 0 ? 1 : (atUs - quotaSeenUs[tenant]) / 1e6;
        quotaSeenUs[tenant] = atUs;
        quotaLeft[tenant] = Math.min(quota, quotaLeft[tenant] + quota * sinceS);
        if (quotaLeft[tenant] < 1) {
            return true;
        }
        quotaLeft[tenant]--;
        return false;
    }

    void served(long cameUs, int classIndex, int tenant, double worth, long tookUs, long aimUs) {
        latency.recordValue(Math.min(MOST_LATENCY_US, tookUs));
        if (tookUs > aimUs) {
            byClass[classIndex][Of.LATE.ordinal()]++;
            return;
        }
        byClass[classIndex][Of.IN_TIME.ordinal()]++;
        inTime[(int) (cameUs / 1_000_000)] += worth;
        if (tenant >= 0
                && worth == fleet.classes().get(classIndex).requestClass().worth()) {
            tenantInTime[tenant] += worth;
        }
    }

    void unserved(int classIndex, boolean refused) {
        byClass[classIndex][(refused ? Of.REFUSED : Of.FAILED).ordinal()]++;
    }

    // ---------------------------------------------------------------- what it came to

    double share(int fromS, int toS) {
        double of = 0;
        double good = 0;
        for (int s = Math.max(0, fromS); s < Math.min(toS, offered.length); s++) {
            of += offered[s];
            good += inTime[s];
        }
        return of == 0 ? 1 : good / of;
    }

    double worstWindow() {
        double worst = 1;
        for (int s = 0; s + WINDOW_S < offered.length; s++) {
            worst = Math.min(worst, share(s, s + WINDOW_S));
        }
        return offered.length <= WINDOW_S ? share(0, offered.length) : worst;
    }

    List<Double> byTenant() {
        return IntStream.range(0, tenantOffered.length)
                .mapToObj(t -> tenantOffered[t] == 0 ? 1 : tenantInTime[t] / tenantOffered[t])
                .toList();
    }

    List<Double> sharesBySecond() {
        return IntStream.range(0, offered.length - 1)
                .mapToObj(s -> share(s, s + 1))
                .toList();
    }

    List<RunResult.ClassOutcome> classes() {
        return IntStream.range(0, byClass.length)
                .mapToObj(c -> new RunResult.ClassOutcome(
                        fleet.classes().get(c).requestClass().name(),
                        byClass[c][0],
                        byClass[c][1],
                        byClass[c][2],
                        byClass[c][3],
                        byClass[c][4]))
                .toList();
    }

    long latencyUs(double percentile) {
        return latency.getValueAtPercentile(percentile);
    }
}
