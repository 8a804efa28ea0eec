package kitemux.bench;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import kitemux.standin.BoxServer;

/**
 * What a node costs under load, on loopback: the same requests straight to a box, through a relay of bytes
 * and through nodes of one or more builds, in turn, so that the machine's moods meet all of them.
 */
public final class LoadBench {
    private static final int BOXES = 4;
    private static final int ANSWER_BYTES = 200;
    private static final Pattern RUN = Pattern.compile("^run = \"exec java (.*) -jar ", Pattern.MULTILINE);

    private final List<Path> jars;
    private final int[] connections;
    private final double warmS;
    private final double seconds;
    private final int rounds;
    private final String pin;
    private final PrintStream out;

    /**
     * A run.
     *
     * @param jars builds to compare; the first is what the others are held against
     * @param warmS seconds that do not count before each measurement
     * @param seconds length of each measurement
     * @param rounds how often each is measured
     * @param pin the processor that nodes and the relay run on, as taskset names it; empty for any
     */
    public LoadBench(List<Path> jars, int[] connections, double warmS, double seconds, int rounds, String pin,
            PrintStream out) {
        this.jars = jars;
        this.connections = connections;
        this.warmS = warmS;
        this.seconds = seconds;
        this.rounds = rounds;
        this.pin = pin;
        this.out = out;
    }

    /** Something to ask, and the process behind it, or null. */
    private record Target(String name, InetSocketAddress address, Process process) { }

    /** Measures and prints a table; ends all that it started. */
    public void run() throws IOException, InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
        Path folder = Files.createTempDirectory("kitemux-bench");
        List<Target> targets = new ArrayList<>();
        List<BoxServer> boxes = new ArrayList<>();
        try {
            for (int i = 0; i < BOXES; i++) {
                boxes.add(BoxServer.start(loops, ANSWER_BYTES));
            }
            targets.add(new Target("box", boxes.get(0).address(), null));
            targets.add(relay(boxes.get(0).address()));
            for (Path jar : jars) {
                targets.add(node(jar, boxes, folder));
            }
            out.printf(Locale.ROOT,
                    "%d boxes, %d rounds of %.0f s after %.0f s, %s, Java %s, %d processors%n", BOXES,
                    rounds, seconds, warmS, pin.isEmpty() ? "not pinned" : "pinned to " + pin,
                    System.getProperty("java.version"), Runtime.getRuntime().availableProcessors());
            for (int n : connections) {
                measure(loops, targets, n);
            }
        } finally {
            for (Target target : targets) {
                if (target.process != null) {
                    target.process.destroyForcibly().waitFor();
                }
            }
            boxes.forEach(BoxServer::close);
            loops.shutdownGracefully();
            for (File left : folder.toFile().listFiles()) {
                Files.delete(left.toPath());
            }
            Files.delete(folder);
        }
    }

    private void measure(EventLoopGroup loops, List<Target> targets, int n) throws InterruptedException {
        Map<Target, List<Load.Figures>> figures = new LinkedHashMap<>();
        targets.forEach(t -> figures.put(t, new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            for (Target target : targets) {
                figures.get(target).add(Load.run(loops, target.address, n, warmS, seconds));
            }
        }
        out.printf("%n%d connections%n%-28s %9s %17s %9s %9s %7s %14s%n", n, "", "requests", "", "", "", "",
                "pair by pair");
        out.printf("%-28s %9s %17s %9s %9s %7s %14s%n", "through", "a second", "least to most", "p50 us",
                "p99 us",
                "failed", "with the first");
        Target first = targets.size() > 2 ? targets.get(2) : null;
        figures.forEach((target, all) -> {
            double[] perS = all.stream().mapToDouble(Load.Figures::perS).sorted().toArray();
            out.printf(Locale.ROOT, "%-28s %9.0f %8.0f %8.0f %9.1f %9.1f %7d %s%n", target.name,
                    median(perS), perS[0],
                    perS[perS.length - 1], median(all.stream().mapToDouble(Load.Figures::p50Us).toArray()),
                    median(all.stream().mapToDouble(Load.Figures::p99Us).toArray()),
                    all.stream().mapToInt(Load.Figures::failed).sum(),
                    first == null || target == first || !target.name.startsWith("node") ? ""
                            : ratio(all, figures.get(first)));
        });
    }

    private static String ratio(List<Load.Figures> these, List<Load.Figures> those) {
        double[] ratios = new double[these.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = these.get(i).perS() / those.get(i).perS();
        }
        Arrays.sort(ratios);
        return String.format(Locale.ROOT, "%14.3f (%.3f to %.3f)", median(ratios), ratios[0],
                ratios[ratios.length - 1]);
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    // ---------------------------------------------------------------- processes

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private List<String> java(Path jar) throws IOException {
        List<String> command = new ArrayList<>();
        if (!pin.isEmpty()) {
            command.addAll(List.of("taskset", "-c", pin));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Path deploy = Path.of("deploy", "balancer.toml");
        Matcher run = RUN.matcher(Files.exists(deploy) ? Files.readString(deploy) : "");
        if (run.find()) {
            for (String flag : run.group(1).split(" ")) {
                if (!flag.startsWith("-XX:SharedArchiveFile")) {
                    command.add(flag);
                }
            }
            command.add("-XX:SharedArchiveFile=" + jar.resolveSibling("kitemux.jsa"));
        }
        command.addAll(List.of("-jar", jar.toString()));
        return command;
    }

    private Target relay(InetSocketAddress box) throws IOException {
        InetSocketAddress listen = freeAddress();
        List<String> command =
                java(Path.of(LoadBench.class.getProtectionDomain().getCodeSource().getLocation()
                .getPath()));
        command.addAll(List.of("bench", "--as-relay", text(listen), text(box)));
        return new Target("a relay of bytes", listen, started(new ProcessBuilder(command), "relaying"));
    }

    private Target node(Path jar, List<BoxServer> boxes, Path folder) throws IOException {
        InetSocketAddress listen = freeAddress();
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < boxes.size(); i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"b").append(i).append("\",\"endpoint\":\"")
                    .append(text(boxes.get(i).address()))
                    .append("\",\"az\":\"z\",\"pod_group\":0,\"state\":\"Ready\",\"boot_ms\":0}");
        }
        Path config = Files.createTempFile(folder, "node", ".json");
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"" + text(listen)
                + "\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                + "\"known\":{\"rev\":1,"
                + "\"all\":true,\"targets\":[" + targets
                        + "]},\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\","
                + "\"membershipMode\":\"pushed\",\"limits\":{\"attemptsCap\":4,\"cancelling\":true},"
                + "\"classes\":[{\"name\":\"page\",\"onTimeUs\":500000,\"giveUpUs\":1000000,"
                + "\"repeat\":\"safe\"}]}}");
        List<String> command = java(jar);
        command.add("node");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        String name = "node " + (jar.getNameCount() > 1 ? jar.subpath(jar.getNameCount() - 2,
                jar.getNameCount())
                : jar);
        return new Target(name, listen, started(builder, "listening"));
    }

    private static Process started(ProcessBuilder builder, String said) throws IOException {
        Process process = builder.redirectErrorStream(true).start();
        BufferedReader lines = process.inputReader();
        StringBuilder all = new StringBuilder();
        String line;
        while ((line = lines.readLine()) != null) {
            all.append(line).append('\n');
            if (line.contains(said)) {
                Thread drain = new Thread(() -> lines.lines().forEach(l -> { }), "drain");
                drain.setDaemon(true);
                drain.start();
                return process;
            }
        }
        throw new IOException("a process did not start: " + all);
    }
}
