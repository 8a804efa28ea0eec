package kitemux.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import kitemux.fleet.Fleet;
import kitemux.fleet.FleetFixtures;
import kitemux.fleet.RunResult;
import org.junit.jupiter.api.Test;

/** Tests the planner's search on fleets whose results are known. */
class PlannerTest {
    private static final double GOAL = 0.95;

    private final Fleet fleet = FleetFixtures.yearbook(5, 5, 2, 0.5, 40);
    private final List<Fleet> fleetsRun = new ArrayList<>();

    /** Returns a runner whose in-time ratio follows a formula, with a small variation by seed. */
    private Planner.FleetRunner runnerOf(ToDoubleFunction<Fleet> inTimeRatio) {
        return (variant, seeds) -> {
            fleetsRun.add(variant);
            return seeds.stream()
                    .map(seed -> {
                        double ratio = Math.max(
                                0, Math.min(1, inTimeRatio.applyAsDouble(variant) + 0.002 * (seed % 2 * 2 - 1)));
                        return new RunResult(
                                seed,
                                ratio,
                                ratio,
                                List.of(),
                                Collections.nCopies(40, ratio),
                                List.of(),
                                0,
                                0,
                                1,
                                List.of(),
                                0,
                                0,
                                0,
                                0,
                                0,
                                0,
                                0,
                                0,
                                0,
                                List.of(),
                                0);
                    })
                    .toList();
        };
    }

    /** Returns an in-time ratio that falls once the offered load exceeds 0.8 of the capacity. */
    private static double capacityBoundRatio(Fleet variant) {
        return 1 - Math.max(0, variant.offeredLoad() - 0.8);
    }

    @Test
    void breakingLoadIsFoundWithinItsPrecision() {
        Planner.BreakingPoint found =
                new Planner(runnerOf(PlannerTest::capacityBoundRatio), GOAL).findBreakingPoint(fleet);
        // A ratio of 0.95 remains at a load of 0.85, which is 1.7 times 0.5.
        assertTrue(found.highestPassingLoad() <= 1.7 && found.lowestFailingLoad() >= 1.7, found.toString());
        assertTrue(
                found.lowestFailingLoad() - found.highestPassingLoad() <= 0.02 * found.lowestFailingLoad(),
                found.toString());
    }

    @Test
    void causeIsTheConstraintWhoseRemovalHelpsMost() {
        Planner.FleetRunner nodes = runnerOf(of -> capacityBoundRatio(of)
                - (of.nodes().eventCostUs() > 0
                                && of.load().ratePerS() > 1.1 * fleet.load().ratePerS()
                        ? 0.2
                        : 0));
        Planner.BreakingPoint found = new Planner(nodes, GOAL).findBreakingPoint(fleet);
        assertEquals("processors of nodes", found.causes().get(0).description());
        assertTrue(found.causes().get(0).recoveredRatio() > 0.9, found.toString());
        assertTrue(found.lowestFailingLoad() < 1.2, found.toString());
    }

    @Test
    void breakingLoadIsInfiniteIfNoLoadFails() {
        Planner.BreakingPoint found = new Planner(runnerOf(of -> 1), GOAL).findBreakingPoint(fleet);
        assertEquals(Double.POSITIVE_INFINITY, found.lowestFailingLoad());
    }

    @Test
    void minimumServersAreFoundExactlyForEachKind() {
        List<Planner.MinimumServers> found =
                new Planner(runnerOf(PlannerTest::capacityBoundRatio), GOAL).findMinimumServers(fleet);
        for (int k = 0; k < 2; k++) {
            double others = k == 0 ? 5 * 0.75 : 5 * 0.97;
            double each = k == 0 ? 0.97 : 0.75;
            double needed = fleet.load().ratePerS() * fleet.meanWorkUs() / 1e6 / 0.85;
            assertEquals((int) Math.ceil((needed - others) / each), found.get(k).count(), found.toString());
        }
    }

    @Test
    void unreachableGoalIsReportedWithItsReason() {
        Planner.FleetRunner overloadBound = runnerOf(of -> of.overloadSlowdown() == null ? 1 : 0.9);
        Planner.MinimumServers found =
                new Planner(overloadBound, GOAL).findMinimumServers(fleet).get(0);
        assertEquals(-1, found.count());
        assertEquals("limited by servers that slow down when overloaded", found.reason());
    }

    @Test
    void evaluationStopsWhenConclusiveAndContinuesOtherwise() {
        new Planner(runnerOf(of -> 0.99), GOAL).evaluate(fleet);
        assertEquals(1, fleetsRun.size());
        fleetsRun.clear();
        Planner.Verdict inconclusive = new Planner(
                        (of, seeds) -> seeds.stream()
                                .map(seed -> runnerOf(x -> seed % 2 == 0 ? 0.97 : 0.93)
                                        .run(of, List.of(seed))
                                        .get(0))
                                .toList(),
                        GOAL)
                .evaluate(fleet);
        assertTrue(
                inconclusive.runs().size() > 8,
                "number of seeds: " + inconclusive.runs().size());
        assertFalse(inconclusive.isConclusive());
    }

    @Test
    void failureImpactsIncludeRecoveryTime() {
        Planner.FleetRunner runner = (of, seeds) -> runnerOf(x -> 1).run(of, seeds).stream()
                .map(r -> new RunResult(
                        r.seed(),
                        r.inTimeRatio(),
                        r.worstWindowRatio(),
                        List.of(),
                        IntStream.range(0, 40)
                                .mapToObj(s -> of.faults().isEmpty() || s < 10 || s >= 22 ? 1.0 : 0.5)
                                .toList(),
                        List.of(),
                        0,
                        0,
                        1,
                        List.of(),
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        List.of(),
                        0))
                .toList();
        Planner planner = new Planner(runner, GOAL);
        // A greedy tenant is not a fault in the emulated fleet, so it causes no loss here.
        planner.failureImpacts(fleet)
                .forEach(impact -> assertEquals(
                        impact.description().contains("asks") ? 0 : 12,
                        impact.recoveryTimeS(),
                        1e-9,
                        impact.description()));
        assertEquals(0, planner.overloadPulseImpact(fleet).recoveryTimeS(), 1e-9);
    }

    @Test
    void zoneAndTenantFailuresAreIncludedWherePresent() {
        Planner planner = new Planner(runnerOf(of -> 1), GOAL);
        Fleet zones = FleetFixtures.zoned(fleet, 2);
        List<String> impacts = planner.failureImpacts(zones).stream()
                .map(Planner.FailureImpact::description)
                .toList();
        assertEquals(planner.failureImpacts(fleet).size() + 2, impacts.size(), impacts.toString());
        assertTrue(impacts.contains("a zone is cut off for 15 s"), impacts.toString());
        List<String> withoutTenants = planner.failureImpacts(fleet.withoutTenants()).stream()
                .map(Planner.FailureImpact::description)
                .toList();
        assertTrue(
                impacts.contains("school-b asks 10 times as much")
                        && withoutTenants.stream().noneMatch(what -> what.contains("asks")),
                impacts + " and " + withoutTenants);
    }

    @Test
    void onlyGreedyTenantIncreasesItsLoad() {
        new Planner(runnerOf(of -> 1), GOAL).failureImpacts(fleet);
        Fleet increasedFleet = fleetsRun.stream()
                .filter(of -> of.load().ratePerS() > 1.5 * fleet.load().ratePerS())
                .findFirst()
                .orElseThrow();
        double share = increasedFleet.tenants().get(0).share()
                * increasedFleet.tenants().get(0).usageRatio()
                / increasedFleet.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usageRatio())
                        .sum();
        assertEquals(
                0.6 * fleet.load().ratePerS(), share * increasedFleet.load().ratePerS(), 1e-6);
    }

    @Test
    void goalOutOfRangeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Planner(runnerOf(of -> 1), 1));
        assertThrows(IllegalArgumentException.class, () -> new Planner(runnerOf(of -> 1), Double.NaN));
    }

    @Test
    void formulasMatchPublishedValues() {
        assertEquals(0.2061, QueueingFormulas.erlangB(4, 3), 1e-4);
        assertEquals(0.5094, QueueingFormulas.erlangC(4, 3), 1e-4);
        assertEquals(1 / (1 - 0.7), QueueingFormulas.mmcResponseTime(1, 0.7), 1e-9);
        assertEquals(QueueingFormulas.mmcResponseTime(1, 0.7), QueueingFormulas.mg1ResponseTime(0.7, 1), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, QueueingFormulas.mmcResponseTime(2, 2));
        assertFalse(QueueingFormulas.retryStorm(0.3, 2, 0.5).isSelfSustaining());
        assertTrue(QueueingFormulas.retryStorm(0.9, 2, 0.5).isSelfSustaining(), "three times 0.9 exceeds the capacity");
        assertFalse(QueueingFormulas.retryStorm(0.9, 2, 0).isSelfSustaining(), "no work is wasted");
        assertEquals(1, QueueingFormulas.retryStorm(0.9, 2, 0.5).calmTriesRatio(), 1e-6);
    }

    @Test
    void confidenceIntervalFollowsStudentsT() {
        Estimate few = Estimate.of(List.of(1.0, 2.0, 3.0, 4.0));
        // Student's t for three degrees of freedom is 3.182; the standard error is 0.6455.
        assertEquals(2.5, few.mean(), 1e-9);
        assertEquals(3.182 * 0.6455, few.halfWidth(), 1e-3);
        assertEquals(Double.POSITIVE_INFINITY, Estimate.of(List.of(1.0)).high());
    }
}
