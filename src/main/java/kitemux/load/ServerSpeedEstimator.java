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
    private static final int LEAST = 40;
    /** What was called off or not waited for any more may go on at its server for so long. */
    private static final long GOES_ON_US = 1_000_000;

    private static final int DRAWS = 400;
    private static final long SEED = 11;

    private final Map<String, Long> shiftUs;
    /** Attempts by server. */
    private final Map<String, List<Out>> attempts = new TreeMap<>();

    /** One attempt, out from one time to another. */
    private record Out(long fromUs, long toUs, String of, boolean answered) {}

    /**
     * Nothing yet.
     *
     * @param shiftUs what is added to the times of a node, by its name, where its clock is off
     */
    public ServerSpeedEstimator(Map<String, Long> shiftUs) {
        this.shiftUs = Map.copyOf(shiftUs);
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
        long shift = shiftUs.getOrDefault(file.node(), 0L);
        for (CapturedRequest seen : file.requests()) {
            String of = file.classes().get(seen.classIndex());
            for (CapturedRequest.Attempt attempt : seen.attempts()) {
                long from = seen.arrivedUs() + shift + attempt.sentAfterUs();
                attempts.computeIfAbsent(attempt.server(), id -> new ArrayList<>())
                        .add(new Out(from, from + attempt.durationUs(), of, attempt.result() == Result.OK));
            }
        }
    }

    /** Times of what had its server for itself as it was sent, by class. */
    private static Map<String, List<Double>> alone(List<Out> attempts) {
        Map<String, List<Double>> times = new TreeMap<>();
        List<Out> inOrder = new ArrayList<>(attempts);
        inOrder.sort(Comparator.comparingLong(Out::fromUs));
        long free = Long.MIN_VALUE;
        for (Out one : inOrder) {
            if (one.fromUs >= free && one.answered) {
                times.computeIfAbsent(one.of, name -> new ArrayList<>()).add((double) (one.toUs - one.fromUs));
            }
            free = Math.max(free, one.answered ? one.toUs : one.toUs + GOES_ON_US);
        }
        return times;
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
        estimateSpeeds().forEach(of -> speeds.put(of.server(), of.speed()));
        Map<String, Sums> byClass = new TreeMap<>();
        enough().forEach((server, classes) -> classes.forEach((name, times) -> {
            Sums all = byClass.computeIfAbsent(name, n -> new Sums());
            Arrays.stream(times).forEach(time -> all.add(time * speeds.get(server)));
        }));
        List<ClassWork> found = new ArrayList<>();
        byClass.forEach((name, all) -> {
            double half = 1.96 * all.deviation() / Math.sqrt(all.count);
            found.add(new ClassWork(
                    name, all.mean(), all.mean() - half, all.mean() + half, all.deviation() / all.mean(), all.count));
        });
        return found;
    }

    /** Sums of which mean and deviation follow. */
    private static final class Sums {
        private int count;
        private double sum;
        private double squares;

        void add(double value) {
            count++;
            sum += value;
            squares += value * value;
        }

        double mean() {
            return sum / count;
        }

        double deviation() {
            return Math.sqrt(Math.max(0, squares / count - mean() * mean()));
        }
    }

    private Map<String, Map<String, double[]>> enough() {
        Map<String, Map<String, double[]>> enough = new TreeMap<>();
        attempts.forEach((server, all) -> alone(all).forEach((name, times) -> {
            if (times.size() >= LEAST) {
                enough.computeIfAbsent(server, id -> new TreeMap<>())
                        .put(name, times.stream().mapToDouble(t -> t).toArray());
            }
        }));
        return enough;
    }

    /** Servers with times enough, in order of their ids. */
    public List<ServerSpeed> estimateSpeeds() {
        Map<String, Map<String, double[]>> enough = enough();
        Map<String, Double> told = logs(means(enough, null));
        SplittableRandom random = new SplittableRandom(SEED);
        Map<String, double[]> drawn = new TreeMap<>();
        told.keySet().forEach(server -> drawn.put(server, new double[DRAWS]));
        for (int i = 0; i < DRAWS; i++) {
            int draw = i;
            logs(means(enough, random)).forEach((server, log) -> drawn.get(server)[draw] = log);
        }
        List<ServerSpeed> found = new ArrayList<>();
        told.forEach((server, log) -> {
            double[] sorted = drawn.get(server);
            Arrays.sort(sorted);
            found.add(new ServerSpeed(
                    server,
                    Math.exp(log),
                    Math.exp(sorted[(int) (0.025 * DRAWS)]),
                    Math.exp(sorted[(int) (0.975 * DRAWS)]),
                    enough.get(server).values().stream()
                            .mapToInt(all -> all.length)
                            .sum()));
        });
        return found;
    }

    /** Logarithm of the mean of each server and class, of its times or of as many drawn from them. */
    private static Map<String, Map<String, double[]>> means(
            Map<String, Map<String, double[]>> from, SplittableRandom random) {
        Map<String, Map<String, double[]>> found = new TreeMap<>();
        from.forEach((server, classes) -> classes.forEach((name, all) -> {
            double sum = 0;
            for (int i = 0; i < all.length; i++) {
                sum += random == null ? all[i] : all[random.nextInt(all.length)];
            }
            found.computeIfAbsent(server, id -> new TreeMap<>()).put(name, new double[] {
                Math.log(Math.max(1, sum / all.length)), all.length
            });
        }));
        return found;
    }

    /**
     * Logarithms of speeds. Each class tells how much quicker than its mean a server is; what classes tell is
     * weighted by their answers. Classes that not all servers have are set right by a second round, against
     * what the first one told of those that have them.
     */
    private static Map<String, Double> logs(Map<String, Map<String, double[]>> means) {
        Map<String, Double> speeds = new TreeMap<>();
        means.keySet().forEach(server -> speeds.put(server, 0.0));
        for (int round = 0; round < 8; round++) {
            Map<String, double[]> levels = new HashMap<>();
            means.forEach((server, classes) -> classes.forEach((name, m) -> {
                double[] level = levels.computeIfAbsent(name, n -> new double[2]);
                level[0] += m[1] * (m[0] + speeds.get(server));
                level[1] += m[1];
            }));
            means.forEach((server, classes) -> {
                double sum = 0;
                double of = 0;
                for (Map.Entry<String, double[]> one : classes.entrySet()) {
                    double[] level = levels.get(one.getKey());
                    sum += one.getValue()[1] * (level[0] / level[1] - one.getValue()[0]);
                    of += one.getValue()[1];
                }
                speeds.put(server, sum / of);
            });
            double mean = speeds.values().stream().mapToDouble(s -> s).average().orElse(0);
            speeds.replaceAll((server, log) -> log - mean);
        }
        return speeds;
    }
}
