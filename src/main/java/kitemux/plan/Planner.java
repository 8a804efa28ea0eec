package kitemux.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;

/**
 * Answers operators' questions by playing fleets: does this one hold, at what load does it break and by
 * what, how
 * many servers it needs, what a loss costs. Two variants meet the same clients with the same work, so that
 * what differs is the variant. Pure: who plays, and on how many processors, is handed in.
 */
public final class Planner {
    /** Seeds that are played at once, and at most for one question. */
    private static final int BATCH = 8;

    private static final int MOST_SEEDS = 32;
    /** An interval this narrow decides, on whichever side its middle lies. */
    private static final double NARROW = 0.004;
    /** Loads are told to this part. */
    private static final double LOAD_STEP = 0.02;

    private static final double LEAST_LOAD = 0.05;
    private static final double MOST_LOAD = 8;
    private static final int MOST_BOXES = 2_000;
    /** A remedy that gains less of what is missing is no cause. */
    private static final double GAINS = 0.1;
    /** A pulse that asks whether an overload ends by itself: so many times the load, for so long. */
    private static final double PULSE = 2.5;

    private static final long PULSE_US = 5_000_000;
    /** A tenant that heeds no share asks so many times as much. */
    private static final double GREEDY = 10;

    private final FleetRunner player;
    private final double goal;

    /** Plays a fleet once for each seed; results are in the order of the seeds. */
    public interface FleetRunner {
        List<RunResult> run(Fleet fleet, List<Long> seeds);
    }

    /**
     * @param goal share of the worth asked for that must be answered within its aim, in (0, 1)
     */
    public Planner(FleetRunner player, double goal) {
        if (!(goal > 0 && goal < 1)) {
            throw new IllegalArgumentException("a goal is above 0 and under 1, not " + goal);
        }
        this.player = player;
        this.goal = goal;
    }

    // ---------------------------------------------------------------- does it hold

    /**
     * Whether a fleet holds the goal.
     *
     * @param inTimeRatio share that was answered in time
     * @param isConclusive whether the interval lies on one side of the goal
     * @param violationCount rules broken in all runs together
     */
    public record Verdict(
            boolean meetsGoal,
            boolean isConclusive,
            Estimate inTimeRatio,
            Estimate worstWindowRatio,
            long violationCount,
            List<RunResult> runs) {}

    /** Plays seeds until the interval is on one side of the goal, or narrow, or all are played. */
    public Verdict evaluate(Fleet fleet) {
        List<RunResult> runs = new ArrayList<>();
        Estimate inTime;
        do {
            runs.addAll(player.run(
                    fleet,
                    LongStream.range(runs.size() + 1, runs.size() + 1 + BATCH)
                            .boxed()
                            .toList()));
            inTime = Estimate.of(runs.stream().map(RunResult::inTimeRatio).toList());
        } while (inTime.low() <= goal
                && inTime.high() >= goal
                && inTime.halfWidth() > NARROW
                && runs.size() < MOST_SEEDS);
        return new Verdict(
                inTime.mean() >= goal,
                inTime.low() > goal || inTime.high() < goal,
                inTime,
                Estimate.of(runs.stream().map(RunResult::worstWindowRatio).toList()),
                runs.stream().mapToLong(RunResult::violationCount).sum(),
                List.copyOf(runs));
    }

    // ---------------------------------------------------------------- what breaks first

    /**
     * Where the goal breaks as the load grows.
     *
     * @param highestPassingLoad the highest multiple of today's load at which it held
     * @param lowestFailingLoad the lowest at which it did not; infinite if it held at all that were tried
     * @param causes what gains most of what is missing there when it is taken out of the way, most first
     */
    public record BreakingPoint(double highestPassingLoad, double lowestFailingLoad, List<Cause> causes) {}

    /**
     * Something that holds a fleet back.
     *
     * @param description in words
     * @param recoveredRatio part of what is missing to the goal that comes back without it; above 1 where it is more
     */
    public record Cause(String description, double recoveredRatio) {}

    /** Finds the load at which the goal breaks, to {@link #LOAD_STEP}, and by what it does. */
    public BreakingPoint findBreakingPoint(Fleet fleet) {
        double low = 0;
        double high = 1;
        while (high <= MOST_LOAD
                && evaluate(fleet.with(fleet.load().scaledBy(high))).meetsGoal()) {
            low = high;
            high *= 1.5;
        }
        if (high > MOST_LOAD) {
            return new BreakingPoint(low, Double.POSITIVE_INFINITY, List.of());
        }
        while (high - low > LOAD_STEP * high && high > LEAST_LOAD) {
            double middle = (low + high) / 2;
            if (evaluate(fleet.with(fleet.load().scaledBy(middle))).meetsGoal()) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return new BreakingPoint(low, high, causes(fleet.with(fleet.load().scaledBy(high))));
    }

    /**
     * Each bound is taken out of the way by itself, under the same clients: what that brings back is its
     * part.
     */
    private List<Cause> causes(Fleet fleet) {
        Map<String, Fleet> without = new LinkedHashMap<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.ServerKind kind = fleet.kinds().get(k);
            if (kind.count() > 0) {
                List<Fleet.ServerKind> swifter = new ArrayList<>(fleet.kinds());
                swifter.set(
                        k,
                        new Fleet.ServerKind(
                                kind.name(),
                                kind.count(),
                                kind.cores(),
                                kind.speed() * 1.25,
                                kind.speedCv(),
                                kind.queueCapacity(),
                                kind.initialCapacityRatio(),
                                kind.warmUpUs(),
                                kind.warmsByWork(),
                                kind.cost()));
                without.put(
                        "processors of " + kind.name() + " servers (a quarter more would help)",
                        fleet.withKinds(swifter));
            }
        }
        if (fleet.overloadSlowdown() != null) {
            without.put("servers that turn slow when crowded", fleet.with((Fleet.OverloadSlowdown) null));
        }
        Fleet.Links links = fleet.links();
        without.put(
                "connections that a server accepts",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(),
                        links.jitter(),
                        links.handshakeRtts(),
                        links.handshakeWorkUs(),
                        1_000_000,
                        links.idleTimeoutUs(),
                        links.connectTimeoutUs())));
        without.put(
                "work of new connections",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(),
                        links.jitter(),
                        0,
                        0,
                        links.maxConnectionsPerCore(),
                        links.idleTimeoutUs(),
                        links.connectTimeoutUs())));
        Fleet.Nodes nodes = fleet.nodes();
        without.put(
                "processors of nodes",
                fleet.with(new Fleet.Nodes(
                        nodes.count(), 0, nodes.cores(), nodes.startupUs(), nodes.failureDetectionUs())));
        Fleet.Clients clients = fleet.clients();
        without.put(
                "clients that ask again",
                fleet.with(new Fleet.Clients(
                        clients.oneWayUs(),
                        0,
                        clients.minTryTimeoutRatio(),
                        clients.maxTryTimeoutRatio(),
                        clients.backoffUs(),
                        clients.retryAfterComplianceRatio(),
                        clients.maxRetryAfterUs(),
                        clients.nodeSkew())));
        if (!fleet.tenants().isEmpty()) {
            without.put("a tenant's use beside its share", fleet.withoutTenants());
        }
        if (fleet.kinds().stream().anyMatch(k -> k.warmUpUs() > 0)
                && !fleet.faults().isEmpty()) {
            without.put(
                    "servers that come back cold",
                    fleet.withKinds(fleet.kinds().stream()
                            .map(k -> new Fleet.ServerKind(
                                    k.name(),
                                    k.count(),
                                    k.cores(),
                                    k.speed(),
                                    k.speedCv(),
                                    k.queueCapacity(),
                                    1,
                                    0,
                                    k.warmsByWork(),
                                    k.cost()))
                            .toList()));
        }
        if (!fleet.faults().isEmpty()) {
            without.put("what goes wrong", fleet.withFaults(List.of()));
        }
        double now = mean(fleet);
        double missing = Math.max(1e-6, goal - now);
        List<Cause> causes = new ArrayList<>();
        without.forEach((what, other) -> causes.add(new Cause(what, (mean(other) - now) / missing)));
        causes.removeIf(cause -> cause.recoveredRatio < GAINS);
        causes.sort(Comparator.comparingDouble(Cause::recoveredRatio).reversed());
        return List.copyOf(causes);
    }

    private double mean(Fleet fleet) {
        return player.run(fleet, LongStream.rangeClosed(1, BATCH).boxed().toList()).stream()
                .mapToDouble(RunResult::inTimeRatio)
                .average()
                .orElse(0);
    }

    // ---------------------------------------------------------------- how many servers

    /**
     * Fewest servers of one kind that hold the goal beside the others as they are.
     *
     * @param count -1 if no number does
     * @param reason where none does
     * @param cost of the whole fleet then
     */
    public record MinimumServers(String kind, int count, double cost, String reason) {}

    /** For each kind by itself. */
    public List<MinimumServers> findMinimumServers(Fleet fleet) {
        List<MinimumServers> found = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            found.add(findMinimumServers(fleet, k));
        }
        return found;
    }

    private MinimumServers findMinimumServers(Fleet fleet, int kind) {
        String name = fleet.kinds().get(kind).name();
        int others = fleet.serverCount() - fleet.kinds().get(kind).count();
        int low = others == 0 ? 0 : -1;
        int high = Math.max(1, fleet.kinds().get(kind).count());
        while (!evaluate(with(fleet, kind, high)).meetsGoal()) {
            low = high;
            high *= 2;
            if (high > MOST_BOXES || high > 16 * Math.max(fleet.serverCount(), 4)) {
                return new MinimumServers(name, -1, Double.NaN, whyNone(with(fleet, kind, low)));
            }
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (evaluate(with(fleet, kind, middle)).meetsGoal()) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return new MinimumServers(name, high, cost(with(fleet, kind, high)), "");
    }

    /** With so many servers that work cannot be it, what is left is named. */
    private String whyNone(Fleet fleet) {
        List<Cause> causes = causes(fleet);
        return causes.isEmpty()
                ? "the goal is beyond what work and ways take where nothing waits"
                : "held back by " + causes.get(0).description();
    }

    private static double cost(Fleet fleet) {
        return fleet.kinds().stream().mapToDouble(k -> k.count() * k.cost()).sum();
    }

    private static Fleet with(Fleet fleet, int kind, int count) {
        List<Fleet.ServerKind> kinds = new ArrayList<>(fleet.kinds());
        Fleet.ServerKind of = kinds.get(kind);
        kinds.set(
                kind,
                new Fleet.ServerKind(
                        of.name(),
                        count,
                        of.cores(),
                        of.speed(),
                        of.speedCv(),
                        of.queueCapacity(),
                        of.initialCapacityRatio(),
                        of.warmUpUs(),
                        of.warmsByWork(),
                        of.cost()));
        return fleet.withKinds(kinds);
    }

    // ---------------------------------------------------------------- what a loss costs

    /**
     * What something that goes wrong costs.
     *
     * @param recoveryTimeS seconds from its beginning until the goal is met for good, in the mean; of runs that
     *     came back
     * @param unrecoveredRatio share of runs that did not come back before clients stopped
     * @param worstTenantRatio share in time of the tenant that was served worst, of what was within its share;
     * where one
     *     asks beyond it, of the others
     * @param inTimeBySecond share in time of each second, in the mean
     */
    public record FailureImpact(
            String description,
            Estimate inTimeRatio,
            Estimate worstWindowRatio,
            Estimate worstTenantRatio,
            double recoveryTimeS,
            double unrecoveredRatio,
            long violationCount,
            List<Double> inTimeBySecond) {}

    /** Share in time of each second, in the mean over runs. */
    public static List<Double> meanInTimeBySecond(List<RunResult> runs) {
        int seconds =
                runs.stream().mapToInt(run -> run.inTimeBySecond().size()).min().orElse(0);
        return IntStream.range(0, seconds)
                .mapToObj(s -> runs.stream()
                        .mapToDouble(run -> run.inTimeBySecond().get(s))
                        .average()
                        .orElse(Double.NaN))
                .toList();
    }

    /**
     * What a rack, a zone, some servers, a release, a rack that is lost meanwhile, a restart of all nodes
     * and a
     * tenant that asks far beyond its share cost today's fleet.
     */
    public List<FailureImpact> failureImpacts(Fleet fleet) {
        long atUs = fleet.load().durationUs() / 4;
        List<FailureImpact> losses = new ArrayList<>();
        if (fleet.racks() > 1) {
            losses.add(failureImpact(
                    fleet,
                    "a rack dies for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.DIE, Fleet.FaultScope.RACK, 0, 0, atUs, 15_000_000, 0)));
            losses.add(failureImpact(
                    fleet,
                    "a rack goes silent for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.VANISH, Fleet.FaultScope.RACK, 0, 0, atUs, 15_000_000, 0)));
        }
        if (fleet.zones().count() > 1) {
            // The last one: discovery has its place in the first.
            int zone = fleet.zones().count() - 1;
            losses.add(failureImpact(
                    fleet,
                    "a zone is lost for 15 s, its nodes too",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.VANISH, Fleet.FaultScope.ZONE, zone, 0, atUs, 15_000_000, 0),
                    new Fleet.Fault(
                            Fleet.FaultKind.NODES_RESTART,
                            Fleet.FaultScope.ZONE,
                            zone,
                            0,
                            atUs,
                            15_000_000,
                            fleet.nodes().count())));
            losses.add(failureImpact(
                    fleet,
                    "a zone is cut off for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.CUT, Fleet.FaultScope.ZONE, zone, 0, atUs, 15_000_000, 0)));
        }
        int fifth = Math.max(1, fleet.serverCount() / 5);
        losses.add(failureImpact(
                fleet,
                fifth + " of " + fleet.serverCount() + " servers die for 15 s",
                atUs,
                new Fleet.Fault(Fleet.FaultKind.DIE, Fleet.FaultScope.ANY, 0, fifth, atUs, 15_000_000, 0)));
        Fleet.Fault release =
                new Fleet.Fault(Fleet.FaultKind.RELEASE, Fleet.FaultScope.ANY, 0, 0, atUs, 1_000_000, fifth);
        losses.add(failureImpact(fleet, "a release, " + fifth + " servers at a time", atUs, release));
        if (fleet.racks() > 1) {
            losses.add(failureImpact(
                    fleet,
                    "a rack dies for 15 s in the middle of such a release",
                    atUs,
                    release,
                    new Fleet.Fault(
                            Fleet.FaultKind.DIE, Fleet.FaultScope.RACK, 0, 0, atUs + 4_000_000, 15_000_000, 0)));
        }
        losses.add(failureImpact(
                fleet,
                "all nodes restart, one at a time",
                atUs,
                new Fleet.Fault(Fleet.FaultKind.NODES_RESTART, Fleet.FaultScope.ANY, 0, 0, atUs, 500_000, 1)));
        if (fleet.tenants().size() > 1) {
            losses.add(greedy(fleet, atUs));
        }
        return losses;
    }

    /**
     * One tenant, that with the smallest share, asks ten times as much from a time on; the others as
     * before.
     */
    private FailureImpact greedy(Fleet fleet, long atUs) {
        Fleet.TenantShare least = fleet.tenants().stream()
                .min(Comparator.comparingDouble(Fleet.TenantShare::share))
                .orElseThrow();
        double all = fleet.tenants().stream()
                .mapToDouble(t -> t.share() * t.usageRatio())
                .sum();
        double more = (GREEDY - 1) * least.share() * least.usageRatio() / all;
        Fleet asking = fleet.withTenants(fleet.tenants().stream()
                .map(t -> t.equals(least) ? new Fleet.TenantShare(t.name(), t.share(), t.usageRatio() * GREEDY) : t)
                .toList());
        int greedy = fleet.tenants().indexOf(least);
        return failureImpact(
                least.name() + " asks " + (int) GREEDY + " times as much",
                atUs,
                asking.with(fleet.load().scaledBy(1 + more)),
                run -> IntStream.range(0, run.inTimeByTenant().size())
                        .filter(t -> t != greedy)
                        .mapToDouble(t -> run.inTimeByTenant().get(t))
                        .min()
                        .orElse(1));
    }

    private FailureImpact failureImpact(Fleet fleet, String what, long atUs, Fleet.Fault... more) {
        List<Fleet.Fault> faults = new ArrayList<>(fleet.faults());
        faults.addAll(List.of(more));
        return failureImpact(what, atUs, fleet.withFaults(faults), RunResult::worstTenantRatio);
    }

    private FailureImpact failureImpact(String what, long atUs, Fleet fleet, ToDoubleFunction<RunResult> worstTenant) {
        List<RunResult> runs =
                player.run(fleet, LongStream.rangeClosed(1, 2 * BATCH).boxed().toList());
        int from = (int) (atUs / 1_000_000);
        List<Integer> back =
                runs.stream().map(run -> run.recoveryTimeS(from, goal)).toList();
        return new FailureImpact(
                what,
                Estimate.of(runs.stream().map(RunResult::inTimeRatio).toList()),
                Estimate.of(runs.stream().map(RunResult::worstWindowRatio).toList()),
                Estimate.of(runs.stream().map(worstTenant::applyAsDouble).toList()),
                back.stream().filter(s -> s >= 0).mapToInt(s -> s).average().orElse(Double.NaN),
                (double) back.stream().filter(s -> s < 0).count() / back.size(),
                runs.stream().mapToLong(RunResult::violationCount).sum(),
                meanInTimeBySecond(runs));
    }

    /** Whether an overload ends by itself: a pulse of load, and how long the way back takes from its end. */
    public FailureImpact overloadPulseImpact(Fleet fleet) {
        long atUs = fleet.load().durationUs() / 4;
        Fleet.Load load = fleet.load();
        List<Fleet.LoadPoint> shape = List.of(
                new Fleet.LoadPoint(0, 1),
                new Fleet.LoadPoint(atUs, 1),
                new Fleet.LoadPoint(atUs + 1, PULSE),
                new Fleet.LoadPoint(atUs + PULSE_US, PULSE),
                new Fleet.LoadPoint(atUs + PULSE_US + 1, 1));
        return failureImpact(
                "load of " + PULSE + " times for " + PULSE_US / 1_000_000 + " s",
                atUs + PULSE_US,
                fleet.with(new Fleet.Load(
                        load.ratePerS(), load.durationUs(), shape, load.quotaPerS(), load.overShareWorth())),
                RunResult::worstTenantRatio);
    }
}
