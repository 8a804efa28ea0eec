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
public final class Findings {
    /** A player that was behind its clock for longer measured itself. */
    private static final long MOST_BEHIND_US = 50_000;

    private Findings() {}

    /**
     * A variant's.
     *
     * @param predicted emulated; null if none was played
     * @param happened over sockets; null if none was played
     * @param broken rules broken, in all runs
     * @param behind runs over sockets whose player was behind
     */
    public record Line(String variant, Estimate predicted, Estimate happened, long broken, long behind) {
        /** How far the prediction is off, as a part of what happened; NaN where one of the two is missing. */
        public double error() {
            return predicted == null || happened == null ? Double.NaN : predicted.mean() / happened.mean() - 1;
        }
    }

    /** A line for each variant, in the experiment's order. */
    public static List<Line> lines(Experiment experiment, List<Row> rows) {
        List<Line> lines = new ArrayList<>();
        for (Experiment.Variant variant : experiment.variants()) {
            List<Row> of = rows.stream()
                    .filter(row -> row.variant().equals(variant.name()))
                    .toList();
            lines.add(new Line(
                    variant.name(),
                    inTime(of, row -> row.where() == Experiment.Where.EMULATOR),
                    inTime(of, row -> row.where() == Experiment.Where.LOOPBACK),
                    of.stream().mapToLong(Row::breaks).sum(),
                    of.stream().filter(row -> row.behindUs() > MOST_BEHIND_US).count()));
        }
        return lines;
    }

    private static Estimate inTime(List<Row> rows, Predicate<Row> which) {
        List<Double> values = rows.stream().filter(which).map(Row::inTime).toList();
        return values.isEmpty() ? null : Estimate.of(values);
    }

    /**
     * Where a series crosses the goal.
     *
     * @param predicted on the series, between two of its points on a straight line; NaN if it does not
     * @param happened the same over sockets
     */
    public record Crossing(String sweep, boolean more, double predicted, double happened) {
        /** How far the prediction is off, as a part of what happened. */
        public double error() {
            return predicted / happened - 1;
        }
    }

    /** For each series where it crosses the goal. Of servers it is the first count that holds. */
    public static List<Crossing> crossings(Experiment experiment, List<Line> lines) {
        Map<String, Line> byName = new LinkedHashMap<>();
        lines.forEach(line -> byName.put(line.variant(), line));
        LinkedHashSet<String> sweeps = new LinkedHashSet<>();
        experiment.variants().stream().filter(v -> !v.sweep().isEmpty()).forEach(v -> sweeps.add(v.sweep()));
        List<Crossing> found = new ArrayList<>();
        for (String sweep : sweeps) {
            List<Experiment.Variant> series = experiment.variants().stream()
                    .filter(v -> v.sweep().equals(sweep))
                    .sorted((a, b) -> Double.compare(a.at(), b.at()))
                    .toList();
            found.add(new Crossing(
                    sweep,
                    series.get(0).more(),
                    crossing(
                            experiment.goal(), series, v -> byName.get(v.name()).predicted()),
                    crossing(
                            experiment.goal(), series, v -> byName.get(v.name()).happened())));
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
            boolean more = series.get(i).more();
            if (more ? here.mean() < goal : here.mean() >= goal) {
                continue;
            }
            if (more) {
                return series.get(i).at();
            }
            if (i == 0) {
                return Double.NaN;
            }
            Estimate before = of.apply(series.get(i - 1));
            double part = (before.mean() - goal) / (before.mean() - here.mean());
            return series.get(i - 1).at()
                    + part * (series.get(i).at() - series.get(i - 1).at());
        }
        return Double.NaN;
    }

    /** As lines of a table that also reads as Markdown. */
    public static List<String> table(Experiment experiment, List<Row> rows) {
        List<Line> lines = lines(experiment, rows);
        List<String> out = new ArrayList<>();
        out.add("| scenario | predicted in time | happened | off by | rules broken | player behind |");
        out.add("| --- | --- | --- | --- | --- | --- |");
        for (Line line : lines) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %d | %d |",
                    line.variant(),
                    text(line.predicted()),
                    text(line.happened()),
                    percent(line.error()),
                    line.broken(),
                    line.behind()));
        }
        List<Crossing> crossings = crossings(experiment, lines);
        if (!crossings.isEmpty()) {
            out.add("");
            out.add(String.format(
                    Locale.ROOT, "| series | goal %.2f predicted at | happened at | off by |", experiment.goal()));
            out.add("| --- | --- | --- | --- |");
        }
        for (Crossing crossing : crossings) {
            out.add(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s |",
                    crossing.sweep(),
                    number(crossing.predicted()),
                    number(crossing.happened()),
                    crossing.more()
                            ? number(crossing.predicted() - crossing.happened()) + " servers"
                            : percent(crossing.error())));
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
