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
import kitemux.config.ConfigText;
import kitemux.fleet.Box;
import kitemux.fleet.ClientTry;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.sim.Scheduler;

/**
 * Plays a described fleet in real time: processes of the node that serves, over loopback sockets, among
 * servers, clients and troubles that are those of the emulator, to the draw. What differs from an emulated
 * run
 * of the same seed is what the emulator makes of the node and the network.
 */
public final class LoopbackRun {
    /** Servers are all told as of one zone. */
    private static final String ZONE = "zone-0";

    private static final int NODE_PORT = 21_000;
    private static final int BOX_PORT = 22_000;
    private static final int LIST_PORT = 23_000;
    /** Descriptors of a node. */
    private static final int SOCKETS = 1_024;
    /** After the last client's time is over, for what is still on its way. */
    private static final long RUN_OUT_US = 1_000_000;

    private static final long MOST_START_S = 60;
    /** Between two looks of a watcher. */
    private static final long LOOK_MS = 100;

    private final Fleet fleet;
    private final long seed;
    private final Launcher launcher;
    private final LoopbackSubnet place;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<BoxServer> sockets = new ArrayList<>();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, ClientTry> asked = new HashMap<>();
    /** One a node, as each may be told other ways to the same servers. */
    private final List<DiscoveryStub> desks = new ArrayList<>();

    private final RunInterceptor between;

    /**
     * What came of it.
     *
     * @param maxDelayUs the longest that this process was behind its own clock; a run with much of it says
     *     little of the nodes
     */
    public record Outcome(RunResult result, long maxDelayUs) {}

    /** How a node's process is started. */
    public interface Launcher {
        /** A new command that runs one; the environment tells it the rest. */
        ProcessBuilder nodeCommand() throws IOException;
    }

    /** A run as it goes on, for whoever does things to it; on the run's thread. */
    public interface RunControl {
        /** The run's time. */
        Scheduler scheduler();

        /** Clients, servers and their troubles. */
        Emulation emulation();

        /** A node's process gets a signal by its name, such as STOP. */
        void signal(int node, String name);

        /** A node's machine goes without a word; its ways are the caller's to cut. */
        void vanish(int node);

        /** Whether the front deals clients out to a node, whatever becomes of its process. */
        void setReceivesClients(int node, boolean to);

        /** The longest that the run was behind the clock so far, in microseconds. */
        long maxDelayUs();

        /** What stands between the parties has passed on nothing for so long, until now; from any thread. */
        void recordDelay(long byNanos);
    }

    private LoopbackRun(Fleet fleet, long seed, Launcher launcher, LoopbackSubnet place, RunInterceptor between) {
        this.between = between;
        // A node's process takes as long to start as it takes.
        Fleet.Nodes n = fleet.nodes();
        this.fleet = fleet.with(new Fleet.Nodes(n.count(), n.eventCostUs(), n.cores(), 0, n.failureDetectionUs()));
        this.seed = seed;
        this.launcher = launcher;
        this.place = place;
    }

    /**
     * Plays a fleet once; takes as long as its clients ask, and some seconds more.
     *
     * @param launcher starts the nodes that serve
     * @throws IllegalArgumentException if it cannot be played
     * @throws IOException if a node cannot be started or a socket not be opened
     */
    public static Outcome execute(Fleet fleet, long seed, Launcher launcher) throws IOException, InterruptedException {
        return execute(fleet, seed, launcher, (Watcher) null);
    }

    /** Looks on as a run is played, and may do things to it; on the run's thread. */
    public interface Watcher {
        /**
         * Called every so often.
         *
         * @param nowUs since the run began
         * @return whether the run goes on
         */
        boolean observe(Emulation live, long nowUs);
    }

    /** The same, which a watcher looks on, and may end early; null for none. */
    public static Outcome execute(Fleet fleet, long seed, Launcher launcher, Watcher watcher)
            throws IOException, InterruptedException {
        return execute(fleet, seed, launcher, place -> RunInterceptor.NONE, watcher);
    }

    /** Who stands between the parties of a run that has the addresses 127.PLACE.x.y to itself. */
    public interface InterceptorFactory {
        /** Called once, before anybody listens. */
        RunInterceptor create(int place) throws IOException;
    }

    /** The same, with somebody between its parties. */
    public static Outcome execute(Fleet fleet, long seed, Launcher launcher, InterceptorFactory standing, Watcher watcher)
            throws IOException, InterruptedException {
        LoopbackSubnet held = LoopbackSubnet.acquire();
        Path folder = Files.createTempDirectory("kitemux-lab");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        LoopbackRun run = new LoopbackRun(fleet, seed, launcher, held, standing.create(held.number()));
        Thread cleaner = new Thread(run::endProcesses, "lab end");
        Runtime.getRuntime().addShutdownHook(cleaner);
        try {
            return run.runOn((EventLoop) group.next(), folder, watcher);
        } finally {
            held.close();
            run.endProcesses();
            Runtime.getRuntime().removeShutdownHook(cleaner);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(MOST_START_S, TimeUnit.SECONDS);
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private Outcome runOn(EventLoop loop, Path folder, Watcher watcher) throws InterruptedException, IOException {
        RealTimeScheduler time = new RealTimeScheduler(loop, between::runDelayed);
        LoopStallMonitor beat = new LoopStallMonitor(loop, by -> time.happens(() -> time.wasLate(by)));
        Emulation[] emulation = new Emulation[1];
        try {
            on(loop, () -> {
                emulation[0] = Emulation.create(fleet, seed, time.scheduler(), (n, of) -> {
                    NodeProcess node = node(n, of, time, loop, folder);
                    nodes.add(node);
                    return node;
                });
                return null;
            });
            List<ChannelFuture> opening = on(loop, () -> {
                List<ChannelFuture> all =
                        new ArrayList<>(sockets.stream().map(BoxServer::opening).toList());
                desks.forEach(desk -> all.add(desk.bindFuture()));
                return all;
            });
            for (ChannelFuture one : opening) {
                if (!one.await().isSuccess()) {
                    throw new IOException(
                            "a server or the list cannot listen: " + one.cause().getMessage());
                }
            }
            for (NodeProcess node : nodes) {
                node.launch();
            }
            on(loop, () -> {
                time.begin();
                beat.start();
                // Servers that start later are cold since then by the nodes' clock, which is the system's.
                long unixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
                time.happens(() -> {
                    between.runStarted(live(emulation[0], time, loop));
                    emulation[0].begin(unixUs);
                });
                return null;
            });
            long longestUs = fleet.classes().stream()
                    .mapToLong(work -> work.requestClass().deadlineUs())
                    .max()
                    .orElse(0);
            long endsUs = fleet.load().durationUs() + longestUs + RUN_OUT_US;
            if (watcher == null) {
                TimeUnit.MICROSECONDS.sleep(endsUs);
            } else {
                watched(
                        loop,
                        time,
                        () -> watcher.observe(emulation[0], time.scheduler().nowUs()),
                        endsUs);
            }
            return on(loop, () -> {
                RunResult result = emulation[0].result();
                time.stop();
                if (time.failure() != null) {
                    throw new IOException("the lab failed: " + time.failure(), time.failure());
                }
                return new Outcome(result, time.mostLateUs());
            });
        } finally {
            on(loop, () -> {
                beat.stop();
                time.stop();
                sockets.forEach(BoxServer::close);
                desks.forEach(DiscoveryStub::close);
                return null;
            });
        }
    }

    private static void watched(EventLoop loop, RealTimeScheduler time, BooleanSupplier look, long endsUs)
            throws InterruptedException, IOException {
        boolean goesOn = true;
        while (goesOn) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            goesOn = on(loop, () -> {
                boolean[] more = new boolean[1];
                time.happens(() -> more[0] = time.scheduler().nowUs() < endsUs && look.getAsBoolean());
                return more[0];
            });
        }
    }

    private NodeProcess node(int number, Emulation of, RealTimeScheduler time, EventLoop loop, Path folder) {
        if (number == 0) {
            int boxes = 0;
            for (Box box : of.boxes()) {
                InetSocketAddress at = place.address(boxes++, BOX_PORT);
                addresses.put(box.id(), at);
                sockets.add(
                        new BoxServer(box, at, loop, time, asked, fleet.links().handshakeWorkUs(), between));
            }
        }
        Map<String, InetSocketAddress> seen = new LinkedHashMap<>();
        addresses.forEach((box, listens) -> seen.put(box, between.boxAddress(number, box, listens)));
        InetSocketAddress listAt = place.address(number, LIST_PORT);
        DiscoveryStub desk = new DiscoveryStub(
                listAt, loop, List.of(ZONE), seen, watch -> time.happens(() -> between.discoveryRequested(number, watch)));
        desks.add(desk);
        List<ServerEntry> all = of.boxes().stream()
                .map(box -> new ServerEntry(box.id(), 0, box.rack(), ServerState.READY, 1, 0))
                .toList();
        InetSocketAddress at = place.address(number, NODE_PORT);
        Path config = folder.resolve("n" + number + ".json");
        Settings set = of.settings(number);
        // A list that is pushed comes from an agent, of which there is none here.
        set.listOnRequest = true;
        ConfigText.Node node = new ConfigText.Node(
                "n" + number,
                NetUtil.toSocketAddressString(at),
                NetUtil.toSocketAddressString(between.discoveryAddress(number, listAt)),
                Long.toHexString(seed * 31 + number),
                SOCKETS,
                0,
                fleet.links().idleTimeoutUs());
        try {
            Files.writeString(config, ConfigText.node(node, set, DiscoveryStub.withAddresses(all, seen)));
            return new NodeProcess(
                    number,
                    between.nodeAddress(number, at),
                    between,
                    fleet,
                    time,
                    loop,
                    asked,
                    entries -> {
                        between.discoveryUpdateSent(number, entries);
                        desk.publish(entries);
                    },
                    launcher.nodeCommand(),
                    config);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private RunControl live(Emulation emulation, RealTimeScheduler time, EventLoop loop) {
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
            public void setReceivesClients(int node, boolean to) {
                nodes.get(node).dealt(to);
            }

            @Override
            public long maxDelayUs() {
                return time.mostLateUs();
            }

            @Override
            public void recordDelay(long byNanos) {
                try {
                    loop.execute(() -> time.happens(() -> time.wasLate(byNanos)));
                } catch (RejectedExecutionException e) {
                    // The run is over, and what stood between ends after it.
                }
            }
        };
    }

    private static <T> T on(EventLoop loop, Callable<T> what) throws InterruptedException, IOException {
        try {
            return loop.submit(what).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IOException("the run broke off: " + e.getCause(), e.getCause());
        }
    }

    private synchronized void endProcesses() {
        nodes.forEach(NodeProcess::close);
        nodes.clear();
    }
}
