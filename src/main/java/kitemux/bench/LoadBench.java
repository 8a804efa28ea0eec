package kitemux.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import kitemux.bench.LoadGenerator.LoadResult;
import kitemux.standin.FixedResponseServer;

/**
 * Measures throughput and latency over loopback: directly at a server, through a relay, and through nodes of one or more
 * builds. The targets are measured in turn, so that changes in the machine's speed affect all of them.
 */
public final class LoadBench {
    private static final int LOOP_COUNT = 3;
    private static final int SERVER_COUNT = 4;
    private static final int RESPONSE_BYTES = 200;
    private static final int PAGE_CONNECTION_COUNT = 4;
    private static final int ORDER_CONNECTION_COUNT = 16;
    /**
     * Rate of the orders beside which pages are measured: over twice that of the busiest hour, and below full load, where
     * pages would wait for the processor and not for the journal.
     */
    private static final double ORDER_RATE_PER_S = 500;
    /** Size of an order's journal entries up to its dispatch. */
    private static final int ORDER_ENTRY_BYTES = 200;

    private static final int MAX_SYNC_COUNT = 1 << 20;
    private static final List<String> SYNC_POLICIES = List.of("each", "timed", "never");

    private final List<Path> jars;
    private final int[] connectionCounts;
    private final double warmUpS;
    private final double measuredS;
    private final int rounds;
    private final String cpu;
    private final boolean sendsOrders;
    private final ProcessStarter starter;
    private final PrintStream out;

    /** The event loops and everything that was started, which is ended in {@link #close}. */
    private final class TestBed implements AutoCloseable {
        final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOP_COUNT, NioIoHandler.newFactory());
        final Path folder = Files.createTempDirectory("kitemux-bench");
        final List<Target> targets = new ArrayList<>();
        private final List<FixedResponseServer> servers = new ArrayList<>();
        private final List<ReservedAddress> reserved = new ArrayList<>();

        TestBed() throws IOException {}

        void start() throws IOException {
            for (int i = 0; i < SERVER_COUNT; i++) {
                servers.add(FixedResponseServer.start(loops, RESPONSE_BYTES));
            }
            InetSocketAddress server = servers.get(0).address();
            targets.add(new Target("box", server, null));
            InetSocketAddress relay = reserveAddress();
            targets.add(new Target("a relay of bytes", relay, starter.startRelay(relay, server)));
            for (Path jar : sendsOrders ? jars.subList(0, 1) : jars) {
                InetSocketAddress listen = reserveAddress();
                Process node = starter.startNode(jar, listen, servers, folder);
                targets.add(new Target("node " + ProcessStarter.buildName(jar), listen, node));
            }
            for (String policy : sendsOrders ? SYNC_POLICIES : List.<String>of()) {
                InetSocketAddress listen = reserveAddress();
                Process node = starter.startNodeWithJournal(jars.get(0), listen, servers, folder, policy);
                targets.add(new Target("node, journal synced " + policy, listen, node));
            }
        }

        private InetSocketAddress reserveAddress() throws IOException {
            ReservedAddress address = new ReservedAddress();
            reserved.add(address);
            return address.address();
        }

        List<Target> nodes() {
            return targets.subList(2, targets.size());
        }

        @Override
        public void close() throws IOException {
            for (Target target : targets) {
                if (target.process != null) {
                    target.process.destroyForcibly().onExit().join();
                }
            }
            for (ReservedAddress address : reserved) {
                address.close();
            }
            servers.forEach(FixedResponseServer::close);
            loops.shutdownGracefully();
            ProcessStarter.deleteRecursively(folder);
        }
    }

    /** A target of requests, and its process, or null if it runs in this one. */
    private record Target(String name, InetSocketAddress address, Process process) {}

    /**
     * Creates a benchmark.
     *
     * @param jars builds to compare with the first
     * @param connectionCounts numbers of connections to measure with
     * @param warmUpS seconds before each measurement
     * @param measuredS seconds of each measurement
     * @param rounds number of measurements of each target
     * @param cpu processor of the nodes and the relay, in taskset's notation; empty for any
     * @param sendsOrders whether orders are measured, at the first build without a journal and with each sync policy;
     *     otherwise pages at all builds
     */
    public LoadBench(
            List<Path> jars,
            int[] connectionCounts,
            double warmUpS,
            double measuredS,
            int rounds,
            String cpu,
            boolean sendsOrders,
            PrintStream out) {
        this.sendsOrders = sendsOrders;
        this.jars = jars;
        this.connectionCounts = connectionCounts;
        this.warmUpS = warmUpS;
        this.measuredS = measuredS;
        this.rounds = rounds;
        this.cpu = cpu;
        starter = new ProcessStarter(cpu);
        this.out = out;
    }

    /** Measures, prints tables, and ends everything that it started. */
    public void run() throws IOException, InterruptedException {
        try (TestBed testBed = new TestBed()) {
            testBed.start();
            if (sendsOrders) {
                printSyncLatency(testBed.folder);
            }
            out.printf(
                    Locale.ROOT,
                    "%d boxes, %d rounds of %.0f s after %.0f s, %s, Java %s, %d processors%n",
                    SERVER_COUNT,
                    rounds,
                    measuredS,
                    warmUpS,
                    cpu.isEmpty() ? "not pinned" : "pinned to " + cpu,
                    System.getProperty("java.version"),
                    Runtime.getRuntime().availableProcessors());
            for (int connections : connectionCounts) {
                measure(testBed, connections);
            }
            if (sendsOrders) {
                measurePages(testBed);
            }
        }
    }

    /** Measures the disk alone, with as many bytes for each sync as an order writes. */
    private void printSyncLatency(Path folder) throws IOException {
        long[] latenciesNanos = new long[MAX_SYNC_COUNT];
        int count = 0;
        long untilNanos = System.nanoTime() + (long) (measuredS * 1e9);
        try (FileChannel file =
                FileChannel.open(folder.resolve("syncs"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            for (long now = System.nanoTime(); now < untilNanos && count < MAX_SYNC_COUNT; count++) {
                file.write(ByteBuffer.allocate(ORDER_ENTRY_BYTES));
                file.force(false);
                long after = System.nanoTime();
                latenciesNanos[count] = after - now;
                now = after;
            }
        }
        long[] sorted = Arrays.copyOf(latenciesNanos, count);
        Arrays.sort(sorted);
        out.printf(
                Locale.ROOT,
                "bare fdatasync of %d bytes: %.0f a second, p50 %.1f us, p99 %.1f us%n",
                ORDER_ENTRY_BYTES,
                count / measuredS,
                LoadGenerator.quantileUs(sorted, 0.5),
                LoadGenerator.quantileUs(sorted, 0.99));
    }

    private void measure(TestBed testBed, int connections) throws InterruptedException {
        Map<Target, List<LoadResult>> results = new LinkedHashMap<>();
        testBed.targets.forEach(target -> results.put(target, new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            for (Target target : testBed.targets) {
                results.get(target)
                        .add(LoadGenerator.measure(
                                testBed.loops, target.address, connections, warmUpS, measuredS, sendsOrders, 0));
            }
        }
        out.printf(
                "%n%d connections%n%-28s %9s %17s %9s %9s %7s %14s%n",
                connections, "", "requests", "", "", "", "", "pair by pair");
        out.printf(
                "%-28s %9s %17s %9s %9s %7s %14s%n",
                "through", "a second", "least to most", "p50 us", "p99 us", "failed", "with the first");
        List<LoadResult> baseline =
                testBed.nodes().isEmpty() ? null : results.get(testBed.nodes().get(0));
        results.forEach((target, ofTarget) -> printRow(target, ofTarget, baseline));
    }

    private void printRow(Target target, List<LoadResult> results, List<LoadResult> baseline) {
        double[] requestsPerS =
                results.stream().mapToDouble(LoadResult::requestsPerS).sorted().toArray();
        boolean isCompared = baseline != null && results != baseline && target.name.startsWith("node");
        out.printf(
                Locale.ROOT,
                "%-28s %9.0f %8.0f %8.0f %9.1f %9.1f %7d %s%n",
                target.name,
                median(requestsPerS),
                requestsPerS[0],
                requestsPerS[requestsPerS.length - 1],
                median(results, LoadResult::p50Us),
                median(results, LoadResult::p99Us),
                results.stream().mapToInt(LoadResult::failedCount).sum(),
                isCompared ? formatRatios(results, baseline) : "");
    }

    /** Measures pages on a few connections, alone and beside orders at a fixed rate. */
    private void measurePages(TestBed testBed) throws InterruptedException {
        out.printf(
                "%npages on %d connections%n%-28s %24s %30s%n%-28s %11s %12s %17s %12s%n",
                PAGE_CONNECTION_COUNT,
                "",
                "by themselves",
                String.format(Locale.ROOT, "beside %.0f orders a second", ORDER_RATE_PER_S),
                "through",
                "p50 us",
                "p99 us",
                "p50 us",
                "p99 us");
        Map<Target, List<LoadResult>> alone = new LinkedHashMap<>();
        Map<Target, List<LoadResult>> besideOrders = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Target node : testBed.nodes()) {
                alone.computeIfAbsent(node, t -> new ArrayList<>()).add(measurePages(testBed, node));
                Thread orders = new Thread(() -> sendOrders(testBed, node), "orders");
                orders.start();
                besideOrders.computeIfAbsent(node, t -> new ArrayList<>()).add(measurePages(testBed, node));
                orders.join();
            }
        }
        alone.forEach((node, results) -> out.printf(
                Locale.ROOT,
                "%-28s %11.1f %12.1f %17.1f %12.1f%n",
                node.name,
                median(results, LoadResult::p50Us),
                median(results, LoadResult::p99Us),
                median(besideOrders.get(node), LoadResult::p50Us),
                median(besideOrders.get(node), LoadResult::p99Us)));
    }

    private LoadResult measurePages(TestBed testBed, Target node) throws InterruptedException {
        return LoadGenerator.measure(testBed.loops, node.address, PAGE_CONNECTION_COUNT, warmUpS, measuredS, false, 0);
    }

    private void sendOrders(TestBed testBed, Target node) {
        try {
            LoadGenerator.measure(
                    testBed.loops,
                    node.address,
                    ORDER_CONNECTION_COUNT,
                    0,
                    warmUpS + measuredS,
                    true,
                    ORDER_RATE_PER_S);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double median(List<LoadResult> results, ToDoubleFunction<LoadResult> figure) {
        return median(results.stream().mapToDouble(figure).toArray());
    }

    private static String formatRatios(List<LoadResult> results, List<LoadResult> baseline) {
        double[] ratios = new double[results.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = results.get(i).requestsPerS() / baseline.get(i).requestsPerS();
        }
        Arrays.sort(ratios);
        return String.format(
                Locale.ROOT, "%14.3f (%.3f to %.3f)", median(ratios), ratios[0], ratios[ratios.length - 1]);
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
