package kitemux.fleet;

import java.util.List;

/**
 * What came of a run.
 *
 * @param seed it was drawn from
 * @param inTime worth answered within its aim, over the worth asked for
 * @param worstWindow the same of the worst 10 s
 * @param byTenant the same of each tenant, within its share
 * @param bySecond the same for each second in which clients came
 * @param p50Us median time to an answer, over all tries, of what was answered
 * @param p99Us its 99th percentile
 * @param triesPerWish how often clients asked for one thing, in the mean
 * @param kinds what servers did, by kind
 * @param nodeBusy share of their processors that nodes used, in the mean, and the longest that one was behind
 * @param choked servers that turned slow
 * @param turnedAway requests that found a server's waiting room full
 * @param connectionsRefused by servers that had as many as they accept
 * @param breaks how often a rule was broken
 * @param told the first of these, a line each
 * @param events that were played
 */
public record Result(
        long seed,
        double inTime,
        double worstWindow,
        List<Double> byTenant,
        List<Double> bySecond,
        List<OfClass> classes,
        long p50Us,
        long p99Us,
        double triesPerWish,
        List<OfKind> kinds,
        double nodeBusy,
        double nodeMostLateUs,
        int choked,
        long turnedAway,
        long connectionsRefused,
        long attempts,
        long dials,
        double wasted,
        long breaks,
        List<String> told,
        long events) {

    /** What became of a class's wishes. */
    public record OfClass(String name, long offered, long inTime, long late, long refused, long failed) {}

    /**
     * What became of a kind's servers.
     *
     * @param busy share of their cores in use, in the mean
     * @param busiest the same of the busiest one
     * @param mostConnections that one had at a time
     */
    public record OfKind(String name, double busy, double busiest, int mostConnections, int choked) {}

    /** Share of the wishes of the class that was served worst which were answered in time. */
    public double worstClass() {
        return classes.stream()
                .filter(c -> c.offered > 0)
                .mapToDouble(c -> (double) c.inTime / c.offered)
                .min()
                .orElse(1);
    }

    /** Share in time of the tenant that was served worst, of what was within its share; 1 without tenants. */
    public double worstTenant() {
        return byTenant.stream().mapToDouble(share -> share).min().orElse(1);
    }

    /** First tries. */
    public long wishes() {
        return classes.stream().mapToLong(OfClass::offered).sum();
    }

    /**
     * Seconds from a time until the service is back: until every stretch of three seconds from then on has
     * this share in time. -1 if it is not back before clients stop.
     */
    public int backAfterS(int fromS, double share) {
        int back = bySecond.size();
        for (int s = bySecond.size() - 1; s >= fromS; s--) {
            double sum = 0;
            int of = 0;
            for (int i = s; i < Math.min(s + 3, bySecond.size()); i++) {
                sum += bySecond.get(i);
                of++;
            }
            if (sum / of < share) {
                break;
            }
            back = s;
        }
        return back == bySecond.size() ? -1 : back - fromS;
    }
}
