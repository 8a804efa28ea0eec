package kitemux.orders;

import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** File names of a journal's segments and indexes. */
final class SegmentNames {
    /** Suffix that is appended to the name of a file that was set aside. */
    static final String SET_ASIDE_SUFFIX = ".aside";

    private static final Pattern SEGMENT_PATTERN = Pattern.compile("([0-9]{16})\\.orders");

    private SegmentNames() {}

    /** Returns the file name of the segment with this sequence number. */
    static String segmentName(long sequence) {
        String digits = Long.toString(sequence);
        return "0".repeat(16 - digits.length()) + digits + ".orders";
    }

    /** Returns the file name of the index of the segment with this sequence number. */
    static String indexName(long sequence) {
        return segmentName(sequence).replace(".orders", ".index");
    }

    /** Returns the sequence numbers of the segments among these files, in ascending order. */
    static List<Long> sequences(Collection<String> names) {
        return names.stream()
                .map(SEGMENT_PATTERN::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)))
                .sorted()
                .toList();
    }
}
