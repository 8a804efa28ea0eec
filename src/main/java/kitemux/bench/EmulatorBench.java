package kitemux.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.sim.Scheduler;

/** How many requests are emulated in a second at several sizes, and the event queue against a plain one. */
public final class EmulatorBench {
    private static final long WISHES = 400_000;
    private static final int EVENTS = 2_000_000;
    private static final int[] PENDING = {100, 10_000, 1_000_000};
    private static final int ROUNDS = 5;

    private final Fleet like;
    private final PrintStream out;

    /**
     * @param like a fleet whose classes, clients and links are played
     */
    public EmulatorBench(Fleet like, PrintStream out) {
        this.like = like;
        this.out = out;
    }

    /** Plays all sizes, on the calling thread alone. */
    public void run() {
        out.println("pending  ours ns  plain ns  ratio (least to most of " + ROUNDS + ")");
        for (int pending : PENDING) {
            queues(pending);
        }
        out.println("boxes  nodes  requests/s: first run, then the median and all of " + ROUNDS
                + "; events/s; heap MiB after");
        size(20, 2);
        size(1_000, 50);
        size(10_000, 200);
    }

    private void size(int boxes, int nodes) {
        Fleet.ServerKind kind = like.kinds().get(0);
        Fleet sized = like.withKinds(List.of(new Fleet.ServerKind(
                        kind.name(),
                        boxes,
                        kind.cores(),
                        kind.speed(),
                        kind.speedCv(),
                        kind.queueCapacity(),
                        kind.initialCapacityRatio(),
                        kind.warmUpUs(),
                        kind.warmsByWork(),
                        kind.cost())))
                .with(new Fleet.Nodes(
                        nodes,
                        like.nodes().eventCostUs(),
                        like.nodes().cores(),
                        like.nodes().startupUs(),
                        like.nodes().failureDetectionUs()))
                .withoutTenants();
        double ratePerS = 0.6 * sized.capacity() * 1e6 / sized.meanWorkUs();
        long lengthUs = Math.max(2_000_000, (long) (WISHES / ratePerS * 1e6));
        Fleet played = sized.with(new Fleet.Load(ratePerS, lengthUs, List.of(), 0, 1));
        // The first run is mostly the JVM's compiling; a plan plays the same fleet hundreds of times.
        double[] perS = new double[ROUNDS + 1];
        RunResult result = null;
        for (int round = 0; round <= ROUNDS; round++) {
            long began = System.nanoTime();
            result = Emulation.run(played, 1);
            perS[round] = result.requests() / ((System.nanoTime() - began) / 1e9);
        }
        double first = perS[0];
        double[] warm = Arrays.copyOfRange(perS, 1, perS.length);
        Arrays.sort(warm);
        Runtime runtime = Runtime.getRuntime();
        out.printf(
                Locale.ROOT,
                "%5d  %5d  %7.0f  %7.0f (%.0f to %.0f)  %8.0f  %d%n",
                boxes,
                nodes,
                first,
                warm[ROUNDS / 2],
                warm[0],
                warm[ROUNDS - 1],
                warm[ROUNDS / 2] * result.events() / result.requests(),
                runtime.totalMemory() - runtime.freeMemory() >> 20);
    }

    /** Of four events that are set three are called off, as a node's timers are: pairs, in turn. */
    private void queues(int pending) {
        double[] ratios = new double[ROUNDS];
        double ours = 0;
        double plain = 0;
        for (int round = 0; round <= ROUNDS; round++) {
            ours = ours(pending);
            plain = plain(pending);
            if (round > 0) {
                ratios[round - 1] = ours / plain;
            }
        }
        Arrays.sort(ratios);
        out.printf(
                Locale.ROOT,
                "%7d  %7.0f  %8.0f  %.2f (%.2f to %.2f)%n",
                pending,
                ours,
                plain,
                ratios[ROUNDS / 2],
                ratios[0],
                ratios[ROUNDS - 1]);
    }

    private static double ours(int pending) {
        SplittableRandom random = new SplittableRandom(1);
        Scheduler time = new Scheduler();
        Scheduler.Event[] set = new Scheduler.Event[pending];
        for (int i = 0; i < pending; i++) {
            set[i] = time.scheduleAt(random.nextInt(1_000_000), () -> {});
        }
        long began = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            int which = random.nextInt(pending);
            if (i % 4 != 0) {
                set[which].cancel();
            } else {
                time.runNext(Long.MAX_VALUE);
            }
            set[which] = time.scheduleAt(time.nowNanos() + random.nextInt(1_000_000), () -> {});
        }
        return (System.nanoTime() - began) / (double) EVENTS;
    }

    /** What stands in a plain queue and is called off stays there until its time. */
    private static final class Plain implements Comparable<Plain> {
        private final long at;
        private final long order;
        private boolean off;

        Plain(long at, long order) {
            this.at = at;
            this.order = order;
        }

        @Override
        public int compareTo(Plain other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static double plain(int pending) {
        SplittableRandom random = new SplittableRandom(1);
        PriorityQueue<Plain> queue = new PriorityQueue<>();
        Plain[] set = new Plain[pending];
        long asked = 0;
        for (int i = 0; i < pending; i++) {
            set[i] = new Plain(random.nextInt(1_000_000), asked++);
            queue.add(set[i]);
        }
        long now = 0;
        long began = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            int which = random.nextInt(pending);
            if (i % 4 != 0) {
                set[which].off = true;
            } else {
                Plain next = queue.poll();
                while (next != null && next.off) {
                    next = queue.poll();
                }
                now = next == null ? now : next.at;
            }
            set[which] = new Plain(now + random.nextInt(1_000_000), asked++);
            queue.add(set[which]);
        }
        return (System.nanoTime() - began) / (double) EVENTS;
    }
}
