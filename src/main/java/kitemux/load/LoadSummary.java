package kitemux.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;
import org.HdrHistogram.Histogram;

/**
 * What captured files of one or more nodes say together: how much was wanted, and what came of it. What was
 * wanted are first tries: what clients ask again is their answer to being refused, and would pass for
 * demand. Service times are kept in histograms to two digits, which can be added up.
 */
public final class LoadSummary {
    /** Service times are told up to this. */
    private static final long MOST_US = 600_000_000L;

    private static final int DIGITS = 2;
    /** Of what was refused, so much must be asked again for repeats to be marked by all clients. */
    private static final double MARKED = 0.05;

    private final long binUs;
    private final Map<String, Long> shiftUs;
    private final Set<Long> files = new HashSet<>();
    private final List<String> warnings = new ArrayList<>();
    private final Map<String, ClassSummary> classes = new LinkedHashMap<>();
    private final Map<String, long[]> tenants = new LinkedHashMap<>();
    private final Map<String, Integer> nodes = new TreeMap<>();
    private final TreeMap<Long, long[]> bins = new TreeMap<>();
    private long leftOut;
    private long fromUs = Long.MAX_VALUE;
    private long toUs;

    /** What is counted of a class. */
    public static final class ClassSummary {
        private long firstTries;
        private long retries;
        private long served;
        private long refused;
        private long failed;
        private long abandoned;
        private long attempts;
        private final Histogram serverResponseTimeUs = new Histogram(MOST_US, DIGITS);
        private final Histogram clientResponseTimeUs = new Histogram(MOST_US, DIGITS);

        /** First tries. */
        public long firstTries() {
            return firstTries;
        }

        /** Tries that clients marked as repeats. */
        public long retries() {
            return retries;
        }

        /** Tries answered with what a server made. */
        public long served() {
            return served;
        }

        /** Tries answered as refused. */
        public long refused() {
            return refused;
        }

        /** Tries answered as failed. */
        public long failed() {
            return failed;
        }

        /** Tries whose client left before an answer. */
        public long abandoned() {
            return abandoned;
        }

        /** Requests sent to servers. */
        public long attempts() {
            return attempts;
        }

        /** From an attempt's being sent to its answer by a server, at a percentile, in microseconds, of those
         * that were answered: waiting at the server and work are not told apart. */
        public long serverResponseTimeUs(double percentile) {
            return serverResponseTimeUs.getValueAtPercentile(percentile);
        }

        /** From a try's coming to its answer, the same of those that were served. */
        public long clientResponseTimeUs(double percentile) {
            return clientResponseTimeUs.getValueAtPercentile(percentile);
        }
    }

    /**
     * Nothing yet.
     *
     * @param binUs width of the steps in which rates are told
     * @param shiftUs what is added to the times of a node, by its name, where its clock is off
     */
    public LoadSummary(long binUs, Map<String, Long> shiftUs) {
        if (binUs < 1) {
            throw new IllegalArgumentException("steps must be longer than 0");
        }
        this.binUs = binUs;
        this.shiftUs = Map.copyOf(shiftUs);
    }

    /** Adds a file; a copy of one that was added already is left out, and said. */
    public void add(CaptureFile file) {
        if (!files.add(file.id())) {
            warnings.add("a copy of a file of " + file.node() + " is left out");
            return;
        }
        if (!file.fault().isEmpty()) {
            warnings.add("a file of " + file.node() + " is not whole: " + file.fault());
        }
        leftOut += file.droppedCount();
        nodes.merge(file.node(), file.requests().size(), Integer::sum);
        long shift = shiftUs.getOrDefault(file.node(), 0L);
        for (CapturedRequest seen : file.requests()) {
            add(file, seen, seen.arrivedUs() + shift);
        }
    }

    private void add(CaptureFile file, CapturedRequest seen, long cameUs) {
        ClassSummary of = classes.computeIfAbsent(file.classes().get(seen.classIndex()), name -> new ClassSummary());
        long[] bin = bins.computeIfAbsent(Math.floorDiv(cameUs, binUs), at -> new long[2]);
        fromUs = Math.min(fromUs, cameUs);
        toUs = Math.max(toUs, cameUs);
        if (seen.isRetry()) {
            of.retries++;
            bin[1]++;
        } else {
            of.firstTries++;
            bin[0]++;
        }
        if (seen.tenantIndex() >= 0) {
            tenants.computeIfAbsent(file.tenants().get(seen.tenantIndex()), name -> new long[2])[seen.isRetry() ? 1 : 0]++;
        }
        switch (seen.answer()) {
            case SERVED -> of.served++;
            case REFUSED -> of.refused++;
            case FAILED, BROKEN -> of.failed++;
            case LEFT -> of.abandoned++;
        }
        of.attempts += seen.attempts().size();
        for (CapturedRequest.Attempt attempt : seen.attempts()) {
            if (attempt.result() == Result.OK) {
                of.serverResponseTimeUs.recordValue(Math.min(MOST_US, attempt.durationUs()));
            }
        }
        if (seen.answer() == Observer.RequestOutcome.SERVED) {
            of.clientResponseTimeUs.recordValue(Math.min(MOST_US, seen.durationUs()));
        }
    }

    // ---------------------------------------------------------------- what it comes to

    /** By class, in the order in which they were met. */
    public Map<String, ClassSummary> classes() {
        return classes;
    }

    /** First tries by tenant, the heaviest first. */
    public Map<String, Long> firstTriesByTenant() {
        Map<String, Long> sorted = new LinkedHashMap<>();
        tenants.entrySet().stream()
                .sorted((a, b) -> Long.compare(b.getValue()[0], a.getValue()[0]))
                .forEach(e -> sorted.put(e.getKey(), e.getValue()[0]));
        return sorted;
    }

    /** Requests by node. */
    public Map<String, Integer> nodes() {
        return nodes;
    }

    /** First tries in all. */
    public long firstTries() {
        return classes.values().stream().mapToLong(ClassSummary::firstTries).sum();
    }

    /** Seconds from the first request to the last. */
    public double durationS() {
        return toUs <= fromUs ? 0 : (toUs - fromUs) / 1e6;
    }

    /**
     * A step of time.
     *
     * @param startS from the first step on, in seconds
     * @param firstTriesPerS first tries a second
     * @param retriesPerS repeats a second
     */
    public record Step(double startS, double firstTriesPerS, double retriesPerS) {}

    /** Rates over time; steps in which nothing came are there too. */
    public List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        if (!bins.isEmpty()) {
            for (long at = bins.firstKey(); at <= bins.lastKey(); at++) {
                long[] bin = bins.getOrDefault(at, new long[2]);
                steps.add(new Step((at - bins.firstKey()) * binUs / 1e6, bin[0] * 1e6 / binUs, bin[1] * 1e6 / binUs));
            }
        }
        return steps;
    }

    /** Variance of the steps' counts of first tries over their mean: 1 where clients come independently, more
     * where they come in bursts. The first and last step, which are not whole, do not count. */
    public double burstiness() {
        List<Step> whole = steps();
        if (whole.size() < 4) {
            return Double.NaN;
        }
        double[] counts = whole.subList(1, whole.size() - 1).stream()
                .mapToDouble(step -> step.firstTriesPerS() * binUs / 1e6)
                .toArray();
        double mean = Arrays.stream(counts).average().orElse(0);
        double variance =
                Arrays.stream(counts).map(c -> (c - mean) * (c - mean)).sum() / (counts.length - 1);
        return mean == 0 ? Double.NaN : variance / mean;
    }

    /** What could not be seen, and what to keep in mind, a line each. */
    public List<String> warnings() {
        List<String> all = new ArrayList<>(warnings);
        if (leftOut > 0) {
            all.add(leftOut + " requests were left out as they came: what is told is less than what was");
        }
        long refused = classes.values().stream().mapToLong(ClassSummary::refused).sum();
        long repeats = classes.values().stream().mapToLong(ClassSummary::retries).sum();
        if (refused > 0 && repeats < MARKED * refused) {
            all.add("of " + refused
                    + " refused tries hardly any was marked as asked again: if clients do not mark"
                    + " repeats, up to " + refused + " of what counts as wanted may be repeats");
        }
        return all;
    }
}
