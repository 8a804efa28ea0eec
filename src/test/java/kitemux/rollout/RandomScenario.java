package kitemux.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A scenario with failures and operators' changes drawn from a seed, run on a simulated fleet. */
final class RandomScenario {
    /** One in this many scenarios has a region that is unreachable for an hour. */
    private static final int LONG_SCENARIO_INTERVAL = 25;

    private static final long HOUR_US = 3_600_000_000L;

    final long seed;
    final SimulatedFleet fleet;
    private final SplittableRandom random;
    private boolean isContended;
    /** Changes that may be submitted again, for instance because their outcome is unknown. */
    private final List<Change> repeatableChanges = new ArrayList<>();

    RandomScenario(long seed, Defect defect) {
        this.seed = seed;
        random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        int nodes = 4 + random.nextInt(9);
        long rev = random.nextInt(3) == 0 ? 0 : 100;
        SortedMap<String, String> values = new TreeMap<>();
        if (rev > 0) {
            int paths = random.nextInt(4) == 0 ? 4_000 : 30;
            for (int i = 0; i < paths; i++) {
                values.put("realms/tenant-" + i, Integer.toString(random.nextInt(800)));
            }
        }
        isContended = seed % 3 == 1;
        Set<Integer> oldNodes = new HashSet<>();
        if (random.nextInt(2) == 0) {
            oldNodes.add(random.nextInt(nodes));
        }
        fleet = new SimulatedFleet(nodes, rev, values, random.nextLong(), defect, oldNodes);
        fleet.nodes.forEach(node -> node.fileRev = random.nextBoolean() ? rev : 0);
    }

    /**
     * Runs concurrent changes while keepers crash and restart and many messages are late or lost, so that
     * ballots compete.
     */
    private void runContended() {
        fleet.lossRatio = 0.15 * random.nextDouble();
        fleet.maxDelayUs = random.nextLong(10_000, 250_000);
        scheduleContendingChanges();
        scheduleKeeperFailure();
        fleet.runForUs(40_000_000);
        fleet.lossRatio = 0;
        fleet.maxDelayUs = 0;
        isContended = false;
        fleet.updateReachability();
        fleet.runForUs(20_000_000);
    }

    private void scheduleContendingChanges() {
        fleet.scheduler.scheduleAfterUs(random.nextLong(20_000, 400_000), () -> {
            if (isContended) {
                submit(drawChange(3));
                submit(drawChange(6));
                scheduleContendingChanges();
            }
        });
    }

    private void scheduleKeeperFailure() {
        fleet.scheduler.scheduleAfterUs(random.nextLong(200_000, 3_000_000), () -> {
            if (isContended) {
                SimulatedFleet.KeeperHost keeper = fleet.keepers.get(random.nextInt(SimulatedFleet.KEEPER_COUNT));
                long learners = fleet.keepers.stream()
                        .filter(k -> !k.identity.startsWith("first"))
                        .count();
                if (random.nextInt(4) == 0 && learners < 2) {
                    keeper.crashAndLoseDisk();
                } else {
                    keeper.crash();
                }
                schedule(1_000, 400_000, () -> restart(keeper));
                scheduleKeeperFailure();
            }
        });
    }

    /** Runs the scenario. Returns the first violation, or null if there is none. */
    InvariantChecker.Violation run() {
        if (isContended) {
            runContended();
            return fleet.checker.violations().isEmpty()
                    ? null
                    : fleet.checker.violations().get(0);
        }
        if (random.nextInt(4) == 0) {
            fleet.lossRatio = 0.05 * random.nextDouble();
        }
        fleet.runForUs(5_000_000);
        scheduleOperators();
        int failureCount = 3 + random.nextInt(6);
        for (int i = 0; i < failureCount; i++) {
            injectFailure();
            fleet.runForUs(random.nextLong(3_000_000, 25_000_000));
        }
        if (isLong(seed)) {
            partitionRegion(random.nextInt(3), HOUR_US);
            fleet.runForUs(HOUR_US);
        }
        fleet.runForUs(40_000_000);
        return fleet.checker.violations().isEmpty()
                ? null
                : fleet.checker.violations().get(0);
    }

    /** Returns whether the scenario takes more than an hour of virtual time. */
    static boolean isLong(long seed) {
        return seed % LONG_SCENARIO_INTERVAL == 0;
    }

    private void scheduleOperators() {
        fleet.scheduler.scheduleAfterUs(random.nextLong(200_000, 6_000_000), () -> {
            requestChanges();
            scheduleOperators();
        });
        fleet.scheduler.scheduleAfterUs(
                random.nextLong(500_000, 3_000_000),
                () -> fleet.queryStatus(fleet.keepers.get(random.nextInt(SimulatedFleet.KEEPER_COUNT))));
    }

    private void requestChanges() {
        int variant = random.nextInt(10);
        if (variant == 0 && !repeatableChanges.isEmpty()) {
            submit(repeatableChanges.get(random.nextInt(repeatableChanges.size())));
            return;
        }
        Change change = drawChange(random.nextInt(8));
        submit(change);
        if (variant <= 3) {
            // Two operators submit changes at two keepers at the same time; some of them change the same
            // path.
            fleet.scheduler.scheduleAfterUs(random.nextLong(1, 200_000), () -> submit(drawChange(random.nextInt(8))));
        }
        if (variant == 4) {
            // The same change is submitted twice.
            fleet.scheduler.scheduleAfterUs(random.nextLong(1, 500_000), () -> submit(change));
        }
    }

    private Change drawChange(int kind) {
        String id = String.format("%016x", random.nextLong());
        SimulatedFleet.KeeperHost keeper = fleet.keepers.get(random.nextInt(SimulatedFleet.KEEPER_COUNT));
        long base = keeper.machine == null
                ? fleet.initialRev
                : keeper.machine.history().rev();
        Map<String, String> values = keeper.machine == null
                ? fleet.initialValues
                : keeper.machine.history().values();
        String realm = "realms/tenant-" + random.nextInt(20);
        int a = random.nextInt(101);
        return switch (kind) {
            case 0 ->
                Change.of(
                        id,
                        base,
                        Map.of("classes/a", "" + a, "classes/b", "" + (100 - a), realm, "" + random.nextInt(800)),
                        List.of());
            case 1 -> Change.of(id, base, Map.of("classes/a", "" + a), List.of());
            case 2 -> Change.of(id, base, Map.of(realm, "-1"), List.of());
            case 3 ->
                values.containsKey(realm)
                        ? Change.of(id, base, Map.of(), List.of(realm))
                        : Change.of(id, base, Map.of(realm, "7"), List.of());
            case 4 -> Change.of(id, base, Map.of(realm, "" + random.nextInt(880, 920), "realms/more", "3"), List.of());
            case 5 -> Change.of(id, base, Map.of("limits/dial", "" + random.nextInt(3)), List.of());
            default -> {
                Map<String, String> set = new TreeMap<>();
                int pathCount = random.nextInt(1, 60);
                for (int i = 0; i < pathCount; i++) {
                    set.put("realms/tenant-" + random.nextInt(100), "" + random.nextInt(800));
                }
                yield Change.of(id, base, set, List.of());
            }
        };
    }

    private void submit(Change change) {
        SimulatedFleet.KeeperHost keeper = fleet.keepers.get(random.nextInt(SimulatedFleet.KEEPER_COUNT));
        if (!keeper.isUp()) {
            return;
        }
        repeatableChanges.add(change);
        keeper.requestChange(change, outcome -> {
            fleet.count(outcome.getClass().getSimpleName());
            if (outcome instanceof Outcome.Committed committed) {
                fleet.observe(new InvariantChecker.ChangeConfirmed(fleet.nowUs(), change.id(), committed.rev()));
            }
        });
    }

    private void schedule(long minDelayUs, long maxDelayUs, Runnable action) {
        fleet.scheduler.scheduleAfterUs(random.nextLong(minDelayUs, maxDelayUs), action);
    }

    private void partitionRegion(int region, long durationUs) {
        for (int other = 0; other < 3; other++) {
            if (other != region) {
                fleet.setPartitioned(region, other, true);
            }
        }
        fleet.updateReachability();
        fleet.scheduler.scheduleAfterUs(durationUs, () -> {
            for (int other = 0; other < 3; other++) {
                if (other != region) {
                    fleet.setPartitioned(region, other, false);
                }
            }
            fleet.updateReachability();
        });
    }

    private void injectFailure() {
        SimulatedFleet.KeeperHost keeper = fleet.keepers.get(random.nextInt(SimulatedFleet.KEEPER_COUNT));
        SimulatedFleet.NodeHost node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
        int failure = random.nextInt(11);
        fleet.count("failure " + failure);
        switch (failure) {
            case 0 -> partitionRegion(random.nextInt(3), random.nextLong(1_000_000, 60_000_000));
            case 1 -> {
                int a = random.nextInt(3);
                int b = (a + 1) % 3;
                fleet.setPartitioned(a, b, true);
                fleet.updateReachability();
                schedule(1_000_000, 40_000_000, () -> {
                    fleet.setPartitioned(a, b, false);
                    fleet.updateReachability();
                });
            }
            case 2 -> {
                // All regions are cut off from each other.
                partitionRegion(0, 20_000_000);
                partitionRegion(1, 20_000_000);
            }
            case 3 -> {
                keeper.isIsolated = true;
                fleet.updateReachability();
                schedule(2_000_000, 30_000_000, () -> {
                    keeper.isIsolated = false;
                    fleet.updateReachability();
                });
            }
            case 4 -> {
                keeper.pause();
                schedule(200_000, 30_000_000, keeper::resume);
            }
            case 5 -> {
                keeper.crash();
                schedule(500_000, 30_000_000, () -> restart(keeper));
                if (random.nextBoolean()) {
                    // The keeper returns and reaches no other keeper, while nodes reach it.
                    keeper.isIsolated = true;
                    schedule(30_000_000, 60_000_000, () -> {
                        keeper.isIsolated = false;
                        fleet.updateReachability();
                    });
                }
            }
            case 6 -> {
                if (fleet.keepers.stream()
                                .filter(k -> !k.identity.startsWith("first"))
                                .count()
                        < 2) {
                    keeper.crashAndLoseDisk();
                    schedule(500_000, 5_000_000, () -> restart(keeper));
                }
            }
            case 7 -> {
                for (SimulatedFleet.KeeperHost each : fleet.keepers) {
                    // The processes of all keepers end at once, as in a power failure.
                    each.crash();
                    schedule(300_000, 3_000_000, () -> restart(each));
                }
            }
            case 8 -> {
                node.crash();
                schedule(500_000, 60_000_000, () -> restart(node));
            }
            case 9 -> {
                if (node.isUp()) {
                    node.startSecondProcess(60_000_000);
                    // By now the new process has reported.
                    schedule(1_000_000, 5_000_000, () -> {
                        if (node.isHealthy()) {
                            node.pause();
                            schedule(100_000, 50_000_000, node::resume);
                        }
                    });
                }
            }
            default -> {
                for (SimulatedFleet.NodeHost each : fleet.nodes) {
                    each.crash();
                    schedule(1, 300_000, () -> restart(each));
                }
            }
        }
    }

    private void restart(SimulatedFleet.KeeperHost keeper) {
        if (!keeper.isUp()) {
            keeper.start();
            fleet.updateReachability();
        }
    }

    private void restart(SimulatedFleet.NodeHost node) {
        if (!node.isUp()) {
            node.start();
            fleet.updateReachability();
        }
    }
}
