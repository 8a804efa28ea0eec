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

/** Measures the emulator: requests per second at several fleet sizes, and its event queue against a binary heap. */
public final class EmulatorBench {
    private static final long REQUEST_COUNT = 400_000;
    private static final int EVENT_COUNT = 2_000_000;
    private static final int[] PENDING_COUNTS = {100, 10_000, 1_000_000};
    private static final int ROUNDS = 5;
    private static final long MIN_RUN_US = 2_000_000;
    /** Load of the emulated fleets, as a share of their capacity. */
    private static final double LOAD_RATIO = 0.6;
    /** Upper bound of the time until an event, in nanoseconds. */
    private static final int MAX_EVENT_DELAY_NANOS = 1_000_000;

    private final Fleet template;
    private final PrintStream out;

    /**
     * Creates a benchmark.
     *
     * @param template a fleet whose classes, clients and links are emulated
     */
    public EmulatorBench(Fleet template, PrintStream out) {
        this.template = template;
        this.out = out;
    }

    /** Measures on the calling thread and prints tables. */
    public void run() {
        out.println("pending  ours ns  plain ns  ratio (least to most of " + ROUNDS + ")");
        for (int pending : PENDING_COUNTS) {
            compareQueues(pending);
        }
        out.println("boxes  nodes  requests/s: first run, then the median and all of " + ROUNDS
                + "; events/s; heap MiB after");
        measureFleet(20, 2);
        measureFleet(1_000, 50);
        measureFleet(10_000, 200);
    }

    private void measureFleet(int servers, int nodes) {
        Fleet.ServerKind kind = template.kinds().get(0);
        Fleet sized = template.withKinds(List.of(new Fleet.ServerKind(
                        kind.name(),
                        servers,
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
                        template.nodes().eventCostUs(),
                        template.nodes().cores(),
                        template.nodes().startupUs(),
                        template.nodes().failureDetectionUs()))
                .withoutTenants();
        double ratePerS = LOAD_RATIO * sized.capacity() * 1e6 / sized.meanWorkUs();
        long lengthUs = Math.max(MIN_RUN_US, (long) (REQUEST_COUNT / ratePerS * 1e6));
        Fleet fleet = sized.with(new Fleet.Load(ratePerS, lengthUs, List.of(), 0, 1));
        // The first run is mostly compilation by the JVM; a plan emulates the same fleet hundreds of times.
        double[] requestsPerS = new double[ROUNDS + 1];
        RunResult result = null;
        for (int round = 0; round <= ROUNDS; round++) {
            long startNanos = System.nanoTime();
            result = Emulation.run(fleet, 1);
            requestsPerS[round] = result.requests() / ((System.nanoTime() - startNanos) / 1e9);
        }
        double first = requestsPerS[0];
        double[] warm = Arrays.copyOfRange(requestsPerS, 1, requestsPerS.length);
        Arrays.sort(warm);
        Runtime runtime = Runtime.getRuntime();
        out.printf(
                Locale.ROOT,
                "%5d  %5d  %7.0f  %7.0f (%.0f to %.0f)  %8.0f  %d%n",
                servers,
                nodes,
                first,
                warm[ROUNDS / 2],
                warm[0],
                warm[ROUNDS - 1],
                warm[ROUNDS / 2] * result.events() / result.requests(),
                runtime.totalMemory() - runtime.freeMemory() >> 20);
    }

    /** Compares the queues in pairs of runs. Three of four events are cancelled, like the timers of a node. */
    private void compareQueues(int pending) {
        double[] ratios = new double[ROUNDS];
        double schedulerNanos = 0;
        double heapNanos = 0;
        for (int round = 0; round <= ROUNDS; round++) {
            schedulerNanos = measureScheduler(pending);
            heapNanos = measureHeap(pending);
            if (round > 0) {
                ratios[round - 1] = schedulerNanos / heapNanos;
            }
        }
        Arrays.sort(ratios);
        out.printf(
                Locale.ROOT,
                "%7d  %7.0f  %8.0f  %.2f (%.2f to %.2f)%n",
                pending,
                schedulerNanos,
                heapNanos,
                ratios[ROUNDS / 2],
                ratios[0],
                ratios[ROUNDS - 1]);
    }

    /** Returns the nanoseconds per event of the emulator's queue. */
    private static double measureScheduler(int pending) {
        SplittableRandom random = new SplittableRandom(1);
        Scheduler scheduler = new Scheduler();
        Scheduler.Event[] events = new Scheduler.Event[pending];
        for (int i = 0; i < pending; i++) {
            events[i] = scheduler.scheduleAt(random.nextInt(MAX_EVENT_DELAY_NANOS), () -> {});
        }
        long startNanos = System.nanoTime();
        for (int i = 0; i < EVENT_COUNT; i++) {
            int index = random.nextInt(pending);
            if (i % 4 != 0) {
                events[index].cancel();
            } else {
                scheduler.runNext(Long.MAX_VALUE);
            }
            events[index] =
                    scheduler.scheduleAt(scheduler.nowNanos() + random.nextInt(MAX_EVENT_DELAY_NANOS), () -> {});
        }
        return (System.nanoTime() - startNanos) / (double) EVENT_COUNT;
    }

    /** An event of the heap. A cancelled one stays in it until its time. */
    private static final class HeapEvent implements Comparable<HeapEvent> {
        private final long at;
        private final long sequenceNumber;
        private boolean isCancelled;

        HeapEvent(long at, long sequenceNumber) {
            this.at = at;
            this.sequenceNumber = sequenceNumber;
        }

        @Override
        public int compareTo(HeapEvent other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    /** Returns the nanoseconds per event of a binary heap. */
    private static double measureHeap(int pending) {
        SplittableRandom random = new SplittableRandom(1);
        PriorityQueue<HeapEvent> queue = new PriorityQueue<>();
        HeapEvent[] events = new HeapEvent[pending];
        long scheduledCount = 0;
        for (int i = 0; i < pending; i++) {
            events[i] = new HeapEvent(random.nextInt(MAX_EVENT_DELAY_NANOS), scheduledCount++);
            queue.add(events[i]);
        }
        long now = 0;
        long startNanos = System.nanoTime();
        for (int i = 0; i < EVENT_COUNT; i++) {
            int index = random.nextInt(pending);
            if (i % 4 != 0) {
                events[index].isCancelled = true;
            } else {
                HeapEvent next = queue.poll();
                while (next != null && next.isCancelled) {
                    next = queue.poll();
                }
                now = next == null ? now : next.at;
            }
            events[index] = new HeapEvent(now + random.nextInt(MAX_EVENT_DELAY_NANOS), scheduledCount++);
            queue.add(events[index]);
        }
        return (System.nanoTime() - startNanos) / (double) EVENT_COUNT;
    }
}
