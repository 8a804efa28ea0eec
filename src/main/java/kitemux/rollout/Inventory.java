package kitemux.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration that each node has in force, according to the reports that this keeper received.
 * Inventories of several keepers can be merged.
 */
public final class Inventory {
    private final Map<Integer, ReceivedReport> receivedByNode = new TreeMap<>();
    private long rejectedReports;

    private record ReceivedReport(Report report, long receivedAtUs) {}

    /**
     * A report and its age in microseconds. Ages are exchanged instead of times, since the clocks of
     * keepers are not synchronised.
     */
    public record Row(Report report, long ageUs) {}

    /** The state of a node with regard to a version. */
    public enum NodeStatus {
        /** No report of the node was received. */
        UNHEARD,
        /** The node has an earlier version in force. */
        BEHIND,
        /** The node has the version or a later one in force. */
        IN_FORCE,
        /** The node has the version, but some of its values take effect only after a restart. */
        WAITS_RESTART,
        /** The node rejects the version. */
        REFUSED,
        /** The age of the last report of the node has reached {@link ProtocolParameters#reportTimeoutUs}. */
        SILENT
    }

    /**
     * Returns the number of reports rejected because {@link ProtocolParameters#MAX_NODE_COUNT} nodes are
     * known already.
     */
    public long rejectedReports() {
        return rejectedReports;
    }

    /** Records a report of a node. A report of an earlier incarnation of that node is ignored. */
    public void addReport(long nowUs, Report report) {
        ReceivedReport previous = receivedByNode.get(report.node());
        if (previous == null && receivedByNode.size() >= ProtocolParameters.MAX_NODE_COUNT) {
            rejectedReports++;
        } else if (previous == null || report.incarnation() >= previous.report.incarnation()) {
            receivedByNode.put(report.node(), new ReceivedReport(report, nowUs));
        }
    }

    /** Returns all reports with their ages, to be sent to other keepers. */
    public List<Row> rows(long nowUs) {
        return receivedByNode.values().stream()
                .map(received -> new Row(received.report, nowUs - received.receivedAtUs))
                .toList();
    }

    /**
     * Merges the rows of several keepers into one row per node: that of the highest incarnation, and of two
     * of the same incarnation the newer one.
     */
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

    /**
     * Returns the state of a node with regard to a version; {@code row} is null if no report was received.
     */
    public static NodeStatus statusOf(ProtocolParameters parameters, Row row, long rev) {
        if (row == null) {
            return NodeStatus.UNHEARD;
        }
        if (row.ageUs >= parameters.reportTimeoutUs()) {
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

    /**
     * Groups the nodes 0 to {@code nodeCount - 1} by their state with regard to a version. Each node is
     * listed once.
     */
    public static Map<NodeStatus, List<Integer>> nodesByStatus(
            ProtocolParameters parameters, Map<Integer, Row> rowsByNode, int nodeCount, long rev) {
        Map<NodeStatus, List<Integer>> nodesByStatus = new TreeMap<>();
        for (NodeStatus status : NodeStatus.values()) {
            nodesByStatus.put(status, new ArrayList<>());
        }
        for (int node = 0; node < nodeCount; node++) {
            nodesByStatus.get(statusOf(parameters, rowsByNode.get(node), rev)).add(node);
        }
        return nodesByStatus;
    }
}
