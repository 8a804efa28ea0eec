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
 * Plays a fleet on virtual time: the decision module and the engine that serve in earnest, among servers that
 * are queues and clients that are counted. The same fleet and seed give the same result, on any machine.
 */
public final class Emulation {
    /** Virtual time begins here, so that "long ago" and 0 are the same to the module: 2026 by Unix time. */
    private static final long UNIX_US = 1_767_225_600_000_000L;
    /** After the last client has come all is answered within this. */
    private static final long RUN_OUT_US = 15_000_000;

    private static final double FALL_MULTIPLE = 4;
    private static final long FALL_US = 2_000_000;

    private final Fleet fleet;
    private final Scheduler time;
    private final RuleChecker rules;
    private final Map<String, Box> byId = new LinkedHashMap<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final OutcomeCounter tally;
    private final ClientPopulation clients;
    private final RandomStream lists;
    private final RandomStream faults;
    private final NetworkPartitions cuts;
    private final long seed;
    private long unixUs;

    /** Makes the nodes of a run. */
    public interface NodeFactory {
        /** A node that is not started, by its number. */
        FleetNode create(int number, Emulation of);
    }

    private Emulation(Fleet fleet, long seed, Scheduler time, NodeFactory maker) {
        List<String> found = fleet.validate();
        if (!found.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", found));
        }
        this.fleet = fleet;
        this.seed = seed;
        this.time = time;
        rules = new RuleChecker(time, new RuleChecker.ColdLoadLimit(FALL_MULTIPLE, FALL_US));
        tally = new OutcomeCounter(fleet);
        cuts = new NetworkPartitions(fleet.zones().count());
        lists = new RandomStream(seed, RandomStream.Purpose.LISTS);
        faults = new RandomStream(seed, RandomStream.Purpose.FAULTS);
        RandomStream speeds = new RandomStream(seed, RandomStream.Purpose.BOXES);
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
                        time,
                        rules,
                        new RandomStream(seed, RandomStream.Purpose.BOXES, 1 + boxes.size()));
                boxes.add(box);
                byId.put(id, box);
            }
        }
        for (int n = 0; n < fleet.nodes().count(); n++) {
            nodes.add(maker.create(n, this));
        }
        clients = new ClientPopulation(fleet, time, nodes, rules, tally, seed);
    }

    /**
     * Plays a fleet until all clients have their answers.
     *
     * @throws IllegalArgumentException if it cannot be played; {@link Fleet#validate} says why
     */
    public static RunResult run(Fleet fleet, long seed) {
        return runWith(fleet, seed, EmulatedNode.BalancerFactory.DEFAULT).result();
    }

    /** The same with other decision modules; its servers tell what they met. */
    static Emulation runWith(Fleet fleet, long seed, EmulatedNode.BalancerFactory modules) {
        RandomStream seeds = new RandomStream(seed, RandomStream.Purpose.MODULES);
        Emulation run = new Emulation(
                fleet,
                seed,
                new Scheduler(),
                (n, of) -> new EmulatedNode(
                        n,
                        fleet,
                        of.time,
                        of.byId,
                        of.rules,
                        of.cuts,
                        of.settings(n),
                        new RandomStream(seed, RandomStream.Purpose.NETWORK, n),
                        seeds,
                        UNIX_US,
                        modules));
        run.begin(UNIX_US);
        while (run.time.runNext(run.endTimeUs() * 1_000)) {
            // Each step is one event.
        }
        return run;
    }

    /**
     * The same clients, servers and troubles among nodes that somebody else brings, on a time that somebody
     * else lets pass. Nothing happens before {@link #begin}.
     *
     * @throws IllegalArgumentException as {@link #run}
     */
    public static Emulation create(Fleet fleet, long seed, Scheduler time, NodeFactory nodes) {
        return new Emulation(fleet, seed, time, nodes);
    }

    /** The servers, in order. */
    public List<Box> boxes() {
        return List.copyOf(boxes);
    }

    /** When all clients have their answers at the latest, in microseconds of the run's time. */
    public long endTimeUs() {
        return fleet.load().durationUs() + RUN_OUT_US;
    }

    /** What a node of this fleet is told. */
    public Settings settings(int me) {
        Settings set = new Settings();
        set.nodes = fleet.nodes().count();
        set.nodeIndex = me;
        for (int z = 0; z < fleet.zones().count(); z++) {
            set.zones.add("zone-" + z);
        }
        set.myZone = fleet.zones().zoneOf(me);
        set.crossZonePrice = fleet.zones().crossZonePrice();
        fleet.classes().forEach(work -> set.classes.add(work.requestClass()));
        double shares =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
        fleet.tenants()
                .forEach(t -> set.tenants.add(new Tenant(t.name(), fleet.load().quotaPerS() * t.share() / shares)));
        set.overShareWorth = fleet.load().overShareWorth();
        set.maxAttempts = 4;
        set.hedgingAllowed = true;
        set.cancellationAllowed = true;
        set.maxRetryAfterUs = fleet.clients().maxRetryAfterUs();
        set.connectTimeoutUs = fleet.links().connectTimeoutUs();
        set.drainGraceUs = fleet.discoveryDelays().drainGraceUs();
        set.coldCapacityRatio = fleet.kinds().stream()
                .mapToDouble(Fleet.ServerKind::initialCapacityRatio)
                .min()
                .orElse(1);
        set.warmUpUs = fleet.kinds().stream()
                .mapToLong(Fleet.ServerKind::warmUpUs)
                .max()
                .orElse(0);
        set.overloadRatio = FALL_MULTIPLE;
        set.overloadWindowUs = FALL_US;
        return set;
    }

    /**
     * Starts the nodes with the whole list, and clients and troubles with them.
     *
     * @param nowUnixUs Unix time in microseconds as the run's time is 0
     */
    public void begin(long nowUnixUs) {
        unixUs = nowUnixUs;
        List<ServerEntry> all =
                boxes.stream().map(box -> entry(box, ServerState.READY)).toList();
        for (FleetNode node : nodes) {
            node.serversChanged(all);
            node.start();
        }
        fleet.faults().forEach(fault -> time.scheduleAfterUs(fault.atUs(), () -> begin(fault)));
        clients.begin();
    }

    /** What it came to so far. */
    public RunResult result() {
        double seconds = fleet.load().durationUs() / 1e6;
        List<RunResult.KindUsage> kinds = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            int kind = k;
            List<Box> of = boxes.stream().filter(box -> box.kindIndex == kind).toList();
            double all = seconds * 1e6 * fleet.kinds().get(k).cores();
            kinds.add(new RunResult.KindUsage(
                    fleet.kinds().get(k).name(),
                    of.stream().mapToDouble(box -> box.busyUs / all).average().orElse(0),
                    of.stream().mapToDouble(box -> box.busyUs / all).max().orElse(0),
                    of.stream().mapToInt(box -> box.peakConnections).max().orElse(0),
                    (int) of.stream().filter(Box::wasOverloaded).count()));
        }
        List<FleetNode.Stats> did = nodes.stream().map(FleetNode::stats).toList();
        double busyUs = boxes.stream().mapToDouble(box -> box.busyUs).sum();
        List<RunResult.ClassOutcome> classes = tally.classes();
        long wishes =
                classes.stream().mapToLong(RunResult.ClassOutcome::offered).sum();
        return new RunResult(
                seed,
                tally.share(0, Integer.MAX_VALUE),
                tally.worstWindow(),
                tally.byTenant(),
                tally.sharesBySecond(),
                classes,
                tally.latencyUs(50),
                tally.latencyUs(99),
                wishes == 0 ? 0 : (double) tally.tries / wishes,
                kinds,
                did.stream()
                        .mapToDouble(d -> d.cpuUs() / (seconds * 1e6))
                        .average()
                        .orElse(0),
                did.stream().mapToDouble(FleetNode.Stats::maxLagUs).max().orElse(0),
                (int) boxes.stream().filter(Box::wasOverloaded).count(),
                boxes.stream().mapToLong(box -> box.rejectedRequests).sum(),
                boxes.stream().mapToLong(box -> box.rejectedConnections).sum(),
                did.stream().mapToLong(FleetNode.Stats::attempts).sum(),
                did.stream().mapToLong(FleetNode.Stats::connectionsOpened).sum(),
                busyUs == 0
                        ? 0
                        : boxes.stream().mapToDouble(box -> box.wastedUs).sum() / busyUs,
                rules.violationCount(),
                rules.violations(),
                time.executedEventCount());
    }

    // ---------------------------------------------------------------- for whoever plays it by hand

    /**
     * A server as it is now.
     *
     * @param state up, draining, cold, slow, failing, silent, dead or fallen
     * @param inFlight requests that run or wait
     * @param completed since the beginning
     */
    public record BoxStatus(
            String id, String state, int inFlight, int connections, long completed, double warmUpRatio) {}

    /** All servers, in order. */
    public List<BoxStatus> boxStatuses() {
        return boxes.stream().map(Box::status).toList();
    }

    /** Whether a node takes clients, in order. */
    public List<Boolean> nodesUp() {
        return nodes.stream().map(FleetNode::isUp).toList();
    }

    /** This trouble befalls one server now; one that ends by itself does after {@code forUs}. */
    public void injectFault(Fleet.FaultKind trouble, String id, long forUs, double size) {
        begin(new Fleet.Fault(trouble, Fleet.FaultScope.ANY, 0, 1, 0, forUs, size), List.of(byId.get(id)));
    }

    /** One server is itself again: a new process where it had none, and no trouble of its own. */
    public void recover(String id) {
        Box box = byId.get(id);
        box.failureRatio = 0;
        box.slowdownFactor = 1;
        if (!box.isUp()) {
            comeBack(List.of(box));
        }
    }

    /** A node is killed and starts anew. */
    public void restartNode() {
        restartNodes(new Fleet.Fault(Fleet.FaultKind.NODES_RESTART, Fleet.FaultScope.ANY, 0, 1, 0, 0, 1));
    }

    /** A node is killed; the front deals out to it until it notices. */
    public void killNode(int node) {
        clients.died(node);
        nodes.get(node).kill();
    }

    /** A node that was killed starts anew. */
    public void startNode(int node) {
        nodes.get(node).start();
    }

    /** One tenant asks so much more for so long. */
    public void addTenantLoad(int tenant, double ratePerS, long forUs) {
        clients.flood(tenant, ratePerS, time.nowUs() + forUs);
    }

    // ---------------------------------------------------------------- what goes wrong

    private void begin(Fleet.Fault fault) {
        if (fault.kind() == Fleet.FaultKind.NODES_RESTART) {
            restartNodes(fault);
            return;
        }
        begin(fault, chosen(fault));
    }

    private void begin(Fleet.Fault fault, List<Box> hit) {
        switch (fault.kind()) {
            case DIE, VANISH -> {
                boolean silently = fault.kind() == Fleet.FaultKind.VANISH;
                hit.forEach(box -> box.terminate(silently));
                tell(
                        hit,
                        ServerState.GONE,
                        silently
                                ? fleet.discoveryDelays().silenceDelayUs()
                                : fleet.discoveryDelays().crashDelayUs());
                time.scheduleAfterUs(fault.durationUs(), () -> comeBack(hit));
            }
            case FAIL -> {
                hit.forEach(box -> box.failureRatio = fault.magnitude());
                time.scheduleAfterUs(fault.durationUs(), () -> hit.forEach(box -> box.failureRatio = 0));
            }
            case SLOW -> {
                hit.forEach(box -> box.slowdownFactor = fault.magnitude());
                time.scheduleAfterUs(fault.durationUs(), () -> hit.forEach(box -> box.slowdownFactor = 1));
            }
            case RELEASE -> release(hit, fault, 0);
            case CUT -> {
                cuts.isolate(fault.index());
                time.scheduleAfterUs(fault.durationUs(), () -> cuts.heal(fault.index()));
            }
            case NODES_RESTART -> throw new IllegalStateException("handled above");
        }
    }

    private List<Box> chosen(Fleet.Fault fault) {
        List<Box> from = new ArrayList<>(boxes.stream()
                .filter(box -> switch (fault.scope()) {
                    case ANY -> true;
                    case RACK -> box.rack == fault.index();
                    case ZONE -> box.zone() == fault.index();
                    case KIND -> box.kindIndex == fault.index();
                })
                .toList());
        if (fault.count() == 0 || fault.count() >= from.size()) {
            return from;
        }
        List<Box> hit = new ArrayList<>();
        for (int i = 0; i < fault.count(); i++) {
            hit.add(from.remove(faults.nextInt(from.size())));
        }
        return hit;
    }

    private void comeBack(List<Box> hit) {
        hit.forEach(Box::start);
        tell(
                hit.stream().filter(Box::isUp).toList(),
                ServerState.READY,
                fleet.discoveryDelays().returnDelayUs());
    }

    /** A batch drains, is gone, and comes back cold; the next one follows once it is listed. */
    private void release(List<Box> of, Fleet.Fault fault, int from) {
        int batch = Math.max(1, (int) fault.magnitude());
        if (from >= of.size()) {
            return;
        }
        List<Box> now = of.subList(from, Math.min(of.size(), from + batch));
        now.forEach(Box::drain);
        tell(now, ServerState.DRAINING, new Fleet.Range(0, 1));
        time.scheduleAfterUs(fleet.discoveryDelays().drainGraceUs() + 1_000_000, () -> {
            now.forEach(box -> box.terminate(false));
            time.scheduleAfterUs(fault.durationUs(), () -> {
                comeBack(now);
                time.scheduleAfterUs(
                        fleet.discoveryDelays().returnDelayUs().to(), () -> release(of, fault, from + batch));
            });
        });
    }

    private void restartNodes(Fleet.Fault fault) {
        int atOnce = Math.max(1, (int) fault.magnitude());
        List<Integer> of = IntStream.range(0, nodes.size())
                .boxed()
                .filter(n ->
                        fault.scope() != Fleet.FaultScope.ZONE || fleet.zones().zoneOf(n) == fault.index())
                .toList();
        int all = fault.count() == 0 ? of.size() : Math.min(fault.count(), of.size());
        for (int n = 0; n < all; n++) {
            int node = of.get(n);
            time.scheduleAfterUs(
                    n / atOnce * (fault.durationUs() + fleet.nodes().startupUs()), () -> {
                        killNode(node);
                        time.scheduleAfterUs(fault.durationUs() + fleet.nodes().startupUs(), () -> startNode(node));
                    });
        }
    }

    private ServerEntry entry(Box box, ServerState state) {
        return new ServerEntry(
                box.id, box.zone(), box.rack, state, 1, box.startedAtUs() == 0 ? 0 : unixUs + box.startedAtUs());
    }

    /** Discovery tells all nodes at once, late; of several changes the last one holds. It has its place in
     * zone 0:
     * nodes that are cut off from there hear of it once they are not. */
    private void tell(List<Box> of, ServerState state, Fleet.Range late) {
        if (of.isEmpty()) {
            return;
        }
        List<ServerEntry> entries = of.stream().map(box -> entry(box, state)).toList();
        time.scheduleAfterUs(lists.nextBetween(late), () -> {
            List<ServerEntry> stands = entries.stream()
                    .filter(e -> state != ServerState.GONE || !byId.get(e.id()).isUp())
                    .toList();
            for (int n = 0; n < nodes.size(); n++) {
                FleetNode node = nodes.get(n);
                cuts.whenConnected(0, fleet.zones().zoneOf(n), () -> node.serversChanged(stands));
            }
        });
    }
}
