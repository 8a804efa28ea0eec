package kitemux.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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
    private final Scheduler time = new Scheduler();
    private final Rules rules = new Rules(time, new Rules.Limits(FALL_MULTIPLE, FALL_US));
    private final Map<String, Box> byId = new LinkedHashMap<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<Proxy> nodes = new ArrayList<>();
    private final Tally tally;
    private final Population clients;
    private final Draws lists;
    private final Draws faults;
    private final long seed;

    private Emulation(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
        tally = new Tally(fleet);
        lists = new Draws(seed, Draws.Cause.LISTS);
        faults = new Draws(seed, Draws.Cause.FAULTS);
        Draws speeds = new Draws(seed, Draws.Cause.BOXES);
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.Kind kind = fleet.kinds().get(k);
            for (int i = 0; i < kind.count(); i++) {
                String id = kind.name() + "-" + i;
                Box box = new Box(id, k, boxes.size() % fleet.racks(), fleet,
                        kind.speedCv() == 0 ? kind.speed() : speeds.lognormal(kind.speed(), kind.speedCv()),
                        time, rules, new Draws(seed, Draws.Cause.BOXES, 1 + boxes.size()));
                boxes.add(box);
                byId.put(id, box);
            }
        }
        Draws seeds = new Draws(seed, Draws.Cause.MODULES);
        for (int n = 0; n < fleet.nodes().count(); n++) {
            nodes.add(new Proxy(n, fleet, time, byId, rules, settings(n),
                    new Draws(seed, Draws.Cause.NETWORK, n), seeds, UNIX_US));
        }
        clients = new Population(fleet, time, nodes, rules, tally, seed);
    }

    /**
     * Plays a fleet until all clients have their answers.
     *
     * @throws IllegalArgumentException if it cannot be played; {@link Fleet#faultsFound} says why
     */
    public static Result play(Fleet fleet, long seed) {
        List<String> found = fleet.faultsFound();
        if (!found.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", found));
        }
        return new Emulation(fleet, seed).run();
    }

    private Settings settings(int me) {
        Settings set = new Settings();
        set.nodes = fleet.nodes().count();
        set.me = me;
        set.zones.add("here");
        fleet.classes().forEach(work -> set.classes.add(work.of()));
        double shares = fleet.tenants().stream().mapToDouble(Fleet.Share::share).sum();
        fleet.tenants().forEach(t -> set.tenants.add(new Tenant(t.name(),
                fleet.load().quotaPerS() * t.share() / shares)));
        set.overShareWorth = fleet.load().overShareWorth();
        set.maxAttempts = 4;
        set.secondCopies = true;
        set.cancel = true;
        set.maxRetryAfterUs = fleet.clients().mostRetryAfterUs();
        set.connectTimeoutUs = fleet.links().connectUs();
        set.drainGraceUs = fleet.list().graceUs();
        set.coldFrom = fleet.kinds().stream().mapToDouble(Fleet.Kind::coldFrom).min().orElse(1);
        set.coldUs = fleet.kinds().stream().mapToLong(Fleet.Kind::coldUs).max().orElse(0);
        set.fallMultiple = FALL_MULTIPLE;
        set.fallUs = FALL_US;
        return set;
    }

    private Result run() {
        List<ServerEntry> all = boxes.stream().map(box -> entry(box, ServerState.READY)).toList();
        for (Proxy node : nodes) {
            node.listed(all);
            node.start();
        }
        fleet.faults().forEach(fault -> time.afterUs(fault.atUs(), () -> begin(fault)));
        clients.begin();
        long untilNanos = (fleet.load().lengthUs() + RUN_OUT_US) * 1_000;
        while (time.step(untilNanos)) {
            // Each step is one event.
        }
        return result();
    }

    private Result result() {
        double seconds = fleet.load().lengthUs() / 1e6;
        List<Result.OfKind> kinds = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            int kind = k;
            List<Box> of = boxes.stream().filter(box -> box.kind == kind).toList();
            double all = seconds * 1e6 * fleet.kinds().get(k).cores();
            kinds.add(new Result.OfKind(fleet.kinds().get(k).name(),
                    of.stream().mapToDouble(box -> box.busyUs / all).average().orElse(0),
                    of.stream().mapToDouble(box -> box.busyUs / all).max().orElse(0),
                    of.stream().mapToInt(box -> box.mostConnectionsSeen).max().orElse(0),
                    (int) of.stream().filter(Box::hasChoked).count()));
        }
        double busyUs = boxes.stream().mapToDouble(box -> box.busyUs).sum();
        List<Result.OfClass> classes = tally.classes();
        long wishes = classes.stream().mapToLong(Result.OfClass::offered).sum();
        return new Result(seed, tally.share(0, Integer.MAX_VALUE), tally.worstWindow(), tally.worstTenant(),
                tally.sharesBySecond(), classes, tally.latencyUs(50), tally.latencyUs(99),
                wishes == 0 ? 0 : (double) tally.tries / wishes, kinds,
                nodes.stream().mapToDouble(node -> node.usedUs / (seconds * 1e6)).average().orElse(0),
                nodes.stream().mapToDouble(node -> node.mostLateUs).max().orElse(0),
                (int) boxes.stream().filter(Box::hasChoked).count(),
                boxes.stream().mapToLong(box -> box.turnedAway).sum(),
                boxes.stream().mapToLong(box -> box.refusedConnections).sum(),
                nodes.stream().mapToLong(node -> node.attempts).sum(),
                nodes.stream().mapToLong(node -> node.dials).sum(),
                busyUs == 0 ? 0 : boxes.stream().mapToDouble(box -> box.wastedUs).sum() / busyUs,
                rules.breaks(), rules.told(), time.steps());
    }

    // ---------------------------------------------------------------- what goes wrong

    private void begin(Fleet.Fault fault) {
        if (fault.trouble() == Fleet.Trouble.NODES_RESTART) {
            restartNodes(fault);
            return;
        }
        List<Box> hit = chosen(fault);
        switch (fault.trouble()) {
            case DIE, VANISH -> {
                boolean silently = fault.trouble() == Fleet.Trouble.VANISH;
                hit.forEach(box -> box.die(silently));
                tell(hit, ServerState.GONE, silently ? fleet.list().silentUs() : fleet.list().goneUs());
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
            case NODES_RESTART -> throw new IllegalStateException("handled above");
        }
    }

    private List<Box> chosen(Fleet.Fault fault) {
        List<Box> from = new ArrayList<>(boxes.stream().filter(box -> switch (fault.among()) {
            case ANY -> true;
            case RACK -> box.rack == fault.which();
            case KIND -> box.kind == fault.which();
        }).toList());
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
        tell(hit.stream().filter(Box::isUp).toList(), ServerState.READY, fleet.list().backUs());
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
        int all = fault.count() == 0 ? nodes.size() : Math.min(fault.count(), nodes.size());
        for (int n = 0; n < all; n++) {
            int node = n;
            time.afterUs(n / atOnce * (fault.forUs() + fleet.nodes().startUs()), () -> {
                clients.died(node);
                nodes.get(node).die();
                time.afterUs(fault.forUs() + fleet.nodes().startUs(), () -> nodes.get(node).start());
            });
        }
    }

    private ServerEntry entry(Box box, ServerState state) {
        return new ServerEntry(box.id, 0, box.rack, state, 1,
                box.startedUs() == 0 ? 0 : UNIX_US + box.startedUs());
    }

    /** Discovery tells all nodes at once, late; of several changes the last one holds. */
    private void tell(List<Box> of, ServerState state, Fleet.Range late) {
        if (of.isEmpty()) {
            return;
        }
        List<ServerEntry> entries = of.stream().map(box -> entry(box, state)).toList();
        time.afterUs(lists.between(late), () -> {
            List<ServerEntry> stands = entries.stream().filter(e -> state != ServerState.GONE
                    || !byId.get(e.id()).isUp()).toList();
            nodes.forEach(node -> node.listed(stands));
        });
    }
}
