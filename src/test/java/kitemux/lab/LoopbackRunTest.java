package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.load.CaptureFile;
import kitemux.load.LoadSummary;
import kitemux.load.ServerSpeedEstimator;
import kitemux.plan.FleetFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Described fleets over sockets, with processes of real nodes. */
class LoopbackRunTest {

    private static List<Long> offered(RunResult result) {
        return result.classes().stream().map(RunResult.ClassOutcome::offered).toList();
    }

    private static long ended(RunResult result) {
        return result.classes().stream()
                .mapToLong(c -> c.inTime() + c.late() + c.refused() + c.failed())
                .sum();
    }

    @Test
    void theSameClientsAreServedAsTheEmulatorSays() throws Exception {
        Fleet fleet = TestFleets.small();
        RunResult predicted = Emulation.run(fleet, 3);
        RunResult happened = LoopbackRun.execute(fleet, 3, TestFleets::node).result();
        assertEquals(offered(predicted), offered(happened), "the same clients come");
        assertEquals(happened.requests(), ended(happened), "each wish ends once");
        assertEquals(List.of(), happened.violations());
        assertEquals(predicted.inTimeRatio(), happened.inTimeRatio(), 0.1);
    }

    @Test
    void whoeverAsksADeadNodeIsToldAndAReleaseBreaksNoRule() throws Exception {
        Fleet fleet = TestFleets.small()
                .withFaults(List.of(
                        new Fleet.Fault(Fleet.FaultKind.RELEASE, Fleet.FaultScope.ANY, 0, 2, 300_000, 200_000, 2),
                        new Fleet.Fault(
                                Fleet.FaultKind.NODES_RESTART, Fleet.FaultScope.ANY, 0, 1, 1_000_000, 100_000, 1)));
        RunResult happened = LoopbackRun.execute(fleet, 5, TestFleets::node).result();
        assertEquals(happened.requests(), ended(happened), "each wish ends once");
        assertEquals(List.of(), happened.violations());
        // One of two nodes is gone for a second or more, which the front notices late; the other serves.
        assertTrue(happened.inTimeRatio() > 0.4, "in time " + happened.inTimeRatio());
        assertTrue(happened.classes().stream().mapToLong(c -> c.failed()).sum() > 0, "nobody met the dead node");
    }

    @Test
    void aNodeThatDoesNotStartIsToldWithWhatItSaid() {
        IOException told = assertThrows(
                IOException.class,
                () -> LoopbackRun.execute(
                        TestFleets.small(), 1, () -> new ProcessBuilder("sh", "-c", "echo no such thing; exit 3")));
        assertTrue(told.getMessage().contains("no such thing"), told.getMessage());
    }

    /** Three times what the fleet can do: most is refused, and asked again. */
    @Test
    void whatWasWantedIsFoundAgainBehindABadAfternoon(@TempDir Path folder) throws Exception {
        Fleet small = TestFleets.small();
        // Clients that heed no advice and are back at once.
        Fleet fleet = small.with(small.load().scaledBy(12)).with(new Fleet.Clients(700, 4, 0.4, 0.8, 10_000, 0, 0, 0));
        Path settings = Files.writeString(
                folder.resolve("own.json"),
                "{\"load\":{\"folder\":\"" + folder.resolve("load") + "\",\"ring\":65536}}");
        RunResult happened = LoopbackRun.execute(fleet, 7, () -> {
                    ProcessBuilder node = TestFleets.node();
                    node.environment().put("KITEMUX_SETTINGS", settings.toString());
                    return node;
                })
                .result();
        LoadSummary summary = new LoadSummary(1_000_000, Map.of());
        try (Stream<Path> files = Files.list(folder.resolve("load"))) {
            for (Path file : files.toList()) {
                summary.add(CaptureFile.read(file));
            }
        }
        assertEquals(2, summary.nodes().size(), "both nodes write into one folder");
        assertTrue(happened.triesPerRequest() > 1.2, "tries " + happened.triesPerRequest());
        for (RunResult.ClassOutcome of : happened.classes()) {
            // What the nodes had in their last batch as they were killed is missing: a fifth of a second
            // of some.
            assertEquals(of.offered(), summary.classes().get(of.name()).firstTries(), 0.05 * of.offered(), of.name());
        }
    }

    /**
     * Resets that cross the ends of connections: a defect met there once went by, and the servers lived
     * on.
     */
    @Test
    void serversThatAllDieServeNobodyMeanwhile() throws Exception {
        Fleet fleet = TestFleets.small()
                .with(TestFleets.small().load().scaledBy(2))
                .withFaults(List.of(
                        new Fleet.Fault(Fleet.FaultKind.DIE, Fleet.FaultScope.ANY, 0, 0, 1_000_000, 1_000_000, 1)));
        RunResult predicted = Emulation.run(fleet, 2);
        RunResult happened = LoopbackRun.execute(fleet, 2, TestFleets::node).result();
        assertEquals(List.of(), happened.violations());
        assertTrue(happened.inTimeBySecond().get(1) < 0.3, "served while all were dead: " + happened.inTimeBySecond());
        assertEquals(predicted.inTimeRatio(), happened.inTimeRatio(), 0.12);
    }

    @Test
    void speedsAreFoundAgainFromWhatTheNodesCaptured(@TempDir Path folder) throws Exception {
        List<String> faults = new ArrayList<>();
        Fleet fleet = FleetFile.read(
                TestFleets.SMALL
                        .replace("boxes \"std\" {\n  count     = 4", """
                boxes "old" {
                  count = 2
                  speed = 0.5
                }
                boxes "std" {
                  count     = 2""")
                        .replace("work     =", "spread   = \"fixed\"\n  work     =")
                        .replace("work     = \"4ms\"", "work     = \"16ms\"")
                        .replace("length = \"3s\"", "length = \"8s\"")
                        .replace("rate   = 150", "rate   = 90"),
                faults);
        assertEquals(List.of(), faults);
        Path settings = Files.writeString(
                folder.resolve("own.json"), "{\"load\":{\"folder\":\"" + folder.resolve("load") + "\"}}");
        LoopbackRun.execute(fleet, 9, () -> {
            ProcessBuilder node = TestFleets.node();
            node.environment().put("KITEMUX_SETTINGS", settings.toString());
            return node;
        });
        ServerSpeedEstimator speeds = new ServerSpeedEstimator(Map.of());
        try (Stream<Path> files = Files.list(folder.resolve("load"))) {
            for (Path file : files.toList()) {
                speeds.add(CaptureFile.read(file));
            }
        }
        Map<String, Double> found = speeds.estimateSpeeds().stream()
                .collect(Collectors.toMap(
                        ServerSpeedEstimator.ServerSpeed::server, ServerSpeedEstimator.ServerSpeed::speed));
        assertEquals(Set.of("old-0", "old-1", "std-0", "std-1"), found.keySet());
        assertEquals(2, found.get("std-0") / found.get("old-0"), 0.3, found::toString);
        assertEquals(2, found.get("std-1") / found.get("old-1"), 0.3, found::toString);
    }
}
