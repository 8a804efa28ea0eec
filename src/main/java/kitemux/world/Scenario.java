package kitemux.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import kitemux.Balancer.DedupScope;
import kitemux.world.Fault.Kind;

/** The kinds of worlds that can be asked for by name: what is drawn at random, and the hard cases. */
enum Scenario {
    /** Whatever the seed draws. */
    RANDOM {
        @Override
        Plan plan(long seed) {
            return Plan.draw(seed);
        }
    },
    /** Nothing goes wrong. */
    CALM {
        @Override
        Plan plan(long seed) {
            return Plan.draw(seed).with(List.of());
        }
    },
    /** A part of the servers dies while a node restarts. */
    BOXES_DIE_AT_RESTART {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            long at = plan.lengthMs() / 4;
            return plan.with(List.of(
                    new Fault(
                            random.nextBoolean() ? Kind.NODE_KILLED : Kind.NODE_TERMINATED,
                            at,
                            200 + random.nextInt(1_500),
                            1,
                            random.nextDouble()),
                    new Fault(
                            Kind.BOXES_DIE,
                            at + random.nextInt(2_000),
                            500 + random.nextInt(2_000),
                            0.22,
                            random.nextDouble())));
        }
    },
    /** A second node stops taking connections before the first is back. */
    NODES_OVERLAP_IN_RESTART {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed).onNodes(2);
            SplittableRandom random = random(seed);
            long at = plan.lengthMs() / 4;
            return plan.with(List.of(
                    new Fault(Kind.NODE_TERMINATED, at, 100 + random.nextInt(400), 1, 0),
                    new Fault(
                            Kind.NODE_TERMINATED,
                            at + random.nextInt((int) plan.startMs()),
                            100 + random.nextInt(400),
                            1,
                            0.9)));
        }
    },
    /** The only node ends in good order, and later with none. */
    LONE_NODE_RESTARTS {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed).onNodes(1);
            SplittableRandom random = random(seed);
            return plan.with(List.of(
                    new Fault(Kind.NODE_TERMINATED, plan.lengthMs() / 5, 100 + random.nextInt(500), 1, 0),
                    new Fault(Kind.NODE_KILLED, plan.lengthMs() * 3 / 5, 100 + random.nextInt(500), 1, 0)));
        }
    },
    /** A node starts with a list that names servers which have died or drained since, and nobody tells it. */
    RESTART_WITH_OLD_LIST {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            long at = plan.lengthMs() / 4;
            return plan.with(List.of(
                    new Fault(Kind.LIST_DOWN, at - 500, 1_000 + random.nextInt(4_000), 0.9, random.nextDouble()),
                    new Fault(Kind.NODE_KILLED, at, 200 + random.nextInt(800), 1, random.nextDouble()),
                    new Fault(Kind.BOXES_DIE, at - 300, plan.lengthMs(), 0.22, random.nextDouble()),
                    new Fault(Kind.BOX_DRAINS, at + 100, 8_000, 1, random.nextDouble())));
        }
    },
    /** A node starts while twice as much is asked as before. */
    RESTART_INTO_BURST {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            long at = plan.lengthMs() / 4;
            return plan.with(List.of(
                    new Fault(
                            random.nextBoolean() ? Kind.NODE_KILLED : Kind.NODE_TERMINATED,
                            at,
                            200 + random.nextInt(800),
                            1,
                            random.nextDouble()),
                    new Fault(Kind.BURST, at - 200, 1_000 + plan.startMs(), 1, 0),
                    new Fault(Kind.NODE_STALLS, at + plan.startMs(), 1_500, 0.5, 0)));
        }
    },
    /** Connections are reset after a request's last byte and before the first of its answer. */
    RESET_BEFORE_ANSWER {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            return plan.with(List.of(new Fault(
                    Kind.BOXES_RESET, 500, plan.lengthMs(), 0.2 + random.nextDouble() / 2, random.nextDouble())));
        }
    },
    /** Servers drain while attempts wait for a connection to them. */
    DRAIN_WHILE_DIALING {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            List<Fault> faults = new ArrayList<>();
            faults.add(new Fault(Kind.NET_HANGS, 100, plan.lengthMs(), 0.5, 0));
            faults.add(new Fault(Kind.NET_BREAKS, 100, plan.lengthMs(), 0.5, 0));
            for (int i = 0; i < 4; i++) {
                faults.add(new Fault(
                        Kind.BOX_DRAINS,
                        500 + random.nextInt((int) plan.lengthMs() / 2),
                        1_000 + random.nextInt(3_000),
                        1,
                        random.nextDouble()));
            }
            return plan.with(faults);
        }
    },
    /** The time in which repeats are dropped ends between two attempts of a keyed request. */
    WINDOW_ENDS {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            return plan.like(
                            plan.nodes(),
                            plan.leaving(),
                            random.nextBoolean(),
                            DedupScope.CELL,
                            20_000 + random.nextInt(120_000))
                    .with(List.of(
                            new Fault(Kind.BOXES_SLOW, 200, plan.lengthMs(), 0.4, random.nextDouble()),
                            new Fault(Kind.BOXES_SILENT, 1_000, 6_000, 0.18, random.nextDouble()),
                            new Fault(Kind.BOXES_RESET, 500, plan.lengthMs(), 0.3, random.nextDouble()),
                            new Fault(Kind.BOXES_FAIL, 500, plan.lengthMs(), 0.2, random.nextDouble())));
        }
    },
    /** Answers come in the same turn as deadlines, clients' leaving and the word to end. */
    SAME_TURN {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            List<Fault> faults = new ArrayList<>();
            faults.add(new Fault(Kind.NODE_STALLS, 300, plan.lengthMs(), 0.3 + random.nextDouble() / 2, 0));
            faults.add(new Fault(Kind.BOXES_SLOW, 300, plan.lengthMs(), 0.4, random.nextDouble()));
            faults.add(new Fault(Kind.NODE_TERMINATED, plan.lengthMs() / 3, 500, 1, random.nextDouble()));
            return plan.like(plan.nodes(), 0.3, plan.secondCopies(), plan.group(), plan.windowUs())
                    .with(faults);
        }
    },
    /** Discovery tells an old list after a newer one, while servers drain. */
    OLD_LIST {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            long at = 500 + random.nextInt(1_000);
            List<Fault> faults = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                faults.add(new Fault(Kind.BOX_DRAINS, at + 700L * i, 8_000, 1, random.nextDouble()));
            }
            faults.add(new Fault(Kind.LIST_DOWN, at + 2_500, 300 + random.nextInt(1_000), 0.9, random.nextDouble()));
            return plan.with(faults);
        }
    },
    /** All servers are silent, then all are cold. */
    ALL_SILENT_THEN_COLD {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            return plan.with(List.of(
                    new Fault(Kind.ALL_SILENT, 1_000 + random.nextInt(1_000), 500 + random.nextInt(2_500), 1, 0)));
        }
    },
    /** A node is a tenth of a second behind on its own loop. */
    BEHIND {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            return plan.with(List.of(new Fault(Kind.NODE_STALLS, 200, plan.lengthMs(), 0.5, 0)));
        }
    },
    /** Servers give long answers for longer than their clients' time, or stop amid them, while a node stands
     * still for moments or is told to end. */
    LONG_ANSWERS {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed);
            SplittableRandom random = random(seed);
            List<Fault> faults = new ArrayList<>();
            faults.add(new Fault(Kind.BOXES_GIVE_LONG, 200, plan.lengthMs(), 0.6, random.nextDouble()));
            if (random.nextBoolean()) {
                faults.add(new Fault(Kind.NODE_STALLS, 300, plan.lengthMs(), random.nextDouble() / 2, 0));
            }
            if (random.nextBoolean()) {
                faults.add(new Fault(Kind.NODE_TERMINATED, plan.lengthMs() / 3, 500, 1, random.nextDouble()));
            }
            return plan.with(faults);
        }
    },
    /** One node has all clients, some of them twice as often as before, no processor for a while and little
     * of one after that. */
    SLOW_NODE {
        @Override
        Plan plan(long seed) {
            Plan plan = Plan.draw(seed).onNodes(1);
            SplittableRandom random = random(seed);
            List<Fault> faults = new ArrayList<>();
            for (long at = 700; at < plan.lengthMs() - 1_500; at += 1_500 + random.nextInt(1_500)) {
                faults.add(new Fault(
                        Kind.NODE_SLOW, at, 1_000 + random.nextInt(500), random.nextDouble(), random.nextDouble()));
                faults.add(new Fault(Kind.BURST, at - 200, 600, random.nextDouble() / 2, 0));
            }
            return plan.with(faults);
        }
    };

    abstract Plan plan(long seed);

    private static SplittableRandom random(long seed) {
        return new SplittableRandom(Tape.mix(seed + 1) ^ 0x5ca1ab1eL);
    }

    /** As it is written on the command line. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The one of this label, or null. */
    static Scenario of(String label) {
        for (Scenario each : values()) {
            if (each.label().equals(label)) {
                return each;
            }
        }
        return null;
    }
}
