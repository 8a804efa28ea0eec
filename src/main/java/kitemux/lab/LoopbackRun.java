package kitemux.lab;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.config.ConfigFormatter;
import kitemux.fleet.Box;
import kitemux.fleet.ClientTry;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.sim.Scheduler;

/**
 * Runs a described fleet in real time: node processes serve over loopback sockets, while servers, clients and faults
 * are those of the emulator, with the same random draws. Differences to an emulated run of the same seed show how the
 * emulator's model deviates from the real node and network.
 */
public final class LoopbackRun {
    /** All servers are reported in this zone. */
    private static final String ZONE = "zone-0";

    private static final int NODE_PORT = 21_000;
    private static final int BOX_PORT = 22_000;
    private static final int DISCOVERY_PORT = 23_000;
    /** The descriptor limit of a node. */
    private static final int NODE_SOCKET_COUNT = 1_024;
    /** Time after the deadline of the last client, for requests that are still in flight. */
    private static final long COMPLETION_MARGIN_US = 1_000_000;

    private static final long LOOP_SHUTDOWN_TIMEOUT_S = 60;
    /** The interval between two calls of a watcher. */
    private static final long WATCH_INTERVAL_MS = 100;

    private final Fleet fleet;
    private final long seed;
    private final Launcher launcher;
    private final LoopbackSubnet subnet;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<BoxServer> boxServers = new ArrayList<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, ClientTry> triesById = new HashMap<>();
    /** One stub for each node, as each node may reach the same servers under different addresses. */
    private final List<DiscoveryStub> discoveryStubs = new ArrayList<>();

    private final RunInterceptor interceptor;

    /**
     * The outcome of a run.
     *
     * @param maxDelayUs the longest delay of this process behind its own clock in microseconds; with a long delay the
     *     result says little about the nodes
     */
    public record Outcome(RunResult result, long maxDelayUs) {}

    /** Creates the commands that start node processes. */
    public interface Launcher {
        /** Returns a new command that runs one node, which is configured by environment variables. */
        ProcessBuilder nodeCommand() throws IOException;
    }

    /** Controls a run in progress; to be used on the run's thread unless stated otherwise. */
    public interface RunControl {
        /** Returns the scheduler with the run's time. */
        Scheduler scheduler();

        /** Returns the clients, servers and their faults. */
        Emulation emulation();

        /** Sends a signal, such as STOP, to a node's process. */
        void signal(int node, String name);

        /**
         * Kills a node as if its machine were lost: clients continue to connect. Cutting its network links is up to
         * the caller.
         */
        void vanish(int node);

        /** Sets whether the front sends clients to a node, whatever the state of its process. */
        void setReceivesClients(int node, boolean receives);

        /** Returns the longest delay of the run behind the clock so far, in microseconds. */
        long maxDelayUs();

        /** Records that the relays have forwarded nothing for this long until now; may be called from any thread. */
        void recordDelay(long delayNanos);
    }

    private LoopbackRun(Fleet fleet, long seed, Launcher launcher, LoopbackSubnet subnet, RunInterceptor interceptor) {
        this.interceptor = interceptor;
        // The real start time of a node's process takes the place of the described one.
        Fleet.Nodes n = fleet.nodes();
        this.fleet = fleet.with(new Fleet.Nodes(n.count(), n.eventCostUs(), n.cores(), 0, n.failureDetectionUs()));
        this.seed = seed;
        this.launcher = launcher;
        this.subnet = subnet;
    }

    /**
     * Runs a fleet once, which takes as long as its clients send requests and some seconds more.
     *
     * @param launcher starts the nodes
     * @throws IllegalArgumentException if the fleet cannot be run
     * @throws IOException if a node cannot be started or a socket cannot be opened
     */
    public static Outcome execute(Fleet fleet, long seed, Launcher launcher) throws IOException, InterruptedException {
        return execute(fleet, seed, launcher, (Watcher) null);
    }

    /** Observes a run in progress and may inject faults into it; called on the run's thread. */
    public interface Watcher {
        /**
         * Called periodically.
         *
         * @param nowUs microseconds since the start of the run
         * @return whether the run continues
         */
        boolean observe(Emulation emulation, long nowUs);
    }

    /** Runs a fleet once with a watcher, which may end the run early; null for none. */
    public static Outcome execute(Fleet fleet, long seed, Launcher launcher, Watcher watcher)
            throws IOException, InterruptedException {
        return execute(fleet, seed, launcher, subnet -> RunInterceptor.NONE, watcher);
    }

    /** Creates the interceptor of a run, which has the addresses 127.R.x.y to itself. */
    public interface InterceptorFactory {
        /** Called once, before any party listens. */
        RunInterceptor create(int subnet) throws IOException;
    }

    /** Runs a fleet once with a watcher, which may be null, and with an interceptor between the parties. */
    public static Outcome execute(
            Fleet fleet, long seed, Launcher launcher, InterceptorFactory interceptorFactory, Watcher watcher)
            throws IOException, InterruptedException {
        LoopbackSubnet subnet = LoopbackSubnet.acquire();
        Path folder = Files.createTempDirectory("kitemux-lab");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        LoopbackRun run = new LoopbackRun(fleet, seed, launcher, subnet, interceptorFactory.create(subnet.number()));
        Thread cleaner = new Thread(run::endProcesses, "lab end");
        Runtime.getRuntime().addShutdownHook(cleaner);
        try {
            return run.runOn((EventLoop) group.next(), folder, watcher);
        } finally {
            subnet.close();
            run.endProcesses();
            Runtime.getRuntime().removeShutdownHook(cleaner);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(LOOP_SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private Outcome runOn(EventLoop loop, Path folder, Watcher watcher) throws InterruptedException, IOException {
        RealTimeScheduler time = new RealTimeScheduler(loop, interceptor::runDelayed);
        LoopStallMonitor stallMonitor =
                new LoopStallMonitor(loop, stallNanos -> time.runExternalEvent(() -> time.recordDelay(stallNanos)));
        Emulation[] emulation = new Emulation[1];
        try {
            callOnLoop(loop, () -> {
                emulation[0] = Emulation.create(fleet, seed, time.scheduler(), (nodeNumber, created) -> {
                    NodeProcess node = createNode(nodeNumber, created, time, loop, folder);
                    nodes.add(node);
                    return node;
                });
                return null;
            });
            List<ChannelFuture> bindFutures = callOnLoop(loop, () -> {
                List<ChannelFuture> all = new ArrayList<>(
                        boxServers.stream().map(BoxServer::bindFuture).toList());
                discoveryStubs.forEach(discovery -> all.add(discovery.bindFuture()));
                return all;
            });
            for (ChannelFuture bindFuture : bindFutures) {
                if (!bindFuture.await().isSuccess()) {
                    throw new IOException("a server or the list cannot listen: "
                            + bindFuture.cause().getMessage());
                }
            }
            for (NodeProcess node : nodes) {
                node.launch();
            }
            callOnLoop(loop, () -> {
                time.start();
                stallMonitor.start();
                // The nodes use the system clock to tell for how long a server that starts later has been cold.
                long unixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
                time.runExternalEvent(() -> {
                    interceptor.runStarted(createControl(emulation[0], time, loop));
                    emulation[0].begin(unixUs);
                });
                return null;
            });
            long longestUs = fleet.classes().stream()
                    .mapToLong(work -> work.requestClass().deadlineUs())
                    .max()
                    .orElse(0);
            long endUs = fleet.load().durationUs() + longestUs + COMPLETION_MARGIN_US;
            if (watcher == null) {
                TimeUnit.MICROSECONDS.sleep(endUs);
            } else {
                watch(
                        loop,
                        time,
                        () -> watcher.observe(emulation[0], time.scheduler().nowUs()),
                        endUs);
            }
            return callOnLoop(loop, () -> {
                RunResult result = emulation[0].result();
                time.stop();
                if (time.failure() != null) {
                    throw new IOException("the lab failed: " + time.failure(), time.failure());
                }
                return new Outcome(result, time.maxDelayUs());
            });
        } finally {
            callOnLoop(loop, () -> {
                stallMonitor.stop();
                time.stop();
                boxServers.forEach(BoxServer::close);
                discoveryStubs.forEach(DiscoveryStub::close);
                return null;
            });
        }
    }

    private static void watch(EventLoop loop, RealTimeScheduler time, BooleanSupplier observer, long endUs)
            throws InterruptedException, IOException {
        boolean continues = true;
        while (continues) {
            TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MS);
            continues = callOnLoop(loop, () -> {
                boolean[] more = new boolean[1];
                time.runExternalEvent(() -> more[0] = time.scheduler().nowUs() < endUs && observer.getAsBoolean());
                return more[0];
            });
        }
    }

    private NodeProcess createNode(
            int number, Emulation emulation, RealTimeScheduler time, EventLoop loop, Path folder) {
        if (number == 0) {
            int boxNumber = 0;
            for (Box box : emulation.boxes()) {
                InetSocketAddress address = subnet.address(boxNumber++, BOX_PORT);
                addresses.put(box.id(), address);
                boxServers.add(new BoxServer(
                        box, address, loop, time, triesById, fleet.links().handshakeWorkUs(), interceptor));
            }
        }
        Map<String, InetSocketAddress> visibleAddresses = new LinkedHashMap<>();
        addresses.forEach(
                (box, listenAddress) -> visibleAddresses.put(box, interceptor.boxAddress(number, box, listenAddress)));
        InetSocketAddress discoveryAddress = subnet.address(number, DISCOVERY_PORT);
        DiscoveryStub discovery = new DiscoveryStub(
                discoveryAddress,
                loop,
                List.of(ZONE),
                visibleAddresses,
                watch -> time.runExternalEvent(() -> interceptor.discoveryRequested(number, watch)));
        discoveryStubs.add(discovery);
        List<ServerEntry> initialServers = emulation.boxes().stream()
                .map(box -> new ServerEntry(box.id(), 0, box.rack(), ServerState.READY, 1, 0))
                .toList();
        InetSocketAddress address = subnet.address(number, NODE_PORT);
        Path config = folder.resolve("n" + number + ".json");
        Settings settings = emulation.settings(number);
        // A pushed list comes from an agent, which this run does not have.
        settings.listOnRequest = true;
        ConfigFormatter.NodeDescription node = new ConfigFormatter.NodeDescription(
                "n" + number,
                NetUtil.toSocketAddressString(address),
                NetUtil.toSocketAddressString(interceptor.discoveryAddress(number, discoveryAddress)),
                Long.toHexString(seed * 31 + number),
                NODE_SOCKET_COUNT,
                0,
                fleet.links().idleTimeoutUs());
        try {
            Files.writeString(
                    config,
                    ConfigFormatter.formatNode(
                            node, settings, DiscoveryStub.withAddresses(initialServers, visibleAddresses)));
            return new NodeProcess(
                    number,
                    interceptor.nodeAddress(number, address),
                    interceptor,
                    fleet,
                    time,
                    loop,
                    triesById,
                    entries -> {
                        interceptor.discoveryUpdateSent(number, entries);
                        discovery.publish(entries);
                    },
                    launcher.nodeCommand(),
                    config);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private RunControl createControl(Emulation emulation, RealTimeScheduler time, EventLoop loop) {
        return new RunControl() {
            @Override
            public Scheduler scheduler() {
                return time.scheduler();
            }

            @Override
            public Emulation emulation() {
                return emulation;
            }

            @Override
            public void signal(int node, String name) {
                try {
                    nodes.get(node).signal(name);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            @Override
            public void vanish(int node) {
                nodes.get(node).vanish();
            }

            @Override
            public void setReceivesClients(int node, boolean receives) {
                nodes.get(node).setReceivesClients(receives);
            }

            @Override
            public long maxDelayUs() {
                return time.maxDelayUs();
            }

            @Override
            public void recordDelay(long delayNanos) {
                try {
                    loop.execute(() -> time.runExternalEvent(() -> time.recordDelay(delayNanos)));
                } catch (RejectedExecutionException e) {
                    // The run is over, and the interceptor ends after it.
                }
            }
        };
    }

    private static <T> T callOnLoop(EventLoop loop, Callable<T> task) throws InterruptedException, IOException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IOException("the run failed: " + e.getCause(), e.getCause());
        }
    }

    private synchronized void endProcesses() {
        nodes.forEach(NodeProcess::close);
        nodes.clear();
    }
}
