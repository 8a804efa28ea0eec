package kitemux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.plan.Estimate;
import kitemux.plan.QueueingFormulas;
import kitemux.sim.Scheduler;
import org.junit.jupiter.api.Test;

/** Tests a single emulated server against exact results of queueing theory and the service rules. */
class BoxTest {
    private static final double WORK_US = 10_000;
    private static final int SEED_COUNT = 30;

    private final Scheduler scheduler = new Scheduler();
    private final RuleChecker rules = new RuleChecker(scheduler, new RuleChecker.ColdLoadLimit(4, 2_000_000));

    private static Fleet fleet(Fleet.ServerKind kind, Fleet.OverloadSlowdown slowdown) {
        return FleetFixtures.yearbook(1, 0, 1, 0.5, 10).withKinds(List.of(kind)).with(slowdown);
    }

    private Box box(int cores, int queueCapacity, Fleet.OverloadSlowdown slowdown) {
        return new Box(
                "b",
                0,
                0,
                fleet(new Fleet.ServerKind("b", 1, cores, 1, 0, queueCapacity, 0.2, 10_000_000, false, 1), slowdown),
                1,
                scheduler,
                rules,
                new RandomStream(1, RandomStream.Purpose.SERVERS));
    }

    /**
     * Simulates a queue; returns the mean response time in units of the mean work, or the fraction of
     * rejected requests.
     */
    private static double measure(
            int cores, double load, int queueCapacity, long seed, boolean hasFixedWork, boolean measuresLoss) {
        BoxTest test = new BoxTest();
        Box box = test.box(cores, queueCapacity, null);
        RandomStream arrivals = new RandomStream(seed, RandomStream.Purpose.ARRIVALS);
        RandomStream work = new RandomStream(seed, RandomStream.Purpose.WORK);
        DoubleSupplier workUs = () -> hasFixedWork ? WORK_US : work.exponential(WORK_US);
        double[] sum = new double[2];
        long[] counts = new long[2];
        long warmUpEndUs = 20_000_000;
        long endUs = 400_000_000;
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            long arrivedAtUs = test.scheduler.nowUs();
            if (arrivedAtUs > endUs) {
                return;
            }
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, RetrySafety.SAFE), 1),
                    workUs.getAsDouble(),
                    arrivedAtUs,
                    new Box.ReplyHandler() {
                        @Override
                        public void completed(Result result) {
                            if (arrivedAtUs > warmUpEndUs) {
                                counts[result == Result.OK ? 0 : 1]++;
                                sum[0] += test.scheduler.nowUs() - arrivedAtUs;
                            }
                        }

                        @Override
                        public boolean isAwaited() {
                            return true;
                        }
                    }));
            test.scheduler.scheduleAfterUs(Math.round(arrivals.exponential(WORK_US / load)), next[0]);
        };
        next[0].run();
        while (test.scheduler.runNext(endUs * 1_100)) {
            assertTrue(counts[0] >= 0);
        }
        return measuresLoss ? (double) counts[1] / (counts[0] + counts[1]) : sum[0] / counts[0] / WORK_US;
    }

    private static void assertMatchesTheory(
            String model,
            double theory,
            int cores,
            double load,
            int queueCapacity,
            boolean hasFixedWork,
            boolean measuresLoss) {
        List<Double> values = new ArrayList<>();
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            values.add(measure(cores, load, queueCapacity, seed, hasFixedWork, measuresLoss));
        }
        Estimate estimate = Estimate.of(values);
        assertTrue(
                estimate.low() <= theory && theory <= estimate.high(),
                model + ": expected " + theory + ", measured " + estimate);
        assertTrue(estimate.halfWidth() < 0.1 * theory, model + ": the confidence interval is too wide: " + estimate);
    }

    @Test
    void responseTimesAndLossesMatchQueueingTheory() {
        assertMatchesTheory("M/M/1", QueueingFormulas.mmcResponseTime(1, 0.7), 1, 0.7, 1 << 20, false, false);
        assertMatchesTheory("M/M/4", QueueingFormulas.mmcResponseTime(4, 3.2), 4, 3.2, 1 << 20, false, false);
        assertMatchesTheory("M/D/1", QueueingFormulas.mg1ResponseTime(0.7, 0), 1, 0.7, 1 << 20, true, false);
        assertMatchesTheory("Erlang's loss", QueueingFormulas.erlangB(4, 3), 4, 3, 0, false, true);
    }

    private void send(Box box, int count, double workUs) {
        for (int i = 0; i < count; i++) {
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, RetrySafety.SAFE), i),
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
    void overloadedColdServerCollapsesStaysDownAndViolatesRule() {
        Box box = box(1, 1_000, null);
        box.terminate(false);
        box.start();
        assertEquals(0.2, box.warmUpRatio(), 1e-9);
        // 4 times a fifth of two seconds of work is 70.9 requests with the fleet's mean work of 22.6 ms, or 89.8 with
        // the allowance for random variation: 2.03 s of work.
        send(box, 202, 10_000);
        assertTrue(box.isUp());
        assertEquals(0, rules.violationCount());
        send(box, 1, 10_000);
        assertFalse(box.isUp());
        assertEquals(1, rules.violationCount());
        box.start();
        assertFalse(box.isUp());
    }

    /**
     * A cold server collapses whoever overloads it, but nodes that could not know of its start are not at
     * fault.
     */
    @Test
    void collapseCausedByNodesUnawareOfStartViolatesNoRule() {
        Box box = box(1, 1_000, null);
        box.terminate(false);
        box.start();
        for (int i = 0; i < 203; i++) {
            boolean isAware = i % 2 == 0;
            box.submit(new Box.Job(
                    new RuleChecker.TrackedTry(FleetFixtures.requestClass("c", 1, 2, 1, RetrySafety.SAFE), i),
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
                            return isAware;
                        }
                    }));
        }
        assertTrue(box.hasCollapsed());
        assertEquals(0, rules.violationCount(), rules.violations().toString());
    }

    @Test
    void overloadedServerSlowsDownAndRecoversAfterRest() {
        Box box = box(1, 1_000, new Fleet.OverloadSlowdown(5, 1_000_000, 3, 0.3, 2_000_000, 60_000_000));
        // More than six requests are queued for a second and a half.
        send(box, 200, 10_000);
        scheduler.runNext(0);
        while (scheduler.nowUs() < 1_500_000 && scheduler.runNext(1_500_000_000L)) {
            assertFalse(box.hasCollapsed());
        }
        assertTrue(box.wasOverloaded());
        // The queue is processed three times slower. After the server has rested, single requests are fast again.
        long restedUs = 10_000_000;
        while (scheduler.runNext(restedUs * 1_000)) {
            assertTrue(box.isUp());
        }
        send(box, 1, 10_000);
        send(box, 1, 10_000);
        long before = scheduler.nowUs();
        double busyBefore = box.busyUs;
        while (scheduler.runNext((before + 100_000) * 1_000)) {
            assertTrue(box.isUp());
        }
        assertEquals(20_000, box.busyUs - busyBefore, 10_100, "at least the second request is fast");
    }

    @Test
    void repeatedExecutionAndWrongAnswersAreReported() {
        RuleChecker.TrackedTry unsafe =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("order", 1, 2, 1, RetrySafety.UNSAFE), 7);
        Box box = box(1, 10, null);
        rules.executionStarted(unsafe, box, 0);
        assertEquals(0, rules.violationCount());
        rules.executionStarted(unsafe, box, 0);
        assertEquals(1, rules.violationCount());
        rules.answered(unsafe, true);
        assertEquals(2, rules.violationCount(), "refusal of an executed request");
        rules.answered(unsafe, false);
        assertEquals(3, rules.violationCount(), "second answer");
        rules.unanswered(new RuleChecker.TrackedTry(FleetFixtures.requestClass("page", 1, 2, 1, RetrySafety.SAFE), 8));
        assertEquals(4, rules.violationCount());
        RuleChecker.TrackedTry refused =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("order", 1, 2, 1, RetrySafety.UNSAFE), 9);
        rules.answered(refused, true);
        assertEquals(4, rules.violationCount());
        rules.executionStarted(refused, box, 0);
        assertEquals(5, rules.violationCount(), "execution after a refusal");
        assertTrue(
                rules.violations().get(0).contains("request 7 of order runs again"),
                rules.violations().toString());
    }

    @Test
    void keyedRequestMayRepeatOnlyInItsRackWithinItsWindow() {
        Box box = box(1, 10, null);
        Box otherRackBox = new Box(
                "e",
                0,
                1,
                fleet(box.serverKind, null),
                1,
                scheduler,
                rules,
                new RandomStream(1, RandomStream.Purpose.SERVERS));
        RuleChecker.TrackedTry keyed =
                new RuleChecker.TrackedTry(FleetFixtures.requestClass("photo", 1, 2, 1, RetrySafety.KEYED), 7);
        rules.executionStarted(keyed, box, 1_000);
        rules.executionStarted(keyed, box, 1_000 + keyed.requestClass.dedupWindowUs());
        assertEquals(0, rules.violationCount());
        rules.executionStarted(keyed, otherRackBox, 2_000);
        assertEquals(1, rules.violationCount(), "execution in another rack");
        rules.executionStarted(keyed, box, 1_001 + keyed.requestClass.dedupWindowUs());
        assertEquals(2, rules.violationCount(), "execution after the deduplication window");
    }
}
