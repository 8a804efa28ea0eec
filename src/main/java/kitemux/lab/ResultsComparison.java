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
 * Two folders of results, run by run: what the same variant, seed and place gave in one and in the other. The
 * intervals are of the mean difference, by drawing the pairs again with replacement (bootstrap, percentiles,
 * 95%).
 */
public final class ResultsComparison {
    private static final int DRAWS = 10_000;
    private static final long SEED = 20_261_201L;

    private ResultsComparison() {}

    /**
     * @param pairs runs that both have
     * @param mean of the second less the first
     */
    public record Difference(String variant, Experiment.Environment environment, int pairs, double mean, double low, double high) {
        /** Whether the interval lies on one side of 0; one pair alone tells nothing. */
        public boolean isSignificant() {
            return pairs > 1 && (low > 0 || high < 0);
        }
    }

    /**
     * The share in time, by variant and place, and of all variants of a place together, which is named
     * "all".
     */
    public static List<Difference> compare(List<ResultRow> first, List<ResultRow> second) {
        Map<String, List<Double>> pairs = new LinkedHashMap<>();
        Map<String, ResultRow> names = new LinkedHashMap<>();
        for (ResultRow a : first) {
            second.stream()
                    .filter(b -> b.variant().equals(a.variant()) && b.environment() == a.environment() && b.seed() == a.seed())
                    .findFirst()
                    .ifPresent(b -> {
                        String key = a.variant() + "\t" + a.environment();
                        names.putIfAbsent(key, a);
                        pairs.computeIfAbsent(key, k -> new ArrayList<>()).add(b.inTimeRatio() - a.inTimeRatio());
                    });
        }
        List<Difference> found = new ArrayList<>();
        pairs.forEach((key, of) ->
                found.add(difference(names.get(key).variant(), names.get(key).environment(), of)));
        for (Experiment.Environment where : Experiment.Environment.values()) {
            List<Double> all = new ArrayList<>();
            pairs.forEach((key, of) -> {
                if (names.get(key).environment() == where) {
                    all.addAll(of);
                }
            });
            if (!all.isEmpty()) {
                found.add(difference("all", where, all));
            }
        }
        return found;
    }

    private static Difference difference(String variant, Experiment.Environment where, List<Double> of) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        double[] means = new double[DRAWS];
        for (int i = 0; i < DRAWS; i++) {
            double sum = 0;
            for (int j = 0; j < of.size(); j++) {
                sum += of.get(random.nextInt(of.size()));
            }
            means[i] = sum / of.size();
        }
        Arrays.sort(means);
        return new Difference(
                variant,
                where,
                of.size(),
                of.stream().mapToDouble(d -> d).average().orElse(0),
                means[(int) (0.025 * DRAWS)],
                means[(int) (0.975 * DRAWS)]);
    }

    /** As lines. */
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
