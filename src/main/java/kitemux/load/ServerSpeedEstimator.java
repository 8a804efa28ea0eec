package kitemux.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import kitemux.Balancer.Result;

/**
 * Estimates the relative speeds of servers from captured attempts, whose durations include both queueing and
 * work. An attempt that is sent to an idle server does not queue, so its duration is work and network latency
 * only. The estimate therefore needs the captures of all nodes, with their clocks aligned; the attempts of a
 * missing node make servers look slower. A low quantile of all durations would not do: with exponentially
 * distributed work, queueing stretches all quantiles alike, and a server at 70% of its capacity looked three
 * times slower than it was. Means are compared per class, as classes differ in work.
 */
public final class ServerSpeedEstimator {
    /** Durations of a class that a server must have for the class to count in its estimate. */
    private static final int MIN_SAMPLE_COUNT = 40;
    /** How long a server may go on working on an attempt that was cancelled or timed out. */
    private static final long ABANDONED_WORK_US = 1_000_000;

    /** Bootstrap resamples from which a confidence interval is computed. */
    private static final int RESAMPLE_COUNT = 400;

    private static final long RESAMPLE_SEED = 11;

    private final Map<String, Long> clockShiftUs;
    private final Map<String, List<SentAttempt>> attemptsByServer = new TreeMap<>();

    /**
     * An attempt in the time of the aligned clocks.
     *
     * @param fromUs when it was sent, in microseconds
     * @param toUs when it ended, in microseconds
     * @param className the name of its request's class
     * @param isAnswered whether the server answered with success
     */
    private record SentAttempt(long fromUs, long toUs, String className, boolean isAnswered) {}

    /**
     * Creates an estimator without any data.
     *
     * @param clockShiftUs what is added to the times of a node to correct its clock, in microseconds, by the
     *     node's name
     */
    public ServerSpeedEstimator(Map<String, Long> clockShiftUs) {
        this.clockShiftUs = Map.copyOf(clockShiftUs);
    }

    /**
     * The speed of a server, relative to the geometric mean of all servers with an estimate.
     *
     * @param server the server's id
     * @param speed the estimate; 2 is twice as fast as the mean
     * @param low the lower bound of the 95% bootstrap confidence interval
     * @param high the upper bound of that interval
     * @param sampleCount the number of answers on which the estimate is based
     */
    public record ServerSpeed(String server, double speed, double low, double high, int sampleCount) {}

    /** Adds the attempts of a capture file. */
    public void add(CaptureFile file) {
        long shiftUs = clockShiftUs.getOrDefault(file.node(), 0L);
        for (CapturedRequest request : file.requests()) {
            String className = file.classes().get(request.classIndex());
            for (CapturedRequest.Attempt attempt : request.attempts()) {
                long sentUs = request.arrivedUs() + shiftUs + attempt.sentAfterUs();
                attemptsByServer
                        .computeIfAbsent(attempt.server(), id -> new ArrayList<>())
                        .add(new SentAttempt(
                                sentUs, sentUs + attempt.durationUs(), className, attempt.result() == Result.OK));
            }
        }
    }

    /** Returns the durations of the answered attempts that were sent to an idle server, by class. */
    private static Map<String, List<Double>> uncontendedDurations(List<SentAttempt> attempts) {
        Map<String, List<Double>> durations = new TreeMap<>();
        List<SentAttempt> bySendTime = new ArrayList<>(attempts);
        bySendTime.sort(Comparator.comparingLong(SentAttempt::fromUs));
        long idleFromUs = Long.MIN_VALUE;
        for (SentAttempt attempt : bySendTime) {
            if (attempt.fromUs >= idleFromUs && attempt.isAnswered) {
                durations
                        .computeIfAbsent(attempt.className, name -> new ArrayList<>())
                        .add((double) (attempt.toUs - attempt.fromUs));
            }
            idleFromUs = Math.max(idleFromUs, attempt.isAnswered ? attempt.toUs : attempt.toUs + ABANDONED_WORK_US);
        }
        return durations;
    }

    /**
     * The work of a request of a class on a server of speed 1, including the network latency.
     *
     * @param className the name of the class
     * @param meanUs the mean in microseconds
     * @param lowUs the lower bound of the 95% confidence interval of the mean
     * @param highUs the upper bound of that interval
     * @param cv the coefficient of variation: the standard deviation divided by the mean
     * @param sampleCount the number of answers on which the estimate is based
     */
    public record ClassWork(String className, double meanUs, double lowUs, double highUs, double cv, int sampleCount) {}

    /** Returns the work of each class for which a server has enough durations, ordered by the names. */
    public List<ClassWork> estimateWork() {
        Map<String, Double> speeds = new TreeMap<>();
        estimateSpeeds().forEach(estimate -> speeds.put(estimate.server(), estimate.speed()));
        Map<String, Moments> byClass = new TreeMap<>();
        sufficientSamples()
                .forEach((server, classes) -> classes.forEach((name, durations) -> {
                    Moments moments = byClass.computeIfAbsent(name, n -> new Moments());
                    Arrays.stream(durations).forEach(duration -> moments.add(duration * speeds.get(server)));
                }));
        List<ClassWork> estimates = new ArrayList<>();
        byClass.forEach((name, moments) -> {
            double halfWidthUs = 1.96 * moments.deviation() / Math.sqrt(moments.count);
            estimates.add(new ClassWork(
                    name,
                    moments.mean(),
                    moments.mean() - halfWidthUs,
                    moments.mean() + halfWidthUs,
                    moments.deviation() / moments.mean(),
                    moments.count));
        });
        return estimates;
    }

    /** Accumulates the sums from which the mean and the standard deviation are computed. */
    private static final class Moments {
        private int count;
        private double sum;
        private double sumOfSquares;

        void add(double value) {
            count++;
            sum += value;
            sumOfSquares += value * value;
        }

        double mean() {
            return sum / count;
        }

        double deviation() {
            return Math.sqrt(Math.max(0, sumOfSquares / count - mean() * mean()));
        }
    }

    /** Returns the durations by server and class, without the classes of a server that have too few. */
    private Map<String, Map<String, double[]>> sufficientSamples() {
        Map<String, Map<String, double[]>> samples = new TreeMap<>();
        attemptsByServer.forEach((server, all) -> uncontendedDurations(all).forEach((name, durations) -> {
            if (durations.size() >= MIN_SAMPLE_COUNT) {
                samples.computeIfAbsent(server, id -> new TreeMap<>())
                        .put(name, durations.stream().mapToDouble(t -> t).toArray());
            }
        }));
        return samples;
    }

    /** Returns the speeds of the servers that have enough durations, ordered by the servers' ids. */
    public List<ServerSpeed> estimateSpeeds() {
        Map<String, Map<String, double[]>> samples = sufficientSamples();
        Map<String, Double> logSpeeds = logSpeeds(logMeans(samples, null));
        SplittableRandom random = new SplittableRandom(RESAMPLE_SEED);
        Map<String, double[]> resampled = new TreeMap<>();
        logSpeeds.keySet().forEach(server -> resampled.put(server, new double[RESAMPLE_COUNT]));
        for (int i = 0; i < RESAMPLE_COUNT; i++) {
            int resample = i;
            logSpeeds(logMeans(samples, random))
                    .forEach((server, log) -> resampled.get(server)[resample] = log);
        }
        List<ServerSpeed> estimates = new ArrayList<>();
        logSpeeds.forEach((server, log) -> {
            double[] sorted = resampled.get(server);
            Arrays.sort(sorted);
            estimates.add(new ServerSpeed(
                    server,
                    Math.exp(log),
                    Math.exp(sorted[(int) (0.025 * RESAMPLE_COUNT)]),
                    Math.exp(sorted[(int) (0.975 * RESAMPLE_COUNT)]),
                    samples.get(server).values().stream()
                            .mapToInt(durations -> durations.length)
                            .sum()));
        });
        return estimates;
    }

    /**
     * Returns the logarithm of the mean duration and the number of durations, by server and class.
     *
     * @param random resamples the durations with replacement; null to use them as they are
     */
    private static Map<String, Map<String, double[]>> logMeans(
            Map<String, Map<String, double[]>> samples, SplittableRandom random) {
        Map<String, Map<String, double[]>> logMeans = new TreeMap<>();
        samples.forEach((server, classes) -> classes.forEach((name, durations) -> {
            double sum = 0;
            for (int i = 0; i < durations.length; i++) {
                sum += random == null ? durations[i] : durations[random.nextInt(durations.length)];
            }
            logMeans.computeIfAbsent(server, id -> new TreeMap<>()).put(name, new double[] {
                Math.log(Math.max(1, sum / durations.length)), durations.length
            });
        }));
        return logMeans;
    }

    /**
     * Returns the logarithms of the servers' speeds. Each class yields how much faster than the class's mean a
     * server is, and the classes are weighted by their number of answers. If some servers lack a class, its mean
     * depends on the speeds of the others; further rounds correct it by the speeds of the round before.
     */
    private static Map<String, Double> logSpeeds(Map<String, Map<String, double[]>> logMeans) {
        Map<String, Double> speeds = new TreeMap<>();
        logMeans.keySet().forEach(server -> speeds.put(server, 0.0));
        for (int round = 0; round < 8; round++) {
            Map<String, double[]> levels = new HashMap<>();
            logMeans.forEach((server, classes) -> classes.forEach((name, logMean) -> {
                double[] level = levels.computeIfAbsent(name, n -> new double[2]);
                level[0] += logMean[1] * (logMean[0] + speeds.get(server));
                level[1] += logMean[1];
            }));
            logMeans.forEach((server, classes) -> {
                double weightedSum = 0;
                double totalWeight = 0;
                for (Map.Entry<String, double[]> classMean : classes.entrySet()) {
                    double[] level = levels.get(classMean.getKey());
                    weightedSum += classMean.getValue()[1]
                            * (level[0] / level[1] - classMean.getValue()[0]);
                    totalWeight += classMean.getValue()[1];
                }
                speeds.put(server, weightedSum / totalWeight);
            });
            double mean = speeds.values().stream().mapToDouble(s -> s).average().orElse(0);
            speeds.replaceAll((server, log) -> log - mean);
        }
        return speeds;
    }
}
