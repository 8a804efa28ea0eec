package kitemux.fleet;

import java.util.List;

/**
 * The results of a run.
 *
 * @param seed the seed of the run
 * @param inTimeRatio worth answered within its latency objective over the worth offered
 * @param worstWindowRatio the same ratio in the worst 10 s
 * @param inTimeByTenant the same ratio of each tenant, for requests within its share
 * @param inTimeBySecond the same ratio of each second in which clients arrived
 * @param classes outcomes by class
 * @param p50Us median latency of answered requests including all their tries, in microseconds
 * @param p99Us 99th percentile of that latency
 * @param triesPerRequest mean number of tries per client request
 * @param kinds statistics of the servers by kind
 * @param nodeUtilisation mean utilisation of the nodes' processors
 * @param nodeMaxLagUs longest time by which any node's processor was behind, in microseconds
 * @param overloadedServers number of servers that slowed down through overload
 * @param rejectedRequests requests that servers rejected because their queues were full
 * @param rejectedConnections connections that servers refused because they had too many
 * @param attempts requests sent to servers
 * @param connectionsOpened connections opened to servers
 * @param wastedRatio fraction of the servers' busy time spent on answers that nobody waited for
 * @param violationCount number of rule violations
 * @param violations the first violations, one line each
 * @param events number of events processed
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

    /** Outcomes of the requests of a class. */
    public record ClassOutcome(String name, long offered, long inTime, long late, long refused, long failed) {}

    /**
     * Statistics of the servers of a kind.
     *
     * @param utilisation mean utilisation of their cores
     * @param maxUtilisation utilisation of the busiest server
     * @param maxConnections highest number of simultaneous connections of any server
     * @param overloadedServers number of servers that slowed down through overload
     */
    public record KindUsage(
            String name, double utilisation, double maxUtilisation, int maxConnections, int overloadedServers) {}

    /** Returns the fraction of requests answered in time in the class with the lowest one. */
    public double worstClassRatio() {
        return classes.stream()
                .filter(c -> c.offered > 0)
                .mapToDouble(c -> (double) c.inTime / c.offered)
                .min()
                .orElse(1);
    }

    /**
     * Returns the in-time ratio of the tenant with the lowest one, for requests within its share; 1 without
     * tenants.
     */
    public double worstTenantRatio() {
        return inTimeByTenant.stream().mapToDouble(share -> share).min().orElse(1);
    }

    /** Returns the number of client requests, counting each once whatever the number of its tries. */
    public long requests() {
        return classes.stream().mapToLong(ClassOutcome::offered).sum();
    }

    /**
     * Returns the seconds from the given time until the service has recovered: until each window of three
     * seconds from then on reaches the given in-time ratio. Returns -1 if it does not recover before clients
     * stop.
     */
    public int recoveryTimeS(int fromS, double minRatio) {
        int recoveredAt = inTimeBySecond.size();
        for (int second = inTimeBySecond.size() - 1; second >= fromS; second--) {
            double sum = 0;
            int seconds = 0;
            for (int i = second; i < Math.min(second + 3, inTimeBySecond.size()); i++) {
                sum += inTimeBySecond.get(i);
                seconds++;
            }
            if (sum / seconds < minRatio) {
                break;
            }
            recoveredAt = second;
        }
        return recoveredAt == inTimeBySecond.size() ? -1 : recoveredAt - fromS;
    }
}
