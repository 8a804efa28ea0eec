package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Which node has what in force, by what nodes reported to this keeper, and merged with what others heard. */
public final class Inventory {
    private final Map<Integer, Heard> heard = new TreeMap<>();
    private long refusedForRoom;

    private record Heard(Report report, long atUs) {}

    /** A report, and how long ago it came, in microseconds: clocks of keepers are not compared. */
    public record Row(Report report, long ageUs) {}

    /** What counts for a node. */
    public enum Standing {
        UNHEARD,
        BEHIND,
        IN_FORCE,
        WAITS_RESTART,
        REFUSED,
        SILENT
    }

    /** Reports of nodes that found no room. */
    public long refusedForRoom() {
        return refusedForRoom;
    }

    /** A node's report came. One of an earlier life of that number does not count. */
    public void reported(long nowUs, Report report) {
        Heard last = heard.get(report.node());
        if (last == null && heard.size() >= Terms.MOST_NODES) {
            refusedForRoom++;
        } else if (last == null || report.life() >= last.report.life()) {
            heard.put(report.node(), new Heard(report, nowUs));
        }
    }

    /** All that is known here, for other keepers. */
    public List<Row> rows(long nowUs) {
        return heard.values().stream()
                .map(h -> new Row(h.report, nowUs - h.atUs))
                .toList();
    }

    /** Rows of several keepers as one a node: the highest life counts, then the newest report. */
    public static Map<Integer, Row> merged(List<List<Row>> all) {
        Map<Integer, Row> best = new TreeMap<>();
        for (List<Row> some : all) {
            for (Row row : some) {
                best.merge(
                        row.report.node(),
                        row,
                        (a, b) -> a.report.life() != b.report.life()
                                ? a.report.life() > b.report.life() ? a : b
                                : a.ageUs <= b.ageUs ? a : b);
            }
        }
        return best;
    }

    /** How a node stands to a version; {@code row} null where nothing was heard. */
    public static Standing standing(Terms terms, Row row, long rev) {
        if (row == null) {
            return Standing.UNHEARD;
        }
        if (row.ageUs >= terms.silentUs()) {
            return Standing.SILENT;
        }
        Report report = row.report;
        if (report.rev() >= rev) {
            return report.waitRestart().isEmpty() ? Standing.IN_FORCE : Standing.WAITS_RESTART;
        }
        return report.refused().stream().anyMatch(refusal -> refusal.rev() >= rev) ? Standing.REFUSED : Standing.BEHIND;
    }

    /** Numbers of nodes by how they stand to a version, of a fleet of so many; each node once. */
    public static Map<Standing, List<Integer>> status(Terms terms, Map<Integer, Row> merged, int nodes, long rev) {
        Map<Standing, List<Integer>> found = new TreeMap<>();
        for (Standing each : Standing.values()) {
            found.put(each, new ArrayList<>());
        }
        for (int node = 0; node < nodes; node++) {
            found.get(standing(terms, merged.get(node), rev)).add(node);
        }
        return found;
    }
}
