package kitemux.world;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.sim.Scheduler;

/**
 * One world: machines, the network between them, nodes with the real network code, and what goes wrong, all
 * on one thread and in virtual time. The same plan gives the same events, to the byte.
 */
final class World {
    /** First tries that a server of the brief's kinds serves in a second when it does nothing else. */
    static final double SERVED_PER_S = 38;

    private static final long UNIX_US = 1_790_000_000_000_000L;
    /** After the last request: every deadline has passed, and what is told late has been told. */
    private static final long SETTLE_MS = 4_000;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long KILL_AFTER_MS = 3_700;
    /** How long a node that turns slow has no processor at all: at least, and what comes on top at most. */
    private static final long NO_PROCESSOR_MS = 200;

    private static final long MORE_NO_PROCESSOR_MS = 345;
    /**
     * What each thing costs it from then on: cold code on a part of a core. More, and refusing alone
     * would take
     * longer than requests take to come, so that no order of doing things would help. */
    private static final long MOST_THING_NS = 700_000;

    final Plan plan;
    final Defect defect;
    final Scheduler time = new Scheduler();
    final Tape tape;
    final Fabric fabric;
    final Judge judge;
    final boolean wholeLists;
    private final Settings settings;
    private final Settings told;
    private final List<Box> boxes = new ArrayList<>();
    private final List<NodeHost> nodes = new ArrayList<>();
    private final Map<Machine, NodeHost> nodeByMachine = new HashMap<>();
    private final List<ListServer> lists = new ArrayList<>();
    private final Clients clients;
    private final SplittableRandom chance;
    private long listDelayMs;
    private double burst = 1;

    /**
     * What became of a world.
     *
     * @param steps events that happened
     * @param virtualMs how much time passed in it
     * @param digest of all that happened
     * @param served tries that were served, and so on
     */
    record Verdict(
            Plan plan,
            long steps,
            double virtualMs,
            long digest,
            int asked,
            int served,
            int refused,
            int failed,
            List<Breach> breaches) {}

    /**
     * What nodes are told beside what holds: a description may say of a class what its owner did not mean.
     *
     * @param told to nodes
     * @param truth by which servers and clients act and nodes are judged
     * @param draining servers of these numbers drain from the beginning, and nodes are told so
     */
    record Terms(Settings told, Settings truth, Set<Integer> draining) {}

    private World(Plan plan, Terms terms, Defect defect, PrintWriter trace) {
        this.plan = plan;
        this.defect = defect;
        wholeLists = plan.wholeLists();
        tape = new Tape(time, trace);
        fabric = new Fabric(time, tape, random("ways"));
        told = terms.told();
        settings = terms.truth();
        judge = new Judge(time, tape, settings, plan);
        chance = random("faults");
        SplittableRandom fleet = random("fleet");
        for (int i = 0; i < plan.boxes(); i++) {
            double speed =
                    fleet.nextDouble() < 0.48 ? 0.85 + 0.25 * fleet.nextDouble() : 0.64 + 0.22 * fleet.nextDouble();
            boxes.add(new Box(
                    this,
                    settings,
                    random("box" + i),
                    fabric.add("b" + i, 100 + i, "10.1.0." + (i + 1) + ":8000"),
                    i % plan.cells(),
                    speed,
                    plan.chokes()));
        }
        terms.draining().forEach(number -> boxes.get(number).draining = true);
        List<ListServer.Entry> entries = boxes.stream()
                .map(b -> entry(b, b.draining ? "Terminating" : "Ready"))
                .toList();
        lists.add(new ListServer(this, fabric.add("discovery", 50, "10.2.0.1:8500"), 41, entries));
        lists.add(new ListServer(this, fabric.add("discovery2", 51, "10.2.0.2:8500"), 7, entries));
        clients = new Clients(this, plan, settings, random("clients"), fabric.add("clients", 1, "10.3.0.1:1"));
        for (int i = 0; i < plan.nodes(); i++) {
            NodeHost node = new NodeHost(
                    this,
                    told,
                    random("node" + i),
                    fabric.add("n" + i, 10 + i, "10.0.0." + (i + 1) + ":8000"),
                    lists.get(0),
                    plan.sockets(),
                    41,
                    entries);
            nodes.add(node);
            nodeByMachine.put(node.machine, node);
        }
    }

    /** Plays a world to its end. */
    static Verdict play(Plan plan, Defect defect, PrintWriter trace) {
        Settings settings = settings(plan);
        return new World(plan, new Terms(settings, settings, Set.of()), defect, trace).run();
    }

    /** The same on other terms than the brief's. */
    static Verdict play(Plan plan, Terms terms) {
        return new World(plan, terms, Defect.NONE, null).run();
    }

    /** The brief's classes and rules, on one node's terms. */
    private static Settings settings(Plan plan) {
        Settings set = new Settings();
        set.nodes = plan.nodes();
        set.zones.add("amman-room");
        set.classes.add(new RequestClass(
                "view-page", 100_000, 0, 500_000, 1, 0, RetrySafety.SAFE, DedupScope.ALL, 5_000_000, false));
        set.classes.add(new RequestClass(
                "add-photo", 200_000, 0, 600_000, 5, 0, RetrySafety.KEYED, plan.group(), plan.windowUs(), false));
        set.classes.add(new RequestClass(
                "place-order", 300_000, 0, 1_000_000, 5, 0, RetrySafety.UNSAFE, DedupScope.ALL, 5_000_000, false));
        double all = plan.boxes() * SERVED_PER_S;
        for (int i = 0; i < 3; i++) {
            set.tenants.add(new Tenant("school-" + (char) ('a' + i), all / 3));
        }
        set.overShareWorth = 0.1;
        set.maxAttempts = 4;
        set.hedgingAllowed = plan.secondCopies();
        set.cancellationAllowed = true;
        set.probes = true;
        set.maxRetryAfterUs = 1_000_000;
        set.tickUs = 2_000;
        set.connectTimeoutUs = 50_000;
        set.listOnRequest = true;
        set.drainGraceUs = 500_000;
        set.coldCapacityRatio = 0.12;
        set.warmUpUs = 23_000_000;
        set.overloadRatio = 4;
        set.overloadWindowUs = 2_000_000;
        return set;
    }

    private SplittableRandom random(String whose) {
        return new SplittableRandom(Tape.mix(plan.seed() * 31 + whose.hashCode()));
    }

    long unixUs() {
        return UNIX_US + time.nowUs();
    }

    /** Whether nodes expect a key with requests of this class. */
    boolean isKeyed(RequestClass of) {
        return told.classes.get(settings.classes.indexOf(of)).retrySafety() == RetrySafety.KEYED;
    }

    long unixMs() {
        return unixUs() / 1_000;
    }

    double ratePerS() {
        return plan.load() * plan.boxes() * SERVED_PER_S * burst;
    }

    NodeHost nodeAt(Machine machine) {
        return nodeByMachine.get(machine);
    }

    void fault(String what) {
        tape.note(Tape.What.FAULT, what.hashCode(), 0);
        if (tape.isOn()) {
            tape.line(Tape.What.FAULT, what);
        }
    }

    void nodeNote(NodeHost node, String what) {
        tape.note(Tape.What.NODE, node.machine.number, what.hashCode());
        if (tape.isOn()) {
            tape.line(Tape.What.NODE, node + " " + what);
        }
    }

    // ---------------------------------------------------------------- its course

    private Verdict run() {
        for (NodeHost node : nodes) {
            node.start();
            clients.watch(node);
        }
        time.scheduleAfterMs(300, clients::begin);
        for (Fault fault : plan.faults()) {
            time.scheduleAfterMs(fault.atMs(), () -> begin(fault));
        }
        try {
            long settled = (plan.lengthMs() + SETTLE_MS) * 1_000_000;
            while (time.runNext(settled)) {
                // What happens next is the step's.
            }
            nodes.forEach(NodeHost::checkEnd);
            if (clients.openCount() > 0 && nodes.stream().noneMatch(NodeHost::isUp)) {
                // Connections to nodes that run end with them; to others there must be none.
                judge.breach(Rule.LEFT_OVER, clients.openCount() + " connections of clients are open to no node");
            }
        } catch (RuntimeException | AssertionError e) {
            StackTraceElement[] stack = e.getStackTrace();
            judge.breach(Rule.CRASH, e + (stack.length > 0 ? " at " + stack[0] : ""));
        }
        return new Verdict(
                plan,
                time.executedEventCount(),
                time.nowNanos() / 1e6,
                tape.digest(),
                clients.asked(),
                judge.served,
                judge.refused,
                judge.failed,
                List.copyOf(judge.breaches()));
    }

    private ListServer.Entry entry(Box box, String state) {
        return new ListServer.Entry(
                box.uid,
                box.machine.address.getAddress().getHostAddress() + ":" + box.machine.address.getPort(),
                box.cell,
                state,
                box.bootMs);
    }

    /** Discovery hears of it after a while, at each of its places for itself. */
    private void list(Box box, String state) {
        ListServer.Entry entry = entry(box, state);
        for (ListServer each : lists) {
            time.scheduleAfterMs(100 + chance.nextInt(900) + listDelayMs, () -> each.learn(entry));
        }
    }

    // ---------------------------------------------------------------- what goes wrong

    private void begin(Fault fault) {
        fault(fault.toString());
        switch (fault.kind()) {
            case BOXES_DIE -> some(fault).forEach(box -> down(box, false, fault.forMs()));
            case BOXES_SILENT -> some(fault).forEach(box -> down(box, true, fault.forMs()));
            case ALL_SILENT -> boxes.forEach(box -> down(box, true, fault.forMs()));
            case BOXES_FAIL ->
                some(fault).forEach(box -> {
                    box.failing = 0.44 + 0.53 * fault.pick();
                    until(fault, () -> box.failing = 0);
                });
            case BOXES_SPOIL ->
                some(fault).forEach(box -> {
                    box.spoiling = 0.1 + 0.6 * fault.pick();
                    until(fault, () -> box.spoiling = 0);
                });
            case BOXES_RESET ->
                some(fault).forEach(box -> {
                    box.resetting = 0.1 + 0.8 * fault.pick();
                    until(fault, () -> box.resetting = 0);
                });
            case BOXES_GIVE_LONG ->
                some(fault).forEach(box -> {
                    box.givingLong = 0.05 + 0.25 * fault.pick();
                    until(fault, () -> box.givingLong = 0);
                });
            case BOXES_SLOW ->
                some(fault).forEach(box -> {
                    box.slowed = 2 + 1.5 * fault.pick();
                    until(fault, () -> box.slowed = 1);
                });
            case BOX_DRAINS -> drain(boxes.get((int) (fault.pick() * boxes.size())), fault.forMs());
            case NODE_KILLED -> {
                NodeHost node = node(fault);
                node.kill();
                time.scheduleAfterMs(1_000 + chance.nextInt(2_900), () -> noticeEnd(node));
                restart(node, fault.forMs());
            }
            case NODE_TERMINATED -> {
                NodeHost node = node(fault);
                node.terminate(KILL_AFTER_MS);
                time.scheduleAfterMs(200 + chance.nextInt(200), () -> clients.takeOut(node));
                restart(node, KILL_AFTER_MS + fault.forMs());
            }
            case NODE_STALLS -> stall(node(fault), fault, time.nowNanos() + fault.forMs() * 1_000_000);
            case LIST_DOWN -> listDown(fault);
            case LIST_LATE -> {
                listDelayMs = (long) (5_000 * fault.share());
                until(fault, () -> listDelayMs = 0);
            }
            case LIST_MOVES -> nodes.forEach(node -> node.moveTo(lists.get(1)));
            case NET_BREAKS -> {
                fabric.breaking = 0.05 * fault.share();
                until(fault, () -> fabric.breaking = 0);
            }
            case NET_HANGS -> {
                fabric.hanging = 0.3 * fault.share();
                until(fault, () -> fabric.hanging = 0);
            }
            case NET_SLOW -> {
                fabric.slower = (long) (10_000_000 * fault.share());
                until(fault, () -> fabric.slower = 0);
            }
            case NODE_SLOW -> {
                NodeHost node = node(fault);
                node.slow(NO_PROCESSOR_MS + (long) (MORE_NO_PROCESSOR_MS * fault.share()), (long)
                        (MOST_THING_NS * (0.2 + 0.8 * fault.pick())));
                until(fault, () -> node.slow(0, 0));
            }
            case BURST -> {
                burst = 1.5 + 2 * fault.share();
                until(fault, () -> burst = 1);
            }
        }
    }

    private void until(Fault fault, Runnable end) {
        time.scheduleAfterMs(fault.forMs(), () -> {
            fault(fault.kind() + " ends");
            end.run();
        });
    }

    /** The servers that a fault befalls: its share of them, one at least, from where it picks. */
    private List<Box> some(Fault fault) {
        int count = Math.max(1, (int) Math.round(fault.share() * boxes.size()));
        int first = (int) (fault.pick() * boxes.size());
        List<Box> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            some.add(boxes.get((first + i) % boxes.size()));
        }
        return some;
    }

    private NodeHost node(Fault fault) {
        return nodes.get((int) (fault.pick() * nodes.size()));
    }

    private void down(Box box, boolean silently, long forMs) {
        if (!box.isUp()) {
            return;
        }
        if (silently) {
            box.goSilent();
        } else {
            box.die();
            list(box, "Gone");
        }
        time.scheduleAfterMs(forMs, () -> backCold(box));
    }

    private void backCold(Box box) {
        if (!box.fallen && !box.isUp()) {
            box.start();
            fault(box + " is back, cold");
            list(box, "Ready");
        }
    }

    /** As a deployment does it: listed as draining, finished, gone, and back as a new process. */
    private void drain(Box box, long forMs) {
        if (!box.isUp()) {
            return;
        }
        fault(box + " drains");
        list(box, "Terminating");
        // What discovery has to tell counts as told six seconds later at the latest.
        long boot = box.bootMs;
        time.scheduleAfterMs(Math.min(6_000, 1_500 + listDelayMs), () -> box.draining |= box.bootMs == boot);
        time.scheduleAfterMs(1_000 + listDelayMs + forMs / 2, () -> {
            if (box.isUp() && box.bootMs == boot) {
                box.die();
                list(box, "Gone");
            }
        });
        time.scheduleAfterMs(2_000 + listDelayMs + forMs, () -> backCold(box));
    }

    private void noticeEnd(NodeHost node) {
        if (!node.isUp()) {
            clients.takeOut(node);
        }
    }

    private void restart(NodeHost node, long afterMs) {
        time.scheduleAfterMs(afterMs + plan.startMs(), () -> {
            if (!node.isUp()) {
                clients.takeOut(node);
                node.start();
                clients.watch(node);
            }
        });
    }

    private void stall(NodeHost node, Fault fault, long until) {
        if (time.nowNanos() < until) {
            node.stall(20 + (long) (fault.share() * (60 + chance.nextInt(120))));
            time.scheduleAfterMs(40 + chance.nextInt(250), () -> stall(node, fault, until));
        }
    }

    private void listDown(Fault fault) {
        ListServer list = lists.get(0);
        list.goDown(fault.pick() < 0.3);
        time.scheduleAfterMs(fault.forMs(), () -> {
            fault("discovery is back");
            list.comeUp((int) (fault.share() * 4));
            time.scheduleAfterMs(1_000 + chance.nextInt(3_000), list::catchUp);
        });
    }
}
