package kitemux.lab;

import java.util.Locale;
import kitemux.fleet.RunResult;

/**
 * What is kept of a run, as a line of a table.
 *
 * @param variant its name
 * @param inTime worth answered within its aim, over the worth asked for
 * @param worstWindow the same of the worst 10 s
 * @param served requests answered 200, in time or late, over all that were wanted
 * @param behindUs the longest that the player was behind its clock; 0 where time is virtual
 */
public record Row(
        String variant,
        Experiment.Where where,
        long seed,
        double inTime,
        double worstWindow,
        double served,
        long p50Us,
        long p99Us,
        double triesPerWish,
        long wishes,
        long breaks,
        long behindUs) {

    /** The names of a line's fields, as a line. */
    public static final String HEAD = String.join(
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

    static Row of(Experiment.Run run, RunResult result, long behindUs) {
        long served =
                result.classes().stream().mapToLong(c -> c.inTime() + c.late()).sum();
        return new Row(
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
    public String line() {
        return String.join(
                "\t",
                variant,
                where.name().toLowerCase(Locale.ROOT),
                Long.toString(seed),
                Double.toString(inTime),
                Double.toString(worstWindow),
                Double.toString(served),
                Long.toString(p50Us),
                Long.toString(p99Us),
                Double.toString(triesPerWish),
                Long.toString(wishes),
                Long.toString(breaks),
                Long.toString(behindUs));
    }

    /**
     * Reads a line.
     *
     * @throws IllegalArgumentException if it is none
     */
    public static Row read(String line) {
        String[] f = line.split("\t", -1);
        if (f.length != FIELDS) {
            throw new IllegalArgumentException("has " + f.length + " fields, not " + FIELDS);
        }
        return new Row(
                f[0],
                Experiment.Where.valueOf(f[1].toUpperCase(Locale.ROOT)),
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
    boolean isOf(Experiment.Run run) {
        return variant.equals(run.variant().name()) && where == run.where() && seed == run.seed();
    }
}
