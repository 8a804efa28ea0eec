package kitemux.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Compares two results folders by pairs of runs with the same variant, seed and environment. The intervals are 95%
 * percentile bootstrap intervals of the mean difference.
 */
public final class ResultsComparison {
    private static final int RESAMPLE_COUNT = 10_000;
    private static final long SEED = 20_261_201L;

    private ResultsComparison() {}

    /**
     * The difference between the paired runs of a variant.
     *
     * @param pairs the number of runs that both folders have
     * @param mean the mean of the second folder's values minus the first folder's
     * @param low the lower end of the 95% interval
     * @param high the upper end of the 95% interval
     */
    public record Difference(
            String variant, Experiment.Environment environment, int pairs, double mean, double low, double high) {
        /** Returns whether the interval excludes 0; a single pair is never significant. */
        public boolean isSignificant() {
            return pairs > 1 && (low > 0 || high < 0);
        }
    }

    /**
     * Compares the share in time for each variant and environment, and for all variants of an environment together
     * under the name "all".
     */
    public static List<Difference> compare(List<ResultRow> first, List<ResultRow> second) {
        Map<String, List<Double>> pairs = new LinkedHashMap<>();
        Map<String, ResultRow> names = new LinkedHashMap<>();
        for (ResultRow a : first) {
            second.stream()
                    .filter(b -> b.variant().equals(a.variant())
                            && b.environment() == a.environment()
                            && b.seed() == a.seed())
                    .findFirst()
                    .ifPresent(b -> {
                        String key = a.variant() + "\t" + a.environment();
                        names.putIfAbsent(key, a);
                        pairs.computeIfAbsent(key, k -> new ArrayList<>()).add(b.inTimeRatio() - a.inTimeRatio());
                    });
        }
        List<Difference> found = new ArrayList<>();
        pairs.forEach((key, differences) ->
                found.add(difference(names.get(key).variant(), names.get(key).environment(), differences)));
        for (Experiment.Environment environment : Experiment.Environment.values()) {
            List<Double> all = new ArrayList<>();
            pairs.forEach((key, differences) -> {
                if (names.get(key).environment() == environment) {
                    all.addAll(differences);
                }
            });
            if (!all.isEmpty()) {
                found.add(difference("all", environment, all));
            }
        }
        return found;
    }

    private static Difference difference(String variant, Experiment.Environment environment, List<Double> differences) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        double[] means = new double[RESAMPLE_COUNT];
        for (int i = 0; i < RESAMPLE_COUNT; i++) {
            double sum = 0;
            for (int j = 0; j < differences.size(); j++) {
                sum += differences.get(random.nextInt(differences.size()));
            }
            means[i] = sum / differences.size();
        }
        Arrays.sort(means);
        return new Difference(
                variant,
                environment,
                differences.size(),
                differences.stream().mapToDouble(d -> d).average().orElse(0),
                means[(int) (0.025 * RESAMPLE_COUNT)],
                means[(int) (0.975 * RESAMPLE_COUNT)]);
    }

    /** Returns the lines of a table in Markdown. */
    public static List<String> table(List<Difference> differences) {
        List<String> out = new ArrayList<>();
        out.add("| scenario | where | pairs | second less first | |");
        out.add("| --- | --- | --- | --- | --- |");
        for (Difference d : differences) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %d | %+.4f (%+.4f to %+.4f) | %s |",
                    d.variant(),
                    d.environment().name().toLowerCase(Locale.ROOT),
                    d.pairs(),
                    d.mean(),
                    d.low(),
                    d.high(),
                    d.isSignificant() ? d.mean() > 0 ? "more" : "less" : "not to be told apart"));
        }
        return out;
    }
}
