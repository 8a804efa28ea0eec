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
import kitemux.standin.FixedResponseServer;

/**
 * What a node costs under load, on loopback: the same requests straight to a box, through a relay of bytes
 * and through nodes of one or more builds, in turn, so that the machine's moods meet all of them.
 */
public final class LoadBench {
    private static final int BOXES = 4;
    private static final int ANSWER_BYTES = 200;

    /** Connections of those who ask for pages, and of the flood beside them. */
    private static final int PAGES = 4;

    private static final int FLOOD = 16;
    /** Orders a second of that flood: more than twice what the busiest hour has been, and no full load, in
     * which pages wait for the processor and not for the journal. */
    private static final double FLOOD_PER_S = 500;
    /** Of an order's entries up to its being sent. */
    private static final int ORDER_BYTES = 200;

    private final List<Path> jars;
    private final int[] connections;
    private final double warmS;
    private final double seconds;
    private final int rounds;
    private final String pin;
    private final boolean orders;
    private final Processes processes;
    private final PrintStream out;

    /**
     * A run.
     *
     * @param jars builds to compare; the first is what the others are held against
     * @param warmS seconds that do not count before each measurement
     * @param seconds length of each measurement
     * @param rounds how often each is measured
     * @param pin the processor that nodes and the relay run on, as taskset names it; empty for any
     * @param orders whether orders are placed, at the first build with no journal and with each way to sync
     *     one, in place of pages that are asked for at all builds
     */
    public LoadBench(
            List<Path> jars,
            int[] connections,
            double warmS,
            double seconds,
            int rounds,
            String pin,
            boolean orders,
            PrintStream out) {
        this.orders = orders;
        this.jars = jars;
        this.connections = connections;
        this.warmS = warmS;
        this.seconds = seconds;
        this.rounds = rounds;
        this.pin = pin;
        processes = new Processes(pin);
        this.out = out;
    }

    /** Something to ask, and the process behind it, or null. */
    private record Target(String name, InetSocketAddress address, Process process) {}

    /** Measures and prints a table; ends all that it started. */
    public void run() throws IOException, InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
        Path folder = Files.createTempDirectory("kitemux-bench");
        List<Target> targets = new ArrayList<>();
        List<FixedResponseServer> boxes = new ArrayList<>();
        List<HeldAddress> held = new ArrayList<>();
        try {
            for (int i = 0; i < BOXES; i++) {
                boxes.add(FixedResponseServer.start(loops, ANSWER_BYTES));
            }
            targets.add(new Target("box", boxes.get(0).address(), null));
            InetSocketAddress relay = hold(held);
            targets.add(new Target(
                    "a relay of bytes",
                    relay,
                    processes.relay(relay, boxes.get(0).address())));
            for (Path jar : orders ? jars.subList(0, 1) : jars) {
                InetSocketAddress listen = hold(held);
                targets.add(
                        new Target("node " + Processes.name(jar), listen, processes.node(jar, listen, boxes, folder)));
            }
            for (String sync : orders ? List.of("each", "timed", "never") : List.<String>of()) {
                InetSocketAddress listen = hold(held);
                targets.add(new Target(
                        "node, journal synced " + sync,
                        listen,
                        processes.journaling(jars.get(0), listen, boxes, folder, sync)));
            }
            if (orders) {
                printSyncs(folder);
            }
            out.printf(
                    Locale.ROOT,
                    "%d boxes, %d rounds of %.0f s after %.0f s, %s, Java %s, %d processors%n",
                    BOXES,
                    rounds,
                    seconds,
                    warmS,
                    pin.isEmpty() ? "not pinned" : "pinned to " + pin,
                    System.getProperty("java.version"),
                    Runtime.getRuntime().availableProcessors());
            for (int n : connections) {
                measure(loops, targets, n);
            }
            if (orders) {
                measurePages(loops, targets.subList(2, targets.size()));
            }
        } finally {
            for (Target target : targets) {
                if (target.process != null) {
                    target.process.destroyForcibly().waitFor();
                }
            }
            for (HeldAddress each : held) {
                each.close();
            }
            boxes.forEach(FixedResponseServer::close);
            loops.shutdownGracefully();
            Processes.deleteAll(folder);
        }
    }

    private static InetSocketAddress hold(List<HeldAddress> held) throws IOException {
        HeldAddress one = new HeldAddress();
        held.add(one);
        return one.address();
    }

    /** What the disk does by itself, with as many bytes as an order's two commits have. */
    private void printSyncs(Path folder) throws IOException {
        Path file = folder.resolve("syncs");
        long[] took = new long[1 << 20];
        int count = 0;
        long until = System.nanoTime() + (long) (seconds * 1e9);
        try (FileChannel bare = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            for (long now = System.nanoTime(); now < until && count < took.length; count++) {
                bare.write(ByteBuffer.allocate(ORDER_BYTES));
                bare.force(false);
                long after = System.nanoTime();
                took[count] = after - now;
                now = after;
            }
        }
        long[] sorted = Arrays.copyOf(took, count);
        Arrays.sort(sorted);
        out.printf(
                Locale.ROOT,
                "bare fdatasync of %d bytes: %.0f a second, p50 %.1f us, p99 %.1f us%n",
                ORDER_BYTES,
                count / seconds,
                Load.at(sorted, 0.5),
                Load.at(sorted, 0.99));
    }

    private void measure(EventLoopGroup loops, List<Target> targets, int n) throws InterruptedException {
        Map<Target, List<Load.Figures>> figures = new LinkedHashMap<>();
        targets.forEach(t -> figures.put(t, new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            for (Target target : targets) {
                figures.get(target).add(Load.run(loops, target.address, n, warmS, seconds, orders, 0));
            }
        }
        out.printf(
                "%n%d connections%n%-28s %9s %17s %9s %9s %7s %14s%n",
                n, "", "requests", "", "", "", "", "pair by pair");
        out.printf(
                "%-28s %9s %17s %9s %9s %7s %14s%n",
                "through", "a second", "least to most", "p50 us", "p99 us", "failed", "with the first");
        Target first = targets.size() > 2 ? targets.get(2) : null;
        figures.forEach((target, all) -> {
            double[] perS =
                    all.stream().mapToDouble(Load.Figures::perS).sorted().toArray();
            out.printf(
                    Locale.ROOT,
                    "%-28s %9.0f %8.0f %8.0f %9.1f %9.1f %7d %s%n",
                    target.name,
                    median(perS),
                    perS[0],
                    perS[perS.length - 1],
                    median(all, Load.Figures::p50Us),
                    median(all, Load.Figures::p99Us),
                    all.stream().mapToInt(Load.Figures::failed).sum(),
                    first == null || target == first || !target.name.startsWith("node")
                            ? ""
                            : ratio(all, figures.get(first)));
        });
    }

    /** Pages that a few clients ask for, by themselves and beside a flood of orders. */
    private void measurePages(EventLoopGroup loops, List<Target> nodes) throws InterruptedException {
        out.printf(
                "%npages on %d connections%n%-28s %24s %30s%n%-28s %11s %12s %17s %12s%n",
                PAGES,
                "",
                "by themselves",
                String.format(Locale.ROOT, "beside %.0f orders a second", FLOOD_PER_S),
                "through",
                "p50 us",
                "p99 us",
                "p50 us",
                "p99 us");
        Map<Target, List<Load.Figures>> alone = new LinkedHashMap<>();
        Map<Target, List<Load.Figures>> beside = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Target node : nodes) {
                alone.computeIfAbsent(node, t -> new ArrayList<>())
                        .add(Load.run(loops, node.address, PAGES, warmS, seconds, false, 0));
                Thread flood = new Thread(() -> flood(loops, node), "flood");
                flood.start();
                beside.computeIfAbsent(node, t -> new ArrayList<>())
                        .add(Load.run(loops, node.address, PAGES, warmS, seconds, false, 0));
                flood.join();
            }
        }
        alone.forEach((node, figures) -> out.printf(
                Locale.ROOT,
                "%-28s %11.1f %12.1f %17.1f %12.1f%n",
                node.name,
                median(figures, Load.Figures::p50Us),
                median(figures, Load.Figures::p99Us),
                median(beside.get(node), Load.Figures::p50Us),
                median(beside.get(node), Load.Figures::p99Us)));
    }

    private void flood(EventLoopGroup loops, Target node) {
        try {
            Load.run(loops, node.address, FLOOD, 0, warmS + seconds, true, FLOOD_PER_S);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double median(List<Load.Figures> figures, ToDoubleFunction<Load.Figures> of) {
        return median(figures.stream().mapToDouble(of).toArray());
    }

    private static String ratio(List<Load.Figures> these, List<Load.Figures> those) {
        double[] ratios = new double[these.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = these.get(i).perS() / those.get(i).perS();
        }
        Arrays.sort(ratios);
        return String.format(
                Locale.ROOT, "%14.3f (%.3f to %.3f)", median(ratios), ratios[0], ratios[ratios.length - 1]);
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }
}
