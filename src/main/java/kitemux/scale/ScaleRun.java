package kitemux.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import kitemux.Balancer.ServerEntry;

/** Runs the stages of a plan one after another, and keeps what each measured. */
public final class ScaleRun {
    /** A node whose loop used no more than this in that time has nothing left to do. */
    private static final long STILL_MS = 400;

    private static final long STILL_CPU_MS = 20;
    /** News has been told where a datagram holds its sender alone, 43 bytes, but for one in five or less. */
    private static final double TOLD_OUT_BYTES = 46;

    private static final long LOOK_US = 2_000_000;
    /** Requests a second by which a node is brought to where it has compiled what requests need. */
    private static final int WARMING_RATE = 1_000;

    private static final int WARMING_CHANGES = 200;
    private static final double MEGA = 1024 * 1024;

    private final Plan plan;
    private final Commands commands;
    private final Path to;
    private final String commit;
    private final Set<String> only;
    private final Consumer<String> out;
    private final Lateness lateness = new Lateness();
    /** What stands now, for whoever ends a stage that takes too long. */
    private volatile Stand standing;

    /**
     * Runs nothing yet.
     *
     * @param commit of the program that is measured, as results tell it
     * @param only stages to run; all where it is empty
     * @param out told what goes on, line by line
     */
    public ScaleRun(Plan plan, Commands commands, Path to, String commit, Set<String> only, Consumer<String> out) {
        this.plan = plan;
        this.commands = commands;
        this.to = to;
        this.commit = commit;
        this.only = only;
        this.out = out;
    }

    /** Something that measures one stage. */
    private interface Stage {
        void measure(Results into) throws IOException, InterruptedException;
    }

    /**
     * Runs them all. One that breaks off, or takes longer than the plan allows, keeps what it has, and the
     * others run all the same.
     *
     * @return whether the run itself was late in none
     * @throws IOException if any stage broke off, once all have run; the message says which and why
     */
    public boolean run() throws IOException, InterruptedException {
        boolean punctual = true;
        List<String> broken = new ArrayList<>();
        Map<String, Stage> stages = new LinkedHashMap<>();
        stages.put("list", plan.list() == null ? null : this::list);
        stages.put("nodes", plan.nodes() == null ? null : this::nodes);
        stages.put("peers", plan.peers() == null ? null : this::peers);
        stages.put("tenants", plan.tenants() == null ? null : this::tenants);
        stages.put("p99", plan.p99() == null ? null : this::paired);
        stages.put("changes", plan.changes() == null ? null : this::changes);
        stages.put("events", plan.events() == null ? null : this::events);
        try (lateness) {
            for (Map.Entry<String, Stage> stage : stages.entrySet()) {
                if (stage.getValue() != null && (only.isEmpty() || only.contains(stage.getKey()))) {
                    Results into = Results.of(stage.getKey());
                    facts(into.facts());
                    lateness.begin();
                    long began = System.nanoTime();
                    String failure = measured(stage.getValue(), into);
                    into.facts().put("took_s", Long.toString((System.nanoTime() - began) / 1_000_000_000));
                    into.facts().put("most_late_ms", Long.toString(lateness.mostUs() / 1_000));
                    into.facts().put(Results.LATE, Boolean.toString(lateness.isLate()));
                    punctual &= !lateness.isLate();
                    if (failure != null) {
                        into.facts().put(Results.BROKE_OFF, failure);
                        broken.add(stage.getKey() + ": " + failure);
                    }
                    String kept = failure != null && into.rows().isEmpty()
                            ? "nothing to keep"
                            : "kept as " + into.keep(to).getFileName();
                    out.accept(stage.getKey() + ": " + kept
                            + (lateness.isLate()
                                    ? ", but the run was late by " + lateness.mostUs() / 1_000 + " ms"
                                    : "")
                            + (failure == null ? "" : ", and broke off: " + failure));
                }
            }
        }
        if (!broken.isEmpty()) {
            throw new IOException(String.join("; ", broken));
        }
        return punctual;
    }

    /** Measures a stage; why it broke off, or null. */
    private String measured(Stage stage, Results into) throws InterruptedException {
        try (StageLimit limit = new StageLimit(plan.limitUs(), this::endStanding)) {
            try {
                stage.measure(into);
                return null;
            } catch (IOException | RuntimeException | InterruptedException e) {
                if (limit.reached()) {
                    return "it took longer than " + plan.limitUs() / 1_000_000.0 + " s";
                }
                if (e instanceof InterruptedException interrupted) {
                    throw interrupted;
                }
                return String.valueOf(e.getMessage());
            }
        }
    }

    private void endStanding() {
        Stand now = standing;
        if (now != null) {
            now.kill();
        }
    }

    private Stand stand(Sized size) throws IOException, InterruptedException {
        standing = new Stand(commands, size, plan.seed());
        return standing;
    }

    private void facts(Map<String, String> facts) throws IOException {
        facts.put("commit", commit);
        facts.put("seed", Long.toString(plan.seed()));
        facts.put("processors", Integer.toString(Runtime.getRuntime().availableProcessors()));
        facts.put("machine_mb", Long.toString(memoryMb()));
        facts.put("java", System.getProperty("java.version"));
        Plan.Full full = plan.full();
        facts.put("full_nodes", Integer.toString(full.nodes()));
        facts.put("full_servers", Integer.toString(full.servers()));
        facts.put("full_tenants", Integer.toString(full.tenants()));
        facts.put("full_changes_a_minute", Integer.toString(full.changesAMinute()));
    }

    private static long memoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemTotal:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    private Sized sized(int nodes, int servers, int tenants) {
        return new Sized(
                nodes,
                servers,
                Math.min(servers, plan.full().services()),
                plan.full().zones(),
                tenants);
    }

    private void told(Results into, String row) {
        out.accept(into.stage() + " " + row + ": " + into.rows().get(row));
    }

    /** Leaves what has just started alone for a while. */
    private void settle(Results into) throws InterruptedException {
        out.accept(into.stage() + ": nodes are up");
        sleepUs(plan.settleUs());
    }

    private static double percent(long cpuMs, long us) {
        return cpuMs * 1e5 / us;
    }

    private static void sleepUs(long us) throws InterruptedException {
        Thread.sleep(us / 1_000, (int) (us % 1_000) * 1_000);
    }

    /** Waits until a node has done all that it was given. */
    private static void still(RealNode node) throws IOException, InterruptedException {
        ProcessFigures[] before = {node.figures()};
        Stand.until(
                () -> {
                    Thread.sleep(STILL_MS);
                    ProcessFigures now = node.figures();
                    boolean still = now.since(before[0]).loopMs() <= STILL_CPU_MS;
                    before[0] = now;
                    return still;
                },
                "a node is not done");
    }

    /** What a node used while nothing happened, in milliseconds for each microsecond; loop and process. */
    private record Quiet(double loop, double all) {
        static Quiet of(RealNode node, long us) throws IOException, InterruptedException {
            ProcessFigures before = node.figures();
            long began = System.nanoTime();
            sleepUs(us);
            double took = (System.nanoTime() - began) / 1e3;
            ProcessFigures used = node.figures().since(before);
            return new Quiet(used.loopMs() / took, used.cpuMs() / took);
        }

        double percent() {
            return all * 1e5;
        }
    }

    /** What changes cost a node each beyond what it uses anyway, in milliseconds; loop and process. */
    private record Cost(double loop, double all) {
        static Cost ofChanges(Stand stand, RealNode node, Quiet quiet, int from, int count, long everyUs)
                throws IOException, InterruptedException {
            ProcessFigures before = node.figures();
            long began = System.nanoTime();
            for (int i = 0; i < count; i++) {
                stand.change(from + i);
                long rest = began + (i + 1) * everyUs * 1_000 - System.nanoTime();
                if (rest > 0) {
                    sleepUs(rest / 1_000);
                }
            }
            still(node);
            return of(node, before, began, quiet, count);
        }

        static Cost of(RealNode node, ProcessFigures before, long beganNanos, Quiet quiet, int count)
                throws IOException {
            double tookUs = (System.nanoTime() - beganNanos) / 1e3;
            ProcessFigures used = node.figures().since(before);
            return new Cost(
                    Math.max(0, used.loopMs() - quiet.loop * tookUs) / count,
                    Math.max(0, used.cpuMs() - quiet.all * tookUs) / count);
        }
    }

    // ---------------------------------------------------------------- stages

    private void list(Results into) throws IOException, InterruptedException {
        Plan.Lists of = plan.list();
        into.facts().put("nodes_told_of", Integer.toString(plan.full().nodes()));
        into.facts().put("changes", Integer.toString(of.changes()));
        for (int servers : of.servers()) {
            String row = Integer.toString(servers);
            try (Stand stand = stand(sized(plan.full().nodes(), servers, 11))) {
                RealNode node = stand.real();
                into.put(row, "start_s", node.startS());
                settle(into);
                Quiet quiet = Quiet.of(node, of.quietUs());
                into.put(row, "quiet_percent", quiet.percent());
                into.put(row, "first_ms", Cost.ofChanges(stand, node, quiet, 0, of.first(), of.everyUs()).loop);
                // What was compiled meanwhile stays: a node runs for days.
                Cost.ofChanges(stand, node, quiet, of.first(), of.changes(), of.everyUs());
                long written = stand.desk().writtenBytes();
                Cost change = Cost.ofChanges(stand, node, quiet, of.first(), of.changes(), of.everyUs());
                into.put(row, "change_ms", change.loop);
                into.put(row, "change_all_ms", change.all);
                into.put(row, "change_bytes", (stand.desk().writtenBytes() - written) / (double) of.changes());
                written = stand.desk().writtenBytes();
                ProcessFigures before = node.figures();
                long began = System.nanoTime();
                for (int i = 0; i < of.wholes(); i++) {
                    wholeAgain(stand);
                    still(node);
                }
                Cost whole = Cost.of(node, before, began, quiet, of.wholes());
                into.put(row, "whole_ms", whole.loop);
                into.put(row, "whole_all_ms", whole.all);
                into.put(row, "whole_bytes", (stand.desk().writtenBytes() - written) / (double) of.wholes());
                into.put(row, "resident_mb", node.figures().residentKb() / 1024.0);
            }
            told(into, row);
        }
    }

    /** All watches end; the version that whoever has the list anew has, once all have called. */
    private static long wholeAgain(Stand stand) throws IOException, InterruptedException {
        long calls = stand.calls() + stand.desk().watchCount();
        long rev = stand.endWatches();
        Stand.until(() -> stand.calls() >= calls, "a node does not watch again");
        return rev;
    }

    private void nodes(Results into) throws IOException, InterruptedException {
        Plan.Nodes of = plan.nodes();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("nodes_in_a_process", Integer.toString(of.inProcess()));
        for (int nodes : of.nodes()) {
            String row = Integer.toString(nodes);
            try (Stand stand = stand(sized(nodes, of.servers(), 11))) {
                HollowNodes hollow = stand.hollow(nodes, of.inProcess(), false);
                settle(into);
                HollowNodes.Figures before = hollow.figures();
                sleepUs(of.quietUs());
                HollowNodes.Figures after = hollow.figures();
                double seconds = of.quietUs() / 1e6;
                double quietMs = grown(before, after, f -> f.cpuNanos() / 1e6) / nodes / seconds;
                into.put(row, "quiet_percent", quietMs / 10);
                told(into, row);
                hollow.forgetLongest();
                before = hollow.figures();
                double desk = stand.deskMs();
                long written = stand.desk().writtenBytes();
                long began = System.nanoTime();
                double worstMs = 0;
                for (int i = 0; i < of.changes(); i++) {
                    worstMs = Math.max(worstMs, heard(hollow, System.currentTimeMillis() * 1_000, stand.change(i)));
                    long rest = began + (i + 1) * of.everyUs() * 1_000 - System.nanoTime();
                    if (rest > 0) {
                        sleepUs(rest / 1_000);
                    }
                }
                double tookS = (System.nanoTime() - began) / 1e9;
                after = hollow.figures();
                into.put(
                        row,
                        "change_ms",
                        Math.max(0, grown(before, after, f -> f.cpuNanos() / 1e6) / nodes - quietMs * tookS)
                                / of.changes());
                into.put(row, "heard_ms", worstMs);
                into.put(row, "stall_ms", after.most(f -> f.longestNanos() / 1e6));
                into.put(row, "desk_change_ms", (stand.deskMs() - desk) / of.changes());
                into.put(row, "desk_bytes", (stand.desk().writtenBytes() - written) / (double) of.changes());
                hollow.forgetLongest();
                before = hollow.figures();
                written = stand.desk().writtenBytes();
                long beganUs = System.currentTimeMillis() * 1_000;
                into.put(row, "return_s", heard(hollow, beganUs, stand.endWatches()) / 1e3);
                after = hollow.figures();
                into.put(row, "return_mb", (stand.desk().writtenBytes() - written) / MEGA);
                into.put(row, "return_calls", grown(before, after, HollowNode.Figures::calls));
                into.put(row, "return_stall_ms", after.most(f -> f.longestNanos() / 1e6));
                into.put(
                        row,
                        "node_mb",
                        after.processes().stream()
                                        .mapToLong(ProcessFigures::residentKb)
                                        .sum()
                                / 1024.0
                                / nodes);
            }
            told(into, row);
        }
    }

    /** What nodes tell one another of the fleet: first of the lives of all, then that they are there. */
    private void peers(Results into) throws IOException, InterruptedException {
        Plan.Peers of = plan.peers();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("nodes_in_a_process", Integer.toString(of.inProcess()));
        for (int nodes : of.nodes()) {
            String row = Integer.toString(nodes);
            try (Stand stand = stand(sized(nodes, of.servers(), 11))) {
                HollowNodes hollow = stand.hollow(nodes, of.inProcess(), true);
                out.accept(into.stage() + ": nodes are up");
                long began = System.nanoTime();
                Told first = Told.of(hollow, LOOK_US);
                into.put(row, "first_datagrams", first.datagrams);
                into.put(row, "first_bytes", first.bytes);
                Told now = first;
                while (now.bytes > TOLD_OUT_BYTES * now.datagrams
                        && (System.nanoTime() - began) / 1_000 < of.mostUs()) {
                    now = Told.of(hollow, LOOK_US);
                }
                if (now.bytes <= TOLD_OUT_BYTES * now.datagrams) {
                    into.put(row, "news_s", (System.nanoTime() - began) / 1e9);
                }
                now = Told.of(hollow, of.quietUs());
                into.put(row, "datagrams", now.datagrams);
                into.put(row, "bytes", now.bytes);
                into.put(row, "heard_percent", now.heardPercent);
                into.put(row, "quiet_percent", now.cpuPercent);
                into.put(row, "missing", nodes - hollow.figures().least(HollowNode.Figures::alive));
            }
            told(into, row);
        }
    }

    /** What a node sent others a second, of all on average, and what it used for that and all else. */
    private record Told(double datagrams, double bytes, double heardPercent, double cpuPercent) {
        static Told of(HollowNodes hollow, long us) throws IOException, InterruptedException {
            HollowNodes.Figures before = hollow.figures();
            long began = System.nanoTime();
            sleepUs(us);
            HollowNodes.Figures after = hollow.figures();
            double nodeSeconds =
                    (System.nanoTime() - began) / 1e9 * after.nodes().size();
            double sent = grown(before, after, HollowNode.Figures::datagrams);
            return new Told(
                    sent / nodeSeconds,
                    grown(before, after, HollowNode.Figures::datagramBytes) / nodeSeconds,
                    sent == 0 ? 0 : 100 * grown(before, after, HollowNode.Figures::heardDatagrams) / sent,
                    grown(before, after, HollowNode.Figures::cpuNanos) / 1e7 / nodeSeconds);
        }
    }

    private static double grown(
            HollowNodes.Figures before, HollowNodes.Figures after, ToDoubleFunction<HollowNode.Figures> of) {
        return after.sum(of) - before.sum(of);
    }

    /** Waits until all have this version; how long after that time the last one had it, in milliseconds. */
    private static double heard(HollowNodes hollow, long beganUs, long rev) throws IOException, InterruptedException {
        HollowNodes.Figures[] last = new HollowNodes.Figures[1];
        Stand.until(
                () -> {
                    last[0] = hollow.figures();
                    return last[0].haveAll(rev);
                },
                "hollow nodes do not hear");
        return Math.max(0, last[0].most(HollowNode.Figures::heardAtUs) - beganUs) / 1e3;
    }

    private void tenants(Results into) throws IOException, InterruptedException {
        Plan.Tenants of = plan.tenants();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("requests_a_second", Integer.toString((int) of.rate()));
        for (int tenants : of.tenants()) {
            String row = Integer.toString(tenants);
            try (Stand stand = stand(sized(plan.full().nodes(), of.servers(), tenants));
                    Asker asker = new Asker(tenants, plan.seed())) {
                RealNode node = stand.real();
                into.put(row, "start_s", node.startS());
                settle(into);
                into.put(row, "started_mb", node.figures().residentKb() / 1024.0);
                Quiet quiet = Quiet.of(node, of.quietUs());
                into.put(row, "quiet_percent", quiet.percent());
                ProcessFigures before = node.figures();
                Asker.Slice slice = asker.ask(node.address(), of.rate(), of.quietUs());
                lateness.was(slice.lateUs());
                into.put(
                        row,
                        "asked_percent",
                        percent(node.figures().since(before).cpuMs(), of.quietUs()));
                still(node);
                Cost.ofChanges(stand, node, quiet, 0, of.changes(), of.everyUs());
                into.put(row, "change_ms", Cost.ofChanges(stand, node, quiet, 0, of.changes(), of.everyUs()).loop);
                into.put(row, "resident_mb", node.figures().residentKb() / 1024.0);
            }
            told(into, row);
        }
    }

    private void changes(Results into) throws IOException, InterruptedException {
        Plan.Changes of = plan.changes();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("seconds", Long.toString(of.lengthUs() / 1_000_000));
        try (Stand stand = stand(sized(plan.full().nodes(), of.servers(), 11))) {
            RealNode node = stand.real();
            settle(into);
            // As a node that has run for a day.
            Cost.ofChanges(stand, node, new Quiet(0, 0), 0, WARMING_CHANGES, 20_000);
            for (int aMinute : of.aMinute()) {
                String row = Integer.toString(aMinute);
                long everyUs = 60_000_000 / aMinute;
                int count = (int) Math.max(1, of.lengthUs() / everyUs);
                long written = stand.desk().writtenBytes();
                ProcessFigures before = node.figures();
                long began = System.nanoTime();
                for (int i = 0; i < count; i++) {
                    stand.change(i);
                    sleepUs(Math.max(0, began / 1_000 + (i + 1) * everyUs - System.nanoTime() / 1_000));
                }
                long tookUs = (System.nanoTime() - began) / 1_000;
                ProcessFigures used = node.figures().since(before);
                into.put(row, "loop_percent", percent(used.loopMs(), tookUs));
                into.put(row, "all_percent", percent(used.cpuMs(), tookUs));
                into.put(row, "bytes_s", (stand.desk().writtenBytes() - written) * 1e6 / tookUs);
                told(into, row);
                still(node);
            }
        }
    }

    // ---------------------------------------------------------------- what a node adds

    private void paired(Results into) throws IOException, InterruptedException {
        Plan.Paired of = plan.p99();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("turns", Integer.toString(of.turns()));
        into.facts().put("slice_s", Double.toString(of.sliceUs() / 1e6));
        try (Stand stand = stand(sized(plan.full().nodes(), of.servers(), 11));
                Asker asker = new Asker(11, plan.seed())) {
            RealNode node = stand.real();
            settle(into);
            // As a node that has run for a day: what its loop does is compiled.
            asker.ask(node.address(), WARMING_RATE, of.sliceUs());
            asker.ask(stand.server(), WARMING_RATE, of.sliceUs());
            Cost.ofChanges(stand, node, new Quiet(0, 0), 0, WARMING_CHANGES, 10_000);
            List<String> ways = new ArrayList<>(List.of(PairedTimes.DIRECT, "quiet"));
            plan.told().forEach(event -> ways.add(event.name()));
            Random order = new Random(plan.seed());
            Map<Integer, PairedTimes> times = new LinkedHashMap<>();
            of.rates().forEach(rate -> times.put(rate, new PairedTimes(ways)));
            for (int turn = 0; turn < of.turns(); turn++) {
                for (int rate : of.rates()) {
                    Collections.shuffle(ways, order);
                    for (String way : ways) {
                        Asker.Slice slice = slice(stand, node, asker, way, rate, of.sliceUs());
                        lateness.was(slice.lateUs());
                        times.get(rate).add(way, slice);
                    }
                    times.get(rate).put(into, rate + "_");
                    out.accept(into.stage() + " " + rate + " a second, turn " + (turn + 1) + " of " + of.turns());
                }
            }
        }
        into.rows().keySet().forEach(row -> told(into, row));
    }

    /** Asks for one slice, while what it is named for happens: a quarter in it goes, and later it returns. */
    private Asker.Slice slice(Stand stand, RealNode node, Asker asker, String way, int rate, long us)
            throws IOException, InterruptedException {
        if (way.equals(PairedTimes.DIRECT)) {
            return asker.ask(stand.server(), rate, us);
        }
        Plan.Event event = plan.told().stream()
                .filter(one -> one.name().equals(way))
                .findFirst()
                .orElse(null);
        if (event == null) {
            return asker.ask(node.address(), rate, us);
        }
        Deed deed = new Deed(stand, event, us);
        deed.start();
        Asker.Slice slice = asker.ask(node.address(), rate, us);
        deed.ended();
        still(node);
        return slice;
    }

    /** An event within a slice, on a thread of its own. */
    private static final class Deed extends Thread {
        private final Stand stand;
        private final Plan.Event event;
        private final long us;
        private volatile Exception failure;

        Deed(Stand stand, Plan.Event event, long us) {
            super("event");
            this.stand = stand;
            this.event = event;
            this.us = us;
            setDaemon(true);
        }

        @Override
        public void run() {
            try {
                sleepUs(us / 4);
                if (event.endsWatches()) {
                    stand.endWatches();
                } else {
                    stand.tellAll(stand.goes(event));
                    sleepUs(us * 3 / 8);
                    stand.tellAll(stand.returns(event));
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                failure = e;
            }
        }

        void ended() throws IOException, InterruptedException {
            join();
            if (failure != null) {
                throw new IOException(event.name() + ": " + failure, failure);
            }
        }
    }

    // ---------------------------------------------------------------- events

    private void events(Results into) throws IOException, InterruptedException {
        Plan.Events of = plan.events();
        into.facts().put("servers", Integer.toString(of.servers()));
        into.facts().put("hollow_nodes", Integer.toString(of.nodes()));
        into.facts().put("times", Integer.toString(of.times()));
        eventsAlone(into, of);
        eventsReal(into, of);
        eventsAll(into, of);
    }

    /** What befalls, in order: each event goes, and where it does not end watches, it returns. */
    private interface Befalling {
        void befalls(Plan.Event event, boolean back) throws IOException, InterruptedException;
    }

    private void eachEvent(Plan.Events of, Befalling what) throws IOException, InterruptedException {
        for (Plan.Event event : plan.told()) {
            for (int time = 0; time < of.times(); time++) {
                what.befalls(event, false);
                if (!event.endsWatches()) {
                    what.befalls(event, true);
                }
            }
        }
    }

    private static String row(Plan.Event event, boolean back) {
        return event.name() + (back ? "_return" : "");
    }

    /** The longest turns of a loop that no other node's keeps from a processor. */
    private void eventsAlone(Results into, Plan.Events of) throws IOException, InterruptedException {
        try (Stand stand = stand(sized(plan.full().nodes(), of.servers(), 11))) {
            HollowNodes one = stand.hollow(1, 1, false);
            settle(into);
            for (int i = 0; i < WARMING_CHANGES; i++) {
                heard(one, 0, stand.change(i));
            }
            eachEvent(of, (event, back) -> {
                one.forgetLongest();
                heard(one, 0, befall(stand, event, back).rev());
                worst(into, row(event, back), "alone_stall_ms", one.figures().most(f -> f.longestNanos() / 1e6));
            });
        }
    }

    private static void worst(Results into, String row, String column, double value) {
        Map<String, Double> cells = into.rows().getOrDefault(row, Map.of());
        into.put(row, column, Math.max(cells.getOrDefault(column, 0.0), value));
    }

    private void eventsReal(Results into, Plan.Events of) throws IOException, InterruptedException {
        try (Stand stand = stand(sized(plan.full().nodes(), of.servers(), 11))) {
            RealNode node = stand.real();
            settle(into);
            Quiet quiet = Quiet.of(node, of.quietUs());
            into.put("quiet-minute", "real_ms", quiet.all * 60e6);
            Cost.ofChanges(stand, node, quiet, 0, WARMING_CHANGES, 10_000);
            eachEvent(of, (event, back) -> {
                ProcessFigures before = node.figures();
                long began = System.nanoTime();
                long written = stand.desk().writtenBytes();
                int lines = befall(stand, event, back).lines();
                still(node);
                String row = row(event, back);
                into.put(row, "lines", lines);
                into.put(row, "bytes", stand.desk().writtenBytes() - written);
                into.put(row, "byte_s", (stand.desk().writtenBytes() - written) / 8_192.0);
                into.put(row, "real_ms", Cost.of(node, before, began, quiet, 1).all);
                into.put(row, "real_mb", node.figures().residentKb() / 1024.0);
                told(into, row);
            });
        }
    }

    private void eventsAll(Results into, Plan.Events of) throws IOException, InterruptedException {
        try (Stand stand = stand(sized(of.nodes(), of.servers(), 11))) {
            HollowNodes hollow = stand.hollow(of.nodes(), of.inProcess(), false);
            settle(into);
            HollowNodes.Figures before = hollow.figures();
            sleepUs(of.quietUs());
            double quietMs =
                    grown(before, hollow.figures(), f -> f.cpuNanos() / 1e6) / of.nodes() / (of.quietUs() / 1e6);
            into.put("quiet-minute", "node_ms", quietMs * 60);
            eachEvent(of, (event, back) -> {
                if (event.hollow()) {
                    hollowEvent(into, stand, hollow, event, back, quietMs);
                }
            });
        }
    }

    private record Befell(long rev, int lines) {}

    private static Befell befall(Stand stand, Plan.Event event, boolean back) throws IOException, InterruptedException {
        if (event.endsWatches()) {
            return new Befell(wholeAgain(stand), 1);
        }
        List<List<ServerEntry>> lines = back ? stand.returns(event) : stand.goes(event);
        return new Befell(stand.tellAll(lines), lines.size());
    }

    /** The worst of all times stands for what nodes heard late, and the last for what it cost. */
    private void hollowEvent(
            Results into, Stand stand, HollowNodes hollow, Plan.Event event, boolean back, double quietMs)
            throws IOException, InterruptedException {
        String row = row(event, back);
        hollow.forgetLongest();
        HollowNodes.Figures before = hollow.figures();
        double desk = stand.deskMs();
        long began = System.nanoTime();
        long beganUs = System.currentTimeMillis() * 1_000;
        Befell befell = befall(stand, event, back);
        double heardMs = heard(hollow, beganUs, befell.rev());
        double tookS = (System.nanoTime() - began) / 1e9;
        HollowNodes.Figures after = hollow.figures();
        into.put(
                row,
                "node_ms",
                Math.max(
                        0,
                        grown(before, after, f -> f.cpuNanos() / 1e6)
                                        / after.nodes().size()
                                - quietMs * tookS));
        worst(into, row, "stall_ms", after.most(f -> f.longestNanos() / 1e6));
        worst(into, row, "heard_ms", heardMs);
        into.put(row, "desk_ms", stand.deskMs() - desk);
        told(into, row);
    }
}
