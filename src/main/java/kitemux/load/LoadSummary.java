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
    private static final long MAX_RECORDED_US = 600_000_000L;

    private static final int SIGNIFICANT_DIGIT_COUNT = 2;
    /** Of what was refused, so much must be asked again for repeats to be marked by all clients. */
    private static final double MIN_MARKED_RETRY_RATIO = 0.05;

    private final long stepUs;
    private final Map<String, Long> clockShiftUs;
    private final Set<Long> fileIds = new HashSet<>();
    private final List<String> warnings = new ArrayList<>();
    private final Map<String, ClassSummary> classes = new LinkedHashMap<>();
    private final Map<String, long[]> tenants = new LinkedHashMap<>();
    private final Map<String, Integer> nodes = new TreeMap<>();
    private final TreeMap<Long, long[]> countsByStep = new TreeMap<>();
    private long droppedCount;
    private long firstArrivalUs = Long.MAX_VALUE;
    private long lastArrivalUs;

    /** What is counted of a class. */
    public static final class ClassSummary {
        private long firstTries;
        private long retries;
        private long served;
        private long refused;
        private long failed;
        private long abandoned;
        private long attempts;
        private final Histogram serverResponseTimeUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGIT_COUNT);
        private final Histogram clientResponseTimeUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGIT_COUNT);

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
    public LoadSummary(long stepUs, Map<String, Long> clockShiftUs) {
        if (stepUs < 1) {
            throw new IllegalArgumentException("steps must be longer than 0");
        }
        this.stepUs = stepUs;
        this.clockShiftUs = Map.copyOf(clockShiftUs);
    }

    /** Adds a file; a copy of one that was added already is left out, and said. */
    public void add(CaptureFile file) {
        if (!fileIds.add(file.id())) {
            warnings.add("a copy of a file of " + file.node() + " is left out");
            return;
        }
        if (!file.fault().isEmpty()) {
            warnings.add("a file of " + file.node() + " is not whole: " + file.fault());
        }
        droppedCount += file.droppedCount();
        nodes.merge(file.node(), file.requests().size(), Integer::sum);
        long shiftUs = clockShiftUs.getOrDefault(file.node(), 0L);
        for (CapturedRequest request : file.requests()) {
            add(file, request, request.arrivedUs() + shiftUs);
        }
    }

    private void add(CaptureFile file, CapturedRequest request, long arrivedUs) {
        ClassSummary classSummary =
                classes.computeIfAbsent(file.classes().get(request.classIndex()), name -> new ClassSummary());
        long[] stepCounts = countsByStep.computeIfAbsent(Math.floorDiv(arrivedUs, stepUs), at -> new long[2]);
        firstArrivalUs = Math.min(firstArrivalUs, arrivedUs);
        lastArrivalUs = Math.max(lastArrivalUs, arrivedUs);
        if (request.isRetry()) {
            classSummary.retries++;
            stepCounts[1]++;
        } else {
            classSummary.firstTries++;
            stepCounts[0]++;
        }
        if (request.tenantIndex() >= 0) {
            tenants.computeIfAbsent(file.tenants().get(request.tenantIndex()), name -> new long[2])[
                    request.isRetry() ? 1 : 0]++;
        }
        switch (request.answer()) {
            case SERVED -> classSummary.served++;
            case REFUSED -> classSummary.refused++;
            case FAILED, BROKEN -> classSummary.failed++;
            case LEFT -> classSummary.abandoned++;
        }
        classSummary.attempts += request.attempts().size();
        for (CapturedRequest.Attempt attempt : request.attempts()) {
            if (attempt.result() == Result.OK) {
                classSummary.serverResponseTimeUs.recordValue(Math.min(MAX_RECORDED_US, attempt.durationUs()));
            }
        }
        if (request.answer() == Observer.Answer.SERVED) {
            classSummary.clientResponseTimeUs.recordValue(Math.min(MAX_RECORDED_US, request.durationUs()));
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
        return lastArrivalUs <= firstArrivalUs ? 0 : (lastArrivalUs - firstArrivalUs) / 1e6;
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
        if (!countsByStep.isEmpty()) {
            for (long at = countsByStep.firstKey(); at <= countsByStep.lastKey(); at++) {
                long[] stepCounts = countsByStep.getOrDefault(at, new long[2]);
                steps.add(new Step(
                        (at - countsByStep.firstKey()) * stepUs / 1e6,
                        stepCounts[0] * 1e6 / stepUs,
                        stepCounts[1] * 1e6 / stepUs));
            }
        }
        return steps;
    }

    /** Variance of the steps' counts of first tries over their mean: 1 where clients come independently, more
     * where they come in bursts. The first and last step, which are not whole, do not count. */
    public double burstiness() {
        List<Step> allSteps = steps();
        if (allSteps.size() < 4) {
            return Double.NaN;
        }
        double[] counts = allSteps.subList(1, allSteps.size() - 1).stream()
                .mapToDouble(step -> step.firstTriesPerS() * stepUs / 1e6)
                .toArray();
        double mean = Arrays.stream(counts).average().orElse(0);
        double variance =
                Arrays.stream(counts).map(c -> (c - mean) * (c - mean)).sum() / (counts.length - 1);
        return mean == 0 ? Double.NaN : variance / mean;
    }

    /** What could not be seen, and what to keep in mind, a line each. */
    public List<String> warnings() {
        List<String> allWarnings = new ArrayList<>(warnings);
        if (droppedCount > 0) {
            allWarnings.add(droppedCount + " requests were left out as they came: what is told is less than what was");
        }
        long refused =
                classes.values().stream().mapToLong(ClassSummary::refused).sum();
        long retries =
                classes.values().stream().mapToLong(ClassSummary::retries).sum();
        if (refused > 0 && retries < MIN_MARKED_RETRY_RATIO * refused) {
            allWarnings.add("of " + refused
                    + " refused tries hardly any was marked as asked again: if clients do not mark"
                    + " repeats, up to " + refused + " of what counts as wanted may be repeats");
        }
        return allWarnings;
    }
}
