package kitemux.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A fleet whose troubles and operators are drawn from a seed, and what the judge says of it. */
final class Play {
    /** One play in so many has a region cut off for an hour. */
    private static final int HOUR = 25;

    private static final long HOUR_US = 3_600_000_000L;

    final long seed;
    final Fleet fleet;
    private final SplittableRandom draws;
    private boolean isContended;
    /** Changes that an operator was told nothing certain of, or that are asked for again. */
    private final List<Change> again = new ArrayList<>();

    Play(long seed, Defect defect) {
        this.seed = seed;
        draws = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        int nodes = 4 + draws.nextInt(9);
        long rev = draws.nextInt(3) == 0 ? 0 : 100;
        SortedMap<String, String> values = new TreeMap<>();
        if (rev > 0) {
            int paths = draws.nextInt(4) == 0 ? 4_000 : 30;
            for (int i = 0; i < paths; i++) {
                values.put("realms/tenant-" + i, Integer.toString(draws.nextInt(800)));
            }
        }
        isContended = seed % 3 == 1;
        Set<Integer> old = new HashSet<>();
        if (draws.nextInt(2) == 0) {
            old.add(draws.nextInt(nodes));
        }
        fleet = new Fleet(nodes, rev, values, draws.nextLong(), defect, old);
        fleet.nodes.forEach(node -> node.fileRev = draws.nextBoolean() ? rev : 0);
    }

    /**
     * Changes from all sides at once, while keepers die and return and much is late or lost: what ballots are
     * for.
     */
    private void contended() {
        fleet.loss = 0.15 * draws.nextDouble();
        fleet.mostLateUs = draws.nextLong(10_000, 250_000);
        contend();
        fail();
        fleet.run(40_000_000);
        fleet.loss = 0;
        fleet.mostLateUs = 0;
        isContended = false;
        fleet.reach();
        fleet.run(20_000_000);
    }

    private void contend() {
        fleet.time.scheduleAfterUs(draws.nextLong(20_000, 400_000), () -> {
            if (isContended) {
                put(drawn(3));
                put(drawn(6));
                contend();
            }
        });
    }

    private void fail() {
        fleet.time.scheduleAfterUs(draws.nextLong(200_000, 3_000_000), () -> {
            if (isContended) {
                Fleet.KeeperHost keeper = fleet.keepers.get(draws.nextInt(Fleet.KEEPERS));
                long learners = fleet.keepers.stream()
                        .filter(k -> !k.identity.startsWith("first"))
                        .count();
                if (draws.nextInt(4) == 0 && learners < 2) {
                    keeper.loseDisk();
                } else {
                    keeper.die();
                }
                later(1_000, 400_000, () -> startAgain(keeper));
                fail();
            }
        });
    }

    /** Plays it; what was broken first, or null. */
    Judge.Breach broken() {
        if (isContended) {
            contended();
            return fleet.judge.breaches().isEmpty()
                    ? null
                    : fleet.judge.breaches().get(0);
        }
        if (draws.nextInt(4) == 0) {
            fleet.loss = 0.05 * draws.nextDouble();
        }
        fleet.run(5_000_000);
        operators();
        int troubles = 3 + draws.nextInt(6);
        for (int i = 0; i < troubles; i++) {
            trouble();
            fleet.run(draws.nextLong(3_000_000, 25_000_000));
        }
        if (isLong(seed)) {
            cutOff(draws.nextInt(3), HOUR_US);
            fleet.run(HOUR_US);
        }
        fleet.run(40_000_000);
        return fleet.judge.breaches().isEmpty() ? null : fleet.judge.breaches().get(0);
    }

    /** Whether it takes more than an hour of virtual time. */
    static boolean isLong(long seed) {
        return seed % HOUR == 0;
    }

    private void operators() {
        fleet.time.scheduleAfterUs(draws.nextLong(200_000, 6_000_000), () -> {
            change();
            operators();
        });
        fleet.time.scheduleAfterUs(
                draws.nextLong(500_000, 3_000_000),
                () -> fleet.status(fleet.keepers.get(draws.nextInt(Fleet.KEEPERS))));
    }

    private void change() {
        int how = draws.nextInt(10);
        if (how == 0 && !again.isEmpty()) {
            put(again.get(draws.nextInt(again.size())));
            return;
        }
        Change one = drawn(draws.nextInt(8));
        put(one);
        if (how <= 3) {
            // Two operators at once, at two keepers, of whom some change the same.
            fleet.time.scheduleAfterUs(draws.nextLong(1, 200_000), () -> put(drawn(draws.nextInt(8))));
        }
        if (how == 4) {
            // The same call twice.
            fleet.time.scheduleAfterUs(draws.nextLong(1, 500_000), () -> put(one));
        }
    }

    private Change drawn(int what) {
        String id = String.format("%016x", draws.nextLong());
        Fleet.KeeperHost by = fleet.keepers.get(draws.nextInt(Fleet.KEEPERS));
        long base = by.machine == null ? fleet.firstRev : by.machine.history().rev();
        Map<String, String> values =
                by.machine == null ? fleet.firstValues : by.machine.history().values();
        String realm = "realms/tenant-" + draws.nextInt(20);
        int a = draws.nextInt(101);
        return switch (what) {
            case 0 ->
                Change.of(
                        id,
                        base,
                        Map.of("classes/a", "" + a, "classes/b", "" + (100 - a), realm, "" + draws.nextInt(800)),
                        List.of());
            case 1 -> Change.of(id, base, Map.of("classes/a", "" + a), List.of());
            case 2 -> Change.of(id, base, Map.of(realm, "-1"), List.of());
            case 3 ->
                values.containsKey(realm)
                        ? Change.of(id, base, Map.of(), List.of(realm))
                        : Change.of(id, base, Map.of(realm, "7"), List.of());
            case 4 -> Change.of(id, base, Map.of(realm, "" + draws.nextInt(880, 920), "realms/more", "3"), List.of());
            case 5 -> Change.of(id, base, Map.of("limits/dial", "" + draws.nextInt(3)), List.of());
            default -> {
                Map<String, String> set = new TreeMap<>();
                int many = draws.nextInt(1, 60);
                for (int i = 0; i < many; i++) {
                    set.put("realms/tenant-" + draws.nextInt(100), "" + draws.nextInt(800));
                }
                yield Change.of(id, base, set, List.of());
            }
        };
    }

    private void put(Change change) {
        Fleet.KeeperHost at = fleet.keepers.get(draws.nextInt(Fleet.KEEPERS));
        if (!at.isUp()) {
            return;
        }
        again.add(change);
        at.change(change, outcome -> {
            fleet.count(outcome.getClass().getSimpleName());
            if (outcome instanceof Outcome.Committed taken) {
                fleet.see(new Judge.Answered(fleet.nowUs(), change.id(), taken.rev()));
            }
        });
    }

    private void later(long least, long most, Runnable what) {
        fleet.time.scheduleAfterUs(draws.nextLong(least, most), what);
    }

    private void cutOff(int region, long us) {
        for (int other = 0; other < 3; other++) {
            if (other != region) {
                fleet.setCut(region, other, true);
            }
        }
        fleet.reach();
        fleet.time.scheduleAfterUs(us, () -> {
            for (int other = 0; other < 3; other++) {
                if (other != region) {
                    fleet.setCut(region, other, false);
                }
            }
            fleet.reach();
        });
    }

    private void trouble() {
        Fleet.KeeperHost keeper = fleet.keepers.get(draws.nextInt(Fleet.KEEPERS));
        Fleet.NodeHost node = fleet.nodes.get(draws.nextInt(fleet.nodes.size()));
        int kind = draws.nextInt(11);
        fleet.count("trouble " + kind);
        switch (kind) {
            case 0 -> cutOff(draws.nextInt(3), draws.nextLong(1_000_000, 60_000_000));
            case 1 -> {
                int a = draws.nextInt(3);
                int b = (a + 1) % 3;
                fleet.setCut(a, b, true);
                fleet.reach();
                later(1_000_000, 40_000_000, () -> {
                    fleet.setCut(a, b, false);
                    fleet.reach();
                });
            }
            case 2 -> {
                // All regions are cut off from each other.
                cutOff(0, 20_000_000);
                cutOff(1, 20_000_000);
            }
            case 3 -> {
                keeper.silent = true;
                fleet.reach();
                later(2_000_000, 30_000_000, () -> {
                    keeper.silent = false;
                    fleet.reach();
                });
            }
            case 4 -> {
                keeper.stop();
                later(200_000, 30_000_000, keeper::goOn);
            }
            case 5 -> {
                keeper.die();
                later(500_000, 30_000_000, () -> startAgain(keeper));
                if (draws.nextBoolean()) {
                    // It comes back and reaches no other keeper, but nodes reach it.
                    keeper.silent = true;
                    later(30_000_000, 60_000_000, () -> {
                        keeper.silent = false;
                        fleet.reach();
                    });
                }
            }
            case 6 -> {
                if (fleet.keepers.stream()
                                .filter(k -> !k.identity.startsWith("first"))
                                .count()
                        < 2) {
                    keeper.loseDisk();
                    later(500_000, 5_000_000, () -> startAgain(keeper));
                }
            }
            case 7 -> {
                for (Fleet.KeeperHost each : fleet.keepers) {
                    // All keepers' processes at once, as after a loss of power.
                    each.die();
                    later(300_000, 3_000_000, () -> startAgain(each));
                }
            }
            case 8 -> {
                node.die();
                later(500_000, 60_000_000, () -> startAgain(node));
            }
            case 9 -> {
                if (node.isUp()) {
                    node.overtake(60_000_000);
                    // The new one has said that it is there.
                    later(1_000_000, 5_000_000, () -> {
                        if (node.isWell()) {
                            node.stop();
                            later(100_000, 50_000_000, node::goOn);
                        }
                    });
                }
            }
            default -> {
                for (Fleet.NodeHost each : fleet.nodes) {
                    each.die();
                    later(1, 300_000, () -> startAgain(each));
                }
            }
        }
    }

    private void startAgain(Fleet.KeeperHost keeper) {
        if (!keeper.isUp()) {
            keeper.start();
            fleet.reach();
        }
    }

    private void startAgain(Fleet.NodeHost node) {
        if (!node.isUp()) {
            node.start();
            fleet.reach();
        }
    }
}
