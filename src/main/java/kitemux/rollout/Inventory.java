package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Which node has what in force, by what nodes reported to this keeper, and merged with what others heard. */
public final class Inventory {
    private final Map<Integer, ReceivedReport> receivedByNode = new TreeMap<>();
    private long rejectedReports;

    private record ReceivedReport(Report report, long receivedAtUs) {}

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
        ReceivedReport previous = receivedByNode.get(report.node());
        if (previous == null && receivedByNode.size() >= ProtocolParameters.MAX_NODE_COUNT) {
            rejectedReports++;
        } else if (previous == null || report.incarnation() >= previous.report.incarnation()) {
            receivedByNode.put(report.node(), new ReceivedReport(report, nowUs));
        }
    }

    /** All that is known here, for other keepers. */
    public List<Row> rows(long nowUs) {
        return receivedByNode.values().stream()
                .map(received -> new Row(received.report, nowUs - received.receivedAtUs))
                .toList();
    }

    /** Rows of several keepers as one a node: the highest life counts, then the newest report. */
    public static Map<Integer, Row> merge(List<List<Row>> rowsByKeeper) {
        Map<Integer, Row> newestByNode = new TreeMap<>();
        for (List<Row> rows : rowsByKeeper) {
            for (Row row : rows) {
                newestByNode.merge(
                        row.report.node(),
                        row,
                        (a, b) -> a.report.incarnation() != b.report.incarnation()
                                ? a.report.incarnation() > b.report.incarnation() ? a : b
                                : a.ageUs <= b.ageUs ? a : b);
            }
        }
        return newestByNode;
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
        return report.rejections().stream().anyMatch(rejection -> rejection.rev() >= rev)
                ? NodeStatus.REFUSED
                : NodeStatus.BEHIND;
    }

    /** Numbers of nodes by how they stand to a version, of a fleet of so many; each node once. */
    public static Map<NodeStatus, List<Integer>> nodesByStatus(
            ProtocolParameters terms, Map<Integer, Row> rowsByNode, int nodeCount, long rev) {
        Map<NodeStatus, List<Integer>> nodesByStatus = new TreeMap<>();
        for (NodeStatus status : NodeStatus.values()) {
            nodesByStatus.put(status, new ArrayList<>());
        }
        for (int node = 0; node < nodeCount; node++) {
            nodesByStatus.get(statusOf(terms, rowsByNode.get(node), rev)).add(node);
        }
        return nodesByStatus;
    }
}
