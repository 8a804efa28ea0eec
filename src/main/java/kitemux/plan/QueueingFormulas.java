package kitemux.plan;

/**
 * Bounds on paper: what queueing formulas say where they are exact, to hold an emulator against and to tell
 * what cannot be before anything is played. Loads are in erlangs: arrivals a second times seconds of work.
 */
public final class QueueingFormulas {
    private QueueingFormulas() {}

    /**
     * Share of arrivals that find all servers busy where nobody waits (Erlang B).
     *
     * @param servers at least 1
     * @param load in erlangs, above 0
     */
    public static double erlangB(int servers, double load) {
        double lost = 1;
        for (int i = 1; i <= servers; i++) {
            lost = load * lost / (i + load * lost);
        }
        return lost;
    }

    /**
     * Share of arrivals that wait in M/M/c (Erlang C); 1 where the load is not under the number of servers.
     */
    public static double erlangC(int servers, double load) {
        if (load >= servers) {
            return 1;
        }
        double lost = erlangB(servers, load);
        return lost / (1 - load / servers * (1 - lost));
    }

    /**
     * Mean time in M/M/c, waiting and served, in units of the mean service time; infinite where it is full.
     */
    public static double mmcResponseTime(int servers, double load) {
        return load >= servers ? Double.POSITIVE_INFINITY : 1 + erlangC(servers, load) / (servers - load);
    }

    /**
     * The same of a single server with any service times, first come first served (Pollaczek and Khinchine).
     *
     * @param cv of the service times: standard deviation over mean; 0 gives M/D/1, 1 M/M/1
     */
    public static double mg1ResponseTime(double load, double cv) {
        return load >= 1 ? Double.POSITIVE_INFINITY : 1 + load * (1 + cv * cv) / (2 * (1 - load));
    }

    /**
     * Where clients ask again, how much is asked in the end, against first tries: the least fixed point, and
     * the greatest. They are one where the fleet recovers by itself; where they are two, a storm that has
     * begun goes on.
     *
     * @param offered first tries' work against what the fleet can do
     * @param repeats how often a client asks again at most
     * @param wasted share of the work that clients gave up which is done all the same, in [0, 1)
     */
    public static RetryStorm retryStorm(double offered, int repeats, double wasted) {
        return new RetryStorm(
                fixedPoint(offered, repeats, wasted, 1), fixedPoint(offered, repeats, wasted, 1 + repeats));
    }

    /**
     * How much is asked, against first tries.
     *
     * @param calmTriesRatio once all was well before
     * @param stormTriesRatio once all clients ask again
     */
    public record RetryStorm(double calmTriesRatio, double stormTriesRatio) {
        /** Whether a storm outlives its cause. */
        public boolean isSelfSustaining() {
            return stormTriesRatio > calmTriesRatio * 1.05;
        }
    }

    /** A try fails as far as work is beyond what is left beside what is done for nobody. */
    private static double fixedPoint(double offered, int repeats, double wasted, double from) {
        double tries = from;
        for (int i = 0; i < 1_000; i++) {
            double asked = offered * tries;
            double served = asked <= 1 ? asked : Math.max(0, (1 - wasted * asked) / (1 - wasted));
            double fails = 1 - served / asked;
            double sum = 0;
            for (int k = 0; k <= repeats; k++) {
                sum += Math.pow(fails, k);
            }
            tries += 0.5 * (sum - tries);
        }
        return tries;
    }
}
