package kitemux.world;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import kitemux.Balancer.DedupScope;
import kitemux.world.Fault.Kind;

/**
 * What a world is like and what goes wrong in it, drawn from a seed. The figures of the brief are the
 * ranges; the fleet is small, so that a rare order of events costs no more than it must.
 *
 * @param lengthMs until when clients ask
 * @param requests most first tries
 * @param load first tries' work as a share of what the servers can do
 * @param rude share of clients that send halves, two at once, or what is no request
 * @param leaving share of clients that leave before their answer
 * @param chokes whether crowded servers turn slow
 * @param secondCopies whether a request may have two attempts out at once
 * @param group who drops repeats of keyed requests, and for how long
 * @param sockets descriptors that a node may hold
 * @param wholeLists whether discovery always answers with the whole list first
 * @param startMs how long a node takes to start
 */
record Plan(
        long seed,
        int boxes,
        int nodes,
        int cells,
        long lengthMs,
        int requests,
        double load,
        double rude,
        double leaving,
        boolean chokes,
        boolean secondCopies,
        DedupScope group,
        long windowUs,
        int sockets,
        boolean wholeLists,
        long startMs,
        List<Fault> faults) {

    /** How long each kind lasts, in milliseconds: from and to. */
    private static final Map<Kind, long[]> LENGTHS = new EnumMap<>(Map.ofEntries(
            Map.entry(Kind.BOXES_DIE, new long[] {9_600, 23_000}),
            Map.entry(Kind.BOXES_SILENT, new long[] {13_000, 29_000}),
            Map.entry(Kind.BOXES_FAIL, new long[] {10_000, 28_000}),
            Map.entry(Kind.BOXES_SPOIL, new long[] {5_000, 20_000}),
            Map.entry(Kind.BOXES_RESET, new long[] {2_000, 10_000}),
            Map.entry(Kind.BOXES_SLOW, new long[] {5_000, 20_000}),
            Map.entry(Kind.ALL_SILENT, new long[] {1_000, 5_000}),
            Map.entry(Kind.BOX_DRAINS, new long[] {3_000, 12_000}),
            Map.entry(Kind.NODE_KILLED, new long[] {100, 2_000}),
            Map.entry(Kind.NODE_TERMINATED, new long[] {100, 2_000}),
            Map.entry(Kind.NODE_STALLS, new long[] {500, 4_000}),
            Map.entry(Kind.LIST_DOWN, new long[] {500, 5_000}),
            Map.entry(Kind.LIST_LATE, new long[] {5_000, 20_000}),
            Map.entry(Kind.LIST_MOVES, new long[] {1_000, 1_000}),
            Map.entry(Kind.NET_BREAKS, new long[] {1_000, 8_000}),
            Map.entry(Kind.NET_HANGS, new long[] {1_000, 8_000}),
            Map.entry(Kind.NET_SLOW, new long[] {1_000, 8_000}),
            Map.entry(Kind.BURST, new long[] {500, 4_000}),
            Map.entry(Kind.NODE_SLOW, new long[] {500, 1_500}),
            Map.entry(Kind.BOXES_GIVE_LONG, new long[] {2_000, 10_000})));

    /** The greatest share that each kind befalls, or how bad it is at most. */
    private static double mostShare(Kind kind) {
        return switch (kind) {
            case BOXES_DIE -> 0.22;
            case BOXES_SILENT -> 0.18;
            case BOXES_FAIL -> 0.20;
            case BOXES_SPOIL, BOXES_RESET, BOXES_SLOW -> 0.4;
            default -> 1;
        };
    }

    /** Draws a world, and one to six things that go wrong in it. */
    static Plan draw(long seed) {
        SplittableRandom random = new SplittableRandom(Tape.mix(seed));
        int boxes = 3 + random.nextInt(6);
        double load = random.nextInt(6) == 0 ? 0.9 + 0.4 * random.nextDouble() : 0.35 + 0.45 * random.nextDouble();
        int requests = 150 + random.nextInt(450);
        long lengthMs = (long) (requests / (boxes * World.SERVED_PER_S * load) * 1_000);
        lengthMs = Math.max(5_000, Math.min(20_000, lengthMs));
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(6);
        Kind[] kinds = Kind.values();
        // The last kinds are not drawn: seeds that have found something would be other worlds.
        for (int i = 0; i < count; i++) {
            faults.add(fault(kinds[random.nextInt(Kind.NODE_SLOW.ordinal())], lengthMs, random));
        }
        return new Plan(
                seed,
                boxes,
                1 + random.nextInt(3),
                1 + random.nextInt(3),
                lengthMs,
                requests,
                load,
                random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0,
                random.nextInt(2) == 0 ? 0.2 * random.nextDouble() : 0.01,
                random.nextInt(3) == 0,
                random.nextInt(4) != 0,
                random.nextInt(4) == 0 ? DedupScope.ALL : DedupScope.CELL,
                random.nextInt(4) == 0 ? 60_000 : 1_200_000,
                random.nextInt(8) == 0 ? 160 : 384,
                random.nextInt(4) == 0,
                600 + random.nextInt(2_000),
                List.copyOf(faults));
    }

    static Fault fault(Kind kind, long lengthMs, SplittableRandom random) {
        long[] length = LENGTHS.get(kind);
        long forMs = length[0] + random.nextInt((int) (length[1] - length[0] + 1));
        // A day is shorter here than there, and an end of a trouble is worth seeing as well.
        forMs = random.nextBoolean() ? Math.max(100, forMs / 5) : forMs;
        return new Fault(
                kind,
                (long) (lengthMs * (0.05 + 0.8 * random.nextDouble())),
                forMs,
                mostShare(kind) * random.nextDouble(),
                random.nextDouble());
    }

    Plan with(List<Fault> others) {
        return new Plan(
                seed,
                boxes,
                nodes,
                cells,
                lengthMs,
                requests,
                load,
                rude,
                leaving,
                chokes,
                secondCopies,
                group,
                windowUs,
                sockets,
                wholeLists,
                startMs,
                List.copyOf(others));
    }

    /** The same with so many nodes. */
    Plan onNodes(int count) {
        return like(count, leaving, secondCopies, group, windowUs);
    }

    /** The same, asked and served otherwise. */
    Plan like(int nodeCount, double leavingShare, boolean copies, DedupScope keyedGroup, long keyedWindowUs) {
        return new Plan(
                seed,
                boxes,
                nodeCount,
                cells,
                lengthMs,
                requests,
                load,
                rude,
                leavingShare,
                chokes,
                copies,
                keyedGroup,
                keyedWindowUs,
                sockets,
                wholeLists,
                startMs,
                faults);
    }
}
