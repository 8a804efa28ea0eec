package kitemux.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import kitemux.config.ClassArchive;
import kitemux.standin.FixedResponseServer;

/**
 * Measures starts of nodes: processor and wall time until {@code /up} answers 200, and the latency of the first requests
 * after it. Builds are started in turn. For half a core, a process in a busy loop runs on the same processor.
 */
public final class StartBench {
    private static final int LOOP_COUNT = 3;
    private static final int SERVER_COUNT = 4;
    private static final int RESPONSE_BYTES = 200;
    private static final int FIRST_REQUEST_COUNT = 500;
    private static final int CONNECTION_COUNT = 16;
    private static final double MAX_TIMELY_LATENCY_US = 100_000;
    /** Unit of the times in /proc/PID/stat. */
    private static final double TICKS_PER_S = 100;

    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final List<Path> jars;
    private final int startCount;
    private final String cpu;
    private final boolean halfCore;
    private final PrintStream out;
    /** The class archives that builds are configured with and did not use. */
    private final Set<Path> unusedArchives = new LinkedHashSet<>();

    /**
     * Creates a benchmark.
     *
     * @param jars builds to compare with the first
     * @param startCount number of starts of each build
     * @param cpu processor of the nodes, in taskset's notation; empty for any
     * @param halfCore whether another process uses half of that processor
     */
    public StartBench(List<Path> jars, int startCount, String cpu, boolean halfCore, PrintStream out) {
        this.jars = jars;
        this.startCount = startCount;
        this.cpu = cpu;
        this.halfCore = halfCore;
        this.out = out;
    }

    /** The figures of one start. */
    private record Start(double cpuS, double wallS, double timelyRatio, double p50Us, double p99Us) {}

    /** Measures, prints a table, and ends everything that it started. */
    public void run() throws IOException, InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOP_COUNT, NioIoHandler.newFactory());
        Path folder = Files.createTempDirectory("kitemux-starts");
        ProcessStarter starter = new ProcessStarter(cpu);
        List<FixedResponseServer> servers = new ArrayList<>();
        Process busyLoop = null;
        try {
            for (int i = 0; i < SERVER_COUNT; i++) {
                servers.add(FixedResponseServer.start(loops, RESPONSE_BYTES));
            }
            if (halfCore) {
                List<String> command = new ArrayList<>(starter.affinityPrefix());
                command.addAll(List.of("sh", "-c", "while :; do :; done"));
                busyLoop = new ProcessBuilder(command).start();
            }
            Map<Path, List<Start>> starts = new LinkedHashMap<>();
            jars.forEach(jar -> starts.put(jar, new ArrayList<>()));
            for (int i = 0; i < startCount; i++) {
                for (Path jar : jars) {
                    starts.get(jar).add(start(starter, jar, servers, folder, loops));
                }
            }
            print(starts);
        } finally {
            if (busyLoop != null) {
                busyLoop.destroyForcibly().waitFor();
            }
            servers.forEach(FixedResponseServer::close);
            loops.shutdownGracefully();
            ProcessStarter.deleteRecursively(folder);
        }
    }

    private Start start(
            ProcessStarter starter, Path jar, List<FixedResponseServer> servers, Path folder, EventLoopGroup loops)
            throws IOException, InterruptedException {
        try (ReservedAddress reserved = new ReservedAddress()) {
            return start(starter, jar, reserved.address(), servers, folder, loops);
        }
    }

    private Start start(
            ProcessStarter starter,
            Path jar,
            InetSocketAddress listen,
            List<FixedResponseServer> servers,
            Path folder,
            EventLoopGroup loops)
            throws IOException, InterruptedException {
        ProcessBuilder builder = starter.nodeBuilder(jar, listen, servers, folder)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        long startNanos = System.nanoTime();
        Process process = builder.start();
        try {
            while (!isUp(listen)) {
                if (!process.isAlive() || System.nanoTime() - startNanos > START_TIMEOUT_NANOS) {
                    throw new IOException("a node of " + jar + " did not come up");
                }
                TimeUnit.MILLISECONDS.sleep(1);
            }
            double wallS = (System.nanoTime() - startNanos) / 1e9;
            double cpuS = cpuS(process.pid());
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            ClassArchive.findUnused(proc).ifPresent(unusedArchives::add);
            long[] latenciesNanos = LoadGenerator.measureFirst(loops, listen, CONNECTION_COUNT, FIRST_REQUEST_COUNT);
            long timelyCount = Arrays.stream(latenciesNanos)
                    .filter(nanos -> nanos <= MAX_TIMELY_LATENCY_US * 1e3)
                    .count();
            return new Start(
                    cpuS,
                    wallS,
                    (double) timelyCount / FIRST_REQUEST_COUNT,
                    LoadGenerator.quantileUs(latenciesNanos, 0.5),
                    LoadGenerator.quantileUs(latenciesNanos, 0.99));
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static boolean isUp(InetSocketAddress listen) {
        try (Socket socket = new Socket(listen.getAddress(), listen.getPort())) {
            socket.getOutputStream()
                    .write("GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the user and system time that a process has used, in seconds. */
    private static double cpuS(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S;
    }

    private void print(Map<Path, List<Start>> starts) {
        unusedArchives.forEach(archive -> out.println("not in use, so that its build is held back: " + archive));
        out.printf(
                "%d starts of each in turn, %s, %s; median and worst%n",
                startCount,
                cpu.isEmpty() ? "not pinned" : "pinned to " + cpu,
                halfCore ? "half a core" : "the core alone");
        out.printf(
                "%-28s %15s %15s %15s %19s %19s %s%n",
                "", "CPU s", "wall s", "in time", "p50 us", "p99 us", "CPU, pair by pair");
        List<Start> baseline = starts.values().iterator().next();
        starts.forEach((jar, ofBuild) -> {
            double[] ratios = new double[ofBuild.size()];
            for (int i = 0; i < ratios.length; i++) {
                ratios[i] = ofBuild.get(i).cpuS / baseline.get(i).cpuS;
            }
            Arrays.sort(ratios);
            out.printf(
                    Locale.ROOT,
                    "%-28s %7.2f %7.2f %7.2f %7.2f %7.3f %7.3f %9.0f %9.0f %9.0f %9.0f %s%n",
                    ProcessStarter.buildName(jar),
                    median(ofBuild, Start::cpuS),
                    max(ofBuild, Start::cpuS),
                    median(ofBuild, Start::wallS),
                    max(ofBuild, Start::wallS),
                    median(ofBuild, Start::timelyRatio),
                    -max(ofBuild, s -> -s.timelyRatio()),
                    median(ofBuild, Start::p50Us),
                    max(ofBuild, Start::p50Us),
                    median(ofBuild, Start::p99Us),
                    max(ofBuild, Start::p99Us),
                    ofBuild == baseline
                            ? ""
                            : String.format(
                                    Locale.ROOT,
                                    "%.3f (%.3f to %.3f)",
                                    LoadBench.median(ratios),
                                    ratios[0],
                                    ratios[ratios.length - 1]));
        });
    }

    private static double median(List<Start> starts, ToDoubleFunction<Start> figure) {
        return LoadBench.median(starts.stream().mapToDouble(figure).toArray());
    }

    private static double max(List<Start> starts, ToDoubleFunction<Start> figure) {
        return starts.stream().mapToDouble(figure).max().orElse(0);
    }
}
