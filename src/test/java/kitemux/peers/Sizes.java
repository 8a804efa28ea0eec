package kitemux.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Prints cost and detection times of the membership protocol by fleet size, as a table. */
final class Sizes {
    private static final int RUN_COUNT = 10;

    private Sizes() {}

    /** Runs each fleet size several times with one percent of all datagrams lost. */
    public static void main(String[] args) {
        for (int nodeCount : new int[] {3, 14, 100, 1_000}) {
            int runs = nodeCount == 1_000 ? 2 : RUN_COUNT;
            List<Double> firstDetectionSeconds = new ArrayList<>();
            List<Double> allDetectionSeconds = new ArrayList<>();
            List<Double> convergenceSeconds = new ArrayList<>();
            double datagramsPerSecond = 0;
            double bytesPerSecond = 0;
            double falsePositives = 0;
            long cpuNanos = 0;
            for (int seed = 1; seed <= runs; seed++) {
                SimulatedFleet fleet = new SimulatedFleet(nodeCount, seed, SimulatedFleet.FaultInjection.NONE);
                fleet.run(40_000_000);
                fleet.lossRatio = 0.01;
                long datagramsBefore = fleet.datagramCount;
                long bytesBefore = fleet.sentBytes;
                int changeCount = fleet.changeLog.size();
                long startNanos = System.nanoTime();
                fleet.run(60_000_000);
                cpuNanos += System.nanoTime() - startNanos;
                falsePositives += fleet.changeLog.stream()
                        .skip(changeCount)
                        .filter(line -> line.contains("GONE"))
                        .count();
                datagramsPerSecond += (fleet.datagramCount - datagramsBefore) / 60.0 / nodeCount / runs;
                bytesPerSecond += (fleet.sentBytes - bytesBefore) / 60.0 / nodeCount / runs;
                fleet.nodes.get(1).kill();
                long firstDetectionUs = fleet.runUntil(
                        120_000_000,
                        () -> fleet.allExcept(1).stream().anyMatch(i -> fleet.stateSeenBy(i, 1) == MemberState.GONE));
                firstDetectionSeconds.add(firstDetectionUs / 1e6);
                allDetectionSeconds.add((firstDetectionUs
                                + fleet.runUntil(
                                        120_000_000, () -> fleet.allObserve(fleet.allExcept(1), 1, MemberState.GONE)))
                        / 1e6);
                List<Integer> half = fleet.allNodes().subList(0, nodeCount / 2);
                fleet.setPartitioned(half, true);
                fleet.run(60_000_000);
                fleet.setPartitioned(half, false);
                convergenceSeconds.add(fleet.runUntil(
                                900_000_000,
                                () -> fleet.allExcept(1).stream()
                                        .allMatch(i -> fleet.allObserve(fleet.allExcept(1), i, MemberState.ALIVE)))
                        / 1e6);
            }
            Collections.sort(firstDetectionSeconds);
            Collections.sort(allDetectionSeconds);
            Collections.sort(convergenceSeconds);
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %.1f, %.1f | %.1f, %.1f | %.1f | %.2f, %.0f | %.0f | %.1f, %.1f |%n",
                    nodeCount,
                    firstDetectionSeconds.get(runs / 2),
                    firstDetectionSeconds.get(runs - 1),
                    allDetectionSeconds.get(runs / 2),
                    allDetectionSeconds.get(runs - 1),
                    falsePositives * 60 / runs,
                    datagramsPerSecond,
                    bytesPerSecond,
                    cpuNanos / 1e3 / 60 / nodeCount / runs,
                    convergenceSeconds.get(runs / 2),
                    convergenceSeconds.get(runs - 1));
        }
    }
}
