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
import kitemux.Balancer.RequestClass;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.net.HostList;
import kitemux.net.SocketBudget;

/**
 * What operators do to a node while it runs: take servers out and back, send its clients away, ask whether it
 * takes clients, and for its figures. All but {@link #isReplaced} is called on the loop, or before it runs.
 */
public final class Operations implements OperatorServer.CallHandler {
    private static final String PREFIX = "/ops/";
    private static final String DOWN = PREFIX + "servers/down/";
    private static final String UP = PREFIX + "servers/up/";

    private final NodeControl node;
    private final Executor onLoop;
    private final Clock time;
    private final Log log;
    private final ServerOverrides servers = new ServerOverrides();
    private final RequestMetrics figures;
    private final SharedFolder folder;
    private final OperatorServer server;

    /** The node, as operators act on it. */
    public interface NodeControl {
        /** These entries of the list hold from now on. */
        void updateServers(List<HostList.Host> hosts);

        /** Clients are to be sent away, or no more. */
        void setDraining(boolean away);

        /** Whether clients can come. */
        boolean isAcceptingClients();

        /** Attempts written whole to servers so far. */
        long dispatchCount();

        /** Servers that the module avoids of its own choice. */
        int ejectedServerCount();
    }

    /**
     * Calls are not heard before {@link #listen}.
     *
     * @param tmp where one process of the node leaves another which servers are out
     * @throws IOException if that cannot be used
     */
    public Operations(
            NodeControl node,
            EventLoopGroup loop,
            Executor onLoop,
            Clock time,
            SocketBudget sockets,
            List<RequestClass> classes,
            Path tmp,
            InetSocketAddress clientsAt,
            Log log)
            throws IOException {
        this.node = node;
        this.onLoop = onLoop;
        this.time = time;
        this.log = log;
        figures = new RequestMetrics(classes);
        folder = new SharedFolder(tmp, clientsAt, out -> onLoop.execute(() -> takeOut(out)));
        servers.takeOut(folder.atFirst(), 0);
        server = new OperatorServer(loop, sockets, this);
    }

    /** Counts what becomes of requests. */
    public Observer observer() {
        return figures;
    }

    /** Listens for operators. */
    public ChannelFuture listen(InetSocketAddress address) {
        folder.watch();
        return server.listen(address);
    }

    /** The list that holds, given one of discovery's. */
    public HostList applyOverrides(HostList list) {
        return servers.told(list);
    }

    private void takeOut(Map<String, Long> ids) {
        List<HostList.Host> changes = servers.takeOut(ids, time.nowUs());
        log.info("out by hand: " + ids.keySet());
        if (!changes.isEmpty()) {
            node.updateServers(changes);
        }
    }

    /** A request was refused before the engine had it. */
    public void recordRejectedRequest(int classIndex) {
        figures.turnedAway(classIndex);
    }

    /** The configuration was read again, and taken or not. */
    public void recordReload(boolean taken) {
        figures.reloaded(taken);
    }

    /** Clients can connect to this process now; it takes the place of any that did before. */
    public void markServing() {
        folder.serves(e -> log.info("a process before this one cannot be told that it is replaced: " + e));
    }

    /** Whether another process of this node takes clients in place of this one. From any thread. */
    public boolean isReplaced() {
        return folder.isReplaced();
    }

    /** Lets go of all sockets and the thread. */
    public void close() {
        server.close();
        folder.close();
    }

    // ---------------------------------------------------------------- calls

    @Override
    public void handle(String method, String path, OperatorServer.Responder answer) {
        boolean reads = path.equals(PREFIX + "readiness") || path.equals(PREFIX + "stats");
        boolean acts = path.equals(PREFIX + "drain/start")
                || path.equals(PREFIX + "drain/stop")
                || path.startsWith(DOWN)
                || path.startsWith(UP);
        if (!reads && !acts) {
            answer.respond(404, "no such call\n");
        } else if (!method.equals(reads ? "GET" : "POST")) {
            answer.respond(405, "to be called with " + (reads ? "GET" : "POST") + "\n");
        } else if (path.endsWith("/readiness")) {
            boolean ready = node.isAcceptingClients();
            answer.respond(ready ? 200 : 503, ready ? "takes clients\n" : "takes no clients\n");
        } else if (path.endsWith("/stats")) {
            answer.respond(
                    200,
                    figures.text(
                            node.dispatchCount(), servers.listed(), servers.drained() + node.ejectedServerCount()));
        } else if (path.startsWith(DOWN) || path.startsWith(UP)) {
            boolean down = path.startsWith(DOWN);
            set(path.substring((down ? DOWN : UP).length()), down, answer);
        } else {
            boolean away = path.endsWith("/start");
            log.info(away ? "clients are sent away" : "clients are sent away no more");
            node.setDraining(away);
            answer.respond(200, away ? "sending clients away\n" : "taking clients\n");
        }
    }

    private void set(String written, boolean out, OperatorServer.Responder answer) {
        String id;
        try {
            id = QueryStringDecoder.decodeComponent(written);
        } catch (IllegalArgumentException e) {
            answer.respond(400, "the id cannot be read: " + e.getMessage() + "\n");
            return;
        }
        if (!servers.isKnown(id)) {
            answer.respond(404, "no server has this id\n");
        } else if (id.getBytes(StandardCharsets.UTF_8).length > SharedFolder.MOST_ID) {
            answer.respond(400, "the id has more than " + SharedFolder.MOST_ID + " bytes\n");
        } else {
            folder.set(
                    id,
                    out,
                    fault -> onLoop.execute(() -> {
                        if (fault == null) {
                            answer.respond(200, out ? "out\n" : "back\n");
                        } else {
                            log.info("what operators asked of server " + id + " cannot be kept: " + fault);
                            answer.respond(500, "cannot be kept, nothing has changed: " + fault + "\n");
                        }
                    }));
        }
    }
}
