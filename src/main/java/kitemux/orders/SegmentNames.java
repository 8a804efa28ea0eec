package kitemux.orders;

import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the files of a journal are called. */
final class SegmentNames {
    /** Behind the name of a file that was set aside. */
    static final String ASIDE = ".aside";

    private static final Pattern SEGMENT = Pattern.compile("([0-9]{16})\\.orders");

    private SegmentNames() {}

    static String of(long sequence) {
        String digits = Long.toString(sequence);
        return "0".repeat(16 - digits.length()) + digits + ".orders";
    }

    /** The index of a segment. */
    static String index(long sequence) {
        return of(sequence).replace(".orders", ".index");
    }

    /** The numbers of the segments among these files, in their order. */
    static List<Long> sequences(Collection<String> names) {
        return names.stream()
                .map(SEGMENT::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)))
                .sorted()
                .toList();
    }
}
