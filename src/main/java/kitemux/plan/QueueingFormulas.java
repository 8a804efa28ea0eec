package kitemux.plan;

/**
 * Exact results of queueing theory, used to verify the emulator and to rule out impossible goals without a
 * run. Loads are in erlangs: arrivals per second times seconds of work.
 */
public final class QueueingFormulas {
    private QueueingFormulas() {}

    /**
     * Returns the fraction of arrivals that find all servers busy in a system without a queue (Erlang B).
     *
     * @param servers number of servers, at least 1
     * @param load load in erlangs, above 0
     */
    public static double erlangB(int servers, double load) {
        double blockedRatio = 1;
        for (int i = 1; i <= servers; i++) {
            blockedRatio = load * blockedRatio / (i + load * blockedRatio);
        }
        return blockedRatio;
    }

    /**
     * Returns the fraction of arrivals that wait in an M/M/c queue (Erlang C); 1 if the load is not below the
     * number of servers.
     */
    public static double erlangC(int servers, double load) {
        if (load >= servers) {
            return 1;
        }
        double blockedRatio = erlangB(servers, load);
        return blockedRatio / (1 - load / servers * (1 - blockedRatio));
    }

    /**
     * Returns the mean response time in an M/M/c queue, in units of the mean service time; infinite if the
     * load is not below the number of servers.
     */
    public static double mmcResponseTime(int servers, double load) {
        return load >= servers ? Double.POSITIVE_INFINITY : 1 + erlangC(servers, load) / (servers - load);
    }

    /**
     * Returns the mean response time in an M/G/1 queue in units of the mean service time, by the
     * Pollaczek-Khinchine formula; infinite if the load is not below 1.
     *
     * @param cv coefficient of variation of the service times; 0 gives M/D/1, 1 gives M/M/1
     */
    public static double mg1ResponseTime(double load, double cv) {
        return load >= 1 ? Double.POSITIVE_INFINITY : 1 + load * (1 + cv * cv) / (2 * (1 - load));
    }

    /**
     * Computes the number of tries per request in a fleet whose clients retry: the least and the greatest
     * fixed point. They are equal if the fleet recovers by itself; if they differ, a retry storm sustains
     * itself.
     *
     * @param offeredLoad work of first tries relative to the capacity of the fleet
     * @param maxRetries maximum number of retries of a client
     * @param wastedRatio fraction of the work of abandoned tries that is executed nevertheless, in [0, 1)
     */
    public static RetryStorm retryStorm(double offeredLoad, int maxRetries, double wastedRatio) {
        return new RetryStorm(
                fixedPoint(offeredLoad, maxRetries, wastedRatio, 1),
                fixedPoint(offeredLoad, maxRetries, wastedRatio, 1 + maxRetries));
    }

    /**
     * The number of tries per request in equilibrium.
     *
     * @param calmTriesRatio number of tries when the fleet comes from normal operation
     * @param stormTriesRatio number of tries when all clients already retry
     */
    public record RetryStorm(double calmTriesRatio, double stormTriesRatio) {
        /** Returns whether a retry storm outlasts its cause. */
        public boolean isSelfSustaining() {
            return stormTriesRatio > calmTriesRatio * 1.05;
        }
    }

    /**
     * Iterates the number of tries: a try fails to the extent that demand exceeds the capacity left beside
     * wasted work.
     */
    private static double fixedPoint(double offeredLoad, int maxRetries, double wastedRatio, double initialTries) {
        double tries = initialTries;
        for (int i = 0; i < 1_000; i++) {
            double demand = offeredLoad * tries;
            double served = demand <= 1 ? demand : Math.max(0, (1 - wastedRatio * demand) / (1 - wastedRatio));
            double failureRatio = 1 - served / demand;
            double sum = 0;
            for (int k = 0; k <= maxRetries; k++) {
                sum += Math.pow(failureRatio, k);
            }
            tries += 0.5 * (sum - tries);
        }
        return tries;
    }
}
