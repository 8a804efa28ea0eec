package kitemux.ops;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import kitemux.Balancer.RequestClass;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.net.HostList;
import kitemux.net.NodeUsage;
import kitemux.net.SocketBudget;

/**
 * The management interface of a running node: it drains and restores servers, drains clients, and reports readiness and
 * metrics. All methods but {@link #isReplaced} are called on the event loop, or before it runs.
 */
public final class Operations implements OperatorServer.CallHandler {
    private static final String PATH_PREFIX = "/ops/";
    private static final String SERVER_DOWN_PREFIX = PATH_PREFIX + "servers/down/";
    private static final String SERVER_UP_PREFIX = PATH_PREFIX + "servers/up/";

    private final NodeControl nodeControl;
    private final Executor loopExecutor;
    private final Clock clock;
    private final Log log;
    private final ServerOverrides serverOverrides = new ServerOverrides();
    private final RequestMetrics metrics;
    private final SharedFolder sharedFolder;
    private final OperatorServer server;
    private boolean areClientsDrained;
    /** Whether a caller has been told that this process takes clients. */
    private boolean hasSaidReady;
    /** Whether clients are drained by a call at this process after it had said that it takes clients. */
    private boolean isDrainedAfterReady;

    /** The node as the management interface uses it. */
    public interface NodeControl {
        /** Applies changed entries of the server list. */
        void updateServers(List<HostList.Host> hosts);

        /** Takes a server list that another process of the node has shared. Called on a thread of its own. */
        void receiveServerList(byte[] content);

        /** Starts or stops draining clients. */
        void setDraining(boolean draining);

        /** Returns whether clients can connect, and will be able to. */
        boolean isAcceptingClients();

        /** Returns the number of attempts written in full to servers. */
        long dispatchCount();

        /** Returns the number of servers that the balancer has ejected. */
        int ejectedServerCount();

        /** Returns what the node holds and how it keeps up. */
        NodeUsage usage();
    }

    /**
     * Creates the management interface. It accepts no calls before {@link #listen}.
     *
     * @param stateFolder folder in which processes of the node share which servers are drained
     * @throws IOException if the folder cannot be used
     */
    public Operations(
            NodeControl nodeControl,
            EventLoopGroup loop,
            Executor loopExecutor,
            Clock clock,
            SocketBudget sockets,
            List<RequestClass> classes,
            Path stateFolder,
            InetSocketAddress clientAddress,
            Log log)
            throws IOException {
        this.nodeControl = nodeControl;
        this.loopExecutor = loopExecutor;
        this.clock = clock;
        this.log = log;
        metrics = new RequestMetrics(classes);
        sharedFolder = new SharedFolder(stateFolder, clientAddress, new FolderListener());
        serverOverrides.setDrained(sharedFolder.initiallyDrained(), 0);
        serverOverrides.addPastDrains(sharedFolder.initialPastDrains());
        server = new OperatorServer(loop, sockets, this);
    }

    /** Begins with the drain of clients that another process of the node has left. */
    public void applyInitialDrain() {
        if (sharedFolder.areClientsInitiallyDrained()) {
            setClientsDrained(true);
        }
    }

    /** Passes changes in the folder on to the event loop. */
    private final class FolderListener implements SharedFolder.Listener {
        @Override
        public void onServersDrained(Map<String, Long> drainedSinceUs) {
            loopExecutor.execute(() -> setDrainedServers(drainedSinceUs));
        }

        @Override
        public void onClientsDrained(boolean isDrained) {
            loopExecutor.execute(() -> setClientsDrained(isDrained));
        }

        @Override
        public void onServerList(byte[] content) {
            nodeControl.receiveServerList(content);
        }

        @Override
        public void onProblem(String problem) {
            log.info("shared state: " + problem);
        }
    }

    /** Returns the server list that another process of the node had shared before this one started, or null. */
    public byte[] initialServerList() {
        return sharedFolder.initialServerList();
    }

    /**
     * Shares a server list with the other processes of the node.
     *
     * @param encode encodes the list; called on another thread
     * @param onDone called on that thread once the list is shared, or cannot be
     */
    public void shareServerList(Supplier<byte[]> encode, Runnable onDone) {
        sharedFolder.shareServerList(encode, onDone);
    }

    /** Returns the observer that counts requests and their outcomes. */
    public Observer observer() {
        return metrics;
    }

    /** Starts to listen for operators. The future completes when the listener is bound. */
    public ChannelFuture listen(InetSocketAddress address) {
        sharedFolder.startPolling();
        return server.listen(address);
    }

    /** Applies the operators' overrides to a server list from discovery. */
    public HostList applyOverrides(HostList list) {
        return serverOverrides.apply(list);
    }

    private void setDrainedServers(Map<String, Long> drainedSinceUs) {
        List<HostList.Host> changes = serverOverrides.setDrained(drainedSinceUs, clock.nowUs());
        log.info("out by hand: " + drainedSinceUs.keySet());
        if (!changes.isEmpty()) {
            nodeControl.updateServers(changes);
        }
    }

    private void setClientsDrained(boolean drained) {
        log.info(drained ? "draining clients" : "clients are no longer drained");
        areClientsDrained = drained;
        isDrainedAfterReady &= drained;
        nodeControl.setDraining(drained);
    }

    /** Counts a request that was rejected before it reached the engine. */
    public void recordRejectedRequest(int classIndex) {
        metrics.recordRejectedRequest(classIndex);
    }

    /** Counts a reload of the configuration, accepted or not. */
    public void recordReload(boolean accepted) {
        metrics.recordReload(accepted);
    }

    /** Records that clients can connect to this process, which replaces any earlier process of the node. */
    public void markServing() {
        sharedFolder.markServing(e -> log.info("a process before this one cannot be told that it is replaced: " + e));
    }

    /**
     * Returns whether another process of this node accepts clients in place of this one. May be called from any thread.
     */
    public boolean isReplaced() {
        return sharedFolder.isReplaced();
    }

    /** Closes all sockets and stops the folder's thread. */
    public void close() {
        server.close();
        sharedFolder.close();
    }

    /**
     * Stops to share state with other processes and waits until nothing of it is written any more. Called on any thread but the
     * event loop's.
     *
     * @return false if that takes longer than the time allowed
     */
    public boolean closeSharedFolder(long timeoutMs) throws InterruptedException {
        return sharedFolder.closeAndAwait(timeoutMs);
    }

    // ---------------------------------------------------------------- calls

    @Override
    public void handle(String method, String path, OperatorServer.Responder responder) {
        boolean isQuery = path.equals(PATH_PREFIX + "readiness") || path.equals(PATH_PREFIX + "stats");
        boolean isCommand = path.equals(PATH_PREFIX + "drain/start")
                || path.equals(PATH_PREFIX + "drain/stop")
                || path.startsWith(SERVER_DOWN_PREFIX)
                || path.startsWith(SERVER_UP_PREFIX);
        if (!isQuery && !isCommand) {
            responder.respond(404, "no such call\n");
        } else if (!method.equals(isQuery ? "GET" : "POST")) {
            responder.respond(405, "to be called with " + (isQuery ? "GET" : "POST") + "\n");
        } else if (path.endsWith("/readiness")) {
            // Whoever replaces a process waits for its successor's yes, whatever is drained. A process that is sent
            // away from by
            // its own operators says no.
            boolean ready = nodeControl.isAcceptingClients() && !isDrainedAfterReady;
            hasSaidReady |= ready;
            responder.respond(ready ? 200 : 503, ready ? "takes clients\n" : "takes no clients\n");
        } else if (path.endsWith("/stats")) {
            responder.respond(
                    200,
                    metrics.format(
                            nodeControl.dispatchCount(),
                            serverOverrides.listed(),
                            serverOverrides.unavailableCount() + nodeControl.ejectedServerCount(),
                            nodeControl.usage()));
        } else if (path.startsWith(SERVER_DOWN_PREFIX) || path.startsWith(SERVER_UP_PREFIX)) {
            boolean down = path.startsWith(SERVER_DOWN_PREFIX);
            setServerDrained(path.substring((down ? SERVER_DOWN_PREFIX : SERVER_UP_PREFIX).length()), down, responder);
        } else {
            drainClients(path.endsWith("/start"), responder);
        }
    }

    private void drainClients(boolean drained, OperatorServer.Responder responder) {
        boolean beginsAfterReady = drained && hasSaidReady && !areClientsDrained;
        sharedFolder.setClientsDrained(
                drained,
                error -> loopExecutor.execute(() -> {
                    if (error == null) {
                        isDrainedAfterReady |= beginsAfterReady && areClientsDrained;
                        responder.respond(200, drained ? "sending clients away\n" : "taking clients\n");
                    } else {
                        log.info("the operators' change to the drain of clients cannot be kept: " + error);
                        responder.respond(500, "cannot be kept, nothing has changed: " + error + "\n");
                    }
                }));
    }

    private void setServerDrained(String encodedId, boolean drained, OperatorServer.Responder responder) {
        String id;
        try {
            id = QueryStringDecoder.decodeComponent(encodedId);
        } catch (IllegalArgumentException e) {
            responder.respond(400, "the id cannot be read: " + e.getMessage() + "\n");
            return;
        }
        if (!serverOverrides.isKnown(id)) {
            responder.respond(404, "no server has this id\n");
        } else if (id.getBytes(StandardCharsets.UTF_8).length > SharedFolder.MAX_ID_BYTES) {
            responder.respond(400, "the id has more than " + SharedFolder.MAX_ID_BYTES + " bytes\n");
        } else {
            sharedFolder.setDrained(
                    id,
                    drained,
                    error -> loopExecutor.execute(() -> {
                        if (error == null) {
                            responder.respond(200, drained ? "out\n" : "back\n");
                        } else {
                            log.info("the operators' change to server " + id + " cannot be kept: " + error);
                            responder.respond(500, "cannot be kept, nothing has changed: " + error + "\n");
                        }
                    }));
        }
    }
}
