package kitemux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import kitemux.fleet.Fleet.Fault;
import kitemux.fleet.Fleet.FaultKind;
import kitemux.fleet.Fleet.FaultScope;
import kitemux.fleet.Fleet.LoadPoint;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the load that a cold server receives from all nodes together while servers and nodes come and go. */
@Timeout(120)
class ColdFleetTest {
    private static final long COLD_US = 23_000_000;

    /**
     * Returns a fleet with uneven traffic and a burst. Six in ten servers die at once and return cold during
     * the burst, a third of the nodes restart meanwhile, and some servers are then replaced in steps.
     */
    private static Fleet fleet(int nodes, int servers) {
        Fleet base = FleetFixtures.yearbook(servers / 2, servers - servers / 2, nodes, 0.5, 20);
        Fleet.Clients clients = base.clients();
        Fleet.Load load = base.load();
        return base.withKinds(base.kinds().stream()
                        .map(k -> new Fleet.ServerKind(
                                k.name(),
                                k.count(),
                                k.cores(),
                                k.speed(),
                                k.speedCv(),
                                40,
                                0.12,
                                COLD_US,
                                false,
                                k.cost()))
                        .toList())
                .with(new Fleet.Clients(
                        clients.oneWayUs(),
                        clients.maxRetries(),
                        clients.minTryTimeoutRatio(),
                        clients.maxTryTimeoutRatio(),
                        clients.backoffUs(),
                        clients.retryAfterComplianceRatio(),
                        clients.maxRetryAfterUs(),
                        0.6))
                .with(new Fleet.Load(
                        load.ratePerS(),
                        load.durationUs(),
                        List.of(
                                new LoadPoint(6_000_000, 1),
                                new LoadPoint(8_000_000, 2),
                                new LoadPoint(13_000_000, 2),
                                new LoadPoint(14_000_000, 1)),
                        load.quotaPerS(),
                        load.overShareWorth()))
                .withFaults(List.of(
                        new Fault(FaultKind.DIE, FaultScope.ANY, 0, servers * 6 / 10, 4_000_000, 2_000_000, 0),
                        new Fault(
                                FaultKind.NODES_RESTART,
                                FaultScope.ANY,
                                0,
                                nodes / 3,
                                7_000_000,
                                200_000,
                                Math.max(1, nodes / 6)),
                        new Fault(
                                FaultKind.RELEASE,
                                FaultScope.ANY,
                                0,
                                servers / 4,
                                11_000_000,
                                500_000,
                                Math.max(1, servers / 8))));
    }

    private static double coldPeakRatio(Emulation run) {
        return run.boxes().stream().mapToDouble(Box::coldPeakRatio).max().orElse(0);
    }

    private static long collapsedCount(Emulation run) {
        return run.boxes().stream().filter(Box::hasCollapsed).count();
    }

    @ParameterizedTest
    @CsvSource({"6, 12", "20, 16", "30, 16", "100, 60", "420, 84"})
    void allNodesTogetherDoNotOverloadColdServer(int nodes, int servers) {
        double highestPeak = 0;
        double lowestPeak = Double.MAX_VALUE;
        for (long seed = 1; seed <= 2; seed++) {
            Emulation run = Emulation.runWith(fleet(nodes, servers), seed, EmulatedNode.BalancerFactory.DEFAULT);
            assertEquals(List.of(), run.result().violations(), "seed " + seed);
            assertEquals(0, collapsedCount(run), "collapsed servers, whatever the cause, seed " + seed);
            highestPeak = Math.max(highestPeak, coldPeakRatio(run));
            lowestPeak = Math.min(lowestPeak, coldPeakRatio(run));
        }
        System.out.printf(
                Locale.ROOT,
                "%d nodes, %d servers: peak load of a cold server is %.2f of its " + "limit%n",
                nodes,
                servers,
                highestPeak);
        assertTrue(lowestPeak > 0.1, "cold servers must receive load: " + lowestPeak);
    }

    @ParameterizedTest
    @CsvSource({"6, 12", "20, 16", "30, 16", "100, 60", "420, 84"})
    void perNodeBudgetIsDetected(int nodes, int servers) {
        Fleet fleet = fleet(nodes, servers);
        Emulation run = Emulation.runWith(
                fleet, 1, (set, seed, out) -> PerNodeBudgetBalancer.create(set, seed, out, fleet.meanWorkUs()));
        assertTrue(
                run.result().violations().stream().anyMatch(b -> b.contains("no cold server pushed over")),
                "violations: " + run.result().violations() + ", peak " + coldPeakRatio(run));
    }
}
