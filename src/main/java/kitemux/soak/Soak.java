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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Runs a node on loopback through a seeded sequence of process changes, with clients that use their open
 * connections until SIGKILL and with servers that stop answering, and verifies what was observed.
 */
public final class Soak {
    private static final int SERVER_COUNT = 3;
    private static final int CLIENT_COUNT = 40;
    /** A port on which nothing listens. */
    private static final int REFUSING_PORT = 9;

    private static final long SETTLE_MS = 300;
    /** Time for which a process is held up; with the signals before and after it, less than the 150 ms that are allowed. */
    private static final long HOLD_MS = 120;

    /** Time between a server's drain and discovery's end, in which processes hear of the drain. */
    private static final long BEFORE_OUTAGE_MS = 700;
    /** Time for which what binds is looked at. */
    private static final long CHECKED_US = 1_000_000;

    private static final long LATENESS_TICK_MS = 5;
    /** A run whose own waits ended later than this is unreliable. */
    private static final long MAX_LATENESS_MS = 100;

    private static final long START_UNIX_US = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private static final long START_NANOS = System.nanoTime();

    /** Creates the command that starts a node. */
    public interface Launcher {
        /**
         * Returns a new command for each start, without the environment variables that the run adds.
         *
         * @throws IOException if the command cannot be created
         */
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
    private final ConcurrentMap<String, Integer> attemptCounts = new ConcurrentHashMap<>();
    private final List<SoakVerifier.ProcessEnd> processEnds = new ArrayList<>();
    private final ClientGate gate = new ClientGate();
    private final AtomicLong maxLatenessMs = new AtomicLong();
    private final Queue<StoppingClient.Stop> stops = new ConcurrentLinkedQueue<>();
    private final List<DisruptionVerifier.ServerDrain> serverDrains = new ArrayList<>();
    private final List<DisruptionVerifier.ClientDrain> clientDrains = new ArrayList<>();
    private final List<DisruptionVerifier.Start> starts = new ArrayList<>();
    private SoakDiscovery discovery;
    private FrontProbe front;
    /** When the last successor said yes, Unix time in microseconds. */
    private long readyUs;

    private int clientPort;
    private int sigkillCount;

    /**
     * Result of one seed.
     *
     * @param seed of the run
     * @param deadlineMs longest deadline that the seed drew, in milliseconds
     * @param requests number of requests that were sent
     * @param stops number of stops within a request that the node ended
     * @param isShortOfTcpMemory whether the system was short of memory for TCP
     * @param sigkills number of processes that got SIGKILL after SIGTERM
     * @param unreadRequests number of requests whose connection ended before the node had read them
     * @param heldUpRequests number of requests whose answer was late while the machine left the node without a processor for
     *     longer than the platform does
     * @param maxLatenessMs largest lateness of the run's own waits, in milliseconds
     * @param violations a line for each broken rule, followed by the request's timeline in indented lines
     */
    public record Result(
            long seed,
            long deadlineMs,
            int requests,
            int stops,
            boolean isShortOfTcpMemory,
            int sigkills,
            long unreadRequests,
            long heldUpRequests,
            long maxLatenessMs,
            List<String> violations) {
        /** Whether the run kept its own schedule, so that its violations are reliable. */
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
     * Runs one seed; no process is left running.
     *
     * @param launcher creates the command that starts a node
     * @param traced whether the node supports the operator's section {@code trace}
     * @param seed of the random choices
     * @param upgradesOnly whether all changes are upgrades; otherwise all kinds are drawn
     * @param changes number of process changes, one after another
     * @param isDisrupted whether discovery goes down over changes, clients are drained by hand and some stop within requests
     * @param folder for the files of the processes; it is not cleared
     * @throws IOException if a node does not start, or a file or socket fails
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static Result run(
            Launcher launcher,
            boolean traced,
            long seed,
            boolean upgradesOnly,
            int changes,
            boolean isDisrupted,
            Path folder)
            throws IOException, InterruptedException {
        List<Plan.Kind> kinds = upgradesOnly ? List.of(Plan.Kind.UPGRADE) : List.of(Plan.Kind.values());
        return new Soak(launcher, traced, Plan.draw(seed, kinds, changes, SERVER_COUNT, isDisrupted), folder).run();
    }

    /** Unix time in microseconds; it never goes back. */
    static long nowUs() {
        return START_UNIX_US + (System.nanoTime() - START_NANOS) / 1_000;
    }

    /** Starts a daemon thread. */
    static void startDaemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private Result run() throws IOException, InterruptedException {
        if (!plan.isShortOfTcpMemory()) {
            return play();
        }
        try (TcpMemoryPressure pressure = new TcpMemoryPressure()) {
            if (!pressure.isShort()) {
                throw new IOException("the system's memory for TCP could not be taken");
            }
            return play();
        }
    }

    private Result play() throws IOException, InterruptedException {
        clientPort = reservePort();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new SoakServer(i, arrivals, attemptCounts, i == 0 && plan.hasLateConnections()));
        }
        discovery = new SoakDiscovery(servers);
        front = new FrontProbe(clientPort, gate);
        List<Thread> clients = new ArrayList<>();
        SoakNode node = start();
        try {
            node.awaitReady();
            startDaemon("soak lateness monitor", this::measureLateness);
            SplittableRandom random = new SplittableRandom(plan.seed());
            for (int i = 0; i < CLIENT_COUNT; i++) {
                Thread client = new Thread(
                        new SoakClient(
                                "c" + i, i % 4 != 0, clientPort, plan.deadlineMs(), gate, requests, random.split()),
                        "soak client " + i);
                clients.add(client);
                client.start();
            }
            for (int i = 0; i < plan.crowdCount(); i++) {
                Thread crowd = new Thread(
                        new CrowdClient("crowd" + i, clientPort, plan.deadlineMs(), gate, random.split()),
                        "soak crowd " + i);
                clients.add(crowd);
                crowd.start();
            }
            if (plan.isDisrupted()) {
                startBesideClients(clients, random);
            }
            for (int i = 0; i < plan.steps().size(); i++) {
                Plan.Step step = plan.steps().get(i);
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                if (plan.isHeldUp()) {
                    node.holdUp(HOLD_MS);
                }
                requireAlive(node);
                node = applyDisrupted(node, step, plan.disruptionAt(i));
                servers.forEach(server -> server.setHanging(false));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            requireAlive(node);
        } finally {
            gate.close();
            for (Thread client : clients) {
                client.join();
            }
            node.close();
            discovery.close();
            servers.forEach(SoakServer::close);
            for (SocketChannel holder : portHolders) {
                holder.close();
            }
        }
        return buildResult();
    }

    private void startBesideClients(List<Thread> clients, SplittableRandom random) {
        Thread probe = new Thread(front, "soak front");
        clients.add(probe);
        probe.start();
        for (int i = 0; i < plan.stoppingClientCount(); i++) {
            Thread stopping = new Thread(
                    new StoppingClient("stop" + i, clientPort, gate, stops, random.split()),
                    "soak stopping client " + i);
            clients.add(stopping);
            stopping.start();
        }
    }

    private static void requireAlive(SoakNode node) throws IOException, InterruptedException {
        if (node.awaitExit(0)) {
            throw new IOException("a node has ended by itself: " + node.output());
        }
    }

    private Result buildResult() throws IOException {
        List<String> traces = readTraces();
        List<SoakVerifier.Violation> violations =
                SoakVerifier.verify(requests, arrivals, traces, unannouncedKills, processEnds);
        List<String> lines = new ArrayList<>();
        for (SoakVerifier.Violation violation : violations) {
            lines.add(violation.rule() + ": " + violation.request());
            violation.timeline().forEach(line -> lines.add("    " + line));
        }
        lines.addAll(DisruptionVerifier.verifyServerDrains(serverDrains, arrivals));
        lines.addAll(DisruptionVerifier.verifyClientDrains(clientDrains, front.answers()));
        lines.addAll(DisruptionVerifier.verifyStarts(starts));
        lines.addAll(DisruptionVerifier.verifyStops(stops, SoakVerifier.findHolds(traces)));
        return new Result(
                plan.seed(),
                plan.deadlineMs(),
                requests.size(),
                stops.size(),
                plan.isShortOfTcpMemory(),
                sigkillCount,
                SoakVerifier.countUnreadRequests(requests, violations),
                SoakVerifier.countHeldUpRequests(requests, traces),
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

    /** Reserves a port that no other program gets, so that each process of the node can bind it. */
    private int reservePort() throws IOException {
        SocketChannel holder = SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        portHolders.add(holder);
        return ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private int discoveryPort() {
        return plan.isDisrupted() ? discovery.port() : REFUSING_PORT;
    }

    private SoakNode start() throws IOException {
        return SoakNode.start(
                launcher.newNodeProcess(),
                folder,
                clientPort,
                reservePort(),
                discovery.port(),
                plan.deadlineMs(),
                servers,
                traced);
    }

    // ---------------------------------------------------------------- process changes

    /** Applies a step beside what is drawn to come with it, and waits until what that binds can be told. */
    private SoakNode applyDisrupted(SoakNode current, Plan.Step step, Plan.Disruption disruption)
            throws IOException, InterruptedException {
        int server = disruption.drainedServer();
        boolean isTold = server >= 0 && discovery.setDraining(server, true);
        long toldUs = nowUs();
        if (server >= 0) {
            TimeUnit.MILLISECONDS.sleep(BEFORE_OUTAGE_MS);
            discovery.setDown(true);
        }
        boolean isDrainedBefore = disruption.drainsClients() && !disruption.isDrainCalledAtSuccessor();
        if (isDrainedBefore) {
            requireYes(current, "/ops/drain/start");
        }
        long changeFromUs = nowUs();
        readyUs = changeFromUs;
        SoakNode successor = applyStep(current, step);
        long drainedUs = changeFromUs;
        if (disruption.drainsClients() && !isDrainedBefore) {
            requireYes(successor, "/ops/drain/start");
            drainedUs = nowUs();
        }
        if (disruption.drainsClients()) {
            endClientDrain(successor, drainedUs);
        }
        if (server >= 0) {
            sleepUntil(
                    readyUs + DisruptionVerifier.NEWS_BINDS_AFTER_US + DisruptionVerifier.DRAIN_GRACE_US + CHECKED_US);
            if (isTold) {
                serverDrains.add(new DisruptionVerifier.ServerDrain(server, toldUs, nowUs(), changeFromUs, readyUs));
            }
            discovery.setDraining(server, false);
            discovery.setDown(false);
        }
        return successor;
    }

    private void endClientDrain(SoakNode node, long drainedUs) throws IOException, InterruptedException {
        sleepUntil(drainedUs + DisruptionVerifier.FRONT_TOLD_AFTER_US + CHECKED_US);
        long toUs = nowUs();
        requireYes(node, "/ops/drain/stop");
        long endedUs = nowUs();
        sleepUntil(endedUs + DisruptionVerifier.FRONT_BACK_AFTER_US + CHECKED_US);
        clientDrains.add(new DisruptionVerifier.ClientDrain(drainedUs, toUs, endedUs, nowUs()));
    }

    private static void requireYes(SoakNode node, String call) throws IOException {
        int status = node.call("POST", call);
        if (status != 200) {
            throw new IOException(call + " was answered " + status);
        }
    }

    private static void sleepUntil(long atUs) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, atUs - nowUs()));
    }

    private SoakNode applyStep(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        return switch (step.kind()) {
            case UPGRADE -> upgrade(current, step);
            case RESTART -> restart(current, step);
            case KILL -> kill(current);
            case TERM_IN_START -> termInStart(current, step);
        };
    }

    private SoakNode upgrade(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        long startUs = nowUs();
        SoakNode successor = start();
        successor.awaitReady();
        readyUs = nowUs();
        starts.add(new DisruptionVerifier.Start(startUs, readyUs));
        terminate(current, step);
        return successor;
    }

    private SoakNode restart(SoakNode current, Plan.Step step) throws IOException, InterruptedException {
        terminate(current, step);
        return startAndAwaitReady();
    }

    private SoakNode kill(SoakNode current) throws IOException, InterruptedException {
        long killUs = nowUs();
        current.sendSignal("KILL");
        unannouncedKills.add(new SoakVerifier.UnannouncedKill(killUs, nowUs()));
        current.close();
        processEnds.add(new SoakVerifier.ProcessEnd(killUs, nowUs()));
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

    /**
     * Sends SIGTERM along with the other events of the step, and SIGKILL at the earliest time that the platform
     * allows.
     */
    private void terminate(SoakNode node, Plan.Step step) throws IOException, InterruptedException {
        for (int i = 0; i < step.hangingServerCount(); i++) {
            servers.get(i).setHanging(true);
        }
        for (int i = 0; i < step.sighupCount(); i++) {
            node.sendSignal("HUP");
        }
        gate.setHolding(step.burstAfterMs() >= 0);
        long termUs = nowUs();
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
            sigkillCount++;
            node.sendSignal("KILL");
        }
        node.close();
        processEnds.add(new SoakVerifier.ProcessEnd(termUs, nowUs()));
    }

    private static long sinceMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void waitUntil(long fromNanos, long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, ms - sinceMs(fromNanos)));
    }
}
