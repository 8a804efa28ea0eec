package kitemux.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import kitemux.sim.Scheduler;

/**
 * Eight keepers and some nodes in three regions on a virtual clock: what is sent is bytes that are late or
 * lost, disks sync late and lose what was not synced, processes die, stand still and start anew. What is seen
 * goes to a judge.
 */
final class Fleet {
    static final int KEEPERS = 8;
    private static final int[] REGION_OF_KEEPER = {0, 0, 0, 1, 1, 1, 2, 2};
    private static final List<Integer> VOTERS = List.of(0, 1, 3, 4, 6);
    private static final int ENOUGH_VOTERS = 3;
    private static final long UNIX_MS = 1_800_000_000_000L;
    private static final long RETRY_WHOLE_US = 1_500_000;

    final Scheduler time = new Scheduler();
    final SplittableRandom draws;
    final Judge judge;
    final List<KeeperHost> keepers = new ArrayList<>();
    final List<NodeHost> nodes = new ArrayList<>();
    final List<Voter> founding = new ArrayList<>();
    final SortedMap<String, String> firstValues;
    final long firstRev;
    private final Defect defect;
    private final ProtocolParameters terms;
    private final int[] regionOfNode;
    /** Regions between which nothing passes. */
    final boolean[][] cut = new boolean[3][3];
    /** Part of what keepers say to each other that is lost. */
    double loss;
    /** Where above 0, all is late by up to this. */
    long mostLateUs;

    private long calls;
    private long lives;
    private long turns;
    /** Outcomes by kind, and lines: what was played. */
    final Map<String, Long> counts = new TreeMap<>();
    /** Everything that was seen, as it was seen, if kept. */
    final List<Judge.Seen> tape = new ArrayList<>();

    boolean keepsTape;
    private final Map<Long, Consumer<Outcome>> operators = new HashMap<>();

    Fleet(
            int nodeCount,
            long firstRev,
            SortedMap<String, String> firstValues,
            long seed,
            Defect defect,
            java.util.Set<Integer> oldNodes) {
        draws = new SplittableRandom(seed);
        this.defect = defect;
        this.firstRev = firstRev;
        this.firstValues = firstValues;
        terms = defect.terms(ProtocolParameters.defaults());
        Map<Long, Map<String, String>> first = new TreeMap<>(Map.of(firstRev, firstValues));
        first.put(0L, Map.of());
        judge = new Judge(first, Fleet::isSound, (node, values) -> !oldNodes.contains(node) || isKnownToOld(values));
        regionOfNode = new int[nodeCount];
        for (int k : VOTERS) {
            founding.add(new Voter(k, "first" + k));
        }
        for (int k = 0; k < KEEPERS; k++) {
            KeeperHost host = new KeeperHost(k);
            if (firstRev > 0) {
                host.disk.add(new LogRecord.Snapshot(firstRev, firstValues));
            }
            keepers.add(host);
        }
        for (int n = 0; n < nodeCount; n++) {
            regionOfNode[n] = n % 3;
            nodes.add(new NodeHost(n, new ToyRules(oldNodes.contains(n))));
        }
        keepers.forEach(KeeperHost::start);
        nodes.forEach(NodeHost::start);
        reach();
        passes();
    }

    /** The judge's own reading of what may be chosen. */
    private static boolean isSound(Map<String, String> values) {
        return values.entrySet().stream()
                        .noneMatch(v -> v.getKey().startsWith("realms/") && Long.parseLong(v.getValue()) < 0)
                && Long.parseLong(values.getOrDefault("classes/a", "50"))
                                + Long.parseLong(values.getOrDefault("classes/b", "50"))
                        == 100;
    }

    private static boolean isKnownToOld(Map<String, String> values) {
        return values.entrySet().stream()
                .noneMatch(v ->
                        v.getKey().startsWith("realms/") && Long.parseLong(v.getValue()) >= ToyRules.NOT_KNOWN_TO_OLD);
    }

    void see(Judge.Seen seen) {
        if (keepsTape) {
            tape.add(seen);
        }
        judge.see(seen);
    }

    void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    long nowUs() {
        return time.nowUs();
    }

    private void passes() {
        time.scheduleAfterUs(100_000, () -> {
            see(new Judge.Passed(nowUs()));
            passes();
        });
    }

    void run(long us) {
        long until = time.nowNanos() + us * 1_000;
        while (time.runNext(until) && judge.breaches().isEmpty()) {
            // Each step is one event.
        }
    }

    private long lateUs(int a, int b) {
        if (mostLateUs > 0) {
            return draws.nextLong(300, mostLateUs);
        }
        return a == b ? draws.nextLong(300, 3_000) : draws.nextLong(40_000, 75_000);
    }

    boolean isCut(int a, int b) {
        return cut[a][b];
    }

    void setCut(int a, int b, boolean is) {
        cut[a][b] = is;
        cut[b][a] = is;
    }

    /** Tells the judge who could reach whom by now: to be called after each change of lines and processes. */
    void reach() {
        int[] majority = new int[KEEPERS];
        for (KeeperHost a : keepers) {
            for (int v : VOTERS) {
                KeeperHost b = keepers.get(v);
                boolean votes = b.identity.equals("first" + v);
                majority[a.number] +=
                        votes && a.isWell() && b.isWell() && !a.silent && !b.silent && !isCut(a.region, b.region)
                                ? 1
                                : 0;
            }
        }
        for (NodeHost node : nodes) {
            int bad = 0;
            for (KeeperHost k : keepers) {
                boolean reaches = k.isWell() && !isCut(k.region, regionOfNode[node.number]);
                bad += reaches && majority[k.number] >= ENOUGH_VOTERS ? 0 : 1;
            }
            boolean well = node.subscriber != null && !node.still;
            see(new Judge.Reach(nowUs(), node.number, well && bad < KEEPERS, node.moreUs(bad)));
        }
    }

    /** A process with one thread: what comes while it stands still is done when it goes on. */
    abstract class Host {
        boolean still;
        long process;
        private final ArrayDeque<Runnable> held = new ArrayDeque<>();
        Scheduler.Event timer;

        /** Done in this life of it, or not at all. */
        Runnable inLife(Runnable what) {
            long mine = process;
            return () -> {
                if (process == mine && isUp()) {
                    if (still) {
                        held.add(what);
                    } else {
                        what.run();
                        arm();
                    }
                }
            };
        }

        abstract boolean isUp();

        abstract long nextAtUs();

        abstract void tick();

        boolean isWell() {
            return isUp() && !still;
        }

        void arm() {
            if (timer != null) {
                timer.cancel();
            }
            long at = isUp() ? nextAtUs() : Long.MAX_VALUE;
            timer = at == Long.MAX_VALUE ? null : time.scheduleAt(Math.max(at, nowUs()) * 1_000, inLife(this::tick));
        }

        void stop() {
            still = true;
            reach();
        }

        void goOn() {
            still = false;
            while (!held.isEmpty() && !still) {
                Runnable what = held.poll();
                // It may have been ended while it stood still, or by what came before.
                if (isUp()) {
                    what.run();
                }
            }
            if (isUp()) {
                arm();
            }
            reach();
        }

        void begins() {
            process = ++lives;
            still = false;
            held.clear();
        }
    }

    /** A watch as a connection: what is written arrives in order, until something is lost. */
    private static final class Connection {
        final long id;
        final KeeperHost keeper;
        final NodeHost node;
        final long nodeLife;
        final String nodeProcess;
        final long nodeWatch;
        long lastUs;
        boolean broken;
        boolean closed;
        boolean hasWhole;

        Connection(long id, KeeperHost keeper, NodeHost node, long nodeWatch) {
            this.id = id;
            this.keeper = keeper;
            this.node = node;
            this.nodeLife = node.process;
            this.nodeProcess = node.name();
            this.nodeWatch = nodeWatch;
        }
    }

    /** A keeper's machine: its disk, and the process that it runs. */
    final class KeeperHost extends Host {
        final int number;
        final int region;
        String identity;
        final List<LogRecord> disk = new ArrayList<>();
        private final ArrayDeque<LogRecord> unsynced = new ArrayDeque<>();
        private long diskFreeUs;
        KeeperStateMachine machine;
        /** Other keepers hear nothing of it, nor it of them; nodes do. */
        boolean silent;

        private long told = -1;
        private final Map<Long, Connection> lines = new HashMap<>();
        /** What it was asked, by call. */
        private final Map<Long, Consumer<Response>> replies = new HashMap<>();

        KeeperHost(int number) {
            this.number = number;
            this.region = REGION_OF_KEEPER[number];
            this.identity = "first" + number;
        }

        @Override
        boolean isUp() {
            return machine != null;
        }

        @Override
        long nextAtUs() {
            return machine.nextAtUs();
        }

        @Override
        void tick() {
            done(machine.tick(nowUs()));
        }

        void start() {
            begins();
            List<LogRecord> read = disk.stream()
                    .map(kept ->
                            RolloutText.readLogRecord(RolloutText.write(kept)).value())
                    .toList();
            machine = new KeeperStateMachine(
                    terms,
                    new Voter(number, identity),
                    KEEPERS,
                    founding,
                    defect.keeperRules(new ToyRules(false)),
                    read,
                    draws.nextLong(),
                    nowUs());
            told = -1;
            known();
            if (defect.servesAtOnce()) {
                for (int v : VOTERS) {
                    machine.handleResponse(
                            nowUs(),
                            v,
                            new Response.Versions(
                                    machine.history().rev(), machine.history().rev(), List.of()));
                }
            }
            arm();
        }

        /** Its process is gone, and what was not synced, but for a part that had got there. */
        void die() {
            if (machine == null) {
                return;
            }
            machine = null;
            for (int i = draws.nextInt(unsynced.size() + 1); i > 0; i--) {
                synced(unsynced.poll());
            }
            unsynced.clear();
            diskFreeUs = 0;
            replies.clear();
            List.copyOf(lines.values()).forEach(line -> {
                if (!isCut(region, regionOfNode[line.node.number])) {
                    time.scheduleAfterUs(lateUs(region, regionOfNode[line.node.number]), () -> line.node.ended(line));
                }
            });
            lines.clear();
            reach();
        }

        /** Its machine is another one, with an empty disk. */
        void loseDisk() {
            die();
            disk.clear();
            if (!defect.keepsIdentity()) {
                identity = "again" + ++lives;
            }
            reach();
        }

        private void synced(LogRecord kept) {
            disk.add(kept);
            if (kept instanceof LogRecord.Voted voted && voted.vote().accepted() != null) {
                see(new Judge.OnDisk(
                        nowUs(),
                        number,
                        voted.vote().rev(),
                        voted.vote().accepted().id()));
            } else if (kept instanceof LogRecord.Chosen chosen) {
                see(new Judge.OnDisk(
                        nowUs(),
                        number,
                        chosen.version().rev(),
                        chosen.version().change().id()));
            }
        }

        private void write(Effect.Persist effect) {
            if (!defect.syncs(effect.entry())) {
                done(effect.then());
                return;
            }
            unsynced.add(effect.entry());
            diskFreeUs = Math.max(diskFreeUs, nowUs())
                    + (draws.nextInt(20) == 0 ? draws.nextLong(100_000, 500_000) : draws.nextLong(500, 20_000));
            long life = process;
            boolean waits = defect.waitsForSync();
            time.scheduleAt(diskFreeUs * 1_000, () -> {
                if (process == life && isUp()) {
                    // A disk goes on while its process stands still.
                    synced(unsynced.poll());
                    if (waits) {
                        inLife(() -> done(effect.then())).run();
                    }
                }
            });
            if (!waits) {
                done(effect.then());
            }
        }

        String name() {
            return "keeper " + number + "/" + process;
        }

        private void known() {
            History history = machine.history();
            if (history.rev() != told) {
                told = history.rev();
                Version version = history.version(told);
                see(new Judge.Known(
                        nowUs(),
                        name(),
                        told,
                        version == null ? "" : version.change().id(),
                        history.values()));
            }
        }

        private void done(List<Effect> effects) {
            if (machine != null) {
                known();
            }
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    keepers.get(send.to()).ask(this, send.request());
                } else if (effect instanceof Effect.Reply reply) {
                    Consumer<Response> to = replies.remove(reply.call());
                    if (to != null) {
                        to.accept(reply.answer());
                    }
                } else if (effect instanceof Effect.Persist write) {
                    write(write);
                } else if (effect instanceof Effect.CompleteChange conclude) {
                    operators.remove(conclude.call()).accept(conclude.outcome());
                } else if (effect instanceof Effect.SendEvent tell) {
                    tell(tell);
                } else if (effect instanceof Effect.RejectWatch refuse) {
                    Connection line = lines.remove(refuse.watch());
                    arrives(line, () -> line.node.endedNow(line));
                    count("refused watch");
                }
            }
        }

        /** Another keeper, or this one, asks it: there and back, each way may be lost. */
        private void ask(KeeperHost from, Request request) {
            long fromLife = from.process;
            byte[] bytes = RolloutText.write(request);
            if (isLost(from)) {
                return;
            }
            time.scheduleAfterUs(
                    from == this ? 0 : lateUs(region, from.region),
                    () -> inLife(() -> {
                                Request read = RolloutText.readRequest(bytes).value();
                                long call = ++calls;
                                replies.put(call, answer -> answered(from, fromLife, read, answer));
                                done(machine.handleRequest(nowUs(), call, defect.asked(read, ++turns)));
                            })
                            .run());
        }

        private boolean isLost(KeeperHost other) {
            return other != this
                    && (isCut(region, other.region) || silent || other.silent || draws.nextDouble() < loss);
        }

        private void answered(KeeperHost asker, long askerLife, Request request, Response answer) {
            if (isLost(asker)) {
                return;
            }
            byte[] bytes = RolloutText.write(defect.answer(request, answer));
            time.scheduleAfterUs(asker == this ? 0 : lateUs(region, asker.region), () -> {
                if (asker.process == askerLife && asker.isUp()) {
                    asker.inLife(() -> {
                                Response read = RolloutText.readResponse(bytes).value();
                                asker.done(asker.machine.handleResponse(nowUs(), number, read));
                                int also = defect.alsoFrom(number, read);
                                if (also >= 0 && asker.isUp()) {
                                    asker.done(asker.machine.handleResponse(nowUs(), also, read));
                                }
                            })
                            .run();
                }
            });
        }

        /** An operator's call; no answer where the process dies. */
        void change(Change change, Consumer<Outcome> to) {
            inLife(() -> {
                        long call = ++calls;
                        operators.put(call, to);
                        Change read = RolloutText.readChange(RolloutText.write(change))
                                .value();
                        done(machine.proposeChange(nowUs(), call, read));
                    })
                    .run();
        }

        private void watch(Connection line, long after) {
            lines.put(line.id, line);
            long at = defect.servesAtOnce() ? Math.min(after, machine.history().rev()) : after;
            List<Effect> effects = machine.openWatch(nowUs(), line.id, at);
            if (effects.stream().noneMatch(e -> e instanceof Effect.RejectWatch)) {
                arrives(line, () -> line.node.connected(line));
            }
            done(effects);
        }

        /** Something of a watch on its way to the node, behind all that went before it. */
        private void arrives(Connection line, Runnable what) {
            int there = regionOfNode[line.node.number];
            if (isCut(region, there)) {
                line.broken = true;
            }
            line.lastUs = Math.max(line.lastUs, nowUs() + lateUs(region, there));
            time.scheduleAt(line.lastUs * 1_000, () -> {
                line.broken |= isCut(region, there);
                if (!line.broken && line.node.process == line.nodeLife) {
                    line.node.inLife(what).run();
                }
            });
        }

        private void tell(Effect.SendEvent tell) {
            Connection line = lines.get(tell.watch());
            if (line == null || !defect.writes(tell.event(), line.hasWhole)) {
                return;
            }
            if (tell.event() instanceof WatchEvent.SnapshotPart part) {
                line.hasWhole = part.part() < part.partCount();
            }
            byte[] bytes = RolloutText.write(tell.event());
            if (!line.closed && line.node.process == line.nodeLife) {
                see(new Judge.Sent(nowUs(), line.nodeProcess, bytes.length + ProtocolParameters.EVENT_FRAMING_BYTES));
            }
            long rev = machine.history().rev();
            arrives(
                    line,
                    () -> line.node.line(line, RolloutText.readWatchEvent(bytes).value(), rev));
        }

        private void nodeLeft(Connection line) {
            time.scheduleAfterUs(lateUs(region, regionOfNode[line.node.number]), () -> {
                if (lines.remove(line.id) != null && isUp()) {
                    machine.watchEnded(line.id);
                }
            });
        }

        private void report(byte[] bytes, String process) {
            inLife(() -> {
                        see(new Judge.Heard(nowUs(), name(), process));
                        machine.handleReport(
                                nowUs(),
                                defect.report(RolloutText.readReport(bytes).value()));
                    })
                    .run();
        }
    }

    /** A node's machine, and the process that it runs. */
    final class NodeHost extends Host {
        final int number;
        private final ToyRules rules;
        Subscriber subscriber;
        /** What its file says. */
        long fileRev;

        private final Map<Long, Connection> lines = new HashMap<>();
        private long life;
        private long slowUntilUs;

        NodeHost(int number, ToyRules rules) {
            this.number = number;
            this.rules = rules;
        }

        String name() {
            return "node " + number + "/" + process;
        }

        @Override
        boolean isUp() {
            return subscriber != null;
        }

        @Override
        long nextAtUs() {
            return subscriber.nextAtUs();
        }

        @Override
        void tick() {
            done(subscriber.tick(nowUs()));
        }

        void start() {
            begins();
            life = UNIX_MS + nowUs() / 1_000 + process;
            see(new Judge.Began(nowUs(), number, name()));
            subscribe(fileRev);
            see(new Judge.InForce(nowUs(), number, name(), subscriber.rev(), subscriber.values()));
            arm();
        }

        private void subscribe(long rev) {
            subscriber = new Subscriber(
                    terms,
                    rules,
                    number,
                    life,
                    KEEPERS,
                    rev,
                    rev == 0 ? new TreeMap<>() : firstValues,
                    draws.nextLong(),
                    nowUs());
        }

        void die() {
            if (subscriber != null) {
                subscriber = null;
                see(new Judge.Ended(nowUs(), number, name()));
                lines.values().forEach(this::leave);
                lines.clear();
                reach();
            }
        }

        /**
         * Another process of its number begins, and this one goes on for a while; what it reports still
         * comes.
         */
        void overtake(long us) {
            long oldLife = life;
            String oldName = name();
            die();
            start();
            reach();
            for (long at = 0; at < us; at += 2_000_000) {
                KeeperHost to = keepers.get(draws.nextInt(KEEPERS));
                time.scheduleAfterUs(at, () -> {
                    if (to.isWell() && !isCut(to.region, regionOfNode[number])) {
                        History now = to.machine.history();
                        if (now.rev() >= firstRev && judge.revOf(oldName) <= now.rev()) {
                            see(new Judge.InForce(nowUs(), number, oldName, now.rev(), now.values()));
                            see(new Judge.Reported(nowUs(), number));
                            to.report(
                                    RolloutText.write(new Report(
                                            number, oldLife, now.rev(), new java.util.TreeSet<>(), List.of())),
                                    oldName);
                        }
                    }
                });
            }
        }

        /** What it needs beyond the usual time. */
        private long moreUs(int bad) {
            long more = 750_000L * Math.max(0, bad - 2);
            if (subscriber != null && subscriber.rev() < firstRev) {
                long bytes = 0;
                for (WatchEvent.SnapshotPart part :
                        RolloutText.splitSnapshot(firstRev, firstValues, terms.snapshotPartBytes())) {
                    bytes += RolloutText.write(part).length + 2L * ProtocolParameters.EVENT_FRAMING_BYTES;
                }
                more += RETRY_WHOLE_US + bytes * 1_000_000 / 6_000;
            }
            return more + (long) (1.1 * lackedBytes() * 1_000_000 / 6_000);
        }

        /** Versions that it has to be told one by one. */
        private long lackedBytes() {
            long bytes = 0;
            long from = subscriber == null ? 0 : Math.max(firstRev, subscriber.rev());
            KeeperHost newest = keepers.stream()
                    .filter(KeeperHost::isUp)
                    .max(java.util.Comparator.comparingLong(
                            k -> k.machine.history().rev()))
                    .orElse(null);
            if (newest != null) {
                for (Version version :
                        newest.machine.history().versionsAfter(from, ProtocolParameters.MAX_HISTORY_VERSION_COUNT)) {
                    bytes += RolloutText.write(version.change()).length + ProtocolParameters.EVENT_FRAMING_BYTES;
                }
            }
            return bytes;
        }

        private void leave(Connection line) {
            line.closed = true;
            line.keeper.nodeLeft(line);
        }

        private void done(List<Effect> effects) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.OpenWatch dial) {
                    dial(dial);
                } else if (effect instanceof Effect.CloseWatch up) {
                    Connection line = lines.remove(up.watch());
                    if (line != null) {
                        leave(line);
                    }
                } else if (effect instanceof Effect.Apply put) {
                    put(put);
                } else if (effect instanceof Effect.SendReport send) {
                    report(send.keeper(), send.report());
                }
            }
        }

        private void report(int to, Report report) {
            KeeperHost keeper = keepers.get(to);
            byte[] bytes = RolloutText.write(report);
            String by = name();
            report.rejections()
                    .forEach(refusal -> see(new Judge.Refused(
                            nowUs(),
                            number,
                            refusal.rev(),
                            defect.report(report)
                                    .rejections()
                                    .get(report.rejections().indexOf(refusal))
                                    .path())));
            if (!isCut(keeper.region, regionOfNode[number])) {
                see(new Judge.Reported(nowUs(), number));
                time.scheduleAfterUs(lateUs(keeper.region, regionOfNode[number]), () -> keeper.report(bytes, by));
            }
        }

        private void put(Effect.Apply put) {
            long lateUs = draws.nextInt(20) == 0 ? draws.nextLong(200_000, 800_000) : draws.nextLong(100, 5_000);
            slowUntilUs = Math.max(slowUntilUs, nowUs() + lateUs);
            if (defect.reportsEarly()) {
                report(
                        draws.nextInt(KEEPERS),
                        new Report(number, life, put.rev(), new java.util.TreeSet<>(), List.of()));
            }
            Subscriber to = subscriber;
            time.scheduleAt(slowUntilUs * 1_000, inLife(() -> {
                if (subscriber == to) {
                    see(new Judge.InForce(nowUs(), number, name(), put.rev(), put.values()));
                    done(subscriber.applied(nowUs(), put.rev(), put.values()));
                }
            }));
        }

        private void dial(Effect.OpenWatch dial) {
            if (defect.forgets() && subscriber.rev() > fileRev) {
                subscribe(fileRev);
                see(new Judge.InForce(nowUs(), number, name(), subscriber.rev(), subscriber.values()));
                arm();
                return;
            }
            KeeperHost keeper = keepers.get(defect.dialed(number, dial.keeper()));
            Connection line = new Connection(++calls, keeper, this, dial.watch());
            lines.put(dial.watch(), line);
            count("dial");
            int here = regionOfNode[number];
            if (isCut(keeper.region, here)) {
                return;
            }
            time.scheduleAfterUs(lateUs(keeper.region, here), () -> {
                if (isCut(keeper.region, here)) {
                    return;
                }
                if (!keeper.isUp()) {
                    time.scheduleAfterUs(lateUs(keeper.region, here), () -> ended(line));
                    return;
                }
                keeper.inLife(() -> {
                            if (!line.closed) {
                                keeper.watch(line, dial.afterRev());
                            }
                        })
                        .run();
            });
        }

        private void connected(Connection line) {
            if (lines.containsKey(line.nodeWatch)) {
                done(subscriber.watchOpened(nowUs(), line.nodeWatch));
            }
        }

        private void line(Connection line, WatchEvent text, long keeperRev) {
            if (lines.get(line.nodeWatch) != line) {
                return;
            }
            WatchEvent taken = defect.line(text, rules, subscriber);
            if (taken != null) {
                if (!(taken instanceof WatchEvent.NoQuorum)) {
                    see(new Judge.Spoke(nowUs(), name(), keeperRev));
                }
                done(subscriber.handleEvent(nowUs(), line.nodeWatch, taken));
            }
        }

        private void ended(Connection line) {
            if (process == line.nodeLife) {
                inLife(() -> endedNow(line)).run();
            }
        }

        private void endedNow(Connection line) {
            if (lines.remove(line.nodeWatch) != null) {
                done(subscriber.watchEnded(nowUs(), line.nodeWatch));
            }
        }
    }

    /** An operator asks a keeper what stands, as it and those that it reaches know. */
    void status(KeeperHost at) {
        if (!at.isWell()) {
            return;
        }
        List<List<Inventory.Row>> rows = new ArrayList<>();
        List<String> asked = new ArrayList<>();
        for (KeeperHost other : keepers) {
            if (other.isWell() && (other == at || !isCut(other.region, at.region) && !at.silent && !other.silent)) {
                asked.add(other.name());
                rows.add(RolloutText.readRows(
                                RolloutText.writeRows(other.machine.inventory().rows(nowUs())))
                        .value());
            }
        }
        long rev = at.machine.history().rev();
        Map<Inventory.NodeStatus, List<Integer>> status =
                Inventory.nodesByStatus(terms, Inventory.merge(rows), nodes.size(), rev);
        status.forEach((standing, some) -> some.forEach(node -> count("status " + standing)));
        status.get(Inventory.NodeStatus.IN_FORCE).forEach(node -> see(new Judge.Counted(nowUs(), node, rev, asked)));
        status.get(Inventory.NodeStatus.WAITS_RESTART)
                .forEach(node -> see(new Judge.Counted(nowUs(), node, rev, asked)));
    }
}
