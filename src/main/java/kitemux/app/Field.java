package kitemux.app;

import java.util.List;

/**
 * A field of a description: what reading, checking, the reference, the schema and {@code explain} are made
 * from.
 *
 * @param block where it stands; empty for the top
 * @param kind what it holds
 * @param defaultValue what holds where it is not given; null where it must be
 * @param min and {@code most}: within which a number must lie; times are microseconds
 * @param allowedValues that it may be, where its kind is a word
 * @param description what it is for and, where that is no matter of course, why it is bounded
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

    /** What a field holds. */
    public enum Kind {
        /** A text. */
        TEXT("text"),
        /** A list of texts. */
        TEXT_LIST("list of texts"),
        /** An IPv4 address and a port. */
        ADDRESS("address:port"),
        /** A time with its unit. */
        DURATION("time"),
        /** A number. */
        NUMBER("number"),
        /** A whole number. */
        INTEGER("whole number"),
        /** True or false. */
        BOOLEAN("true or false"),
        /** One of some words. */
        ENUM("word");

        private final String displayName;

        Kind(String shown) {
            this.displayName = shown;
        }

        /** In words. */
        public String displayName() {
            return displayName;
        }
    }

    /** How {@code explain} and faults name it, such as {@code limits.attempts}. */
    public String key() {
        return block.isEmpty() ? name : block + "." + name;
    }

    /** Its range in words; empty where it has none. */
    public String range() {
        if (kind == Kind.ENUM) {
            return String.join(", ", allowedValues);
        }
        if (Double.isInfinite(min)) {
            return "";
        }
        String from = min == Double.MIN_NORMAL
                ? "above 0"
                : Double.isInfinite(max) ? shown(min) + " or more" : "from " + shown(min);
        return Double.isInfinite(max) ? from : from + (min == Double.MIN_NORMAL ? " and up to " : " to ") + shown(max);
    }

    /** The rule that is broken where it lies beyond its range. */
    Rule rangeRule() {
        if (key().equals("quota") || key().equals("tenant.share")) {
            return Rule.SHARES;
        }
        return kind == Kind.DURATION ? Rule.TIMES : Rule.LIMITS;
    }

    private String shown(double value) {
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
