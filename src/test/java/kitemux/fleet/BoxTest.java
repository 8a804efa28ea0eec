package kitemux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.Result;
import kitemux.plan.Estimate;
import kitemux.plan.QueueingFormulas;
import kitemux.sim.Scheduler;
import org.junit.jupiter.api.Test;

/** A server by itself, held against what queueing theory says exactly. */
class BoxTest {
    private static final double WORK_US = 10_000;
    private static final int SEEDS = 30;

    private final Scheduler time = new Scheduler();
    private final RuleChecker rules = new RuleChecker(time, new RuleChecker.ColdLoadLimit(4, 2_000_000));

    private static Fleet fleet(Fleet.ServerKind kind, Fleet.OverloadSlowdown choke) {
        return FleetFixtures.yearbook(1, 0, 1, 0.5, 10).withKinds(List.of(kind)).with(choke);
    }

    private Box box(int cores, int room, Fleet.OverloadSlowdown choke) {
        return new Box(
                "b",
                0,
                0,
                fleet(new Fleet.ServerKind("b", 1, cores, 1, 0, room, 0.2, 10_000_000, false, 1), choke),
                1,
                time,
                rules,
                new RandomStream(1, RandomStream.Purpose.BOXES));
    }

    /** Mean time in the queue and served in units of work, or the share that was turned away. */
    private static double measured(int cores, double load, int room, long seed, boolean fixed, boolean lost) {
        BoxTest world = new BoxTest();
        Box box = world.box(cores, room, null);
        RandomStream arrivals = new RandomStream(seed, RandomStream.Purpose.ARRIVALS);
        RandomStream work = new RandomStream(seed, RandomStream.Purpose.WORK);
        DoubleSupplier workUs = () -> fixed ? WORK_US : work.exponential(WORK_US);
        double[] sum = new double[2];
        long[] counts = new long[2];
        long warmUs = 20_000_000;
        long endUs = 400_000_000;
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            long came = world.time.nowUs();
            if (came > endUs) {
                return;
            }
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, Repeat.SAFE), 1),
                    workUs.getAsDouble(),
                    came,
                    new Box.ReplyHandler() {
                        @Override
                        public void completed(Result result) {
                            if (came > warmUs) {
                                counts[result == Result.OK ? 0 : 1]++;
                                sum[0] += world.time.nowUs() - came;
                            }
                        }

                        @Override
                        public boolean isAwaited() {
                            return true;
                        }
                    }));
            world.time.afterUs(Math.round(arrivals.exponential(WORK_US / load)), next[0]);
        };
        next[0].run();
        while (world.time.step(endUs * 1_100)) {
            assertTrue(counts[0] >= 0);
        }
        return lost ? (double) counts[1] / (counts[0] + counts[1]) : sum[0] / counts[0] / WORK_US;
    }

    private static void agrees(
            String what, double theory, int cores, double load, int room, boolean fixed, boolean lost) {
        List<Double> values = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            values.add(measured(cores, load, room, seed, fixed, lost));
        }
        Estimate seen = Estimate.of(values);
        assertTrue(seen.low() <= theory && theory <= seen.high(), what + ": " + theory + " on paper, seen " + seen);
        assertTrue(seen.halfWidth() < 0.1 * theory, what + ": the interval says little: " + seen);
    }

    @Test
    void timesAndLossesAreThoseOfTheory() {
        agrees("M/M/1", QueueingFormulas.mmcResponseTime(1, 0.7), 1, 0.7, 1 << 20, false, false);
        agrees("M/M/4", QueueingFormulas.mmcResponseTime(4, 3.2), 4, 3.2, 1 << 20, false, false);
        agrees("M/D/1", QueueingFormulas.mg1ResponseTime(0.7, 0), 1, 0.7, 1 << 20, true, false);
        agrees("Erlang's loss", QueueingFormulas.erlangB(4, 3), 4, 3, 0, false, true);
    }

    private void send(Box box, int count, double workUs) {
        for (int i = 0; i < count; i++) {
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, Repeat.SAFE), i),
                    workUs,
                    0,
                    new Box.ReplyHandler() {
                        @Override
                        public void completed(Result result) {}

                        @Override
                        public boolean isAwaited() {
                            return false;
                        }
                    }));
        }
    }

    @Test
    void aColdServerThatIsPushedFallsAndStaysDownAndTheRuleIsBroken() {
        Box box = box(1, 1_000, null);
        box.terminate(false);
        box.start();
        assertEquals(0.2, box.warmUpRatio(), 1e-9);
        // 4 times a fifth of two seconds' work are 70.9 requests of the fleet's mean work of 22.6 ms, and
        // 89.8 with what is chance: 2.03 s of work.
        send(box, 202, 10_000);
        assertTrue(box.isUp());
        assertEquals(0, rules.violationCount());
        send(box, 1, 10_000);
        assertFalse(box.isUp());
        assertEquals(1, rules.violationCount());
        box.start();
        assertFalse(box.isUp());
    }

    /** It falls whoever sends; nodes that could not know of its start are not to blame. */
    @Test
    void aColdServerThatFallsByWhoDidNotKnowBreaksNoRule() {
        Box box = box(1, 1_000, null);
        box.terminate(false);
        box.start();
        for (int i = 0; i < 203; i++) {
            boolean told = i % 2 == 0;
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, Repeat.SAFE), i),
                    10_000,
                    0,
                    new Box.ReplyHandler() {
                        @Override
                        public void completed(Result result) {}

                        @Override
                        public boolean isAwaited() {
                            return false;
                        }

                        @Override
                        public boolean isSenderAwareOfStart() {
                            return told;
                        }
                    }));
        }
        assertTrue(box.hasCollapsed());
        assertEquals(0, rules.violationCount(), rules.violations().toString());
    }

    @Test
    void aCrowdedServerTurnsSlowAndIsItselfAgainOnceItHasRested() {
        Box box = box(1, 1_000, new Fleet.OverloadSlowdown(5, 1_000_000, 3, 0.3, 2_000_000, 60_000_000));
        // A second and a half with more than six waiting.
        send(box, 200, 10_000);
        time.step(0);
        while (time.nowUs() < 1_500_000 && time.step(1_500_000_000L)) {
            assertFalse(box.hasCollapsed());
        }
        assertTrue(box.wasOverloaded());
        // All is worked off, three times slower; then it rests, and single requests are quick again.
        long restedUs = 10_000_000;
        while (time.step(restedUs * 1_000)) {
            assertTrue(box.isUp());
        }
        send(box, 1, 10_000);
        send(box, 1, 10_000);
        long before = time.nowUs();
        double busyBefore = box.busyUs;
        while (time.step((before + 100_000) * 1_000)) {
            assertTrue(box.isUp());
        }
        assertEquals(20_000, box.busyUs - busyBefore, 10_100, "the second one at least is quick");
    }

    @Test
    void whatMayRunOnceAndRunsTwiceIsTold() {
        RuleChecker.TrackedTry unsafe =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("order", 1, 2, 1, Repeat.UNSAFE), 7);
        Box box = box(1, 10, null);
        rules.executionStarted(unsafe, box, 0);
        assertEquals(0, rules.violationCount());
        rules.executionStarted(unsafe, box, 0);
        assertEquals(1, rules.violationCount());
        rules.answered(unsafe, true);
        assertEquals(2, rules.violationCount(), "a refusal of what has run");
        rules.answered(unsafe, false);
        assertEquals(3, rules.violationCount(), "a second answer");
        rules.unanswered(new RuleChecker.TrackedTry(FleetFixtures.requestClass("page", 1, 2, 1, Repeat.SAFE), 8));
        assertEquals(4, rules.violationCount());
        RuleChecker.TrackedTry refused =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("order", 1, 2, 1, Repeat.UNSAFE), 9);
        rules.answered(refused, true);
        assertEquals(4, rules.violationCount());
        rules.executionStarted(refused, box, 0);
        assertEquals(5, rules.violationCount(), "it runs after it was refused");
        assertTrue(
                rules.violations().get(0).contains("request 7 of order runs again"),
                rules.violations().toString());
    }

    @Test
    void aKeyedRequestRunsAgainOnlyInItsRackAndWhileThatRemembersIt() {
        Box here = box(1, 10, null);
        Box elsewhere = new Box(
                "e",
                0,
                1,
                fleet(here.serverKind, null),
                1,
                time,
                rules,
                new RandomStream(1, RandomStream.Purpose.BOXES));
        RuleChecker.TrackedTry keyed =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("photo", 1, 2, 1, Repeat.KEYED), 7);
        rules.executionStarted(keyed, here, 1_000);
        rules.executionStarted(keyed, here, 1_000 + keyed.requestClass.windowUs());
        assertEquals(0, rules.violationCount());
        rules.executionStarted(keyed, elsewhere, 2_000);
        assertEquals(1, rules.violationCount(), "another rack");
        rules.executionStarted(keyed, here, 1_001 + keyed.requestClass.windowUs());
        assertEquals(2, rules.violationCount(), "forgotten by then");
    }
}
