package kitemux.fleet;

import java.util.List;

/**
 * What came of a run.
 *
 * @param seed it was drawn from
 * @param inTimeRatio worth answered within its aim, over the worth asked for
 * @param worstWindowRatio the same of the worst 10 s
 * @param inTimeByTenant the same of each tenant, within its share
 * @param inTimeBySecond the same for each second in which clients came
 * @param p50Us median time to an answer, over all tries, of what was answered
 * @param p99Us its 99th percentile
 * @param triesPerRequest how often clients asked for one thing, in the mean
 * @param kinds what servers did, by kind
 * @param nodeUtilisation share of their processors that nodes used, in the mean, and the longest that one was behind
 * @param overloadedServers servers that turned slow
 * @param rejectedRequests requests that found a server's waiting room full
 * @param rejectedConnections by servers that had as many as they accept
 * @param violationCount how often a rule was broken
 * @param violations the first of these, a line each
 * @param events that were played
 */
public record RunResult(
        long seed,
        double inTimeRatio,
        double worstWindowRatio,
        List<Double> inTimeByTenant,
        List<Double> inTimeBySecond,
        List<ClassOutcome> classes,
        long p50Us,
        long p99Us,
        double triesPerRequest,
        List<KindUsage> kinds,
        double nodeUtilisation,
        double nodeMaxLagUs,
        int overloadedServers,
        long rejectedRequests,
        long rejectedConnections,
        long attempts,
        long connectionsOpened,
        double wastedRatio,
        long violationCount,
        List<String> violations,
        long events) {

    /** What became of a class's wishes. */
    public record ClassOutcome(String name, long offered, long inTime, long late, long refused, long failed) {}

    /**
     * What became of a kind's servers.
     *
     * @param utilisation share of their cores in use, in the mean
     * @param maxUtilisation the same of the busiest one
     * @param maxConnections that one had at a time
     */
    public record KindUsage(
            String name, double utilisation, double maxUtilisation, int maxConnections, int overloadedServers) {}

    /** Share of the wishes of the class that was served worst which were answered in time. */
    public double worstClassRatio() {
        return classes.stream()
                .filter(c -> c.offered > 0)
                .mapToDouble(c -> (double) c.inTime / c.offered)
                .min()
                .orElse(1);
    }

    /** Share in time of the tenant that was served worst, of what was within its share; 1 without tenants. */
    public double worstTenantRatio() {
        return inTimeByTenant.stream().mapToDouble(share -> share).min().orElse(1);
    }

    /** First tries. */
    public long requests() {
        return classes.stream().mapToLong(ClassOutcome::offered).sum();
    }

    /**
     * Seconds from a time until the service is back: until every stretch of three seconds from then on has
     * this share in time. -1 if it is not back before clients stop.
     */
    public int recoveryTimeS(int fromS, double share) {
        int back = inTimeBySecond.size();
        for (int s = inTimeBySecond.size() - 1; s >= fromS; s--) {
            double sum = 0;
            int of = 0;
            for (int i = s; i < Math.min(s + 3, inTimeBySecond.size()); i++) {
                sum += inTimeBySecond.get(i);
                of++;
            }
            if (sum / of < share) {
                break;
            }
            back = s;
        }
        return back == inTimeBySecond.size() ? -1 : back - fromS;
    }
}
