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
    private static final int SERVERS = 3;
    private static final int CLIENTS = 40;
    private static final long SETTLE_MS = 300;
    private static final long LATE_TICK_MS = 5;
    /** A player that was later than this with its own waits may not be relied on. */
    private static final long MOST_LATE_MS = 100;

    private static final long ORIGIN_US = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private static final long ORIGIN_NANOS = System.nanoTime();

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
    private final List<SoakVerifier.UnannouncedKill> killed = new ArrayList<>();
    private final List<SocketChannel> holders = new ArrayList<>();
    private final ClientGate crowd = new ClientGate();
    private final AtomicLong lateMs = new AtomicLong();
    private int clientsPort;
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
            return maxLatenessMs <= MOST_LATE_MS;
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
        return new Soak(launcher, traced, Plan.of(seed, kinds, changes, SERVERS), folder).run();
    }

    /** Unix time in microseconds that never goes back. */
    static long nowUs() {
        return ORIGIN_US + (System.nanoTime() - ORIGIN_NANOS) / 1_000;
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private Result run() throws IOException, InterruptedException {
        clientsPort = hold();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new SoakServer(arrivals));
        }
        List<Thread> clients = new ArrayList<>();
        SoakNode node = start();
        try {
            node.awaitReady();
            daemon("soak lateness", this::measureLateness);
            SplittableRandom random = new SplittableRandom(plan.seed());
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(
                        new SoakClient(
                                "c" + i, i % 4 != 0, clientsPort, plan.deadlineMs(), crowd, requests, random.split()),
                        "soak client " + i);
                clients.add(client);
                client.start();
            }
            for (Plan.Step step : plan.steps()) {
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                node = change(node, step);
                servers.forEach(server -> server.hang(false));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        } finally {
            crowd.end();
            for (Thread client : clients) {
                client.join();
            }
            node.close();
            servers.forEach(SoakServer::close);
            for (SocketChannel holder : holders) {
                holder.close();
            }
        }
        return result();
    }

    private Result result() throws IOException {
        List<SoakVerifier.Violation> found = SoakVerifier.judge(requests, arrivals, traces(), killed);
        List<String> lines = new ArrayList<>();
        for (SoakVerifier.Violation finding : found) {
            lines.add(finding.rule() + ": " + finding.request());
            finding.timeline().forEach(line -> lines.add("    " + line));
        }
        return new Result(
                plan.seed(),
                plan.deadlineMs(),
                requests.size(),
                sigkills,
                SoakVerifier.turnedBackUnheard(requests, found),
                lateMs.get(),
                lines);
    }

    private List<String> traces() throws IOException {
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
        long due = System.nanoTime();
        while (true) {
            due += TimeUnit.MILLISECONDS.toNanos(LATE_TICK_MS);
            LockSupport.parkNanos(due - System.nanoTime());
            long late = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due);
            lateMs.accumulateAndGet(late, Math::max);
            due = Math.max(due, System.nanoTime());
        }
    }

    /** A port that stays free for the processes of the node. */
    private int hold() throws IOException {
        SocketChannel holder = SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        holders.add(holder);
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private SoakNode start() throws IOException {
        return SoakNode.start(
                launcher.newNodeProcess(), folder, clientsPort, hold(), plan.deadlineMs(), servers, traced);
    }

    // ---------------------------------------------------------------- changes of processes

    private SoakNode change(SoakNode old, Plan.Step step) throws IOException, InterruptedException {
        return switch (step.kind()) {
            case UPGRADE -> upgrade(old, step);
            case RESTART -> restart(old, step);
            case KILL -> kill(old);
            case TERM_IN_START -> termInStart(old, step);
        };
    }

    private SoakNode upgrade(SoakNode old, Plan.Step step) throws IOException, InterruptedException {
        SoakNode next = start();
        next.awaitReady();
        terminate(old, step);
        return next;
    }

    private SoakNode restart(SoakNode old, Plan.Step step) throws IOException, InterruptedException {
        terminate(old, step);
        return startAnew();
    }

    private SoakNode kill(SoakNode old) throws IOException, InterruptedException {
        killed.add(new SoakVerifier.UnannouncedKill(nowUs()));
        old.signal("KILL");
        killed.add(new SoakVerifier.UnannouncedKill(nowUs()));
        old.close();
        return startAnew();
    }

    private SoakNode termInStart(SoakNode old, Plan.Step step) throws IOException, InterruptedException {
        SoakNode next = start();
        TimeUnit.MILLISECONDS.sleep(step.termAfterMs());
        terminate(next, step);
        return old;
    }

    private SoakNode startAnew() throws IOException, InterruptedException {
        SoakNode next = start();
        next.awaitReady();
        return next;
    }

    /** SIGTERM with what comes beside it, and SIGKILL at the earliest that the platform allows. */
    private void terminate(SoakNode node, Plan.Step step) throws IOException, InterruptedException {
        for (int i = 0; i < step.hanging(); i++) {
            servers.get(i).hang(true);
        }
        for (int i = 0; i < step.hangUps(); i++) {
            node.signal("HUP");
        }
        crowd.gather(step.crowdAfterMs() >= 0);
        node.signal("TERM");
        long termNanos = System.nanoTime();
        long killMs = Math.min(plan.deadlineMs(), SoakNode.MOST_DEADLINE_MS) + SoakNode.KILL_AFTER_DEADLINE_MS;
        if (step.termTwice()) {
            node.signal("TERM");
        }
        for (int i = 0; i < step.hangUps(); i++) {
            node.signal("HUP");
        }
        if (step.crowdAfterMs() >= 0) {
            waitUntil(termNanos, step.crowdAfterMs());
            crowd.gather(false);
        }
        if (!node.awaitEnd(killMs - sinceMs(termNanos))) {
            sigkills++;
            node.signal("KILL");
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
