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
 * Summarises the capture files of one or more nodes: the demand, and how it was answered. The demand is counted
 * in first tries. Retries are a reaction of clients to refusals and would inflate it. Response times are kept in
 * histograms with two significant digits, which can be merged.
 */
public final class LoadSummary {
    /** Longest response time that is recorded; longer ones count as this. */
    private static final long MAX_RECORDED_US = 600_000_000L;

    private static final int SIGNIFICANT_DIGIT_COUNT = 2;
    /** Ratio of marked retries to refusals below which clients probably do not mark their retries. */
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

    /** The counts and response times of a request class. */
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

        /** Returns the number of first tries. */
        public long firstTries() {
            return firstTries;
        }

        /** Returns the number of tries that clients marked as retries. */
        public long retries() {
            return retries;
        }

        /** Returns the number of tries that were answered with a server's response. */
        public long served() {
            return served;
        }

        /** Returns the number of tries that were refused. */
        public long refused() {
            return refused;
        }

        /** Returns the number of tries that failed. */
        public long failed() {
            return failed;
        }

        /** Returns the number of tries whose client left before an answer. */
        public long abandoned() {
            return abandoned;
        }

        /** Returns the number of attempts that were sent to servers. */
        public long attempts() {
            return attempts;
        }

        /**
         * Returns a percentile of the time from sending an attempt to the server's answer, in microseconds. It
         * covers the attempts that were answered, and includes queueing at the server as well as work.
         *
         * @param percentile from 0 to 100
         */
        public long serverResponseTimeUs(double percentile) {
            return serverResponseTimeUs.getValueAtPercentile(percentile);
        }

        /**
         * Returns a percentile of the time from a try's arrival to its answer, in microseconds. It covers the
         * tries that were served.
         *
         * @param percentile from 0 to 100
         */
        public long clientResponseTimeUs(double percentile) {
            return clientResponseTimeUs.getValueAtPercentile(percentile);
        }
    }

    /**
     * Creates an empty summary.
     *
     * @param stepUs the length of the steps for which rates are computed, in microseconds; at least 1
     * @param clockShiftUs what is added to the times of a node to correct its clock, in microseconds, by the
     *     node's name
     * @throws IllegalArgumentException if the step is too short
     */
    public LoadSummary(long stepUs, Map<String, Long> clockShiftUs) {
        if (stepUs < 1) {
            throw new IllegalArgumentException("the step must be at least 1 microsecond");
        }
        this.stepUs = stepUs;
        this.clockShiftUs = Map.copyOf(clockShiftUs);
    }

    /** Adds a capture file. A copy of a file that was added before is skipped with a warning. */
    public void add(CaptureFile file) {
        if (!fileIds.add(file.id())) {
            warnings.add("a capture file of " + file.node() + " is skipped as a copy of another one");
            return;
        }
        if (!file.fault().isEmpty()) {
            warnings.add("a capture file of " + file.node() + " is not whole: " + file.fault());
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
        if (request.answer() == Observer.RequestOutcome.SERVED) {
            classSummary.clientResponseTimeUs.recordValue(Math.min(MAX_RECORDED_US, request.durationUs()));
        }
    }

    // ---------------------------------------------------------------- results

    /** Returns the summaries by class name, in the order in which the classes first occurred. */
    public Map<String, ClassSummary> classes() {
        return classes;
    }

    /** Returns the number of first tries by tenant, the tenants with the most first. */
    public Map<String, Long> firstTriesByTenant() {
        Map<String, Long> sorted = new LinkedHashMap<>();
        tenants.entrySet().stream()
                .sorted((a, b) -> Long.compare(b.getValue()[0], a.getValue()[0]))
                .forEach(e -> sorted.put(e.getKey(), e.getValue()[0]));
        return sorted;
    }

    /** Returns the number of requests by node. */
    public Map<String, Integer> nodes() {
        return nodes;
    }

    /** Returns the number of first tries of all classes. */
    public long firstTries() {
        return classes.values().stream().mapToLong(ClassSummary::firstTries).sum();
    }

    /** Returns the time from the first request to the last, in seconds. */
    public double durationS() {
        return lastArrivalUs <= firstArrivalUs ? 0 : (lastArrivalUs - firstArrivalUs) / 1e6;
    }

    /**
     * The rates in one step of time.
     *
     * @param startS the start of the step, in seconds since the start of the first step
     * @param firstTriesPerS the rate of first tries per second
     * @param retriesPerS the rate of marked retries per second
     */
    public record Step(double startS, double firstTriesPerS, double retriesPerS) {}

    /** Returns the rates over time, including the steps without requests. */
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

    /**
     * Returns the index of dispersion of the first tries per step: their variance divided by their mean. It is 1
     * for independent clients and larger for bursts. The first and the last step are incomplete and do not count.
     *
     * @return the index, or NaN if there are fewer than four steps or no first tries
     */
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

    /** Returns warnings on missing data and on how to read the summary, one per line. */
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
                    + " refused tries hardly any was followed by a marked retry: if clients do not mark"
                    + " retries, up to " + refused + " of the tries counted as wanted may be retries");
        }
        return allWarnings;
    }
}
