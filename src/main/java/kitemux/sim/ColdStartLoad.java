package kitemux.sim;

import java.util.ArrayDeque;

/**
 * What comes to a server that has just started, from all nodes together, against what the settings let come:
 * the rule on cold servers, for whoever judges by it. N is what the settings allow within their time, in
 * requests of mean work; what is beyond by no more than 2 x root of N + 2 is chance.
 */
public final class ColdStartLoad {
    /** At the first fall more than this part has to have come from nodes that knew of the start, for it to be
     * their fault. */
    private static final double FROM_TOLD = 2.0 / 3;

    private final double meanWorkUs;
    private final long withinUs;
    /** Time, work and how much of that came from nodes that knew, in order of time. */
    private final ArrayDeque<double[]> in = new ArrayDeque<>();

    private double sumUs;
    private double toldUs;
    private double peakRatio;

    /** What became of a server by what came to it. */
    public enum Verdict {
        /** It stands. */
        WITHIN_LIMIT,
        /** It falls, by what came from nodes that could not know. */
        OVERLOADED,
        /** It falls, and the nodes are to blame. */
        OVERLOADED_BY_NODES
    }

    /**
     * Nothing has come yet.
     *
     * @param meanWorkUs mean work of a request, in microseconds on a core of speed 1, above 0
     * @param withinUs the stretch of time that the settings name, in microseconds
     */
    public ColdStartLoad(double meanWorkUs, long withinUs) {
        this.meanWorkUs = meanWorkUs;
        this.withinUs = withinUs;
    }

    /** How many requests of mean work a cold server stands where the settings allow {@code n}. */
    public static double maxRequests(double n) {
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** A new process: what came to the one before is of no concern. */
    public void reset() {
        in.clear();
        sumUs = 0;
        toldUs = 0;
    }

    /**
     * Something has come to it while it is cold. Times do not run backwards.
     *
     * @param workUs the work of it, in microseconds on a core of speed 1
     * @param fromTold whether its node had been told of the start
     * @param allowedUs work that the settings allow it in their time, as warm as it is now
     */
    public Verdict recordArrival(long nowUs, double workUs, boolean fromTold, double allowedUs) {
        in.add(new double[] {nowUs, workUs, fromTold ? workUs : 0});
        sumUs += workUs;
        toldUs += fromTold ? workUs : 0;
        while (in.peek()[0] <= nowUs - withinUs) {
            double[] old = in.poll();
            sumUs -= old[1];
            toldUs -= old[2];
        }
        double part = sumUs / meanWorkUs / maxRequests(allowedUs / meanWorkUs);
        peakRatio = Math.max(peakRatio, part);
        if (part <= 1) {
            return Verdict.WITHIN_LIMIT;
        }
        return toldUs > FROM_TOLD * sumUs ? Verdict.OVERLOADED_BY_NODES : Verdict.OVERLOADED;
    }

    /** What has come within the time that is looked at, in requests of mean work. */
    public double recentRequests() {
        return sumUs / meanWorkUs;
    }

    /** The most that came in any such stretch, as a part of what a server then stands; 0 if nothing came. */
    public double peakRatio() {
        return peakRatio;
    }
}
