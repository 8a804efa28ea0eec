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
    private final Rules rules;
    private final Map<String, Box> byId = new LinkedHashMap<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final Tally tally;
    private final Population clients;
    private final Draws lists;
    private final Draws faults;
    private final Cuts cuts;
    private final long seed;
    private long unixUs;

    /** Makes the nodes of a run. */
    public interface NodeMaker {
        /** A node that is not started, by its number. */
        FleetNode make(int number, Emulation of);
    }

    private Emulation(Fleet fleet, long seed, Scheduler time, NodeMaker maker) {
        List<String> found = fleet.faultsFound();
        if (!found.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", found));
        }
        this.fleet = fleet;
        this.seed = seed;
        this.time = time;
        rules = new Rules(time, new Rules.Limits(FALL_MULTIPLE, FALL_US));
        tally = new Tally(fleet);
        cuts = new Cuts(fleet.zones().count());
        lists = new Draws(seed, Draws.Cause.LISTS);
        faults = new Draws(seed, Draws.Cause.FAULTS);
        Draws speeds = new Draws(seed, Draws.Cause.BOXES);
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.Kind kind = fleet.kinds().get(k);
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
                        new Draws(seed, Draws.Cause.BOXES, 1 + boxes.size()));
                boxes.add(box);
                byId.put(id, box);
            }
        }
        for (int n = 0; n < fleet.nodes().count(); n++) {
            nodes.add(maker.make(n, this));
        }
        clients = new Population(fleet, time, nodes, rules, tally, seed);
    }

    /**
     * Plays a fleet until all clients have their answers.
     *
     * @throws IllegalArgumentException if it cannot be played; {@link Fleet#faultsFound} says why
     */
    public static Result play(Fleet fleet, long seed) {
        return played(fleet, seed, Proxy.ModuleMaker.SOUND).result();
    }

    /** The same with other decision modules; its servers tell what they met. */
    static Emulation played(Fleet fleet, long seed, Proxy.ModuleMaker modules) {
        Draws seeds = new Draws(seed, Draws.Cause.MODULES);
        Emulation run = new Emulation(
                fleet,
                seed,
                new Scheduler(),
                (n, of) -> new Proxy(
                        n,
                        fleet,
                        of.time,
                        of.byId,
                        of.rules,
                        of.cuts,
                        of.settings(n),
                        new Draws(seed, Draws.Cause.NETWORK, n),
                        seeds,
                        UNIX_US,
                        modules));
        run.begin(UNIX_US);
        while (run.time.step(run.endsUs() * 1_000)) {
            // Each step is one event.
        }
        return run;
    }

    /**
     * The same clients, servers and troubles among nodes that somebody else brings, on a time that somebody
     * else lets pass. Nothing happens before {@link #begin}.
     *
     * @throws IllegalArgumentException as {@link #play}
     */
    public static Emulation among(Fleet fleet, long seed, Scheduler time, NodeMaker nodes) {
        return new Emulation(fleet, seed, time, nodes);
    }

    /** The servers, in order. */
    public List<Box> boxes() {
        return List.copyOf(boxes);
    }

    /** When all clients have their answers at the latest, in microseconds of the run's time. */
    public long endsUs() {
        return fleet.load().lengthUs() + RUN_OUT_US;
    }

    /** What a node of this fleet is told. */
    public Settings settings(int me) {
        Settings set = new Settings();
        set.nodes = fleet.nodes().count();
        set.nodeIndex = me;
        for (int z = 0; z < fleet.zones().count(); z++) {
            set.zones.add("zone-" + z);
        }
        set.myZone = fleet.zones().of(me);
        set.crossZonePrice = fleet.zones().price();
        fleet.classes().forEach(work -> set.classes.add(work.of()));
        double shares = fleet.tenants().stream().mapToDouble(Fleet.Share::share).sum();
        fleet.tenants()
                .forEach(t -> set.tenants.add(new Tenant(t.name(), fleet.load().quotaPerS() * t.share() / shares)));
        set.overShareWorth = fleet.load().overShareWorth();
        set.maxAttempts = 4;
        set.hedgingAllowed = true;
        set.cancellationAllowed = true;
        set.maxRetryAfterUs = fleet.clients().mostRetryAfterUs();
        set.connectTimeoutUs = fleet.links().connectUs();
        set.drainGraceUs = fleet.list().graceUs();
        set.coldCapacityRatio =
                fleet.kinds().stream().mapToDouble(Fleet.Kind::coldFrom).min().orElse(1);
        set.warmUpUs =
                fleet.kinds().stream().mapToLong(Fleet.Kind::coldUs).max().orElse(0);
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
            node.listed(all);
            node.start();
        }
        fleet.faults().forEach(fault -> time.afterUs(fault.atUs(), () -> begin(fault)));
        clients.begin();
    }

    /** What it came to so far. */
    public Result result() {
        double seconds = fleet.load().lengthUs() / 1e6;
        List<Result.OfKind> kinds = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            int kind = k;
            List<Box> of = boxes.stream().filter(box -> box.kind == kind).toList();
            double all = seconds * 1e6 * fleet.kinds().get(k).cores();
            kinds.add(new Result.OfKind(
                    fleet.kinds().get(k).name(),
                    of.stream().mapToDouble(box -> box.busyUs / all).average().orElse(0),
                    of.stream().mapToDouble(box -> box.busyUs / all).max().orElse(0),
                    of.stream().mapToInt(box -> box.mostConnectionsSeen).max().orElse(0),
                    (int) of.stream().filter(Box::hasChoked).count()));
        }
        List<FleetNode.Figures> did = nodes.stream().map(FleetNode::figures).toList();
        double busyUs = boxes.stream().mapToDouble(box -> box.busyUs).sum();
        List<Result.OfClass> classes = tally.classes();
        long wishes = classes.stream().mapToLong(Result.OfClass::offered).sum();
        return new Result(
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
                        .mapToDouble(d -> d.usedUs() / (seconds * 1e6))
                        .average()
                        .orElse(0),
                did.stream().mapToDouble(FleetNode.Figures::mostLateUs).max().orElse(0),
                (int) boxes.stream().filter(Box::hasChoked).count(),
                boxes.stream().mapToLong(box -> box.turnedAway).sum(),
                boxes.stream().mapToLong(box -> box.refusedConnections).sum(),
                did.stream().mapToLong(FleetNode.Figures::attempts).sum(),
                did.stream().mapToLong(FleetNode.Figures::dials).sum(),
                busyUs == 0
                        ? 0
                        : boxes.stream().mapToDouble(box -> box.wastedUs).sum() / busyUs,
                rules.breaks(),
                rules.told(),
                time.steps());
    }

    // ---------------------------------------------------------------- for whoever plays it by hand

    /**
     * A server as it is now.
     *
     * @param state up, draining, cold, slow, failing, silent, dead or fallen
     * @param held requests that run or wait
     * @param done since the beginning
     */
    public record BoxNow(String id, String state, int held, int connections, long done, double warmth) {}

    /** All servers, in order. */
    public List<BoxNow> boxesNow() {
        return boxes.stream().map(Box::now).toList();
    }

    /** Whether a node takes clients, in order. */
    public List<Boolean> nodesUp() {
        return nodes.stream().map(FleetNode::isUp).toList();
    }

    /** This trouble befalls one server now; one that ends by itself does after {@code forUs}. */
    public void befalls(Fleet.Trouble trouble, String id, long forUs, double size) {
        begin(new Fleet.Fault(trouble, Fleet.Among.ANY, 0, 1, 0, forUs, size), List.of(byId.get(id)));
    }

    /** One server is itself again: a new process where it had none, and no trouble of its own. */
    public void wellAgain(String id) {
        Box box = byId.get(id);
        box.failing = 0;
        box.slowed = 1;
        if (!box.isUp()) {
            comeBack(List.of(box));
        }
    }

    /** A node is killed and starts anew. */
    public void restartNode() {
        restartNodes(new Fleet.Fault(Fleet.Trouble.NODES_RESTART, Fleet.Among.ANY, 0, 1, 0, 0, 1));
    }

    /** A node is killed; the front deals out to it until it notices. */
    public void killNode(int node) {
        clients.died(node);
        nodes.get(node).die();
    }

    /** A node that was killed starts anew. */
    public void startNode(int node) {
        nodes.get(node).start();
    }

    /** One tenant asks so much more for so long. */
    public void flood(int tenant, double ratePerS, long forUs) {
        clients.flood(tenant, ratePerS, time.nowUs() + forUs);
    }

    // ---------------------------------------------------------------- what goes wrong

    private void begin(Fleet.Fault fault) {
        if (fault.trouble() == Fleet.Trouble.NODES_RESTART) {
            restartNodes(fault);
            return;
        }
        begin(fault, chosen(fault));
    }

    private void begin(Fleet.Fault fault, List<Box> hit) {
        switch (fault.trouble()) {
            case DIE, VANISH -> {
                boolean silently = fault.trouble() == Fleet.Trouble.VANISH;
                hit.forEach(box -> box.die(silently));
                tell(
                        hit,
                        ServerState.GONE,
                        silently ? fleet.list().silentUs() : fleet.list().goneUs());
                time.afterUs(fault.forUs(), () -> comeBack(hit));
            }
            case FAIL -> {
                hit.forEach(box -> box.failing = fault.size());
                time.afterUs(fault.forUs(), () -> hit.forEach(box -> box.failing = 0));
            }
            case SLOW -> {
                hit.forEach(box -> box.slowed = fault.size());
                time.afterUs(fault.forUs(), () -> hit.forEach(box -> box.slowed = 1));
            }
            case RELEASE -> release(hit, fault, 0);
            case CUT -> {
                cuts.cut(fault.which());
                time.afterUs(fault.forUs(), () -> cuts.mend(fault.which()));
            }
            case NODES_RESTART -> throw new IllegalStateException("handled above");
        }
    }

    private List<Box> chosen(Fleet.Fault fault) {
        List<Box> from = new ArrayList<>(boxes.stream()
                .filter(box -> switch (fault.among()) {
                    case ANY -> true;
                    case RACK -> box.rack == fault.which();
                    case ZONE -> box.zone() == fault.which();
                    case KIND -> box.kind == fault.which();
                })
                .toList());
        if (fault.count() == 0 || fault.count() >= from.size()) {
            return from;
        }
        List<Box> hit = new ArrayList<>();
        for (int i = 0; i < fault.count(); i++) {
            hit.add(from.remove(faults.below(from.size())));
        }
        return hit;
    }

    private void comeBack(List<Box> hit) {
        hit.forEach(Box::start);
        tell(
                hit.stream().filter(Box::isUp).toList(),
                ServerState.READY,
                fleet.list().backUs());
    }

    /** A batch drains, is gone, and comes back cold; the next one follows once it is listed. */
    private void release(List<Box> of, Fleet.Fault fault, int from) {
        int batch = Math.max(1, (int) fault.size());
        if (from >= of.size()) {
            return;
        }
        List<Box> now = of.subList(from, Math.min(of.size(), from + batch));
        now.forEach(Box::drain);
        tell(now, ServerState.DRAINING, new Fleet.Range(0, 1));
        time.afterUs(fleet.list().graceUs() + 1_000_000, () -> {
            now.forEach(box -> box.die(false));
            time.afterUs(fault.forUs(), () -> {
                comeBack(now);
                time.afterUs(fleet.list().backUs().to(), () -> release(of, fault, from + batch));
            });
        });
    }

    private void restartNodes(Fleet.Fault fault) {
        int atOnce = Math.max(1, (int) fault.size());
        List<Integer> of = IntStream.range(0, nodes.size())
                .boxed()
                .filter(n -> fault.among() != Fleet.Among.ZONE || fleet.zones().of(n) == fault.which())
                .toList();
        int all = fault.count() == 0 ? of.size() : Math.min(fault.count(), of.size());
        for (int n = 0; n < all; n++) {
            int node = of.get(n);
            time.afterUs(n / atOnce * (fault.forUs() + fleet.nodes().startUs()), () -> {
                killNode(node);
                time.afterUs(fault.forUs() + fleet.nodes().startUs(), () -> startNode(node));
            });
        }
    }

    private ServerEntry entry(Box box, ServerState state) {
        return new ServerEntry(
                box.id, box.zone(), box.rack, state, 1, box.startedUs() == 0 ? 0 : unixUs + box.startedUs());
    }

    /** Discovery tells all nodes at once, late; of several changes the last one holds. It has its place in
     * zone 0:
     * nodes that are cut off from there hear of it once they are not. */
    private void tell(List<Box> of, ServerState state, Fleet.Range late) {
        if (of.isEmpty()) {
            return;
        }
        List<ServerEntry> entries = of.stream().map(box -> entry(box, state)).toList();
        time.afterUs(lists.between(late), () -> {
            List<ServerEntry> stands = entries.stream()
                    .filter(e -> state != ServerState.GONE || !byId.get(e.id()).isUp())
                    .toList();
            for (int n = 0; n < nodes.size(); n++) {
                FleetNode node = nodes.get(n);
                cuts.whenWhole(0, fleet.zones().of(n), () -> node.listed(stands));
            }
        });
    }
}
