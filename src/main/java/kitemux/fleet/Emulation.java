package kitemux.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.sim.Scheduler;

/**
 * Emulates a fleet in virtual time: the production engine and decision module, servers modelled as queues,
 * and a population of clients. The same fleet and seed give the same result on any machine.
 */
public final class Emulation {
    /**
     * Unix time of the start of virtual time (1 January 2026). It is far from 0, which stands for servers
     * that started long ago.
     */
    private static final long EPOCH_UNIX_US = 1_767_225_600_000_000L;
    /** Time after the last arrival within which all requests are answered. */
    private static final long COMPLETION_MARGIN_US = 15_000_000;

    /** Load beyond which a cold server collapses, as a multiple of its present capacity. */
    private static final double COLD_LOAD_CAPACITY_RATIO = 4;
    /** Window within which the load of a cold server is summed. */
    private static final long COLD_LOAD_WINDOW_US = 2_000_000;

    private final Fleet fleet;
    private final Scheduler scheduler;
    private final RuleChecker rules;
    private final Map<String, Box> boxesById = new LinkedHashMap<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final OutcomeCounter outcomes;
    private final ClientPopulation population;
    private final RandomStream discoveryRandom;
    private final RandomStream faultRandom;
    private final NetworkPartitions partitions;
    private final long seed;
    private long unixUs;

    /** Creates the nodes of a run. */
    public interface NodeFactory {
        /** Creates the node with the given number, not yet started. */
        FleetNode create(int number, Emulation emulation);
    }

    private Emulation(Fleet fleet, long seed, Scheduler scheduler, NodeFactory nodeFactory) {
        List<String> problems = fleet.validate();
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", problems));
        }
        this.fleet = fleet;
        this.seed = seed;
        this.scheduler = scheduler;
        rules = new RuleChecker(
                scheduler, new RuleChecker.ColdLoadLimit(COLD_LOAD_CAPACITY_RATIO, COLD_LOAD_WINDOW_US));
        outcomes = new OutcomeCounter(fleet);
        partitions = new NetworkPartitions(fleet.zones().count());
        discoveryRandom = new RandomStream(seed, RandomStream.Purpose.DISCOVERY);
        faultRandom = new RandomStream(seed, RandomStream.Purpose.FAULTS);
        RandomStream speeds = new RandomStream(seed, RandomStream.Purpose.SERVERS);
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.ServerKind kind = fleet.kinds().get(k);
            for (int i = 0; i < kind.count(); i++) {
                String id = kind.name() + "-" + i;
                Box box = new Box(
                        id,
                        k,
                        boxes.size() % fleet.racks(),
                        fleet,
                        kind.speedCv() == 0 ? kind.speed() : speeds.lognormal(kind.speed(), kind.speedCv()),
                        scheduler,
                        rules,
                        new RandomStream(seed, RandomStream.Purpose.SERVERS, 1 + boxes.size()));
                boxes.add(box);
                boxesById.put(id, box);
            }
        }
        for (int n = 0; n < fleet.nodes().count(); n++) {
            nodes.add(nodeFactory.create(n, this));
        }
        population = new ClientPopulation(fleet, scheduler, nodes, rules, outcomes, seed);
    }

    /**
     * Runs a fleet until all clients have their answers.
     *
     * @throws IllegalArgumentException if the fleet is invalid; {@link Fleet#validate} gives the reasons
     */
    public static RunResult run(Fleet fleet, long seed) {
        return runWith(fleet, seed, EmulatedNode.BalancerFactory.DEFAULT).result();
    }

    /** Runs a fleet with other decision modules and returns the emulation, whose servers can be inspected. */
    static Emulation runWith(Fleet fleet, long seed, EmulatedNode.BalancerFactory balancerFactory) {
        RandomStream moduleSeeds = new RandomStream(seed, RandomStream.Purpose.MODULES);
        Emulation run = new Emulation(
                fleet,
                seed,
                new Scheduler(),
                (n, emulation) -> new EmulatedNode(
                        n,
                        fleet,
                        emulation.scheduler,
                        emulation.boxesById,
                        emulation.rules,
                        emulation.partitions,
                        emulation.settings(n),
                        new RandomStream(seed, RandomStream.Purpose.NETWORK, n),
                        moduleSeeds,
                        EPOCH_UNIX_US,
                        balancerFactory));
        run.begin(EPOCH_UNIX_US);
        while (run.scheduler.runNext(run.endTimeUs() * 1_000)) {
            // Each step processes one event.
        }
        return run;
    }

    /**
     * Creates an emulation with nodes and a scheduler supplied by the caller. Clients, servers and faults are
     * those of {@link #run}. Nothing happens before {@link #begin}.
     *
     * @throws IllegalArgumentException if the fleet is invalid
     */
    public static Emulation create(Fleet fleet, long seed, Scheduler scheduler, NodeFactory nodeFactory) {
        return new Emulation(fleet, seed, scheduler, nodeFactory);
    }

    /** Returns the servers in their configured order. */
    public List<Box> boxes() {
        return List.copyOf(boxes);
    }

    /** Returns the time by which all clients have their answers, in microseconds of the run. */
    public long endTimeUs() {
        return fleet.load().durationUs() + COMPLETION_MARGIN_US;
    }

    /** Returns the settings of the node with the given number. */
    public Settings settings(int nodeNumber) {
        Settings settings = new Settings();
        settings.nodes = fleet.nodes().count();
        settings.nodeIndex = nodeNumber;
        for (int z = 0; z < fleet.zones().count(); z++) {
            settings.zones.add("zone-" + z);
        }
        settings.myZone = fleet.zones().zoneOf(nodeNumber);
        settings.crossZonePrice = fleet.zones().crossZonePrice();
        fleet.classes().forEach(work -> settings.classes.add(work.requestClass()));
        double shares =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
        fleet.tenants()
                .forEach(t ->
                        settings.tenants.add(new Tenant(t.name(), fleet.load().quotaPerS() * t.share() / shares)));
        settings.overShareWorth = fleet.load().overShareWorth();
        settings.maxAttempts = 4;
        settings.hedgingAllowed = true;
        settings.cancellationAllowed = true;
        settings.maxRetryAfterUs = fleet.clients().maxRetryAfterUs();
        settings.connectTimeoutUs = fleet.links().connectTimeoutUs();
        settings.drainGraceUs = fleet.discoveryDelays().drainGraceUs();
        settings.coldCapacityRatio = fleet.kinds().stream()
                .mapToDouble(Fleet.ServerKind::initialCapacityRatio)
                .min()
                .orElse(1);
        settings.warmUpUs = fleet.kinds().stream()
                .mapToLong(Fleet.ServerKind::warmUpUs)
                .max()
                .orElse(0);
        settings.overloadRatio = COLD_LOAD_CAPACITY_RATIO;
        settings.overloadWindowUs = COLD_LOAD_WINDOW_US;
        return settings;
    }

    /**
     * Starts the nodes with the complete list of servers, and starts the clients and the faults.
     *
     * @param nowUnixUs Unix time in microseconds that corresponds to time 0 of the run
     */
    public void begin(long nowUnixUs) {
        unixUs = nowUnixUs;
        List<ServerEntry> servers =
                boxes.stream().map(box -> entry(box, ServerState.READY)).toList();
        for (FleetNode node : nodes) {
            node.serversChanged(servers);
            node.start();
        }
        fleet.faults().forEach(fault -> scheduler.scheduleAfterUs(fault.atUs(), () -> begin(fault)));
        population.start();
    }

    /** Returns the results up to now. */
    public RunResult result() {
        double seconds = fleet.load().durationUs() / 1e6;
        List<RunResult.KindUsage> kinds = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            int kind = k;
            List<Box> kindBoxes =
                    boxes.stream().filter(box -> box.kindIndex == kind).toList();
            double capacityUs = seconds * 1e6 * fleet.kinds().get(k).cores();
            kinds.add(new RunResult.KindUsage(
                    fleet.kinds().get(k).name(),
                    kindBoxes.stream()
                            .mapToDouble(box -> box.busyUs / capacityUs)
                            .average()
                            .orElse(0),
                    kindBoxes.stream()
                            .mapToDouble(box -> box.busyUs / capacityUs)
                            .max()
                            .orElse(0),
                    kindBoxes.stream()
                            .mapToInt(box -> box.peakConnections)
                            .max()
                            .orElse(0),
                    (int) kindBoxes.stream().filter(Box::wasOverloaded).count()));
        }
        List<FleetNode.Stats> nodeStats = nodes.stream().map(FleetNode::stats).toList();
        double busyUs = boxes.stream().mapToDouble(box -> box.busyUs).sum();
        List<RunResult.ClassOutcome> classes = outcomes.classes();
        long requests =
                classes.stream().mapToLong(RunResult.ClassOutcome::offered).sum();
        return new RunResult(
                seed,
                outcomes.inTimeRatio(0, Integer.MAX_VALUE),
                outcomes.worstWindowRatio(),
                outcomes.inTimeByTenant(),
                outcomes.inTimeBySecond(),
                classes,
                outcomes.latencyUs(50),
                outcomes.latencyUs(99),
                requests == 0 ? 0 : (double) outcomes.tries / requests,
                kinds,
                nodeStats.stream()
                        .mapToDouble(d -> d.cpuUs() / (seconds * 1e6))
                        .average()
                        .orElse(0),
                nodeStats.stream().mapToDouble(FleetNode.Stats::maxLagUs).max().orElse(0),
                (int) boxes.stream().filter(Box::wasOverloaded).count(),
                boxes.stream().mapToLong(box -> box.rejectedRequests).sum(),
                boxes.stream().mapToLong(box -> box.rejectedConnections).sum(),
                nodeStats.stream().mapToLong(FleetNode.Stats::attempts).sum(),
                nodeStats.stream().mapToLong(FleetNode.Stats::connectionsOpened).sum(),
                busyUs == 0
                        ? 0
                        : boxes.stream().mapToDouble(box -> box.wastedUs).sum() / busyUs,
                rules.violationCount(),
                rules.violations(),
                scheduler.executedEventCount());
    }

    // ---------------------------------------------------------------- interactive control

    /**
     * The present status of a server.
     *
     * @param state up, draining, cold, slow, failing, silent, dead or fallen
     * @param inFlight requests that are executing or queued
     * @param completed requests completed since the start of the run
     * @param warmUpRatio fraction of the full capacity that is available, in (0, 1]
     */
    public record BoxStatus(
            String id, String state, int inFlight, int connections, long completed, double warmUpRatio) {}

    /** Returns the status of all servers in their configured order. */
    public List<BoxStatus> boxStatuses() {
        return boxes.stream().map(Box::status).toList();
    }

    /** Returns for each node whether it accepts clients. */
    public List<Boolean> nodesUp() {
        return nodes.stream().map(FleetNode::isUp).toList();
    }

    /** Injects a fault into one server now. A fault that has a duration ends after {@code forUs}. */
    public void injectFault(Fleet.FaultKind kind, String id, long durationUs, double size) {
        begin(new Fleet.Fault(kind, Fleet.FaultScope.ANY, 0, 1, 0, durationUs, size), List.of(boxesById.get(id)));
    }

    /** Recovers one server: it gets a new process if it has none, and its own faults end. */
    public void recover(String id) {
        Box box = boxesById.get(id);
        box.failureRatio = 0;
        box.slowdownFactor = 1;
        if (!box.isUp()) {
            restart(List.of(box));
        }
    }

    /** Kills a node and restarts it. */
    public void restartNode() {
        restartNodes(new Fleet.Fault(Fleet.FaultKind.NODES_RESTART, Fleet.FaultScope.ANY, 0, 1, 0, 0, 1));
    }

    /** Kills a node. The front end keeps sending clients to it until the failure is detected. */
    public void killNode(int node) {
        population.nodeDied(node);
        nodes.get(node).kill();
    }

    /** Restarts a node that was killed. */
    public void startNode(int node) {
        nodes.get(node).start();
    }

    /** Adds requests of one tenant at the given rate for the given time. */
    public void addTenantLoad(int tenant, double ratePerS, long durationUs) {
        population.addTenantLoad(tenant, ratePerS, scheduler.nowUs() + durationUs);
    }

    // ---------------------------------------------------------------- faults

    private void begin(Fleet.Fault fault) {
        if (fault.kind() == Fleet.FaultKind.NODES_RESTART) {
            restartNodes(fault);
            return;
        }
        begin(fault, selectTargets(fault));
    }

    private void begin(Fleet.Fault fault, List<Box> targets) {
        switch (fault.kind()) {
            case DIE, VANISH -> {
                boolean silently = fault.kind() == Fleet.FaultKind.VANISH;
                targets.forEach(box -> box.terminate(silently));
                announce(
                        targets,
                        ServerState.GONE,
                        silently
                                ? fleet.discoveryDelays().silenceDelayUs()
                                : fleet.discoveryDelays().crashDelayUs());
                scheduler.scheduleAfterUs(fault.durationUs(), () -> restart(targets));
            }
            case FAIL -> {
                targets.forEach(box -> box.failureRatio = fault.magnitude());
                scheduler.scheduleAfterUs(fault.durationUs(), () -> targets.forEach(box -> box.failureRatio = 0));
            }
            case SLOW -> {
                targets.forEach(box -> box.slowdownFactor = fault.magnitude());
                scheduler.scheduleAfterUs(fault.durationUs(), () -> targets.forEach(box -> box.slowdownFactor = 1));
            }
            case RELEASE -> release(targets, fault, 0);
            case CUT -> {
                partitions.isolate(fault.index());
                scheduler.scheduleAfterUs(fault.durationUs(), () -> partitions.heal(fault.index()));
            }
            case NODES_RESTART -> throw new IllegalStateException("handled above");
        }
    }

    /** Returns the servers that a fault hits, drawn at random if it does not hit its whole scope. */
    private List<Box> selectTargets(Fleet.Fault fault) {
        List<Box> candidates = new ArrayList<>(boxes.stream()
                .filter(box -> switch (fault.scope()) {
                    case ANY -> true;
                    case RACK -> box.rack == fault.index();
                    case ZONE -> box.zone() == fault.index();
                    case KIND -> box.kindIndex == fault.index();
                })
                .toList());
        if (fault.count() == 0 || fault.count() >= candidates.size()) {
            return candidates;
        }
        List<Box> targets = new ArrayList<>();
        for (int i = 0; i < fault.count(); i++) {
            targets.add(candidates.remove(faultRandom.nextInt(candidates.size())));
        }
        return targets;
    }

    /** Starts new processes on the servers and announces those that are up. */
    private void restart(List<Box> targets) {
        targets.forEach(Box::start);
        announce(
                targets.stream().filter(Box::isUp).toList(),
                ServerState.READY,
                fleet.discoveryDelays().returnDelayUs());
    }

    /**
     * Drains and restarts one batch of servers, and continues with the next batch once this one is listed
     * again.
     */
    private void release(List<Box> targets, Fleet.Fault fault, int from) {
        int batch = Math.max(1, (int) fault.magnitude());
        if (from >= targets.size()) {
            return;
        }
        List<Box> current = targets.subList(from, Math.min(targets.size(), from + batch));
        current.forEach(Box::drain);
        announce(current, ServerState.DRAINING, new Fleet.Range(0, 1));
        scheduler.scheduleAfterUs(fleet.discoveryDelays().drainGraceUs() + 1_000_000, () -> {
            current.forEach(box -> box.terminate(false));
            scheduler.scheduleAfterUs(fault.durationUs(), () -> {
                restart(current);
                scheduler.scheduleAfterUs(
                        fleet.discoveryDelays().returnDelayUs().to(), () -> release(targets, fault, from + batch));
            });
        });
    }

    /**
     * Kills the selected nodes and restarts them after the fault's duration and their start-up time, in
     * groups.
     */
    private void restartNodes(Fleet.Fault fault) {
        int atOnce = Math.max(1, (int) fault.magnitude());
        List<Integer> eligibleNodes = IntStream.range(0, nodes.size())
                .boxed()
                .filter(n ->
                        fault.scope() != Fleet.FaultScope.ZONE || fleet.zones().zoneOf(n) == fault.index())
                .toList();
        int restartCount = fault.count() == 0 ? eligibleNodes.size() : Math.min(fault.count(), eligibleNodes.size());
        for (int n = 0; n < restartCount; n++) {
            int node = eligibleNodes.get(n);
            scheduler.scheduleAfterUs(
                    n / atOnce * (fault.durationUs() + fleet.nodes().startupUs()), () -> {
                        killNode(node);
                        scheduler.scheduleAfterUs(
                                fault.durationUs() + fleet.nodes().startupUs(), () -> startNode(node));
                    });
        }
    }

    private ServerEntry entry(Box box, ServerState state) {
        return new ServerEntry(
                box.id, box.zone(), box.rack, state, 1, box.startedAtUs() == 0 ? 0 : unixUs + box.startedAtUs());
    }

    /**
     * Announces a change to all nodes at once, after a random delay. Of several changes the latest state
     * counts. Discovery runs in zone 0; nodes that are partitioned from it are notified once they are
     * reachable again.
     */
    private void announce(List<Box> changed, ServerState state, Fleet.Range delay) {
        if (changed.isEmpty()) {
            return;
        }
        List<ServerEntry> entries =
                changed.stream().map(box -> entry(box, state)).toList();
        scheduler.scheduleAfterUs(discoveryRandom.nextBetween(delay), () -> {
            List<ServerEntry> current = entries.stream()
                    .filter(e ->
                            state != ServerState.GONE || !boxesById.get(e.id()).isUp())
                    .toList();
            for (int n = 0; n < nodes.size(); n++) {
                FleetNode node = nodes.get(n);
                partitions.whenConnected(0, fleet.zones().zoneOf(n), () -> node.serversChanged(current));
            }
        });
    }
}
