package kitemux.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import kitemux.plan.Estimate;

/**
 * Compares, for each variant of an experiment, the results predicted by the emulator with those measured over
 * loopback.
 */
public final class PredictionReport {
    /** A run with a longer delay behind its clock measured the lab itself rather than the nodes. */
    private static final long MAX_DELAY_US = 50_000;

    private PredictionReport() {}

    /**
     * The results of a variant.
     *
     * @param predicted the emulated share in time; null without an emulated run
     * @param measured the share in time over loopback; null without such a run
     * @param violations the number of broken rules in all runs
     * @param delayedRuns the number of runs over loopback that were too far behind their clock
     */
    public record VariantResult(
            String variant, Estimate predicted, Estimate measured, long violations, long delayedRuns) {
        /** Returns the error of the prediction relative to the measured value; NaN if either is missing. */
        public double relativeError() {
            return predicted == null || measured == null ? Double.NaN : predicted.mean() / measured.mean() - 1;
        }
    }

    /** Returns the results of all variants, in the experiment's order. */
    public static List<VariantResult> variantResults(Experiment experiment, List<ResultRow> rows) {
        List<VariantResult> results = new ArrayList<>();
        for (Experiment.Variant variant : experiment.variants()) {
            List<ResultRow> variantRows = rows.stream()
                    .filter(row -> row.variant().equals(variant.name()))
                    .toList();
            results.add(new VariantResult(
                    variant.name(),
                    estimateInTime(variantRows, row -> row.environment() == Experiment.Environment.EMULATOR),
                    estimateInTime(variantRows, row -> row.environment() == Experiment.Environment.LOOPBACK),
                    variantRows.stream().mapToLong(ResultRow::violations).sum(),
                    variantRows.stream()
                            .filter(row -> row.maxDelayUs() > MAX_DELAY_US)
                            .count()));
        }
        return results;
    }

    private static Estimate estimateInTime(List<ResultRow> rows, Predicate<ResultRow> filter) {
        List<Double> values =
                rows.stream().filter(filter).map(ResultRow::inTimeRatio).toList();
        return values.isEmpty() ? null : Estimate.of(values);
    }

    /**
     * The position at which a series crosses the goal.
     *
     * @param predicted the emulated position, interpolated linearly between two points; NaN without a crossing
     * @param measured the position over loopback; NaN without a crossing
     */
    public record GoalCrossing(String sweep, boolean higherIsBetter, double predicted, double measured) {
        /** Returns the error of the prediction relative to the measured value. */
        public double relativeError() {
            return predicted / measured - 1;
        }
    }

    /**
     * Returns the position at which each series crosses the goal. In a series of server counts this is the first
     * count that reaches the goal, without interpolation.
     */
    public static List<GoalCrossing> goalCrossings(Experiment experiment, List<VariantResult> results) {
        Map<String, VariantResult> byName = new LinkedHashMap<>();
        results.forEach(result -> byName.put(result.variant(), result));
        LinkedHashSet<String> sweeps = new LinkedHashSet<>();
        experiment.variants().stream().filter(v -> !v.sweep().isEmpty()).forEach(v -> sweeps.add(v.sweep()));
        List<GoalCrossing> crossings = new ArrayList<>();
        for (String sweep : sweeps) {
            List<Experiment.Variant> series = experiment.variants().stream()
                    .filter(v -> v.sweep().equals(sweep))
                    .sorted((a, b) -> Double.compare(a.position(), b.position()))
                    .toList();
            crossings.add(new GoalCrossing(
                    sweep,
                    series.get(0).higherIsBetter(),
                    findCrossing(
                            experiment.goal(), series, v -> byName.get(v.name()).predicted()),
                    findCrossing(
                            experiment.goal(), series, v -> byName.get(v.name()).measured())));
        }
        return crossings;
    }

    private static double findCrossing(
            double goal, List<Experiment.Variant> series, Function<Experiment.Variant, Estimate> estimateOf) {
        for (int i = 0; i < series.size(); i++) {
            Estimate current = estimateOf.apply(series.get(i));
            if (current == null) {
                return Double.NaN;
            }
            boolean higherIsBetter = series.get(i).higherIsBetter();
            if (higherIsBetter ? current.mean() < goal : current.mean() >= goal) {
                continue;
            }
            if (higherIsBetter) {
                return series.get(i).position();
            }
            if (i == 0) {
                return Double.NaN;
            }
            Estimate previous = estimateOf.apply(series.get(i - 1));
            double fraction = (previous.mean() - goal) / (previous.mean() - current.mean());
            return series.get(i - 1).position()
                    + fraction * (series.get(i).position() - series.get(i - 1).position());
        }
        return Double.NaN;
    }

    /** Returns the lines of a table in Markdown. */
    public static List<String> table(Experiment experiment, List<ResultRow> rows) {
        List<VariantResult> results = variantResults(experiment, rows);
        List<String> out = new ArrayList<>();
        out.add("| scenario | predicted in time | happened | off by | rules broken | player behind |");
        out.add("| --- | --- | --- | --- | --- | --- |");
        for (VariantResult result : results) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %d | %d |",
                    result.variant(),
                    formatEstimate(result.predicted()),
                    formatEstimate(result.measured()),
                    formatPercent(result.relativeError()),
                    result.violations(),
                    result.delayedRuns()));
        }
        List<GoalCrossing> crossings = goalCrossings(experiment, results);
        if (!crossings.isEmpty()) {
            out.add("");
            out.add(String.format(
                    Locale.ROOT, "| series | goal %.2f predicted at | happened at | off by |", experiment.goal()));
            out.add("| --- | --- | --- | --- |");
        }
        for (GoalCrossing crossing : crossings) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s |",
                    crossing.sweep(),
                    formatNumber(crossing.predicted()),
                    formatNumber(crossing.measured()),
                    crossing.higherIsBetter()
                            ? formatNumber(crossing.predicted() - crossing.measured()) + " servers"
                            : formatPercent(crossing.relativeError())));
        }
        return out;
    }

    /** Formats an estimate for a table. */
    static String formatEstimate(Estimate estimate) {
        return estimate == null
                ? "-"
                : estimate.sampleCount() < 2
                        ? String.format(Locale.ROOT, "%.3f", estimate.mean())
                        : String.format(Locale.ROOT, "%.3f ± %.3f", estimate.mean(), estimate.halfWidth());
    }

    /** Formats a ratio as a percentage for a table. */
    static String formatPercent(double ratio) {
        return Double.isNaN(ratio) ? "-" : String.format(Locale.ROOT, "%+.1f%%", 100 * ratio);
    }

    private static String formatNumber(double value) {
        return Double.isNaN(value) ? "none" : String.format(Locale.ROOT, "%.2f", value);
    }
}
