package kitemux.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Properties of the membership protocol, checked against fleets with faults that are drawn from a seed. The
 * time limits hold for the default settings and up to nine nodes.
 */
final class MembershipProperties {
    /** A dead node is declared gone by all nodes that can reach each other within this time. */
    static final long DETECTION_LIMIT_US = 25_000_000;
    /** All nodes agree within this time after a partition heals or a process returns. */
    static final long CONVERGENCE_LIMIT_US = 40_000_000;
    /** While a tenth of all datagrams is lost, no healthy node counts as gone for longer than this. */
    private static final long FALSE_POSITIVE_LIMIT_US = 15_000_000;

    private static final long LOSS_PHASE_US = 120_000_000;
    /** Number of kinds of faults to draw from. */
    private static final int FAULT_KIND_COUNT = 6;

    private MembershipProperties() {}

    /** Runs a seed; returns the violated property, or null. */
    static String findViolation(long seed, SimulatedFleet.FaultInjection fault) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodeCount = 3 + random.nextInt(7);
        SimulatedFleet fleet = new SimulatedFleet(nodeCount, random.nextLong(), fault);
        fleet.duplicateRatio = random.nextDouble() * 0.1;
        fleet.corruptionRatio = random.nextDouble() * 0.02;
        fleet.maxDelayUs = 1_000 + random.nextLong(100_000);
        fleet.lossRatio = random.nextDouble() * 0.1;
        if (fleet.runUntil(CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) < 0) {
            return "seed " + seed + ": " + nodeCount + " nodes do not discover each other";
        }
        int victim = random.nextInt(nodeCount);
        List<Integer> others = fleet.allExcept(victim);
        String violation =
                switch (random.nextInt(FAULT_KIND_COUNT)) {
                    case 0 -> {
                        fleet.nodes.get(victim).kill();
                        yield fleet.runUntil(
                                                DETECTION_LIMIT_US,
                                                () -> fleet.allObserve(others, victim, MemberState.GONE))
                                        < 0
                                ? "a dead node is not declared gone by all others"
                                : null;
                    }
                    case 1 -> {
                        fleet.nodes.get(victim).stall();
                        fleet.run(50_000 + random.nextLong(60_000_000));
                        fleet.nodes.get(victim).resume();
                        yield checkConvergence(fleet, "after a stalled process resumed");
                    }
                    case 2 -> {
                        List<Integer> partition =
                                new ArrayList<>(fleet.allNodes().subList(0, 1 + random.nextInt(nodeCount - 1)));
                        fleet.setPartitioned(partition, true);
                        fleet.run(random.nextLong(90_000_000));
                        fleet.setPartitioned(partition, false);
                        yield checkConvergence(fleet, "after a partition");
                    }
                    case 3 -> {
                        fleet.blockedLinks[victim][others.get(0)] = true;
                        fleet.run(60_000_000);
                        yield nodeCount > 3 && !fleet.changeLog.stream().noneMatch(l -> l.contains("state=GONE"))
                                ? "a one-way link failure makes a node count as gone"
                                : null;
                    }
                    case 4 -> {
                        fleet.nodes.get(victim).kill();
                        fleet.run(random.nextLong(30_000_000));
                        fleet.nodes.get(victim).start();
                        long generation = fleet.nodes
                                .get(victim)
                                .membership
                                .recordOf(victim)
                                .generation();
                        yield fleet.runUntil(
                                                CONVERGENCE_LIMIT_US,
                                                () -> fleet.allObserveAllAlive()
                                                        && others.stream()
                                                                .allMatch(i -> fleet.nodes
                                                                                .get(i)
                                                                                .membership
                                                                                .recordOf(victim)
                                                                                .generation()
                                                                        == generation))
                                        < 0
                                ? "the new generation of a restarted node is not accepted"
                                : null;
                    }
                    default -> {
                        fleet.lossRatio = 0.1;
                        long longestUs = 0;
                        for (long elapsedUs = 0; elapsedUs < LOSS_PHASE_US; elapsedUs += 1_000_000) {
                            fleet.run(1_000_000);
                            longestUs = Math.max(longestUs, longestGone(fleet));
                        }
                        yield longestUs > FALSE_POSITIVE_LIMIT_US
                                ? "a healthy node counted as gone for " + longestUs / 1_000_000 + " s"
                                : null;
                    }
                };
        if (violation == null && fleet.largestBytes > Datagram.PLATFORM_MAX_BYTES) {
            violation = "datagram exceeds the platform limit: " + fleet.largestBytes + " bytes";
        }
        return violation == null ? null : "seed " + seed + ", " + nodeCount + " nodes: " + violation;
    }

    private static long longestGone(SimulatedFleet fleet) {
        long longestUs = 0;
        for (int observer : fleet.allNodes()) {
            for (int node : fleet.allExcept(observer)) {
                if (fleet.stateSeenBy(observer, node) == MemberState.GONE) {
                    longestUs = Math.max(
                            longestUs,
                            fleet.scheduler.nowUs()
                                    - fleet.nodes.get(observer).membership.changedAtUs(node));
                }
            }
        }
        return longestUs;
    }

    private static String checkConvergence(SimulatedFleet fleet, String situation) {
        return fleet.runUntil(CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) < 0
                ? "no convergence " + situation
                : null;
    }
}
