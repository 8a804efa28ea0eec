package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Plays the lives of a node's processes on loopback, one change after another, with clients that use their
 * open connections up to SIGKILL and servers that hang, and judges what was seen.
 */
public final class Soak {
    private static final int SERVER_COUNT = 3;
    private static final int CLIENT_COUNT = 40;
    private static final long SETTLE_MS = 300;
    private static final long LATENESS_TICK_MS = 5;
    /** A player that was later than this with its own waits may not be relied on. */
    private static final long MAX_LATENESS_MS = 100;

    private static final long START_UNIX_US = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private static final long START_NANOS = System.nanoTime();

    /** Makes the command that starts a node, anew for each start. */
    public interface Launcher {
        /** The command, with no environment of the play's yet. */
        ProcessBuilder newNodeProcess() throws IOException;
    }

    private final Launcher launcher;
    private final boolean traced;
    private final Plan plan;
    private final Path folder;
    private final Queue<Request> requests = new ConcurrentLinkedQueue<>();
    private final Queue<SoakServer.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final List<SoakServer> servers = new ArrayList<>();
    private final List<SoakVerifier.UnannouncedKill> unannouncedKills = new ArrayList<>();
    private final List<SocketChannel> portHolders = new ArrayList<>();
    private final ClientGate gate = new ClientGate();
    private final AtomicLong maxLatenessMs = new AtomicLong();
    private int clientPort;
    private int sigkills;

    /**
     * What came of a seed.
     *
     * @param seed of the play
     * @param deadlineMs the longest deadline that it drew
     * @param requests how many were sent
     * @param sigkills processes that met SIGKILL after SIGTERM
     * @param unreadRequests requests whose connection ended before they were read
     * @param maxLatenessMs how late the player itself was, at most
     * @param violations a line for each rule that was broken, with the request's time-line
     */
    public record Result(
            long seed,
            long deadlineMs,
            int requests,
            int sigkills,
            long unreadRequests,
            long maxLatenessMs,
            List<String> violations) {
        /** Whether the player kept its own time, so that what it found can be relied on. */
        public boolean isOnSchedule() {
            return maxLatenessMs <= MAX_LATENESS_MS;
        }
    }

    private Soak(Launcher launcher, boolean traced, Plan plan, Path folder) {
        this.launcher = launcher;
        this.traced = traced;
        this.plan = plan;
        this.folder = folder;
    }

    /**
     * Plays one seed; leaves nothing running.
     *
     * @param launcher the command that starts a node, made anew for each start
     * @param traced whether the node knows the operator's section {@code trace}
     * @param upgradesOnly whether all changes are upgrades, or all kinds are drawn
     * @param changes of processes, one after another
     * @param folder for what the processes need; not cleared
     */
    public static Result run(
            Launcher launcher, boolean traced, long seed, boolean upgradesOnly, int changes, Path folder)
            throws IOException, InterruptedException {
        List<Plan.Kind> kinds = upgradesOnly ? List.of(Plan.Kind.UPGRADE) : List.of(Plan.Kind.values());
        return new Soak(launcher, traced, Plan.draw(seed, kinds, changes, SERVER_COUNT), folder).run();
    }

    /** Unix time in microseconds that never goes back. */
    static long nowUs() {
        return START_UNIX_US + (System.nanoTime() - START_NANOS) / 1_000;
    }

    static void startDaemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private Result run() throws IOException, InterruptedException {
        clientPort = reservePort();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new SoakServer(arrivals));
        }
        List<Thread> clients = new ArrayList<>();
        SoakNode node = start();
        try {
            node.awaitReady();
            startDaemon("soak lateness", this::measureLateness);
            SplittableRandom random = new SplittableRandom(plan.seed());
            for (int i = 0; i < CLIENT_COUNT; i++) {
                Thread client = new Thread(
                        new SoakClient(
                                "c" + i, i % 4 != 0, clientPort, plan.deadlineMs(), gate, requests, random.split()),
                        "soak client " + i);
                clients.add(client);
                client.start();
            }
            for (Plan.Step step : plan.steps()) {
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                node = applyStep(node, step);
                servers.forEach(server -> server.setHanging(false));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        } finally {
            gate.close();
            for (Thread client : clients) {
                client.join();
            }
            node.close();
            servers.forEach(SoakServer::close);
            for (SocketChannel holder : portHolders) {
                holder.close();
            }
        }
        return buildResult();
    }

    private Result buildResult() throws IOException {
        List<SoakVerifier.Violation> violations =
                SoakVerifier.verify(requests, arrivals, readTraces(), unannouncedKills);
        List<String> lines = new ArrayList<>();
        for (SoakVerifier.Violation violation : violations) {
            lines.add(violation.rule() + ": " + violation.request());
            violation.timeline().forEach(line -> lines.add("    " + line));
        }
        return new Result(
                plan.seed(),
                plan.deadlineMs(),
                requests.size(),
                sigkills,
                SoakVerifier.countUnreadRequests(requests, violations),
                maxLatenessMs.get(),
                lines);
    }

    private List<String> readTraces() throws IOException {
        List<String> lines = new ArrayList<>();
        Path traces = folder.resolve("traces");
        if (Files.isDirectory(traces)) {
            try (Stream<Path> files = Files.list(traces)) {
                for (Path file : files.toList()) {
                    lines.addAll(Files.readAllLines(file));
                }
            }
        }
        return lines;
    }

    private void measureLateness() {
        long dueNanos = System.nanoTime();
        while (true) {
            dueNanos += TimeUnit.MILLISECONDS.toNanos(LATENESS_TICK_MS);
            LockSupport.parkNanos(dueNanos - System.nanoTime());
            long latenessMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos);
            maxLatenessMs.accumulateAndGet(latenessMs, Math::max);
            dueNanos = Math.max(dueNanos, System.nanoTime());
        }
    }

    /** A port that stays free for the processes of the node. */
    private int reservePort() throws IOException {
        SocketChannel holder = SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        portHolders.add(holder);
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private SoakNode start() throws IOException {
        return SoakNode.start(
                launcher.newNodeProcess(), folder, clientPort, reservePort(), plan.deadlineMs(), servers, traced);
    }

    // ---------------------------------------------------------------- changes of processes

    private SoakNode applyStep(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        return switch (step.kind()) {
            case UPGRADE -> upgrade(current, step);
            case RESTART -> restart(current, step);
            case KILL -> kill(current);
            case TERM_IN_START -> termInStart(current, step);
        };
    }

    private SoakNode upgrade(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        SoakNode successor = start();
        successor.awaitReady();
        terminate(current, step);
        return successor;
    }

    private SoakNode restart(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        terminate(current, step);
        return startAndAwaitReady();
    }

    private SoakNode kill(SoakNode current) throws IOException, InterruptedException {
        unannouncedKills.add(new SoakVerifier.UnannouncedKill(nowUs()));
        current.sendSignal("KILL");
        unannouncedKills.add(new SoakVerifier.UnannouncedKill(nowUs()));
        current.close();
        return startAndAwaitReady();
    }

    private SoakNode termInStart(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        SoakNode successor = start();
        TimeUnit.MILLISECONDS.sleep(step.termAfterMs());
        terminate(successor, step);
        return current;
    }

    private SoakNode startAndAwaitReady() throws IOException, InterruptedException {
        SoakNode successor = start();
        successor.awaitReady();
        return successor;
    }

    /** SIGTERM with what comes beside it, and SIGKILL at the earliest that the platform allows. */
    private void terminate(SoakNode node, Plan.Step step) throws IOException, InterruptedException {
        for (int i = 0; i < step.hangingServerCount(); i++) {
            servers.get(i).setHanging(true);
        }
        for (int i = 0; i < step.sighupCount(); i++) {
            node.sendSignal("HUP");
        }
        gate.setHolding(step.burstAfterMs() >= 0);
        node.sendSignal("TERM");
        long termNanos = System.nanoTime();
        long killMs = Math.min(plan.deadlineMs(), SoakNode.MAX_DEADLINE_MS) + SoakNode.KILL_AFTER_DEADLINE_MS;
        if (step.sendsTermTwice()) {
            node.sendSignal("TERM");
        }
        for (int i = 0; i < step.sighupCount(); i++) {
            node.sendSignal("HUP");
        }
        if (step.burstAfterMs() >= 0) {
            waitUntil(termNanos, step.burstAfterMs());
            gate.setHolding(false);
        }
        if (!node.awaitExit(killMs - sinceMs(termNanos))) {
            sigkills++;
            node.sendSignal("KILL");
        }
        node.close();
    }

    private static long sinceMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void waitUntil(long fromNanos, long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, ms - sinceMs(fromNanos)));
    }
}
