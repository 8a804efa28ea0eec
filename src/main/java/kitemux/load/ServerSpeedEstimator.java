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
 * How quick servers are against one another, from captured attempts in which waiting and working are
 * mixed. What
 * is sent to a server that has nothing else of any node waits for nothing: its time is work, and the way. So
 * it rests on the captures of all nodes, with clocks set right; what a missing one sent makes servers look
 * slower. A low quantile of all times would not do: where work is spread exponentially waiting stretches each
 * quantile alike, and a server at seven tenths of its capacity looked three times slower than it was.
 * Means of
 * classes are compared by class, as classes differ in work.
 */
public final class ServerSpeedEstimator {
    /** Fewer times of a class tell nothing of a server. */
    private static final int MIN_SAMPLE_COUNT = 40;
    /** What was called off or not waited for any more may go on at its server for so long. */
    private static final long ABANDONED_WORK_US = 1_000_000;

    private static final int RESAMPLE_COUNT = 400;
    private static final long RESAMPLE_SEED = 11;

    private final Map<String, Long> clockShiftUs;
    /** Attempts by server. */
    private final Map<String, List<SentAttempt>> attemptsByServer = new TreeMap<>();

    /** One attempt, out from one time to another. */
    private record SentAttempt(long fromUs, long toUs, String className, boolean isAnswered) {}

    /**
     * Nothing yet.
     *
     * @param shiftUs what is added to the times of a node, by its name, where its clock is off
     */
    public ServerSpeedEstimator(Map<String, Long> clockShiftUs) {
        this.clockShiftUs = Map.copyOf(clockShiftUs);
    }

    /**
     * A server's speed against the geometric mean of all that are told.
     *
     * @param lowUs and {@code high}: within which it lies by chance, 95%, by drawing its times again
     * @param sampleCount it rests on so many
     */
    public record ServerSpeed(String server, double speed, double low, double high, int sampleCount) {}

    /** Adds a file. */
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

    /** Times of what had its server for itself as it was sent, by class. */
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
     * The work of one request of a class, on a server of speed 1, in microseconds; the way to the server and
     * back
     * is in it.
     *
     * @param lowUs and {@code high}: within which the mean lies by chance, 95%
     * @param cv standard deviation over mean
     * @param sampleCount it rests on so many
     */
    public record ClassWork(String className, double meanUs, double lowUs, double highUs, double cv, int sampleCount) {}

    /** The work of each class of which a server had times enough, in order of their names. */
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

    /** Sums of which mean and deviation follow. */
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

    /** Servers with times enough, in order of their ids. */
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

    /** Logarithm of the mean of each server and class, of its times or of as many drawn from them. */
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
     * Logarithms of speeds. Each class tells how much quicker than its mean a server is; what classes tell is
     * weighted by their answers. Classes that not all servers have are set right by a second round, against
     * what the first one told of those that have them.
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
