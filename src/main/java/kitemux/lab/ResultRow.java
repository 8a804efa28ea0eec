package kitemux.lab;

import java.util.Locale;
import kitemux.fleet.RunResult;

/**
 * The result of a run, stored as one line of a table.
 *
 * @param variant the name of the variant
 * @param inTimeRatio the worth answered within its target latency, relative to the worth requested
 * @param worstWindowRatio the lowest such ratio of any 10 s window
 * @param servedRatio the requests answered 200, in time or late, relative to all requests
 * @param p50Us the median latency in microseconds
 * @param p99Us the 99th percentile of the latency in microseconds
 * @param triesPerRequest the mean number of tries that clients made for a request
 * @param requests the number of requests
 * @param violations the number of broken rules
 * @param maxDelayUs the longest delay of the run behind its clock in microseconds; 0 in virtual time
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

    /** The header line of the table. */
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

    private static final int FIELD_COUNT = 12;

    static ResultRow of(Experiment.Run run, RunResult result, long maxDelayUs) {
        long served =
                result.classes().stream().mapToLong(c -> c.inTime() + c.late()).sum();
        return new ResultRow(
                run.variant().name(),
                run.environment(),
                run.seed(),
                result.inTimeRatio(),
                result.worstWindowRatio(),
                result.requests() == 0 ? 0 : (double) served / result.requests(),
                result.p50Us(),
                result.p99Us(),
                result.triesPerRequest(),
                result.requests(),
                result.violationCount(),
                maxDelayUs);
    }

    /** Returns the row as a line without a line terminator. */
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
     * Parses a line.
     *
     * @throws IllegalArgumentException if the line is not a valid row
     */
    public static ResultRow parse(String line) {
        String[] fields = line.split("\t", -1);
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException("has " + fields.length + " fields, not " + FIELD_COUNT);
        }
        return new ResultRow(
                fields[0],
                Experiment.Environment.valueOf(fields[1].toUpperCase(Locale.ROOT)),
                Long.parseLong(fields[2]),
                Double.parseDouble(fields[3]),
                Double.parseDouble(fields[4]),
                Double.parseDouble(fields[5]),
                Long.parseLong(fields[6]),
                Long.parseLong(fields[7]),
                Double.parseDouble(fields[8]),
                Long.parseLong(fields[9]),
                Long.parseLong(fields[10]),
                Long.parseLong(fields[11]));
    }

    /** Returns whether this is the result of the run. */
    boolean isResultOf(Experiment.Run run) {
        return variant.equals(run.variant().name()) && environment == run.environment() && seed == run.seed();
    }
}
