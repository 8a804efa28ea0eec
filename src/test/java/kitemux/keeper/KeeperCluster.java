package kitemux.keeper;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import kitemux.config.Json;
import kitemux.disk.Disk;
import kitemux.disk.FolderDisk;
import kitemux.net.EventLoopClock;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;
import kitemux.net.SelectorLoop;
import kitemux.net.SocketBudget;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Subscriber;
import kitemux.rollout.Voter;

/**
 * Keepers and nodes over real sockets, spread over several event loops, with a {@link BreakableProxy} on each link.
 */
final class KeeperCluster implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** Longest wait for a keeper's status. */
    private static final long STATUS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Path root;
    private final ProtocolParameters parameters;
    private final int nodes;
    private final int count;
    /** Event loop of the proxies. */
    private final EventLoopGroup proxyGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** Assigned in turn to keepers and nodes. */
    private final List<SelectorLoop> loops =
            Stream.generate(SelectorLoop::open).limit(4).toList();

    private int assignedLoops;
    /** Links from each keeper to each other one; {@code nodeLinks} are those from nodes to each keeper. */
    private final BreakableProxy[][] keeperLinks;

    private final BreakableProxy[] nodeLinks;
    private final List<Voter> voters = new ArrayList<>();
    private final Keeper[] keeperProcesses;
    private final FolderDisk[] disks;
    private final InetSocketAddress[] addresses;
    final RecordingLog[] logs;
    final LinkedBlockingQueue<Exception> failures = new LinkedBlockingQueue<>();
    private final AtomicLong draws = new AtomicLong(7);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Node> nodesStarted = new ArrayList<>();

    /** Prepares a cluster whose first keepers vote. */
    KeeperCluster(Path root, int count, int voting, int nodes, ProtocolParameters parameters) throws IOException {
        this.root = root;
        this.count = count;
        this.nodes = nodes;
        this.parameters = parameters;
        keeperLinks = new BreakableProxy[count][count];
        nodeLinks = new BreakableProxy[count];
        keeperProcesses = new Keeper[count];
        disks = new FolderDisk[count];
        addresses = new InetSocketAddress[count];
        logs = new RecordingLog[count];
        for (int k = 0; k < count; k++) {
            logs[k] = new RecordingLog();
            nodeLinks[k] = new BreakableProxy(proxyGroup);
            for (int other = 0; other < count; other++) {
                keeperLinks[k][other] = new BreakableProxy(proxyGroup);
            }
            if (k < voting) {
                try (FolderDisk disk = FolderDisk.openForWriting(folder(k))) {
                    voters.add(Voter.parse(Keeper.initializeFolder(disk, k, draws::incrementAndGet, logs[k])));
                }
            }
        }
    }

    Path folder(int keeper) {
        return root.resolve("keeper-" + keeper);
    }

    /** Starts all keepers and waits until each serves. */
    KeeperCluster startAll() throws Exception {
        for (int k = 0; k < count; k++) {
            start(k, disk -> disk);
        }
        for (int k = 0; k < count; k++) {
            logs[k].awaitLine(0, " serves;");
        }
        return this;
    }

    private PollingLoop nextLoop() {
        return loops.get(assignedLoops++ % loops.size());
    }

    Keeper start(int number, UnaryOperator<Disk> disk) throws IOException {
        PollingLoop loop = nextLoop();
        List<InetSocketAddress> others = new ArrayList<>();
        for (int other = 0; other < count; other++) {
            others.add(keeperLinks[number][other].address());
        }
        disks[number] = FolderDisk.openForWriting(folder(number));
        Keeper keeper = Keeper.open(
                new KeeperSettings(number, others, ANY_PORT, folder(number), voters, nodes),
                parameters,
                new ConfigRules(),
                new Keeper.Environment(loop, NioNetwork.SYSTEM, EventLoopClock.of(loop), logs[number]),
                disk.apply(disks[number]),
                draws::incrementAndGet,
                failures::add);
        keeperProcesses[number] = keeper;
        addresses[number] = (InetSocketAddress)
                keeper.listen().syncUninterruptibly().channel().localAddress();
        nodeLinks[number].connectTo(addresses[number]);
        for (int from = 0; from < count; from++) {
            keeperLinks[from][number].connectTo(addresses[number]);
        }
        return keeper;
    }

    /** Stops a keeper as a kill would, except that records in the writer's queue are still written. */
    void stop(int number) throws IOException, InterruptedException {
        keeperProcesses[number].close();
        disks[number].close();
        keeperProcesses[number] = null;
    }

    Keeper keeper(int number) {
        return keeperProcesses[number];
    }

    InetSocketAddress addresses(int keeper) {
        return addresses[keeper];
    }

    /** Cuts the links between a keeper and the others, or restores them. */
    void isolate(int number, boolean cut) {
        for (int other = 0; other < count; other++) {
            for (BreakableProxy link : List.of(keeperLinks[number][other], keeperLinks[other][number])) {
                if (cut) {
                    link.cut();
                } else {
                    link.join();
                }
            }
        }
    }

    BreakableProxy nodeLinks(int keeper) {
        return nodeLinks[keeper];
    }

    // ---------------------------------------------------------------- calls

    private HttpRequest.Builder request(int keeper, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + addresses[keeper].getPort() + path))
                .timeout(Duration.ofSeconds(40));
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> post(int keeper, String path, String body) {
        return send(request(keeper, path)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    HttpResponse<String> get(int keeper, String path) {
        return send(request(keeper, path).GET().build()).join();
    }

    CompletableFuture<HttpResponse<String>> change(int keeper, String id, long base, String set) {
        return post(keeper, "/rollout/change", "{\"id\":\"" + id + "\",\"base\":" + base + ",\"set\":" + set + "}");
    }

    Json status(int keeper, String query) throws IOException {
        HttpResponse<String> response = get(keeper, "/rollout/status" + query);
        if (response.statusCode() != 200) {
            throw new AssertionError(response.statusCode() + " " + response.body());
        }
        return Json.read(response.body().getBytes(StandardCharsets.UTF_8));
    }

    /** Polls the status until a number of nodes has a version in force. */
    Json awaitInForce(int keeper, long rev, int count) throws IOException {
        return awaitStatus(
                keeper,
                "?rev=" + rev,
                status -> status.path("in_force").path("count").asLong(-1) == count,
                "version not in force at " + count + " nodes");
    }

    /** Polls the status until a keeper has learned a version or a later one. */
    void awaitNewest(int keeper, long rev) throws IOException {
        awaitStatus(
                keeper,
                "",
                status -> status.path("newest").asLong(-1) >= rev,
                "keeper " + keeper + " did not learn version " + rev);
    }

    private Json awaitStatus(int keeper, String query, Predicate<Json> reached, String failure) throws IOException {
        long until = System.nanoTime() + STATUS_TIMEOUT_NANOS;
        while (true) {
            Json status = status(keeper, query);
            if (reached.test(status)) {
                return status;
            }
            if (System.nanoTime() > until) {
                throw new AssertionError(
                        failure + ": " + get(keeper, "/rollout/status").body());
            }
        }
    }

    /** Opens a watch on a raw connection; the caller reads it. */
    Socket watch(int keeper, long after, int node) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(addresses[keeper]);
        socket.setSoTimeout(30_000);
        socket.getOutputStream()
                .write(("GET /rollout/watch?after=" + after + "&node=" + node
                                + "&life=1 HTTP/1.1\r\nHost: keeper\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    // ---------------------------------------------------------------- nodes

    /** Watch of a node, and the configuration in force at it. */
    final class Node {
        final LinkedBlockingQueue<Long> revs = new LinkedBlockingQueue<>();
        final RecordingLog log = new RecordingLog();
        final PollingLoop loop = nextLoop();
        final RolloutWatch watch;
        volatile SortedMap<String, String> values = new TreeMap<>();

        Node(int number, List<InetSocketAddress> dialed) {
            EventLoopClock time = EventLoopClock.of(loop);
            Subscriber subscriber = new Subscriber(
                    parameters,
                    new ConfigRules(),
                    number,
                    1,
                    dialed.size(),
                    0,
                    new TreeMap<>(),
                    draws.incrementAndGet(),
                    time.nowUs());
            watch = new RolloutWatch(
                    loop,
                    NioNetwork.SYSTEM,
                    time,
                    dialed,
                    subscriber,
                    number,
                    1,
                    new SocketBudget(1_024),
                    (rev, all) -> {
                        values = all;
                        revs.add(rev);
                    },
                    log);
            watch.start();
        }

        /** Waits until this version or a later one is in force. */
        void awaitInForce(long rev) throws InterruptedException {
            Long found = 0L;
            while (found < rev) {
                found = revs.poll(30, TimeUnit.SECONDS);
                if (found == null) {
                    throw new AssertionError("version " + rev + " did not arrive: " + log.all());
                }
            }
        }
    }

    /** Starts a node that connects to these keepers. */
    Node node(int number, Integer... dialed) {
        Node node = new Node(
                number,
                List.of(dialed).stream().map(k -> nodeLinks[k].address()).toList());
        nodesStarted.add(node);
        return node;
    }

    @Override
    public void close() throws IOException {
        try {
            stopAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private void stopAll() throws IOException, InterruptedException {
        for (Node node : nodesStarted) {
            node.loop.submit(node.watch::close).sync();
        }
        for (int k = 0; k < count; k++) {
            if (keeperProcesses[k] != null) {
                stop(k);
            }
        }
        for (SelectorLoop loop : loops) {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        proxyGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Waits for the result of a call, with failures unwrapped. */
    static <T> T join(CompletableFuture<T> call) {
        try {
            return call.join();
        } catch (CompletionException e) {
            throw new AssertionError(e.getCause());
        }
    }
}
