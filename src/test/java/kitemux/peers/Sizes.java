package kitemux.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Prints what members cost and how soon they know, by the size of the fleet: the table of the design note.
 */
final class Sizes {
    private static final int PLAYS = 10;

    private Sizes() {}

    /** Plays each size so often, at a hundredth of all datagrams lost. */
    public static void main(String[] args) {
        for (int nodes : new int[] {3, 14, 100, 1_000}) {
            int plays = nodes == 1_000 ? 2 : PLAYS;
            List<Double> first = new ArrayList<>();
            List<Double> all = new ArrayList<>();
            List<Double> healed = new ArrayList<>();
            double datagrams = 0;
            double bytes = 0;
            double wrong = 0;
            long cpuNanos = 0;
            for (int seed = 1; seed <= plays; seed++) {
                Meeting meeting = new Meeting(nodes, seed, Meeting.Change.NONE);
                meeting.run(40_000_000);
                meeting.loss = 0.01;
                long sent = meeting.datagrams;
                long size = meeting.bytes;
                int spoken = meeting.spoken.size();
                long began = System.nanoTime();
                meeting.run(60_000_000);
                cpuNanos += System.nanoTime() - began;
                wrong += meeting.spoken.stream()
                        .skip(spoken)
                        .filter(line -> line.contains("GONE"))
                        .count();
                datagrams += (meeting.datagrams - sent) / 60.0 / nodes / plays;
                bytes += (meeting.bytes - size) / 60.0 / nodes / plays;
                meeting.seats.get(1).die();
                long one = meeting.until(
                        120_000_000,
                        () -> meeting.but(1).stream().anyMatch(i -> meeting.seen(i, 1) == MemberState.GONE));
                first.add(one / 1e6);
                all.add((one + meeting.until(120_000_000, () -> meeting.allSee(meeting.but(1), 1, MemberState.GONE)))
                        / 1e6);
                List<Integer> half = meeting.all().subList(0, nodes / 2);
                meeting.part(half, true);
                meeting.run(60_000_000);
                meeting.part(half, false);
                healed.add(meeting.until(
                                900_000_000,
                                () -> meeting.but(1).stream()
                                        .allMatch(i -> meeting.allSee(meeting.but(1), i, MemberState.ALIVE)))
                        / 1e6);
            }
            Collections.sort(first);
            Collections.sort(all);
            Collections.sort(healed);
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %.1f, %.1f | %.1f, %.1f | %.1f | %.2f, %.0f | %.0f | %.1f, %.1f |%n",
                    nodes,
                    first.get(plays / 2),
                    first.get(plays - 1),
                    all.get(plays / 2),
                    all.get(plays - 1),
                    wrong * 60 / plays,
                    datagrams,
                    bytes,
                    cpuNanos / 1e3 / 60 / nodes / plays,
                    healed.get(plays / 2),
                    healed.get(plays - 1));
        }
    }
}
