package kitemux.sim;

import java.util.ArrayDeque;

/**
 * The load on a server during its slow start, from all nodes together, compared with the limit in the settings.
 * If the settings allow N requests of mean work within their time window, the server is not overloaded up to
 * N + 2 * sqrt(N) + 2, because a smaller excess can be random.
 */
public final class ColdStartLoad {
    /**
     * The nodes are responsible for an overload if, when it begins, more than this share of the work came from
     * nodes that knew of the server's start.
     */
    private static final double INFORMED_WORK_RATIO = 2.0 / 3;

    private final double meanWorkUs;
    private final long windowUs;
    /** Arrivals in the window, in order of time: time, work, and the work from informed nodes, in microseconds. */
    private final ArrayDeque<double[]> arrivals = new ArrayDeque<>();

    private double windowWorkUs;
    private double informedWorkUs;
    private double peakRatio;

    /** The effect of the load on the server. */
    public enum Verdict {
        /** The load is within the limit. */
        WITHIN_LIMIT,
        /** The server is overloaded, by work from nodes that could not know of its start. */
        OVERLOADED,
        /** The server is overloaded, and the nodes are responsible. */
        OVERLOADED_BY_NODES
    }

    /**
     * Creates a load without arrivals.
     *
     * @param meanWorkUs mean work of a request, in microseconds on a core of speed 1; must be positive
     * @param windowUs length of the time window in the settings, in microseconds
     */
    public ColdStartLoad(double meanWorkUs, long windowUs) {
        this.meanWorkUs = meanWorkUs;
        this.windowUs = windowUs;
    }

    /** Returns how many requests of mean work do not overload a cold server whose limit is the given number. */
    public static double maxRequests(double allowedRequests) {
        return allowedRequests + 2 * Math.sqrt(allowedRequests) + 2;
    }

    /** Discards the arrivals because a new server process has started. */
    public void reset() {
        arrivals.clear();
        windowWorkUs = 0;
        informedWorkUs = 0;
    }

    /**
     * Records a request that arrives while the server is cold. Times must not decrease.
     *
     * @param workUs work of the request, in microseconds on a core of speed 1
     * @param fromInformedNode whether the sending node had been notified of the server's start
     * @param allowedWorkUs work that the settings allow within the window at the server's current warmth
     */
    public Verdict recordArrival(long nowUs, double workUs, boolean fromInformedNode, double allowedWorkUs) {
        arrivals.add(new double[] {nowUs, workUs, fromInformedNode ? workUs : 0});
        windowWorkUs += workUs;
        informedWorkUs += fromInformedNode ? workUs : 0;
        while (arrivals.peek()[0] <= nowUs - windowUs) {
            double[] expired = arrivals.poll();
            windowWorkUs -= expired[1];
            informedWorkUs -= expired[2];
        }
        double ratio = windowWorkUs / meanWorkUs / maxRequests(allowedWorkUs / meanWorkUs);
        peakRatio = Math.max(peakRatio, ratio);
        if (ratio <= 1) {
            return Verdict.WITHIN_LIMIT;
        }
        return informedWorkUs > INFORMED_WORK_RATIO * windowWorkUs ? Verdict.OVERLOADED_BY_NODES : Verdict.OVERLOADED;
    }

    /** Returns the work that arrived within the window, in requests of mean work. */
    public double recentRequests() {
        return windowWorkUs / meanWorkUs;
    }

    /** Returns the highest ratio of the load in any window to the limit at that time; 0 without arrivals. */
    public double peakRatio() {
        return peakRatio;
    }
}
