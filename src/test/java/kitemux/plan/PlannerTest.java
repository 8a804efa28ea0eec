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
import kitemux.fleet.Fleets;
import kitemux.fleet.Result;
import org.junit.jupiter.api.Test;

/** The search by itself, over fleets whose answers are known. */
class PlannerTest {
    private static final double GOAL = 0.95;

    private final Fleet fleet = Fleets.yearbook(5, 5, 2, 0.5, 40);
    private final List<Fleet> played = new ArrayList<>();

    /** What a fleet serves in time, told by a formula, with a little chance by seed. */
    private Planner.Player by(ToDoubleFunction<Fleet> share) {
        return (of, seeds) -> {
            played.add(of);
            return seeds.stream()
                    .map(seed -> {
                        double inTime = Math.max(0, Math.min(1, share.applyAsDouble(of) + 0.002 * (seed % 2 * 2 - 1)));
                        return new Result(
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
        return 1 - Math.max(0, of.offered() - 0.8);
    }

    @Test
    void theLoadAtWhichTheGoalBreaksIsFoundToItsStep() {
        Planner.Break found = new Planner(by(PlannerTest::bound), GOAL).breaksAt(fleet);
        // 0.85 of all is where 0.95 is left: 1.7 times 0.5.
        assertTrue(found.holdsAt() <= 1.7 && found.breaksAt() >= 1.7, found.toString());
        assertTrue(found.breaksAt() - found.holdsAt() <= 0.02 * found.breaksAt(), found.toString());
    }

    @Test
    void whatBreaksItIsWhatHelpsMostWhenItIsOutOfTheWay() {
        Planner.Player nodes = by(of -> bound(of)
                - (of.nodes().eventUs() > 0
                                && of.load().ratePerS() > 1.1 * fleet.load().ratePerS()
                        ? 0.2
                        : 0));
        Planner.Break found = new Planner(nodes, GOAL).breaksAt(fleet);
        assertEquals("processors of nodes", found.by().get(0).what());
        assertTrue(found.by().get(0).gains() > 0.9, found.toString());
        assertTrue(found.breaksAt() < 1.2, found.toString());
    }

    @Test
    void whatNoLoadBreaksIsSaidToHoldAtAll() {
        Planner.Break found = new Planner(by(of -> 1), GOAL).breaksAt(fleet);
        assertEquals(Double.POSITIVE_INFINITY, found.breaksAt());
    }

    @Test
    void theFewestServersAreFoundExactlyForEachKind() {
        List<Planner.Fewest> found = new Planner(by(PlannerTest::bound), GOAL).fewest(fleet);
        for (int k = 0; k < 2; k++) {
            double others = k == 0 ? 5 * 0.75 : 5 * 0.97;
            double each = k == 0 ? 0.97 : 0.75;
            double needed = fleet.load().ratePerS() * fleet.meanWorkUs() / 1e6 / 0.85;
            assertEquals((int) Math.ceil((needed - others) / each), found.get(k).count(), found.toString());
        }
    }

    @Test
    void aGoalThatNoNumberOfServersMeetsIsSaidWithItsReason() {
        Planner.Player choked = by(of -> of.choke() == null ? 1 : 0.9);
        Planner.Fewest found = new Planner(choked, GOAL).fewest(fleet).get(0);
        assertEquals(-1, found.count());
        assertEquals("held back by servers that turn slow when crowded", found.why());
    }

    @Test
    void playingStopsAsSoonAsTheIntervalIsOnOneSideAndGoesOnWhereItIsNot() {
        new Planner(by(of -> 0.99), GOAL).holds(fleet);
        assertEquals(1, played.size());
        played.clear();
        Planner.Verdict close = new Planner(
                        (of, seeds) -> seeds.stream()
                                .map(seed -> by(x -> seed % 2 == 0 ? 0.97 : 0.93)
                                        .play(of, List.of(seed))
                                        .get(0))
                                .toList(),
                        GOAL)
                .holds(fleet);
        assertTrue(close.runs().size() > 8, "seeds: " + close.runs().size());
        assertFalse(close.surely());
    }

    @Test
    void lossesAreToldWithTheWayBack() {
        Planner.Player player = (of, seeds) -> by(x -> 1).play(of, seeds).stream()
                .map(r -> new Result(
                        r.seed(),
                        r.inTime(),
                        r.worstWindow(),
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
        planner.losses(fleet)
                .forEach(loss ->
                        assertEquals(loss.what().contains("asks") ? 0 : 12, loss.backAfterS(), 1e-9, loss.what()));
        assertEquals(0, planner.pulse(fleet).backAfterS(), 1e-9);
    }

    @Test
    void zonesAndTenantsAreAskedAfterWhereThereAreAny() {
        Planner planner = new Planner(by(of -> 1), GOAL);
        Fleet zones = Fleets.zoned(fleet, 2);
        List<String> losses =
                planner.losses(zones).stream().map(Planner.Loss::what).toList();
        assertEquals(planner.losses(fleet).size() + 2, losses.size(), losses.toString());
        assertTrue(losses.contains("a zone is cut off for 15 s"), losses.toString());
        List<String> alone = planner.losses(fleet.withoutShares()).stream()
                .map(Planner.Loss::what)
                .toList();
        assertTrue(
                losses.contains("school-b asks 10 times as much")
                        && alone.stream().noneMatch(what -> what.contains("asks")),
                losses + " and " + alone);
    }

    @Test
    void aTenantThatAsksTooMuchAsksAloneForMore() {
        new Planner(by(of -> 1), GOAL).losses(fleet);
        Fleet asking = played.stream()
                .filter(of -> of.load().ratePerS() > 1.5 * fleet.load().ratePerS())
                .findFirst()
                .orElseThrow();
        double share = asking.tenants().get(0).share()
                * asking.tenants().get(0).usage()
                / asking.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usage())
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
        assertEquals(0.2061, Queues.lost(4, 3), 1e-4);
        assertEquals(0.5094, Queues.waits(4, 3), 1e-4);
        assertEquals(1 / (1 - 0.7), Queues.timeInMmc(1, 0.7), 1e-9);
        assertEquals(Queues.timeInMmc(1, 0.7), Queues.timeInMg1(0.7, 1), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, Queues.timeInMmc(2, 2));
        assertFalse(Queues.storm(0.3, 2, 0.5).feedsItself());
        assertTrue(Queues.storm(0.9, 2, 0.5).feedsItself(), "three times 0.9 is more than all can do");
        assertFalse(Queues.storm(0.9, 2, 0).feedsItself(), "nothing is done for nobody");
        assertEquals(1, Queues.storm(0.9, 2, 0.5).calm(), 1e-6);
    }

    @Test
    void anIntervalHoldsTheMeanAsOftenAsItSays() {
        Estimate few = Estimate.of(List.of(1.0, 2.0, 3.0, 4.0));
        // Student's t for three degrees: 3.182; the standard error is 0.6455.
        assertEquals(2.5, few.mean(), 1e-9);
        assertEquals(3.182 * 0.6455, few.half(), 1e-3);
        assertEquals(Double.POSITIVE_INFINITY, Estimate.of(List.of(1.0)).high());
    }
}
