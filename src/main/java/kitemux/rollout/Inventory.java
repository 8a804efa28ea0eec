package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Which node has what in force, by what nodes reported to this keeper, and merged with what others heard. */
public final class Inventory {
    private final Map<Integer, Heard> heard = new TreeMap<>();
    private long rejectedReports;

    private record Heard(Report report, long atUs) {}

    /** A report, and how long ago it came, in microseconds: clocks of keepers are not compared. */
    public record Row(Report report, long ageUs) {}

    /** What counts for a node. */
    public enum NodeStatus {
        UNHEARD,
        BEHIND,
        IN_FORCE,
        WAITS_RESTART,
        REFUSED,
        SILENT
    }

    /** Reports of nodes that found no room. */
    public long rejectedReports() {
        return rejectedReports;
    }

    /** A node's report came. One of an earlier life of that number does not count. */
    public void addReport(long nowUs, Report report) {
        Heard last = heard.get(report.node());
        if (last == null && heard.size() >= ProtocolParameters.MAX_NODE_COUNT) {
            rejectedReports++;
        } else if (last == null || report.incarnation() >= last.report.incarnation()) {
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
    public static Map<Integer, Row> merge(List<List<Row>> all) {
        Map<Integer, Row> best = new TreeMap<>();
        for (List<Row> some : all) {
            for (Row row : some) {
                best.merge(
                        row.report.node(),
                        row,
                        (a, b) -> a.report.incarnation() != b.report.incarnation()
                                ? a.report.incarnation() > b.report.incarnation() ? a : b
                                : a.ageUs <= b.ageUs ? a : b);
            }
        }
        return best;
    }

    /** How a node stands to a version; {@code row} null where nothing was heard. */
    public static NodeStatus statusOf(ProtocolParameters terms, Row row, long rev) {
        if (row == null) {
            return NodeStatus.UNHEARD;
        }
        if (row.ageUs >= terms.reportTimeoutUs()) {
            return NodeStatus.SILENT;
        }
        Report report = row.report;
        if (report.rev() >= rev) {
            return report.pendingRestart().isEmpty() ? NodeStatus.IN_FORCE : NodeStatus.WAITS_RESTART;
        }
        return report.rejections().stream().anyMatch(refusal -> refusal.rev() >= rev)
                ? NodeStatus.REFUSED
                : NodeStatus.BEHIND;
    }

    /** Numbers of nodes by how they stand to a version, of a fleet of so many; each node once. */
    public static Map<NodeStatus, List<Integer>> nodesByStatus(
            ProtocolParameters terms, Map<Integer, Row> merged, int nodes, long rev) {
        Map<NodeStatus, List<Integer>> found = new TreeMap<>();
        for (NodeStatus each : NodeStatus.values()) {
            found.put(each, new ArrayList<>());
        }
        for (int node = 0; node < nodes; node++) {
            found.get(statusOf(terms, merged.get(node), rev)).add(node);
        }
        return found;
    }
}
