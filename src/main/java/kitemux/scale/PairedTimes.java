package kitemux.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Times of requests at one rate, in slices that take turns: without a node, and through one while this or
 * that happens. A slice is held against the one without a node of its own turn, and all slices of a way
 * together against all without, as one slice has few requests beyond its 99th percentile.
 */
final class PairedTimes {
    /** The way of slices without a node. */
    static final String DIRECT = "direct";
    /** What a node may add for 99 in 100. */
    private static final long BUDGET_US = 2_100;

    private static final double P99 = 99;

    private final Map<String, List<Asker.Slice>> slices = new LinkedHashMap<>();

    /**
     * Has no slice yet.
     *
     * @param ways in the order of their rows; slices come in any order
     */
    PairedTimes(List<String> ways) {
        ways.forEach(way -> slices.put(way, new ArrayList<>()));
    }

    /** The next slice of a way; each turn adds one to all ways. */
    void add(String way, Asker.Slice slice) {
        slices.get(way).add(slice);
    }

    /** Puts a row for each way through a node, as far as it was measured. */
    void put(Results into, String prefix) {
        List<Asker.Slice> direct = slices.get(DIRECT);
        Asker.Slice without = sum(direct);
        slices.forEach((way, through) -> {
            if (!way.equals(DIRECT) && !through.isEmpty()) {
                row(into, prefix + way, direct, without, through);
            }
        });
    }

    private static void row(
            Results into, String row, List<Asker.Slice> direct, Asker.Slice without, List<Asker.Slice> through) {
        Asker.Slice with = sum(through);
        double least = Double.POSITIVE_INFINITY;
        double most = Double.NEGATIVE_INFINITY;
        for (int turn = 0; turn < through.size(); turn++) {
            double added = percentileMs(through.get(turn), P99) - percentileMs(direct.get(turn), P99);
            least = Math.min(least, added);
            most = Math.max(most, added);
        }
        into.put(row, "direct_ms", percentileMs(without, P99));
        into.put(row, "node_ms", percentileMs(with, P99));
        into.put(row, "added_ms", percentileMs(with, P99) - percentileMs(without, P99));
        into.put(row, "added_least_ms", least);
        into.put(row, "added_most_ms", most);
        into.put(row, "added_median_ms", percentileMs(with, 50) - percentileMs(without, 50));
        long late = over(with, without.times().getValueAtPercentile(P99) + BUDGET_US);
        long all = with.times().getTotalCount() + with.others();
        into.put(row, "over_percent", 100.0 * late / Math.max(1, all));
        into.put(row, "most_ms", with.times().getMaxValue() / 1e3);
        into.put(row, "answers", with.times().getTotalCount());
        into.put(row, "others", with.others());
    }

    private static Asker.Slice sum(List<Asker.Slice> all) {
        return all.stream().reduce(new Asker.Slice(Asker.times(), 0, 0), Asker.Slice::and);
    }

    private static double percentileMs(Asker.Slice slice, double percentile) {
        return slice.times().getValueAtPercentile(percentile) / 1e3;
    }

    /** Requests that took longer, or had no answer that counts. */
    private static long over(Asker.Slice slice, long us) {
        Histogram times = slice.times();
        return times.getTotalCount() - times.getCountBetweenValues(0, us) + slice.others();
    }
}
