package kitemux.app;

import java.util.List;

/**
 * A field of a description: what reading, checking, the reference, the schema and {@code explain} are made
 * from.
 *
 * @param block where it stands; empty for the top
 * @param kind what it holds
 * @param otherwise what holds where it is not given; null where it must be
 * @param least and {@code most}: within which a number must lie; times are microseconds
 * @param words that it may be, where its kind is a word
 * @param why what it is for and, where that is no matter of course, why it is bounded
 */
public record Field(
        String block,
        String name,
        Kind kind,
        String otherwise,
        double least,
        double most,
        List<String> words,
        String why) {

    /** What a field holds. */
    public enum Kind {
        /** A text. */
        TEXT("text"),
        /** A list of texts. */
        TEXTS("list of texts"),
        /** An IPv4 address and a port. */
        ADDRESS("address:port"),
        /** A time with its unit. */
        TIME("time"),
        /** A number. */
        NUMBER("number"),
        /** A whole number. */
        WHOLE("whole number"),
        /** True or false. */
        YES("true or false"),
        /** One of some words. */
        WORD("word");

        private final String shown;

        Kind(String shown) {
            this.shown = shown;
        }

        /** In words. */
        public String shown() {
            return shown;
        }
    }

    /** How {@code explain} and faults name it, such as {@code limits.attempts}. */
    public String key() {
        return block.isEmpty() ? name : block + "." + name;
    }

    /** Its range in words; empty where it has none. */
    public String range() {
        if (kind == Kind.WORD) {
            return String.join(", ", words);
        }
        if (Double.isInfinite(least)) {
            return "";
        }
        String from = least == Double.MIN_NORMAL
                ? "above 0"
                : Double.isInfinite(most) ? shown(least) + " or more" : "from " + shown(least);
        return Double.isInfinite(most)
                ? from
                : from + (least == Double.MIN_NORMAL ? " and up to " : " to ") + shown(most);
    }

    /** The rule that is broken where it lies beyond its range. */
    Rule beyond() {
        if (key().equals("quota") || key().equals("tenant.share")) {
            return Rule.SHARES;
        }
        return kind == Kind.TIME ? Rule.TIMES : Rule.LIMITS;
    }

    private String shown(double value) {
        if (kind != Kind.TIME) {
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
