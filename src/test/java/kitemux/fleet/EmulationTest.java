package kitemux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet.Fault;
import kitemux.fleet.Fleet.FaultKind;
import kitemux.fleet.Fleet.FaultScope;
import org.junit.jupiter.api.Test;

/** Tests the emulation of whole fleets, with and without faults. */
class EmulationTest {

    private static Fault fault(FaultKind kind, FaultScope scope, int count, long durationS, double magnitude) {
        return new Fault(kind, scope, 0, count, 8_000_000, durationS * 1_000_000, magnitude);
    }

    @Test
    void sameSeedGivesSameResultSequentiallyAndInParallel() {
        Fleet fleet = FleetFixtures.yearbook(3, 3, 2, 0.7, 15)
                .withFaults(List.of(fault(FaultKind.DIE, FaultScope.RACK, 0, 3, 0)));
        List<String> one = LongStream.range(0, 16)
                .mapToObj(seed -> Emulation.run(fleet, seed).toString())
                .toList();
        List<String> many = LongStream.range(0, 16)
                .parallel()
                .mapToObj(seed -> Emulation.run(fleet, seed).toString())
                .toList();
        assertEquals(
                List.of(), one.stream().filter(result -> !many.contains(result)).toList());
        assertTrue(!one.get(0).equals(one.get(1)), "different seeds must give different results");
    }

    @Test
    void variantsMeetSameClientsWithSameWork() {
        Fleet fleet = FleetFixtures.yearbook(3, 3, 2, 0.7, 15);
        RunResult few = Emulation.run(fleet, 5);
        RunResult more = Emulation.run(FleetFixtures.yearbook(6, 6, 3, 0.7, 15).with(fleet.load()), 5);
        assertEquals(
                few.classes().stream().map(RunResult.ClassOutcome::offered).toList(),
                more.classes().stream().map(RunResult.ClassOutcome::offered).toList());
    }

    @Test
    void everyRequestEndsOnceUnderEveryKindOfFault() {
        for (FaultKind kind : FaultKind.values()) {
            double magnitude = kind == FaultKind.FAIL ? 0.8 : kind == FaultKind.SLOW ? 3 : 1;
            Fleet fleet = FleetFixtures.zoned(FleetFixtures.yearbook(3, 3, 2, 0.8, 20), 2)
                    .withFaults(List.of(
                            fault(kind, kind == FaultKind.CUT ? FaultScope.ZONE : FaultScope.ANY, 2, 4, magnitude)));
            for (long seed = 1; seed <= 5; seed++) {
                RunResult result = Emulation.run(fleet, seed);
                for (RunResult.ClassOutcome outcome : result.classes()) {
                    assertEquals(
                            outcome.offered(),
                            outcome.inTime() + outcome.late() + outcome.refused() + outcome.failed(),
                            kind + ", seed " + seed + ": " + outcome);
                }
                assertEquals(List.of(), result.violations(), kind + ", seed " + seed);
            }
        }
    }

    /**
     * Guards against late answers in large fleets without any fault: if every node uses every server, no node
     * knows the load of a server.
     */
    @Test
    void fourteenNodesServeSixtyServersAboutAsWellAsTwoServeTen() {
        RunResult few = Emulation.run(FleetFixtures.yearbook(5, 5, 2, 0.6, 20), 1);
        RunResult many = Emulation.run(FleetFixtures.yearbook(30, 30, 14, 0.6, 20), 1);
        assertTrue(
                many.inTimeRatio() > few.inTimeRatio() - 0.02 && many.worstClassRatio() > few.worstClassRatio() - 0.05,
                "in-time ratio overall and of the worst class: " + many.inTimeRatio() + ", " + many.worstClassRatio()
                        + "; two nodes with ten servers: " + few.inTimeRatio() + ", " + few.worstClassRatio());
    }

    /**
     * Sixty nodes, some with four times the mean traffic, each use eight of sixty servers. With equal
     * preference for all eight, 2.2% of requests were refused and 86% of the pages were in time, because no
     * node knew the load of a server and busy nodes reached their limits.
     */
    @Test
    void subsetWithPreferredFirstHalfServesUnevenTraffic() {
        Fleet even = FleetFixtures.yearbook(30, 30, 60, 0.6, 20);
        Fleet.Clients clients = even.clients();
        Fleet fleet = even.with(new Fleet.Clients(
                clients.oneWayUs(),
                clients.maxRetries(),
                clients.minTryTimeoutRatio(),
                clients.maxTryTimeoutRatio(),
                clients.backoffUs(),
                clients.retryAfterComplianceRatio(),
                clients.maxRetryAfterUs(),
                0.6));
        double refused = 0;
        double worst = 0;
        for (long seed = 1; seed <= 2; seed++) {
            RunResult result = Emulation.run(fleet, seed);
            assertEquals(List.of(), result.violations());
            refused += result.classes().stream()
                            .mapToLong(RunResult.ClassOutcome::refused)
                            .sum()
                    / (2.0 * result.requests());
            worst += result.worstClassRatio() / 2;
        }
        assertTrue(refused < 0.013 && worst > 0.88, "refused " + refused + ", worst class " + worst);
    }

    /**
     * Kills most nodes at once, silences a rack that returns cold, and kills six in ten servers that return
     * cold.
     */
    @Test
    void largeFleetKeepsRulesAndRecoversFromMassFailures() {
        for (Fault worst : List.of(
                fault(FaultKind.NODES_RESTART, FaultScope.ANY, 12, 4, 12),
                fault(FaultKind.VANISH, FaultScope.RACK, 0, 4, 0),
                fault(FaultKind.DIE, FaultScope.ANY, 36, 4, 0))) {
            Fleet fleet = FleetFixtures.yearbook(30, 30, 14, 0.45, 40).withFaults(List.of(worst));
            RunResult result = Emulation.run(fleet, 1);
            int recoveryS = result.recoveryTimeS(8, 0.95);
            assertTrue(recoveryS >= 0 && recoveryS <= 10, worst + ": back at 95% in time after " + recoveryS + " s");
            assertEquals(List.of(), result.violations(), worst.toString());
        }
    }

    /**
     * Half of the requests in flight in the other zone are at servers of the partitioned zone, and nobody
     * announces the partition.
     */
    @Test
    void partitionedOrLostZoneViolatesNoRuleAndRecovers() {
        Fleet calm = FleetFixtures.zoned(FleetFixtures.yearbook(10, 10, 4, 0.4, 40), 2);
        RunResult undisturbed = Emulation.run(calm, 2);
        for (FaultKind kind : List.of(FaultKind.CUT, FaultKind.VANISH)) {
            RunResult result = Emulation.run(
                    calm.withFaults(List.of(
                            new Fault(kind, FaultScope.ZONE, 1, 0, 8_000_000, 5_000_000, 0),
                            new Fault(FaultKind.NODES_RESTART, FaultScope.ZONE, 1, 0, 8_000_000, 5_000_000, 2))),
                    2);
            assertEquals(List.of(), result.violations(), kind.toString());
            assertTrue(
                    result.inTimeRatio() < undisturbed.inTimeRatio() - 0.01,
                    kind + " has no effect on the in-time ratio: " + result.inTimeRatio());
            int recoveryS = result.recoveryTimeS(8, 0.93);
            assertTrue(recoveryS >= 0 && recoveryS <= 25, kind + ": recovered after " + recoveryS + " s");
        }
    }

    @Test
    void actionsAcrossPartitionWaitUntilItHeals() {
        NetworkPartitions partitions = new NetworkPartitions(3);
        List<String> completed = new ArrayList<>();
        partitions.isolate(1);
        partitions.isolate(1);
        partitions.whenConnected(0, 1, () -> completed.add("first"));
        partitions.whenConnected(0, 2, () -> completed.add("others"));
        partitions.whenConnected(1, 1, () -> completed.add("within"));
        partitions.whenConnected(2, 1, () -> completed.add("second"));
        assertTrue(partitions.isPartitioned(1, 2)
                && partitions.isPartitioned(0, 1)
                && !partitions.isPartitioned(0, 2)
                && !partitions.isPartitioned(1, 1));
        partitions.heal(1);
        assertEquals(List.of("others", "within"), completed, "one of two partitions remains");
        partitions.heal(1);
        assertEquals(List.of("others", "within", "first", "second"), completed);
    }

    @Test
    void normalLoadIsServedAndOverloadIsNot() {
        RunResult calm = Emulation.run(FleetFixtures.yearbook(5, 5, 2, 0.4, 20), 1);
        RunResult over = Emulation.run(FleetFixtures.yearbook(5, 5, 2, 1.6, 20), 1);
        assertTrue(calm.inTimeRatio() > 0.97, "in-time ratio at normal load: " + calm.inTimeRatio());
        assertTrue(over.inTimeRatio() < 0.95, "in-time ratio under overload: " + over.inTimeRatio());
        assertTrue(over.triesPerRequest() > calm.triesPerRequest(), "clients must retry");
        double busy = over.kinds().stream()
                .mapToDouble(RunResult.KindUsage::utilisation)
                .min()
                .orElse(0);
        assertTrue(busy > 0.9, "servers must be busy: " + busy);
    }

    @Test
    void lostRackReducesServiceUntilItIsBackAndWarm() {
        Fleet fleet = FleetFixtures.yearbook(5, 5, 2, 0.75, 60);
        RunResult undisturbed = Emulation.run(fleet, 3);
        RunResult lost = Emulation.run(fleet.withFaults(List.of(fault(FaultKind.DIE, FaultScope.RACK, 0, 10, 0))), 3);
        assertTrue(
                lost.worstWindowRatio() < undisturbed.worstWindowRatio() - 0.1,
                lost.worstWindowRatio() + " instead of " + undisturbed.worstWindowRatio());
        int recoveryS = lost.recoveryTimeS(8, 0.95);
        assertTrue(recoveryS >= 8 && recoveryS <= 45, "recovered after " + recoveryS + " s");
        assertEquals(0, undisturbed.recoveryTimeS(8, 0.9));
    }

    @Test
    void clientsRetryAfterNodeDeathWithoutDuplicateOrders() {
        Fleet fleet = FleetFixtures.yearbook(4, 4, 2, 0.5, 20)
                .withFaults(List.of(fault(FaultKind.NODES_RESTART, FaultScope.ANY, 0, 1, 1)));
        RunResult result = Emulation.run(fleet, 9);
        assertTrue(result.triesPerRequest() > 1.001, "tries per request: " + result.triesPerRequest());
        assertTrue(result.worstWindowRatio() < 0.99);
        assertEquals(List.of(), result.violations());
    }

    @Test
    void invalidFleetReportsAllProblems() {
        Fleet fleet = FleetFixtures.yearbook(0, 0, 1, 0.5, 10).with(new Fleet.Nodes(0, -1, 0, 0, 0));
        List<String> problems = fleet.validate();
        assertTrue(problems.size() >= 3, problems.toString());
        Fleet zones = FleetFixtures.zoned(FleetFixtures.yearbook(2, 2, 2, 0.5, 10), 3)
                .withFaults(List.of(
                        new Fault(FaultKind.CUT, FaultScope.ANY, 0, 0, 0, 1, 0),
                        new Fault(FaultKind.DIE, FaultScope.ZONE, 3, 0, 0, 1, 0)));
        assertEquals(
                List.of(
                        "zones: count must be from 1 to the number of racks and to that of nodes",
                        "fault CUT: must be among zones, and at least two zones are needed",
                        "fault DIE: there is no zone 3"),
                zones.validate());
        assertThrows(IllegalArgumentException.class, () -> Emulation.run(fleet, 1));
    }
}
