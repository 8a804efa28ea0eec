package kitemux.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import kitemux.engine.Clock;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.engine.SendGate;
import kitemux.engine.Transport;
import kitemux.sim.Scheduler;

/**
 * An emulated node: the production engine and decision module, over connections to emulated servers. Its
 * processor is modelled as a queue, so events that arrive while it is busy are handled later.
 */
final class EmulatedNode implements Transport<ClientTry, Boolean>, FleetNode {
    private final int number;
    private final Fleet fleet;
    private final Scheduler scheduler;
    private final Map<String, Box> boxes;
    private final RuleChecker rules;
    private final NetworkPartitions partitions;
    private final RandomStream networkRandom;
    private final Settings settings;
    private final RandomStream moduleSeeds;
    private final long epochUnixUs;
    private final BalancerFactory balancerFactory;

    /** Creates the decision module of a node's process. */
    interface BalancerFactory {
        /** Creates the production module. Tests use other factories to inject defective modules. */
        BalancerFactory DEFAULT = ServiceQBalancer::new;

        /** Creates a module that does not know any servers yet. */
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private Engine<ClientTry, Boolean> engine;
    private Balancer module;
    private final Map<String, ConnectionPool> connectionPools = new HashMap<>();
    /** The servers as last announced by discovery, kept for restarts of the node. */
    private final Map<String, ServerEntry> knownServers = new HashMap<>();

    /** Times at which this node was notified that servers drain or are gone, by server id. */
    private final Map<String, Long> drainNotifiedAtUs = new HashMap<>();

    private final Map<ClientTry, Engine.PendingRequest<ClientTry, Boolean>> openTries = new HashMap<>();
    private int incarnation;
    private boolean up;
    private double cpuFreeAtUs;
    private double cpuUs;
    private double maxLagUs;
    private long attempts;
    private long connectionsOpened;

    /**
     * The connections to one server: idle ones, each with the server's incarnation and the time of its last
     * use, and exchanges in flight.
     */
    private static final class ConnectionPool {
        final ArrayDeque<long[]> idle = new ArrayDeque<>();
        final Map<Exchange<ClientTry, Boolean>, OutboundRequest> inFlight = new HashMap<>();
    }

    /**
     * An exchange in flight over a connection to one incarnation of its server; the incarnation is -1 until
     * the connection exists.
     */
    private final class OutboundRequest implements Box.ReplyHandler {
        final Box box;
        final Exchange<ClientTry, Boolean> exchange;
        final int nodeIncarnation = incarnation;
        int boxIncarnation = -1;
        boolean isWritten;
        boolean finished;

        OutboundRequest(Box box, Exchange<ClientTry, Boolean> exchange) {
            this.box = box;
            this.exchange = exchange;
        }

        @Override
        public void completed(Result result) {
            if (!isPartitionedFrom(box)) {
                scheduler.scheduleAfterUs(oneWayUs(box), () -> runOnCpu(nodeIncarnation, () -> finish(result)));
            }
        }

        @Override
        public boolean isAwaited() {
            return !finished;
        }

        @Override
        public boolean isSenderAwareOfStart() {
            ServerEntry entry = knownServers.get(box.id);
            return entry != null && entry.startedAtUs() >= epochUnixUs + box.startedAtUs();
        }

        void finish(Result result) {
            if (finished) {
                return;
            }
            finished = true;
            ConnectionPool pool = connectionPools.get(box.id);
            pool.inFlight.remove(exchange);
            if (boxIncarnation == box.incarnation() && result != Result.RESET && result != Result.CONNECT_FAILED) {
                pool.idle.push(new long[] {boxIncarnation, scheduler.nowUs()});
            } else if (boxIncarnation >= 0) {
                box.connectionClosed(boxIncarnation);
            }
            exchange.onEnded(result, result == Result.OK ? Boolean.TRUE : null);
        }
    }

    EmulatedNode(
            int number,
            Fleet fleet,
            Scheduler scheduler,
            Map<String, Box> boxes,
            RuleChecker rules,
            NetworkPartitions partitions,
            Settings settings,
            RandomStream networkRandom,
            RandomStream moduleSeeds,
            long epochUnixUs,
            BalancerFactory balancerFactory) {
        this.number = number;
        this.fleet = fleet;
        this.scheduler = scheduler;
        this.boxes = boxes;
        this.rules = rules;
        this.partitions = partitions;
        this.settings = settings;
        this.networkRandom = networkRandom;
        this.moduleSeeds = moduleSeeds;
        this.epochUnixUs = epochUnixUs;
        this.balancerFactory = balancerFactory;
    }

    // ---------------------------------------------------------------- life cycle

    @Override
    public boolean isUp() {
        return up;
    }

    @Override
    public void start() {
        up = true;
        incarnation++;
        cpuFreeAtUs = scheduler.nowUs();
        int startIncarnation = incarnation;
        Clock clock = new Clock() {
            @Override
            public long nowUs() {
                return epochUnixUs + scheduler.nowUs();
            }

            @Override
            public Timer schedule(long us, Runnable task) {
                Scheduler.Event event = scheduler.scheduleAfterUs(us, () -> {
                    if (startIncarnation == incarnation) {
                        task.run();
                    }
                });
                return event::cancel;
            }
        };
        engine = new Engine<>(
                settings.maxAttempts,
                clock,
                this,
                () -> {},
                Observer.NONE,
                SendGate.alwaysOpen(),
                new Log() {
                    @Override
                    public void info(String text) {}

                    @Override
                    public void error(String message, Throwable cause) {
                        throw new IllegalStateException("node " + number + ": " + message, cause);
                    }
                },
                actions -> {
                    module = balancerFactory.create(settings, moduleSeeds.nextLong(), actions);
                    return module;
                });
        engine.updateServers(ListKind.CACHED, new ArrayList<>(knownServers.values()), () -> {});
    }

    @Override
    public void kill() {
        up = false;
        incarnation++;
        engine.close();
        for (Map.Entry<String, ConnectionPool> pool : connectionPools.entrySet()) {
            Box box = boxes.get(pool.getKey());
            pool.getValue().idle.forEach(idle -> box.connectionClosed((int) idle[0]));
            pool.getValue().inFlight.values().forEach(outbound -> {
                outbound.finished = true;
                if (outbound.boxIncarnation >= 0) {
                    box.connectionClosed(outbound.boxIncarnation);
                }
            });
        }
        connectionPools.clear();
        List<ClientTry> lost = new ArrayList<>(openTries.keySet());
        lost.sort((a, b) -> Long.compare(a.tracked().number, b.tracked().number));
        openTries.clear();
        lost.forEach(ClientTry::onInternalError);
    }

    @Override
    public void serversChanged(List<ServerEntry> entries) {
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                knownServers.remove(entry.id());
            } else {
                knownServers.put(entry.id(), entry);
            }
            if (entry.state() == ServerState.READY) {
                drainNotifiedAtUs.remove(entry.id());
            } else {
                drainNotifiedAtUs.putIfAbsent(entry.id(), scheduler.nowUs());
            }
        }
        if (up) {
            runOnCpu(incarnation, () -> engine.updateServers(ListKind.CHANGES, entries, () -> {}));
        }
    }

    // ---------------------------------------------------------------- processor

    /** Runs a task once the processor is free, unless the node's process has ended by then. */
    private void runOnCpu(int ofIncarnation, Runnable task) {
        if (ofIncarnation != incarnation) {
            return;
        }
        double cost = fleet.nodes().eventCostUs() / fleet.nodes().cores();
        double now = scheduler.nowUs();
        double lagUs = Math.max(0, cpuFreeAtUs - now);
        cpuFreeAtUs = now + lagUs + cost;
        cpuUs += cost;
        maxLagUs = Math.max(maxLagUs, lagUs);
        if (lagUs < 1) {
            task.run();
        } else {
            scheduler.scheduleAfterUs((long) lagUs, () -> {
                if (ofIncarnation == incarnation) {
                    task.run();
                }
            });
        }
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void submit(ClientTry clientTry) {
        int startIncarnation = incarnation;
        openTries.put(clientTry, null);
        runOnCpu(startIncarnation, () -> {
            if (clientTry.isOver()) {
                openTries.remove(clientTry);
                return;
            }
            Engine.PendingRequest<ClientTry, Boolean> held = engine.accept(clientTry, clientTry);
            openTries.put(clientTry, held);
            engine.dispatch(held);
        });
    }

    @Override
    public void completed(ClientTry clientTry) {
        openTries.remove(clientTry);
    }

    @Override
    public void abandoned(ClientTry clientTry) {
        runOnCpu(incarnation, () -> {
            Engine.PendingRequest<ClientTry, Boolean> held = openTries.remove(clientTry);
            if (held != null) {
                engine.clientDisconnected(held);
            }
        });
    }

    @Override
    public Stats stats() {
        return new Stats(cpuUs, maxLagUs, attempts, connectionsOpened);
    }

    // ---------------------------------------------------------------- servers

    /** Draws the network delay to a server, in microseconds. */
    private long oneWayUs(Box box) {
        long crossZoneDelayUs =
                box.zone() == settings.myZone ? 0 : fleet.zones().crossZoneDelayUs();
        return Math.max(
                1,
                (long) networkRandom.lognormal(
                                fleet.links().oneWayUs(), fleet.links().jitter())
                        + crossZoneDelayUs);
    }

    /** Returns whether messages between this node and the server are lost at present. */
    private boolean isPartitionedFrom(Box box) {
        return partitions.isPartitioned(box.zone(), settings.myZone);
    }

    @Override
    public void start(String serverId, Exchange<ClientTry, Boolean> exchange) {
        Box box = boxes.get(serverId);
        ConnectionPool pool = connectionPools.computeIfAbsent(serverId, id -> new ConnectionPool());
        OutboundRequest outbound = new OutboundRequest(box, exchange);
        pool.inFlight.put(exchange, outbound);
        Long drainNotifiedUs = drainNotifiedAtUs.get(serverId);
        if (drainNotifiedUs != null
                && scheduler.nowUs() > drainNotifiedUs + fleet.discoveryDelays().drainGraceUs()) {
            rules.sentWhileDraining(box);
        }
        long idleSinceLimitUs = scheduler.nowUs() - fleet.links().idleTimeoutUs();
        while (!pool.idle.isEmpty()
                && (pool.idle.peekLast()[1] <= idleSinceLimitUs || pool.idle.peekLast()[0] != box.incarnation())) {
            box.connectionClosed((int) pool.idle.pollLast()[0]);
        }
        if (!pool.idle.isEmpty() && box.isUp()) {
            outbound.boxIncarnation = (int) pool.idle.pop()[0];
            write(outbound, 0);
        } else {
            connect(outbound);
        }
    }

    /**
     * Opens a connection and sends the request over it. A failure to connect is known after a round trip, or
     * after the connect timeout if the server cannot answer.
     */
    private void connect(OutboundRequest outbound) {
        connectionsOpened++;
        long rttUs = 2 * oneWayUs(outbound.box);
        boolean isUnreachable = outbound.box.isSilent() || isPartitionedFrom(outbound.box);
        if (isUnreachable || !outbound.box.isUp() || !outbound.box.connect()) {
            long failureKnownAfterUs = isUnreachable ? fleet.links().connectTimeoutUs() : rttUs;
            scheduler.scheduleAfterUs(
                    failureKnownAfterUs,
                    () -> runOnCpu(outbound.nodeIncarnation, () -> outbound.finish(Result.CONNECT_FAILED)));
            return;
        }
        outbound.boxIncarnation = outbound.box.incarnation();
        scheduler.scheduleAfterUs(rttUs * fleet.links().handshakeRtts(), () -> {
            if (!outbound.finished && outbound.nodeIncarnation == incarnation) {
                if (outbound.boxIncarnation == outbound.box.incarnation()) {
                    write(outbound, fleet.links().handshakeWorkUs());
                } else {
                    runOnCpu(outbound.nodeIncarnation, () -> outbound.finish(Result.CONNECT_FAILED));
                }
            }
        });
    }

    /** Sends a request over its connection, unless the network loses it. */
    private void write(OutboundRequest outbound, long extraWorkUs) {
        attempts++;
        outbound.isWritten = true;
        ClientTry clientTry = outbound.exchange.request();
        long now = scheduler.nowUs();
        if (!isPartitionedFrom(outbound.box)) {
            scheduler.scheduleAfterUs(
                    oneWayUs(outbound.box), () -> outbound.box.submit(clientTry, extraWorkUs, now, outbound));
        }
    }

    @Override
    public boolean withdraw(String serverId, Exchange<ClientTry, Boolean> exchange) {
        ConnectionPool pool = connectionPools.get(serverId);
        OutboundRequest outbound = pool == null ? null : pool.inFlight.get(exchange);
        return outbound != null && !outbound.isWritten && !abandon(serverId, exchange);
    }

    @Override
    public boolean abandon(String serverId, Exchange<ClientTry, Boolean> exchange) {
        ConnectionPool pool = connectionPools.get(serverId);
        OutboundRequest outbound = pool == null ? null : pool.inFlight.remove(exchange);
        if (outbound == null) {
            return false;
        }
        outbound.finished = true;
        if (outbound.boxIncarnation >= 0) {
            // An exchange can only be cancelled by closing its connection.
            outbound.box.connectionClosed(outbound.boxIncarnation);
        }
        return outbound.isWritten;
    }

    @Override
    public ClientTry probeRequest() {
        throw new IllegalStateException("the emulated node does not support probes");
    }

    @Override
    public String endpoint(String serverId) {
        return serverId;
    }

    @Override
    public void closeIdle(String serverId) {
        ConnectionPool pool = connectionPools.get(serverId);
        if (pool != null) {
            pool.idle.forEach(idle -> boxes.get(serverId).connectionClosed((int) idle[0]));
            pool.idle.clear();
        }
    }
}
