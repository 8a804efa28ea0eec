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

/** The search by itself, over fleets whose answers are known. */
class PlannerTest {
    private static final double GOAL = 0.95;

    private final Fleet fleet = FleetFixtures.yearbook(5, 5, 2, 0.5, 40);
    private final List<Fleet> played = new ArrayList<>();

    /** What a fleet serves in time, told by a formula, with a little chance by seed. */
    private Planner.FleetRunner by(ToDoubleFunction<Fleet> share) {
        return (of, seeds) -> {
            played.add(of);
            return seeds.stream()
                    .map(seed -> {
                        double inTime = Math.max(0, Math.min(1, share.applyAsDouble(of) + 0.002 * (seed % 2 * 2 - 1)));
                        return new RunResult(
                                seed,
                                inTime,
                                inTime,
                                List.of(),
                                Collections.nCopies(40, inTime),
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

    /** In time as far as the work offered is under 0.8 of what servers can do. */
    private static double bound(Fleet of) {
        return 1 - Math.max(0, of.offeredLoad() - 0.8);
    }

    @Test
    void theLoadAtWhichTheGoalBreaksIsFoundToItsStep() {
        Planner.BreakingPoint found = new Planner(by(PlannerTest::bound), GOAL).findBreakingPoint(fleet);
        // 0.85 of all is where 0.95 is left: 1.7 times 0.5.
        assertTrue(found.highestPassingLoad() <= 1.7 && found.lowestFailingLoad() >= 1.7, found.toString());
        assertTrue(
                found.lowestFailingLoad() - found.highestPassingLoad() <= 0.02 * found.lowestFailingLoad(),
                found.toString());
    }

    @Test
    void whatBreaksItIsWhatHelpsMostWhenItIsOutOfTheWay() {
        Planner.FleetRunner nodes = by(of -> bound(of)
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
    void whatNoLoadBreaksIsSaidToHoldAtAll() {
        Planner.BreakingPoint found = new Planner(by(of -> 1), GOAL).findBreakingPoint(fleet);
        assertEquals(Double.POSITIVE_INFINITY, found.lowestFailingLoad());
    }

    @Test
    void theFewestServersAreFoundExactlyForEachKind() {
        List<Planner.MinimumServers> found = new Planner(by(PlannerTest::bound), GOAL).findMinimumServers(fleet);
        for (int k = 0; k < 2; k++) {
            double others = k == 0 ? 5 * 0.75 : 5 * 0.97;
            double each = k == 0 ? 0.97 : 0.75;
            double needed = fleet.load().ratePerS() * fleet.meanWorkUs() / 1e6 / 0.85;
            assertEquals((int) Math.ceil((needed - others) / each), found.get(k).count(), found.toString());
        }
    }

    @Test
    void aGoalThatNoNumberOfServersMeetsIsSaidWithItsReason() {
        Planner.FleetRunner choked = by(of -> of.overloadSlowdown() == null ? 1 : 0.9);
        Planner.MinimumServers found =
                new Planner(choked, GOAL).findMinimumServers(fleet).get(0);
        assertEquals(-1, found.count());
        assertEquals("limited by servers that slow down when overloaded", found.reason());
    }

    @Test
    void playingStopsAsSoonAsTheIntervalIsOnOneSideAndGoesOnWhereItIsNot() {
        new Planner(by(of -> 0.99), GOAL).evaluate(fleet);
        assertEquals(1, played.size());
        played.clear();
        Planner.Verdict close = new Planner(
                        (of, seeds) -> seeds.stream()
                                .map(seed -> by(x -> seed % 2 == 0 ? 0.97 : 0.93)
                                        .run(of, List.of(seed))
                                        .get(0))
                                .toList(),
                        GOAL)
                .evaluate(fleet);
        assertTrue(close.runs().size() > 8, "seeds: " + close.runs().size());
        assertFalse(close.isConclusive());
    }

    @Test
    void lossesAreToldWithTheWayBack() {
        Planner.FleetRunner player = (of, seeds) -> by(x -> 1).run(of, seeds).stream()
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
        Planner planner = new Planner(player, GOAL);
        // A tenant that asks too much is no fault: what it costs here is nothing.
        planner.failureImpacts(fleet)
                .forEach(loss -> assertEquals(
                        loss.description().contains("asks") ? 0 : 12, loss.recoveryTimeS(), 1e-9, loss.description()));
        assertEquals(0, planner.overloadPulseImpact(fleet).recoveryTimeS(), 1e-9);
    }

    @Test
    void zonesAndTenantsAreAskedAfterWhereThereAreAny() {
        Planner planner = new Planner(by(of -> 1), GOAL);
        Fleet zones = FleetFixtures.zoned(fleet, 2);
        List<String> losses = planner.failureImpacts(zones).stream()
                .map(Planner.FailureImpact::description)
                .toList();
        assertEquals(planner.failureImpacts(fleet).size() + 2, losses.size(), losses.toString());
        assertTrue(losses.contains("a zone is cut off for 15 s"), losses.toString());
        List<String> alone = planner.failureImpacts(fleet.withoutTenants()).stream()
                .map(Planner.FailureImpact::description)
                .toList();
        assertTrue(
                losses.contains("school-b asks 10 times as much")
                        && alone.stream().noneMatch(what -> what.contains("asks")),
                losses + " and " + alone);
    }

    @Test
    void aTenantThatAsksTooMuchAsksAloneForMore() {
        new Planner(by(of -> 1), GOAL).failureImpacts(fleet);
        Fleet asking = played.stream()
                .filter(of -> of.load().ratePerS() > 1.5 * fleet.load().ratePerS())
                .findFirst()
                .orElseThrow();
        double share = asking.tenants().get(0).share()
                * asking.tenants().get(0).usageRatio()
                / asking.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usageRatio())
                        .sum();
        assertEquals(0.6 * fleet.load().ratePerS(), share * asking.load().ratePerS(), 1e-6);
    }

    @Test
    void aGoalOutOfRangeIsTurnedDown() {
        assertThrows(IllegalArgumentException.class, () -> new Planner(by(of -> 1), 1));
        assertThrows(IllegalArgumentException.class, () -> new Planner(by(of -> 1), Double.NaN));
    }

    @Test
    void formulasGiveTheValuesOfTheBooks() {
        assertEquals(0.2061, QueueingFormulas.erlangB(4, 3), 1e-4);
        assertEquals(0.5094, QueueingFormulas.erlangC(4, 3), 1e-4);
        assertEquals(1 / (1 - 0.7), QueueingFormulas.mmcResponseTime(1, 0.7), 1e-9);
        assertEquals(QueueingFormulas.mmcResponseTime(1, 0.7), QueueingFormulas.mg1ResponseTime(0.7, 1), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, QueueingFormulas.mmcResponseTime(2, 2));
        assertFalse(QueueingFormulas.retryStorm(0.3, 2, 0.5).isSelfSustaining());
        assertTrue(
                QueueingFormulas.retryStorm(0.9, 2, 0.5).isSelfSustaining(), "three times 0.9 is more than all can do");
        assertFalse(QueueingFormulas.retryStorm(0.9, 2, 0).isSelfSustaining(), "nothing is done for nobody");
        assertEquals(1, QueueingFormulas.retryStorm(0.9, 2, 0.5).calmTriesRatio(), 1e-6);
    }

    @Test
    void anIntervalHoldsTheMeanAsOftenAsItSays() {
        Estimate few = Estimate.of(List.of(1.0, 2.0, 3.0, 4.0));
        // Student's t for three degrees: 3.182; the standard error is 0.6455.
        assertEquals(2.5, few.mean(), 1e-9);
        assertEquals(3.182 * 0.6455, few.halfWidth(), 1e-3);
        assertEquals(Double.POSITIVE_INFINITY, Estimate.of(List.of(1.0)).high());
    }
}
