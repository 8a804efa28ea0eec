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
import kitemux.config.ClassArchive;
import kitemux.standin.FixedResponseServer;

/**
 * What a start costs: processor and wall time until {@code /up} says 200, and how the first requests after
 * it fare. Builds are started in turn. With half a core, another process that never rests has the same
 * processor.
 */
public final class StartBench {
    private static final int BOXES = 4;
    private static final int FIRST_REQUESTS = 500;
    private static final int CONNECTIONS = 16;
    private static final double IN_TIME_US = 100_000;
    private static final double TICKS_PER_S = 100;

    private final List<Path> jars;
    private final int starts;
    private final String pin;
    private final boolean half;
    private final PrintStream out;
    /** The archives that builds were told of and did not use. */
    private final Set<Path> slowed = new LinkedHashSet<>();

    /**
     * A run.
     *
     * @param jars builds to compare; the first is what the others are held against
     * @param starts how often each is started
     * @param pin the processor that nodes run on, as taskset names it; empty for any
     * @param half whether another process takes its half of that processor
     */
    public StartBench(List<Path> jars, int starts, String pin, boolean half, PrintStream out) {
        this.jars = jars;
        this.starts = starts;
        this.pin = pin;
        this.half = half;
        this.out = out;
    }

    /** One start. */
    private record Start(double cpuS, double wallS, double inTime, double p50Us, double p99Us) {}
    /** Measures and prints a table; ends all that it started. */
    public void run() throws IOException, InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
        Path folder = Files.createTempDirectory("kitemux-starts");
        Processes processes = new Processes(pin);
        List<FixedResponseServer> boxes = new ArrayList<>();
        Process busy = null;
        try {
            for (int i = 0; i < BOXES; i++) {
                boxes.add(FixedResponseServer.start(loops, 200));
            }
            if (half) {
                List<String> command = new ArrayList<>(processes.pinned());
                command.addAll(List.of("sh", "-c", "while :; do :; done"));
                busy = new ProcessBuilder(command).start();
            }
            Map<Path, List<Start>> all = new LinkedHashMap<>();
            jars.forEach(jar -> all.put(jar, new ArrayList<>()));
            for (int i = 0; i < starts; i++) {
                for (Path jar : jars) {
                    all.get(jar).add(start(processes, jar, boxes, folder, loops));
                }
            }
            print(all);
        } finally {
            if (busy != null) {
                busy.destroyForcibly().waitFor();
            }
            boxes.forEach(FixedResponseServer::close);
            loops.shutdownGracefully();
            Processes.deleteAll(folder);
        }
    }

    private Start start(
            Processes processes, Path jar, List<FixedResponseServer> boxes, Path folder, EventLoopGroup loops)
            throws IOException, InterruptedException {
        try (HeldAddress held = new HeldAddress()) {
            return start(processes, jar, held.address(), boxes, folder, loops);
        }
    }

    private Start start(
            Processes processes,
            Path jar,
            InetSocketAddress listen,
            List<FixedResponseServer> boxes,
            Path folder,
            EventLoopGroup loops)
            throws IOException, InterruptedException {
        ProcessBuilder builder = processes
                .nodeBuilder(jar, listen, boxes, folder)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        long began = System.nanoTime();
        Process process = builder.start();
        try {
            while (!isUp(listen)) {
                if (!process.isAlive() || System.nanoTime() - began > 60_000_000_000L) {
                    throw new IOException("a node of " + jar + " did not come up");
                }
                TimeUnit.MILLISECONDS.sleep(1);
            }
            double wallS = (System.nanoTime() - began) / 1e9;
            double cpuS = cpuS(process.pid());
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            ClassArchive.findUnused(proc).ifPresent(slowed::add);
            long[] first = Load.first(loops, listen, CONNECTIONS, FIRST_REQUESTS);
            long inTime = Arrays.stream(first)
                    .filter(nanos -> nanos <= IN_TIME_US * 1e3)
                    .count();
            return new Start(cpuS, wallS, (double) inTime / FIRST_REQUESTS, Load.at(first, 0.5), Load.at(first, 0.99));
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

    /** User and system time of a process so far, as proc(5) counts it. */
    private static double cpuS(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S;
    }

    private void print(Map<Path, List<Start>> all) {
        slowed.forEach(archive -> out.println("not in use, so that its build is held back: " + archive));
        out.printf(
                "%d starts of each in turn, %s, %s; median and worst%n",
                starts, pin.isEmpty() ? "not pinned" : "pinned to " + pin, half ? "half a core" : "the core alone");
        out.printf(
                "%-28s %15s %15s %15s %19s %19s %s%n",
                "", "CPU s", "wall s", "in time", "p50 us", "p99 us", "CPU, pair by pair");
        List<Start> first = all.values().iterator().next();
        all.forEach((jar, list) -> {
            double[] ratios = new double[list.size()];
            for (int i = 0; i < ratios.length; i++) {
                ratios[i] = list.get(i).cpuS / first.get(i).cpuS;
            }
            Arrays.sort(ratios);
            out.printf(
                    Locale.ROOT,
                    "%-28s %7.2f %7.2f %7.2f %7.2f %7.3f %7.3f %9.0f %9.0f %9.0f %9.0f %s%n",
                    Processes.name(jar),
                    median(list, Start::cpuS),
                    most(list, Start::cpuS),
                    median(list, Start::wallS),
                    most(list, Start::wallS),
                    median(list, Start::inTime),
                    -most(list, s -> -s.inTime()),
                    median(list, Start::p50Us),
                    most(list, Start::p50Us),
                    median(list, Start::p99Us),
                    most(list, Start::p99Us),
                    list == first
                            ? ""
                            : String.format(
                                    Locale.ROOT,
                                    "%.3f (%.3f to %.3f)",
                                    LoadBench.median(ratios),
                                    ratios[0],
                                    ratios[ratios.length - 1]));
        });
    }

    private static double median(List<Start> starts, java.util.function.ToDoubleFunction<Start> of) {
        return LoadBench.median(starts.stream().mapToDouble(of).toArray());
    }

    private static double most(List<Start> starts, java.util.function.ToDoubleFunction<Start> of) {
        return starts.stream().mapToDouble(of).max().orElse(0);
    }
}
