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

/** What the runs of an experiment say: for each variant what was predicted and what happened over sockets. */
public final class PredictionReport {
    /** A player that was behind its clock for longer measured itself. */
    private static final long MOST_BEHIND_US = 50_000;

    private PredictionReport() {}

    /**
     * A variant's.
     *
     * @param predicted emulated; null if none was played
     * @param measured over sockets; null if none was played
     * @param violations rules broken, in all runs
     * @param delayedRuns runs over sockets whose player was behind
     */
    public record VariantResult(String variant, Estimate predicted, Estimate measured, long violations, long delayedRuns) {
        /** How far the prediction is off, as a part of what happened; NaN where one of the two is missing. */
        public double relativeError() {
            return predicted == null || measured == null ? Double.NaN : predicted.mean() / measured.mean() - 1;
        }
    }

    /** A line for each variant, in the experiment's order. */
    public static List<VariantResult> variantResults(Experiment experiment, List<ResultRow> rows) {
        List<VariantResult> lines = new ArrayList<>();
        for (Experiment.Variant variant : experiment.variants()) {
            List<ResultRow> of = rows.stream()
                    .filter(row -> row.variant().equals(variant.name()))
                    .toList();
            lines.add(new VariantResult(
                    variant.name(),
                    inTime(of, row -> row.environment() == Experiment.Environment.EMULATOR),
                    inTime(of, row -> row.environment() == Experiment.Environment.LOOPBACK),
                    of.stream().mapToLong(ResultRow::violations).sum(),
                    of.stream().filter(row -> row.maxDelayUs() > MOST_BEHIND_US).count()));
        }
        return lines;
    }

    private static Estimate inTime(List<ResultRow> rows, Predicate<ResultRow> which) {
        List<Double> values = rows.stream().filter(which).map(ResultRow::inTimeRatio).toList();
        return values.isEmpty() ? null : Estimate.of(values);
    }

    /**
     * Where a series crosses the goal.
     *
     * @param predicted on the series, between two of its points on a straight line; NaN if it does not
     * @param measured the same over sockets
     */
    public record GoalCrossing(String sweep, boolean higherIsBetter, double predicted, double measured) {
        /** How far the prediction is off, as a part of what happened. */
        public double relativeError() {
            return predicted / measured - 1;
        }
    }

    /** For each series where it crosses the goal. Of servers it is the first count that holds. */
    public static List<GoalCrossing> goalCrossings(Experiment experiment, List<VariantResult> lines) {
        Map<String, VariantResult> byName = new LinkedHashMap<>();
        lines.forEach(line -> byName.put(line.variant(), line));
        LinkedHashSet<String> sweeps = new LinkedHashSet<>();
        experiment.variants().stream().filter(v -> !v.sweep().isEmpty()).forEach(v -> sweeps.add(v.sweep()));
        List<GoalCrossing> found = new ArrayList<>();
        for (String sweep : sweeps) {
            List<Experiment.Variant> series = experiment.variants().stream()
                    .filter(v -> v.sweep().equals(sweep))
                    .sorted((a, b) -> Double.compare(a.position(), b.position()))
                    .toList();
            found.add(new GoalCrossing(
                    sweep,
                    series.get(0).higherIsBetter(),
                    crossing(
                            experiment.goal(), series, v -> byName.get(v.name()).predicted()),
                    crossing(
                            experiment.goal(), series, v -> byName.get(v.name()).measured())));
        }
        return found;
    }

    private static double crossing(
            double goal, List<Experiment.Variant> series, Function<Experiment.Variant, Estimate> of) {
        for (int i = 0; i < series.size(); i++) {
            Estimate here = of.apply(series.get(i));
            if (here == null) {
                return Double.NaN;
            }
            boolean more = series.get(i).higherIsBetter();
            if (more ? here.mean() < goal : here.mean() >= goal) {
                continue;
            }
            if (more) {
                return series.get(i).position();
            }
            if (i == 0) {
                return Double.NaN;
            }
            Estimate before = of.apply(series.get(i - 1));
            double part = (before.mean() - goal) / (before.mean() - here.mean());
            return series.get(i - 1).position()
                    + part * (series.get(i).position() - series.get(i - 1).position());
        }
        return Double.NaN;
    }

    /** As lines of a table that also reads as Markdown. */
    public static List<String> table(Experiment experiment, List<ResultRow> rows) {
        List<VariantResult> lines = variantResults(experiment, rows);
        List<String> out = new ArrayList<>();
        out.add("| scenario | predicted in time | happened | off by | rules broken | player behind |");
        out.add("| --- | --- | --- | --- | --- | --- |");
        for (VariantResult line : lines) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %d | %d |",
                    line.variant(),
                    text(line.predicted()),
                    text(line.measured()),
                    percent(line.relativeError()),
                    line.violations(),
                    line.delayedRuns()));
        }
        List<GoalCrossing> crossings = goalCrossings(experiment, lines);
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
                    number(crossing.predicted()),
                    number(crossing.measured()),
                    crossing.higherIsBetter()
                            ? number(crossing.predicted() - crossing.measured()) + " servers"
                            : percent(crossing.relativeError())));
        }
        return out;
    }

    /** As it stands in tables. */
    static String text(Estimate of) {
        return of == null
                ? "-"
                : of.sampleCount() < 2
                        ? String.format(Locale.ROOT, "%.3f", of.mean())
                        : String.format(Locale.ROOT, "%.3f ± %.3f", of.mean(), of.halfWidth());
    }

    /** As it stands in tables. */
    static String percent(double of) {
        return Double.isNaN(of) ? "-" : String.format(Locale.ROOT, "%+.1f%%", 100 * of);
    }

    private static String number(double of) {
        return Double.isNaN(of) ? "none" : String.format(Locale.ROOT, "%.2f", of);
    }
}
