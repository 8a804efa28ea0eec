package kitemux.app;

import java.util.List;

/**
 * Definition of a field of a description. Parsing, range checks, the reference page, the JSON schema and
 * {@code config explain} are all based on it.
 *
 * @param block type of the block that contains the field; empty for the top level
 * @param kind type of the value
 * @param defaultValue value, as text, if the field is not given; empty for none, null if the field is required
 * @param min smallest allowed number, with durations in microseconds; {@link Double#MIN_NORMAL} for any number above
 *     0, negative infinity for no bound
 * @param max largest allowed number, with durations in microseconds; infinity for no bound
 * @param allowedValues the allowed words of a field of the kind {@link Kind#ENUM}; otherwise empty
 * @param description purpose of the field and, where it is not obvious, the reason for its range
 */
public record Field(
        String block,
        String name,
        Kind kind,
        String defaultValue,
        double min,
        double max,
        List<String> allowedValues,
        String description) {

    /** Type of a field's value. */
    public enum Kind {
        /** A text. */
        TEXT("text"),
        /** A list of texts. */
        TEXT_LIST("list of texts"),
        /** An IPv4 address and a port. */
        ADDRESS("address:port"),
        /** A duration with its unit. */
        DURATION("time"),
        /** A number. */
        NUMBER("number"),
        /** A whole number. */
        INTEGER("whole number"),
        /** Either true or false. */
        BOOLEAN("true or false"),
        /** One of a fixed set of words. */
        ENUM("word");

        private final String displayName;

        Kind(String displayName) {
            this.displayName = displayName;
        }

        /** The name of the kind in the reference page and in {@code config explain}. */
        public String displayName() {
            return displayName;
        }
    }

    /** The block and the name of the field, such as {@code limits.attempts}. */
    public String key() {
        return block.isEmpty() ? name : block + "." + name;
    }

    /** The range or the allowed values in words; empty if there is no restriction. */
    public String range() {
        if (kind == Kind.ENUM) {
            return String.join(", ", allowedValues);
        }
        if (Double.isInfinite(min)) {
            return "";
        }
        String from = min == Double.MIN_NORMAL
                ? "above 0"
                : Double.isInfinite(max) ? format(min) + " or more" : "from " + format(min);
        return Double.isInfinite(max) ? from : from + (min == Double.MIN_NORMAL ? " and up to " : " to ") + format(max);
    }

    /** The rule that a value outside the range violates. */
    Rule rangeRule() {
        if (key().equals("quota") || key().equals("tenant.share")) {
            return Rule.SHARES;
        }
        return kind == Kind.DURATION ? Rule.TIMES : Rule.LIMITS;
    }

    private String format(double value) {
        if (kind != Kind.DURATION) {
            return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
        }
        long us = (long) value;
        if (us > 0 && us % 3_600_000_000L == 0) {
            return us / 3_600_000_000L + "h";
        }
        if (us > 0 && us % 1_000_000 == 0) {
            return us / 1_000_000 + "s";
        }
        return us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }
}
