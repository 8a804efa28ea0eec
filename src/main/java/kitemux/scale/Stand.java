package kitemux.scale;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.lab.DiscoveryStub;
import kitemux.lab.LoopbackSubnet;
import kitemux.standin.FixedResponseServer;

/**
 * One size of a fleet, standing: servers that answer at once, discovery's stand-in, a real node or hollow
 * ones. What it started ends with it, and with this process.
 */
final class Stand implements AutoCloseable {
    private static final int LISTENING = 32;
    private static final int ANSWER_BYTES = 256;
    private static final int SERVER_PORT = 22_000;
    private static final int LIST_PORT = 23_000;
    private static final int NODE_PORT = 21_000;
    private static final long MOST_WAIT_S = 60;
    private static final long LOOK_MS = 5;

    private final Commands commands;
    private final Sized size;
    private final long seed;
    private final LoopbackSubnet place;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group;
    private final MultiThreadIoEventLoopGroup answering;
    private final EventLoop loop;
    private final long loopThread;
    private final List<FixedResponseServer> servers = new ArrayList<>();
    /** A run that takes too long ends them from a thread of its own. */
    private final List<AutoCloseable> nodes = new CopyOnWriteArrayList<>();

    private final Map<String, InetSocketAddress> addresses;
    private final DiscoveryStub desk;
    private final AtomicLong calls = new AtomicLong();
    private final InetSocketAddress list;
    private int started;

    /** Servers and discovery listen from now on; there is no node yet. */
    Stand(Commands commands, Sized size, long seed) throws IOException, InterruptedException {
        this.commands = commands;
        this.size = size;
        this.seed = seed;
        place = LoopbackSubnet.acquire();
        folder = Files.createTempDirectory("kitemux-scale");
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        // Discovery has a loop to itself: a server that waits behind a list would be taken for the node.
        answering = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        List<InetSocketAddress> listening = new ArrayList<>();
        for (int i = 0; i < LISTENING; i++) {
            servers.add(FixedResponseServer.start(answering.next(), ANSWER_BYTES, place.address(i, SERVER_PORT)));
            listening.add(servers.get(i).address());
        }
        addresses = size.addresses(listening);
        list = place.address(0, LIST_PORT);
        desk = on(() -> new DiscoveryStub(list, loop, size.zoneNames(), addresses, watch -> calls.incrementAndGet()));
        loopThread = on(() -> Thread.currentThread().getId());
        ChannelFuture opening = desk.bindFuture();
        if (!opening.await().isSuccess()) {
            throw new IOException(
                    "discovery's stand-in cannot listen: " + opening.cause().getMessage());
        }
        tell(size.all());
    }

    private <T> T on(Callable<T> what) throws IOException, InterruptedException {
        try {
            return loop.submit(what).get(MOST_WAIT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("discovery's stand-in: " + e, e);
        }
    }

    Sized size() {
        return size;
    }

    /** A server that can be asked without a node. */
    InetSocketAddress server() {
        return servers.get(0).address();
    }

    DiscoveryStub desk() {
        return desk;
    }

    /** Calls of discovery so far. */
    long calls() {
        return calls.get();
    }

    /** Processor time of discovery's stand-in so far, in milliseconds. */
    double deskMs() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThread) / 1e6;
    }

    // ---------------------------------------------------------------- nodes

    /** Starts a real node that begins with the list as it is, and waits until it watches. */
    RealNode real() throws IOException, InterruptedException {
        int watching = desk.watchCount();
        RealNode node = RealNode.start(
                commands,
                size,
                place.address(started++, NODE_PORT),
                list,
                DiscoveryStub.withAddresses(size.all(), addresses),
                seed,
                folder);
        nodes.add(node);
        until(() -> desk.watchCount() > watching, "a node does not watch");
        return node;
    }

    /**
     * Starts hollow nodes, and waits until all have the list.
     *
     * @param peers whether they tell one another what they believe of the fleet
     */
    HollowNodes hollow(int count, int inProcess, boolean peers) throws IOException, InterruptedException {
        HollowNodes all = new HollowNodes();
        nodes.add(all);
        all.start(
                commands,
                new Hollow.Told(0, 0, size, NetUtil.toSocketAddressString(list), place.number(), peers, seed),
                count,
                inProcess);
        long rev = on(desk::rev);
        until(() -> all.figures().haveAll(rev), "hollow nodes do not hear");
        return all;
    }

    /** Waits until something holds, looking often. */
    static void until(Callable<Boolean> holds, String otherwise) throws IOException, InterruptedException {
        long ends = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        try {
            while (!holds.call()) {
                if (System.nanoTime() > ends) {
                    throw new IOException(otherwise + " within " + MOST_WAIT_S + " s");
                }
                Thread.sleep(LOOK_MS);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    // ---------------------------------------------------------------- what is told

    /** Tells one line with these; the version that it has. */
    long tell(List<ServerEntry> changed) throws IOException, InterruptedException {
        return on(() -> {
            desk.publish(changed);
            return desk.rev();
        });
    }

    /**
     * Tells one change: servers drain and are back, in turn.
     *
     * @param number of the change, from 0
     */
    long change(int number) throws IOException, InterruptedException {
        ServerState state = number % 2 == 0 ? ServerState.DRAINING : ServerState.READY;
        return tell(List.of(size.entry(number / 2 % size.servers(), state, 0)));
    }

    /**
     * All watches end, and are opened anew with the whole list; one change is told meanwhile, so that whoever
     * has its version has had the list.
     *
     * @return that version
     */
    long endWatches() throws IOException, InterruptedException {
        return on(() -> {
            desk.closeWatches();
            desk.publish(List.of(size.entry(0, ServerState.READY, 0)));
            return desk.rev();
        });
    }

    /** What befalls servers first, line by line: they have gone, or drain. */
    List<List<ServerEntry>> goes(Plan.Event event) {
        return lines(event, event.drains() ? ServerState.DRAINING : ServerState.GONE, 0);
    }

    /** And how they come back: as they started just now. */
    List<List<ServerEntry>> returns(Plan.Event event) {
        List<List<ServerEntry>> all = new ArrayList<>();
        if (event.drains()) {
            all.addAll(lines(event, ServerState.GONE, 0));
        }
        all.addAll(lines(event, ServerState.READY, System.currentTimeMillis() * 1_000));
        return all;
    }

    /** Zone by zone, as most events befall what is near one another. */
    private List<List<ServerEntry>> lines(Plan.Event event, ServerState state, long startedAtUs) {
        List<Integer> near = IntStream.range(0, size.servers())
                .boxed()
                .sorted(Comparator.comparingInt(i -> i % size.zones()))
                .limit(event.servers())
                .toList();
        List<List<ServerEntry>> lines = new ArrayList<>();
        for (int i = 0; i < near.size(); i += event.inLine()) {
            lines.add(near.subList(i, Math.min(near.size(), i + event.inLine())).stream()
                    .map(server -> size.entry(server, state, startedAtUs))
                    .toList());
        }
        return lines;
    }

    /** Tells them all at once; the last version. */
    long tellAll(List<List<ServerEntry>> lines) throws IOException, InterruptedException {
        return on(() -> {
            lines.forEach(desk::publish);
            return desk.rev();
        });
    }

    /** Kills the hollow nodes, from any thread, so that whoever waits for them waits no longer. */
    void kill() {
        nodes.forEach(node -> {
            if (node instanceof HollowNodes hollow) {
                hollow.kill();
            }
        });
    }

    /** Ends all that it started, whatever becomes of any of it. */
    @Override
    public void close() throws IOException {
        IOException failed = null;
        for (AutoCloseable node : nodes) {
            try {
                node.close();
            } catch (Exception e) {
                failed = new IOException("a node could not be ended: " + e, e);
            }
        }
        loop.submit(desk::close).awaitUninterruptibly();
        servers.forEach(FixedResponseServer::close);
        for (MultiThreadIoEventLoopGroup loops : List.of(group, answering)) {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(MOST_WAIT_S, TimeUnit.SECONDS);
        }
        place.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        if (failed != null) {
            throw failed;
        }
    }
}
