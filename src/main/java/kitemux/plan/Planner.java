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
 * Answers capacity questions by running fleets: whether a fleet meets its goal, at which load it fails and
 * why, how many servers it needs, and what failures cost. Variants of a fleet meet the same clients with the
 * same work, so that results differ only through the variant. The runner is supplied by the caller, which
 * decides on the number of processors to use.
 */
public final class Planner {
    /** Number of seeds that are run at once. */
    private static final int SEED_BATCH_COUNT = 8;

    /** Maximum number of seeds that are run for one question. */
    private static final int MAX_SEED_COUNT = 32;
    /** Half-width of the confidence interval at which the mean decides, even if the interval contains the goal. */
    private static final double NARROW_HALF_WIDTH_RATIO = 0.004;
    /** Relative precision with which the breaking load is determined. */
    private static final double LOAD_STEP_RATIO = 0.02;

    /** Lowest load at which the search for the breaking load stops, as a multiple of the present load. */
    private static final double MIN_LOAD_RATIO = 0.05;
    /** Highest load that the search tries, as a multiple of the present load. */
    private static final double MAX_LOAD_RATIO = 8;
    /** Largest number of servers of one kind that the search tries. */
    private static final int MAX_SERVER_COUNT = 2_000;
    /** Lowest fraction of the shortfall that a change must recover to count as a cause. */
    private static final double MIN_RECOVERED_RATIO = 0.1;
    /** Load during the overload pulse, as a multiple of the normal load. */
    private static final double PULSE_LOAD_RATIO = 2.5;

    /** Duration of the overload pulse. */
    private static final long PULSE_US = 5_000_000;
    /** Load of the greedy tenant, as a multiple of its normal load. */
    private static final double GREEDY_TENANT_LOAD_RATIO = 10;

    private final FleetRunner runner;
    private final double goal;

    /** Runs a fleet. */
    public interface FleetRunner {
        /** Runs the fleet once for each seed and returns the results in the order of the seeds. */
        List<RunResult> run(Fleet fleet, List<Long> seeds);
    }

    /**
     * Creates a planner.
     *
     * @param runner runs the fleets
     * @param goal fraction of the offered worth that must be answered within its latency objective, in (0, 1)
     * @throws IllegalArgumentException if the goal is out of range
     */
    public Planner(FleetRunner runner, double goal) {
        if (!(goal > 0 && goal < 1)) {
            throw new IllegalArgumentException("the goal must be above 0 and below 1, not " + goal);
        }
        this.runner = runner;
        this.goal = goal;
    }

    // ---------------------------------------------------------------- evaluation

    /**
     * The evaluation of a fleet against the goal.
     *
     * @param meetsGoal whether the mean in-time ratio reaches the goal
     * @param isConclusive whether the whole confidence interval lies on one side of the goal
     * @param inTimeRatio ratio of worth answered in time
     * @param worstWindowRatio in-time ratio of the worst 10 s
     * @param violationCount rule violations in all runs together
     * @param runs the runs
     */
    public record Verdict(
            boolean meetsGoal,
            boolean isConclusive,
            Estimate inTimeRatio,
            Estimate worstWindowRatio,
            long violationCount,
            List<RunResult> runs) {}

    /**
     * Runs seeds in batches until the confidence interval lies on one side of the goal or is narrow, or until
     * all seeds have been run.
     */
    public Verdict evaluate(Fleet fleet) {
        List<RunResult> runs = new ArrayList<>();
        Estimate inTime;
        do {
            runs.addAll(runner.run(
                    fleet,
                    LongStream.range(runs.size() + 1, runs.size() + 1 + SEED_BATCH_COUNT)
                            .boxed()
                            .toList()));
            inTime = Estimate.of(runs.stream().map(RunResult::inTimeRatio).toList());
        } while (inTime.low() <= goal
                && inTime.high() >= goal
                && inTime.halfWidth() > NARROW_HALF_WIDTH_RATIO
                && runs.size() < MAX_SEED_COUNT);
        return new Verdict(
                inTime.mean() >= goal,
                inTime.low() > goal || inTime.high() < goal,
                inTime,
                Estimate.of(runs.stream().map(RunResult::worstWindowRatio).toList()),
                runs.stream().mapToLong(RunResult::violationCount).sum(),
                List.copyOf(runs));
    }

    // ---------------------------------------------------------------- breaking point

    /**
     * The load at which the goal is missed.
     *
     * @param highestPassingLoad highest multiple of the present load that met the goal
     * @param lowestFailingLoad lowest multiple that missed it; infinite if no tested load did
     * @param causes the constraints whose removal recovers most of the shortfall at the failing load, most
     *     first
     */
    public record BreakingPoint(double highestPassingLoad, double lowestFailingLoad, List<Cause> causes) {}

    /**
     * A constraint that limits a fleet.
     *
     * @param description description of the constraint
     * @param recoveredRatio fraction of the shortfall to the goal that is recovered without the constraint;
     *     above 1 if the goal is then exceeded
     */
    public record Cause(String description, double recoveredRatio) {}

    /**
     * Finds the load at which the goal is missed, to a relative precision of {@link #LOAD_STEP_RATIO}, and
     * its causes.
     */
    public BreakingPoint findBreakingPoint(Fleet fleet) {
        double low = 0;
        double high = 1;
        while (high <= MAX_LOAD_RATIO
                && evaluate(fleet.with(fleet.load().scaledBy(high))).meetsGoal()) {
            low = high;
            high *= 1.5;
        }
        if (high > MAX_LOAD_RATIO) {
            return new BreakingPoint(low, Double.POSITIVE_INFINITY, List.of());
        }
        while (high - low > LOAD_STEP_RATIO * high && high > MIN_LOAD_RATIO) {
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
     * Removes each constraint by itself, under the same clients, and attributes to it what its removal
     * recovers.
     */
    private List<Cause> causes(Fleet fleet) {
        Map<String, Fleet> relaxedFleets = new LinkedHashMap<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.ServerKind kind = fleet.kinds().get(k);
            if (kind.count() > 0) {
                List<Fleet.ServerKind> fasterKinds = new ArrayList<>(fleet.kinds());
                fasterKinds.set(
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
                relaxedFleets.put(
                        "processors of " + kind.name() + " servers (a quarter more would help)",
                        fleet.withKinds(fasterKinds));
            }
        }
        if (fleet.overloadSlowdown() != null) {
            relaxedFleets.put("servers that slow down when overloaded", fleet.with((Fleet.OverloadSlowdown) null));
        }
        Fleet.Links links = fleet.links();
        relaxedFleets.put(
                "connections that a server accepts",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(),
                        links.jitter(),
                        links.handshakeRtts(),
                        links.handshakeWorkUs(),
                        1_000_000,
                        links.idleTimeoutUs(),
                        links.connectTimeoutUs())));
        relaxedFleets.put(
                "cost of new connections",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(),
                        links.jitter(),
                        0,
                        0,
                        links.maxConnectionsPerCore(),
                        links.idleTimeoutUs(),
                        links.connectTimeoutUs())));
        Fleet.Nodes nodes = fleet.nodes();
        relaxedFleets.put(
                "processors of nodes",
                fleet.with(new Fleet.Nodes(
                        nodes.count(), 0, nodes.cores(), nodes.startupUs(), nodes.failureDetectionUs())));
        Fleet.Clients clients = fleet.clients();
        relaxedFleets.put(
                "client retries",
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
            relaxedFleets.put("tenant usage beyond its share", fleet.withoutTenants());
        }
        if (fleet.kinds().stream().anyMatch(k -> k.warmUpUs() > 0)
                && !fleet.faults().isEmpty()) {
            relaxedFleets.put(
                    "servers that return cold",
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
            relaxedFleets.put("the described faults", fleet.withFaults(List.of()));
        }
        double currentRatio = meanInTimeRatio(fleet);
        double shortfall = Math.max(1e-6, goal - currentRatio);
        List<Cause> causes = new ArrayList<>();
        relaxedFleets.forEach((description, relaxedFleet) ->
                causes.add(new Cause(description, (meanInTimeRatio(relaxedFleet) - currentRatio) / shortfall)));
        causes.removeIf(cause -> cause.recoveredRatio < MIN_RECOVERED_RATIO);
        causes.sort(Comparator.comparingDouble(Cause::recoveredRatio).reversed());
        return List.copyOf(causes);
    }

    private double meanInTimeRatio(Fleet fleet) {
        return runner
                .run(fleet, LongStream.rangeClosed(1, SEED_BATCH_COUNT).boxed().toList())
                .stream()
                .mapToDouble(RunResult::inTimeRatio)
                .average()
                .orElse(0);
    }

    // ---------------------------------------------------------------- number of servers

    /**
     * The minimum number of servers of one kind with which the fleet meets the goal; the other kinds stay as
     * they are.
     *
     * @param kind name of the kind
     * @param count number of servers, or -1 if no number suffices
     * @param cost cost of the whole fleet with that number
     * @param reason reason why no number suffices; otherwise empty
     */
    public record MinimumServers(String kind, int count, double cost, String reason) {}

    /** Finds the minimum number of servers of each kind by itself. */
    public List<MinimumServers> findMinimumServers(Fleet fleet) {
        List<MinimumServers> found = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            found.add(findMinimumServers(fleet, k));
        }
        return found;
    }

    private MinimumServers findMinimumServers(Fleet fleet, int kind) {
        String name = fleet.kinds().get(kind).name();
        int otherServers = fleet.serverCount() - fleet.kinds().get(kind).count();
        int low = otherServers == 0 ? 0 : -1;
        int high = Math.max(1, fleet.kinds().get(kind).count());
        while (!evaluate(with(fleet, kind, high)).meetsGoal()) {
            low = high;
            high *= 2;
            if (high > MAX_SERVER_COUNT || high > 16 * Math.max(fleet.serverCount(), 4)) {
                return new MinimumServers(name, -1, Double.NaN, explainFailure(with(fleet, kind, low)));
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

    /** Names the cause that limits a fleet which has so many servers that their capacity cannot be it. */
    private String explainFailure(Fleet fleet) {
        List<Cause> causes = causes(fleet);
        return causes.isEmpty()
                ? "work and network delays alone exceed the goal, even without queueing"
                : "limited by " + causes.get(0).description();
    }

    private static double cost(Fleet fleet) {
        return fleet.kinds().stream().mapToDouble(k -> k.count() * k.cost()).sum();
    }

    private static Fleet with(Fleet fleet, int kind, int count) {
        List<Fleet.ServerKind> kinds = new ArrayList<>(fleet.kinds());
        Fleet.ServerKind changedKind = kinds.get(kind);
        kinds.set(
                kind,
                new Fleet.ServerKind(
                        changedKind.name(),
                        count,
                        changedKind.cores(),
                        changedKind.speed(),
                        changedKind.speedCv(),
                        changedKind.queueCapacity(),
                        changedKind.initialCapacityRatio(),
                        changedKind.warmUpUs(),
                        changedKind.warmsByWork(),
                        changedKind.cost()));
        return fleet.withKinds(kinds);
    }

    // ---------------------------------------------------------------- failures

    /**
     * The impact of a failure.
     *
     * @param description description of the failure
     * @param inTimeRatio ratio of worth answered in time
     * @param worstWindowRatio in-time ratio of the worst 10 s
     * @param worstTenantRatio in-time ratio of the tenant with the lowest one, for requests within its share;
     *     if one tenant exceeds its share, of the other tenants
     * @param recoveryTimeS mean seconds from the start of the failure until the goal is met again and stays
     *     met, over the runs that recovered
     * @param unrecoveredRatio fraction of runs that did not recover before clients stopped
     * @param violationCount rule violations in all runs together
     * @param inTimeBySecond mean in-time ratio of each second
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

    /** Returns the in-time ratio of each second, averaged over runs. */
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
     * Determines the impact of several failures on the fleet: the loss of a rack, of a zone and of a fifth of
     * the servers, a release, a release during which a rack is lost, a restart of all nodes, and a tenant
     * that far exceeds its share.
     */
    public List<FailureImpact> failureImpacts(Fleet fleet) {
        long atUs = fleet.load().durationUs() / 4;
        List<FailureImpact> impacts = new ArrayList<>();
        if (fleet.racks() > 1) {
            impacts.add(failureImpact(
                    fleet,
                    "a rack dies for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.DIE, Fleet.FaultScope.RACK, 0, 0, atUs, 15_000_000, 0)));
            impacts.add(failureImpact(
                    fleet,
                    "a rack goes silent for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.VANISH, Fleet.FaultScope.RACK, 0, 0, atUs, 15_000_000, 0)));
        }
        if (fleet.zones().count() > 1) {
            // The last zone is used because discovery runs in the first.
            int zone = fleet.zones().count() - 1;
            impacts.add(failureImpact(
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
            impacts.add(failureImpact(
                    fleet,
                    "a zone is cut off for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.FaultKind.CUT, Fleet.FaultScope.ZONE, zone, 0, atUs, 15_000_000, 0)));
        }
        int fifth = Math.max(1, fleet.serverCount() / 5);
        impacts.add(failureImpact(
                fleet,
                fifth + " of " + fleet.serverCount() + " servers die for 15 s",
                atUs,
                new Fleet.Fault(Fleet.FaultKind.DIE, Fleet.FaultScope.ANY, 0, fifth, atUs, 15_000_000, 0)));
        Fleet.Fault release =
                new Fleet.Fault(Fleet.FaultKind.RELEASE, Fleet.FaultScope.ANY, 0, 0, atUs, 1_000_000, fifth);
        impacts.add(failureImpact(fleet, "a release, " + fifth + " servers at a time", atUs, release));
        if (fleet.racks() > 1) {
            impacts.add(failureImpact(
                    fleet,
                    "a rack dies for 15 s in the middle of such a release",
                    atUs,
                    release,
                    new Fleet.Fault(
                            Fleet.FaultKind.DIE, Fleet.FaultScope.RACK, 0, 0, atUs + 4_000_000, 15_000_000, 0)));
        }
        impacts.add(failureImpact(
                fleet,
                "all nodes restart, one at a time",
                atUs,
                new Fleet.Fault(Fleet.FaultKind.NODES_RESTART, Fleet.FaultScope.ANY, 0, 0, atUs, 500_000, 1)));
        if (fleet.tenants().size() > 1) {
            impacts.add(greedyTenantImpact(fleet, atUs));
        }
        return impacts;
    }

    /**
     * Determines the impact on the other tenants when the tenant with the smallest share multiplies its load
     * by {@link #GREEDY_TENANT_LOAD_RATIO}.
     */
    private FailureImpact greedyTenantImpact(Fleet fleet, long atUs) {
        Fleet.TenantShare greedyTenant = fleet.tenants().stream()
                .min(Comparator.comparingDouble(Fleet.TenantShare::share))
                .orElseThrow();
        double totalLoad = fleet.tenants().stream()
                .mapToDouble(t -> t.share() * t.usageRatio())
                .sum();
        double additionalLoad =
                (GREEDY_TENANT_LOAD_RATIO - 1) * greedyTenant.share() * greedyTenant.usageRatio() / totalLoad;
        Fleet increasedFleet = fleet.withTenants(fleet.tenants().stream()
                .map(t -> t.equals(greedyTenant)
                        ? new Fleet.TenantShare(t.name(), t.share(), t.usageRatio() * GREEDY_TENANT_LOAD_RATIO)
                        : t)
                .toList());
        int greedyIndex = fleet.tenants().indexOf(greedyTenant);
        return failureImpact(
                greedyTenant.name() + " asks " + (int) GREEDY_TENANT_LOAD_RATIO + " times as much",
                atUs,
                increasedFleet.with(fleet.load().scaledBy(1 + additionalLoad)),
                run -> IntStream.range(0, run.inTimeByTenant().size())
                        .filter(t -> t != greedyIndex)
                        .mapToDouble(t -> run.inTimeByTenant().get(t))
                        .min()
                        .orElse(1));
    }

    private FailureImpact failureImpact(Fleet fleet, String description, long atUs, Fleet.Fault... additionalFaults) {
        List<Fleet.Fault> faults = new ArrayList<>(fleet.faults());
        faults.addAll(List.of(additionalFaults));
        return failureImpact(description, atUs, fleet.withFaults(faults), RunResult::worstTenantRatio);
    }

    private FailureImpact failureImpact(
            String description, long atUs, Fleet fleet, ToDoubleFunction<RunResult> worstTenantRatio) {
        List<RunResult> runs = runner.run(
                fleet, LongStream.rangeClosed(1, 2 * SEED_BATCH_COUNT).boxed().toList());
        int from = (int) (atUs / 1_000_000);
        List<Integer> recoveryTimes =
                runs.stream().map(run -> run.recoveryTimeS(from, goal)).toList();
        return new FailureImpact(
                description,
                Estimate.of(runs.stream().map(RunResult::inTimeRatio).toList()),
                Estimate.of(runs.stream().map(RunResult::worstWindowRatio).toList()),
                Estimate.of(runs.stream().map(worstTenantRatio::applyAsDouble).toList()),
                recoveryTimes.stream()
                        .filter(s -> s >= 0)
                        .mapToInt(s -> s)
                        .average()
                        .orElse(Double.NaN),
                (double) recoveryTimes.stream().filter(s -> s < 0).count() / recoveryTimes.size(),
                runs.stream().mapToLong(RunResult::violationCount).sum(),
                meanInTimeBySecond(runs));
    }

    /** Determines whether the fleet recovers from a pulse of overload, and how long that takes after the pulse. */
    public FailureImpact overloadPulseImpact(Fleet fleet) {
        long atUs = fleet.load().durationUs() / 4;
        Fleet.Load load = fleet.load();
        List<Fleet.LoadPoint> profile = List.of(
                new Fleet.LoadPoint(0, 1),
                new Fleet.LoadPoint(atUs, 1),
                new Fleet.LoadPoint(atUs + 1, PULSE_LOAD_RATIO),
                new Fleet.LoadPoint(atUs + PULSE_US, PULSE_LOAD_RATIO),
                new Fleet.LoadPoint(atUs + PULSE_US + 1, 1));
        return failureImpact(
                "load of " + PULSE_LOAD_RATIO + " times for " + PULSE_US / 1_000_000 + " s",
                atUs + PULSE_US,
                fleet.with(new Fleet.Load(
                        load.ratePerS(), load.durationUs(), profile, load.quotaPerS(), load.overShareWorth())),
                RunResult::worstTenantRatio);
    }
}
