package kitemux.ops;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kitemux.Balancer.RequestClass;
import kitemux.engine.ConnectionLoss;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.net.BufferUsage;
import kitemux.net.ByteBudget;
import kitemux.net.ClientUsage;
import kitemux.net.HeapUsage;
import kitemux.net.NodeUsage;

/** Counts the outcomes of requests since the start of the process. It keeps one map entry for each open request. */
final class RequestMetrics implements Observer {
    private static final int SUCCESS = 0;
    private static final int OVERLOAD = 1;
    private static final int ERROR = 2;
    private static final List<String> OUTCOMES = List.of("success", "overload", "error");

    private final List<RequestClass> classes;
    private final long[][] replyCounts;
    /** The class index of each request that has not been answered yet. */
    private final Map<Long, Integer> openRequestClasses = new HashMap<>();

    /** Number of attempts that were not written, by the ordinal of the reason. */
    private final long[] withheldCounts = new long[WithheldReason.values().length];

    /** Number of connections lost under a written attempt, by the ordinal of the cause. */
    private final long[] lossCounts = new long[ConnectionLoss.Cause.values().length];

    private long successfulReloads;
    private long failedReloads;

    RequestMetrics(List<RequestClass> classes) {
        this.classes = classes;
        replyCounts = new long[classes.size()][OUTCOMES.size()];
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        openRequestClasses.put(id, request.classIndex());
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        int classIndex = openRequestClasses.remove(id);
        switch (answer) {
            case SERVED -> replyCounts[classIndex][SUCCESS]++;
            case REFUSED -> replyCounts[classIndex][OVERLOAD]++;
            case FAILED, BROKEN -> replyCounts[classIndex][ERROR]++;
            case LEFT -> {}
        }
    }

    @Override
    public void onAttemptWithheld(long id, int attempt, WithheldReason reason) {
        withheldCounts[reason.ordinal()]++;
    }

    @Override
    public void onConnectionLost(long id, int attempt, ConnectionLoss loss) {
        lossCounts[loss.cause().ordinal()]++;
    }

    /** Counts a request of this class that was rejected before it was processed. */
    void recordRejectedRequest(int classIndex) {
        replyCounts[classIndex][OVERLOAD]++;
    }

    /** Counts a reload of the configuration, accepted or not. */
    void recordReload(boolean accepted) {
        if (accepted) {
            successfulReloads++;
        } else {
            failedReloads++;
        }
    }

    /**
     * Formats the metrics, one per line, as name=value.
     *
     * @param dispatches attempts written in full to servers
     * @param targets servers on the list
     * @param disabled servers on the list that the node does not use
     * @param usage what the node holds and how it keeps up
     */
    String format(long dispatches, int targets, int disabled, NodeUsage usage) {
        StringBuilder text = new StringBuilder();
        for (int classIndex = 0; classIndex < replyCounts.length; classIndex++) {
            for (int outcome = 0; outcome < OUTCOMES.size(); outcome++) {
                appendLine(
                        text,
                        "replies." + classes.get(classIndex).name() + "." + OUTCOMES.get(outcome),
                        replyCounts[classIndex][outcome]);
            }
        }
        appendLine(text, "dispatches", dispatches);
        for (WithheldReason reason : WithheldReason.values()) {
            appendLine(text, "withheld." + reason.name().toLowerCase(Locale.ROOT), withheldCounts[reason.ordinal()]);
        }
        for (ConnectionLoss.Cause cause : ConnectionLoss.Cause.values()) {
            appendLine(text, "lost." + cause.name().toLowerCase(Locale.ROOT), lossCounts[cause.ordinal()]);
        }
        appendLine(text, "concurrent", openRequestClasses.size());
        appendLine(text, "targets", targets);
        appendLine(text, "targets_disabled", disabled);
        appendLine(text, "reload_success", successfulReloads);
        appendLine(text, "reload_failure", failedReloads);
        appendBuffers(text, usage.buffers());
        usage.budgets().forEach(budget -> appendBudget(text, budget));
        appendLine(text, "sockets.open", usage.sockets().openCount());
        appendLine(text, "sockets.open_bytes", usage.sockets().openBytes());
        appendLine(text, "sockets.limit_bytes", usage.sockets().limitBytes());
        appendHeap(text, usage.heap());
        appendClients(text, usage.clients());
        appendLine(text, "loop.stalls", usage.loop().stallCount());
        appendLine(text, "loop.longest_stall_us", usage.loop().longestStallUs());
        return text.toString();
    }

    private static void appendClients(StringBuilder text, ClientUsage clients) {
        appendLine(text, "clients.connections", clients.connectionCount());
        appendLine(text, "clients.paused", clients.pausedCount());
        clients.closes().forEach(close -> appendLine(text, "clients.closed." + close.reason(), close.count()));
    }

    private static void appendBudget(StringBuilder text, ByteBudget.Usage budget) {
        String prefix = "budgets." + budget.name();
        appendLine(text, prefix + ".used_bytes", budget.usedBytes());
        appendLine(text, prefix + ".peak_bytes", budget.peakBytes());
        appendLine(text, prefix + ".limit_bytes", budget.limitBytes());
        appendLine(text, prefix + ".rejections", budget.rejectionCount());
    }

    private static void appendHeap(StringBuilder text, HeapUsage heap) {
        appendLine(text, "heap.used_bytes", heap.usedBytes());
        appendLine(text, "heap.after_collection_bytes", heap.afterCollectionBytes());
        appendLine(text, "heap.limit_bytes", heap.limitBytes());
        appendLine(text, "heap.collections", heap.collectionCount());
        appendLine(text, "heap.collection_ms", heap.collectionMs());
    }

    private static void appendBuffers(StringBuilder text, BufferUsage buffers) {
        appendLine(text, "buffers.direct_bytes", buffers.directBytes());
        appendLine(text, "buffers.response_bytes", buffers.responseBytes());
        appendLine(text, "buffers.unsent_bytes", buffers.unsentBytes());
        appendLine(text, "buffers.request_bytes", buffers.requestBytes());
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("node.").append(name).append('=').append(value).append('\n');
    }
}
