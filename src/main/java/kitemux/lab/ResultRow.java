package kitemux.lab;

import java.util.Locale;
import kitemux.fleet.RunResult;

/**
 * What is kept of a run, as a line of a table.
 *
 * @param variant its name
 * @param inTimeRatio worth answered within its aim, over the worth asked for
 * @param worstWindowRatio the same of the worst 10 s
 * @param servedRatio requests answered 200, in time or late, over all that were wanted
 * @param maxDelayUs the longest that the player was behind its clock; 0 where time is virtual
 */
public record ResultRow(
        String variant,
        Experiment.Environment environment,
        long seed,
        double inTimeRatio,
        double worstWindowRatio,
        double servedRatio,
        long p50Us,
        long p99Us,
        double triesPerRequest,
        long requests,
        long violations,
        long maxDelayUs) {

    /** The names of a line's fields, as a line. */
    public static final String HEADER = String.join(
            "\t",
            "variant",
            "where",
            "seed",
            "in_time",
            "worst_10s",
            "served",
            "p50_us",
            "p99_us",
            "tries_per_wish",
            "wishes",
            "rules_broken",
            "behind_us");

    private static final int FIELDS = 12;

    static ResultRow of(Experiment.Run run, RunResult result, long behindUs) {
        long served =
                result.classes().stream().mapToLong(c -> c.inTime() + c.late()).sum();
        return new ResultRow(
                run.variant().name(),
                run.where(),
                run.seed(),
                result.inTimeRatio(),
                result.worstWindowRatio(),
                result.requests() == 0 ? 0 : (double) served / result.requests(),
                result.p50Us(),
                result.p99Us(),
                result.triesPerRequest(),
                result.requests(),
                result.violationCount(),
                behindUs);
    }

    /** As a line without its end. */
    public String toLine() {
        return String.join(
                "\t",
                variant,
                environment.name().toLowerCase(Locale.ROOT),
                Long.toString(seed),
                Double.toString(inTimeRatio),
                Double.toString(worstWindowRatio),
                Double.toString(servedRatio),
                Long.toString(p50Us),
                Long.toString(p99Us),
                Double.toString(triesPerRequest),
                Long.toString(requests),
                Long.toString(violations),
                Long.toString(maxDelayUs));
    }

    /**
     * Reads a line.
     *
     * @throws IllegalArgumentException if it is none
     */
    public static ResultRow parse(String line) {
        String[] f = line.split("\t", -1);
        if (f.length != FIELDS) {
            throw new IllegalArgumentException("has " + f.length + " fields, not " + FIELDS);
        }
        return new ResultRow(
                f[0],
                Experiment.Environment.valueOf(f[1].toUpperCase(Locale.ROOT)),
                Long.parseLong(f[2]),
                Double.parseDouble(f[3]),
                Double.parseDouble(f[4]),
                Double.parseDouble(f[5]),
                Long.parseLong(f[6]),
                Long.parseLong(f[7]),
                Double.parseDouble(f[8]),
                Long.parseLong(f[9]),
                Long.parseLong(f[10]),
                Long.parseLong(f[11]));
    }

    /** Whether it is this run's. */
    boolean isResultOf(Experiment.Run run) {
        return variant.equals(run.variant().name()) && environment == run.where() && seed == run.seed();
    }
}
