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
 * Keepers and nodes over real sockets, each with a loop of its own, and switches on all ways between them.
 */
final class Keepers implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Path root;
    private final ProtocolParameters terms;
    private final int nodes;
    private final int count;
    /** Of the ways between. */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** Dealt in turn to keepers and nodes. */
    private final List<SelectorLoop> loops =
            Stream.generate(SelectorLoop::open).limit(4).toList();

    private int dealt;
    /** Ways from a keeper to another one, and the nodes' ways to each. */
    private final Switch[][] between;

    private final Switch[] toNodes;
    private final List<Voter> voters = new ArrayList<>();
    private final Keeper[] keepers;
    private final FolderDisk[] disks;
    private final InetSocketAddress[] at;
    final Lines[] lines;
    final LinkedBlockingQueue<Exception> failed = new LinkedBlockingQueue<>();
    private final AtomicLong draws = new AtomicLong(7);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Node> started = new ArrayList<>();

    /** The first ones vote. */
    Keepers(Path root, int count, int voting, int nodes, ProtocolParameters terms) throws IOException {
        this.root = root;
        this.count = count;
        this.nodes = nodes;
        this.terms = terms;
        between = new Switch[count][count];
        toNodes = new Switch[count];
        keepers = new Keeper[count];
        disks = new FolderDisk[count];
        at = new InetSocketAddress[count];
        lines = new Lines[count];
        for (int k = 0; k < count; k++) {
            lines[k] = new Lines();
            toNodes[k] = new Switch(group);
            for (int other = 0; other < count; other++) {
                between[k][other] = new Switch(group);
            }
            if (k < voting) {
                try (FolderDisk disk = FolderDisk.openForWriting(folder(k))) {
                    voters.add(Voter.parse(Keeper.initializeFolder(disk, k, draws::incrementAndGet, lines[k])));
                }
            }
        }
    }

    Path folder(int keeper) {
        return root.resolve("keeper-" + keeper);
    }

    /** Starts all, and waits until each serves. */
    Keepers serving() throws Exception {
        for (int k = 0; k < count; k++) {
            start(k, disk -> disk);
        }
        for (int k = 0; k < count; k++) {
            lines[k].await(0, " serves;");
        }
        return this;
    }

    private PollingLoop nextLoop() {
        return loops.get(dealt++ % loops.size());
    }

    Keeper start(int number, UnaryOperator<Disk> disk) throws IOException {
        PollingLoop loop = nextLoop();
        List<InetSocketAddress> others = new ArrayList<>();
        for (int other = 0; other < count; other++) {
            others.add(between[number][other].address());
        }
        disks[number] = FolderDisk.openForWriting(folder(number));
        Keeper keeper = Keeper.open(
                new KeeperSettings(number, others, ANY_PORT, folder(number), voters, nodes),
                terms,
                new ConfigRules(),
                new Keeper.Environment(loop, NioNetwork.SYSTEM, EventLoopClock.of(loop), lines[number]),
                disk.apply(disks[number]),
                draws::incrementAndGet,
                failed::add);
        keepers[number] = keeper;
        at[number] = (InetSocketAddress)
                keeper.listen().syncUninterruptibly().channel().localAddress();
        toNodes[number].to(at[number]);
        for (int from = 0; from < count; from++) {
            between[from][number].to(at[number]);
        }
        return keeper;
    }

    /** Ends it as a kill does, but for what its thread was just writing. */
    void stop(int number) throws IOException, InterruptedException {
        keepers[number].close();
        disks[number].close();
        keepers[number] = null;
    }

    Keeper keeper(int number) {
        return keepers[number];
    }

    InetSocketAddress at(int keeper) {
        return at[keeper];
    }

    /** Cuts a keeper off from the others, or joins it again. */
    void cutOff(int number, boolean cut) {
        for (int other = 0; other < count; other++) {
            for (Switch way : List.of(between[number][other], between[other][number])) {
                if (cut) {
                    way.cut();
                } else {
                    way.join();
                }
            }
        }
    }

    Switch toNodes(int keeper) {
        return toNodes[keeper];
    }

    // ---------------------------------------------------------------- calls

    private HttpRequest.Builder request(int keeper, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at[keeper].getPort() + path))
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
        HttpResponse<String> told = get(keeper, "/rollout/status" + query);
        if (told.statusCode() != 200) {
            throw new AssertionError(told.statusCode() + " " + told.body());
        }
        return Json.read(told.body().getBytes(StandardCharsets.UTF_8));
    }

    /** Asks again until so many nodes have a version in force. */
    Json awaitInForce(int keeper, long rev, int many) throws IOException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (true) {
            Json status = status(keeper, "?rev=" + rev);
            if (status.path("in_force").path("count").asLong(-1) == many) {
                return status;
            }
            if (System.nanoTime() > until) {
                throw new AssertionError("never in force at " + many + ": "
                        + get(keeper, "/rollout/status").body());
            }
        }
    }

    /** A connection that has asked for a watch, and is read by whoever has it. */
    Socket watch(int keeper, long after, int node) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(at[keeper]);
        socket.setSoTimeout(30_000);
        socket.getOutputStream()
                .write(("GET /rollout/watch?after=" + after + "&node=" + node
                                + "&life=1 HTTP/1.1\r\nHost: keeper\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    // ---------------------------------------------------------------- nodes

    /** A node's watch, and what was put in force at it. */
    final class Node {
        final LinkedBlockingQueue<Long> revs = new LinkedBlockingQueue<>();
        final Lines said = new Lines();
        final PollingLoop loop = nextLoop();
        final RolloutWatch watch;
        volatile SortedMap<String, String> values = new TreeMap<>();

        Node(int number, List<InetSocketAddress> dialed) {
            EventLoopClock time = EventLoopClock.of(loop);
            Subscriber machine = new Subscriber(
                    terms,
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
                    machine,
                    number,
                    1,
                    new SocketBudget(1_024),
                    (rev, all) -> {
                        values = all;
                        revs.add(rev);
                    },
                    said);
            watch.start();
        }

        /** Waits until this version or a later one is in force. */
        void awaitInForce(long rev) throws InterruptedException {
            Long found = 0L;
            while (found < rev) {
                found = revs.poll(30, TimeUnit.SECONDS);
                if (found == null) {
                    throw new AssertionError("version " + rev + " did not come: " + said.all());
                }
            }
        }
    }

    /** One that dials these keepers. */
    Node node(int number, Integer... dialed) {
        Node node = new Node(
                number, List.of(dialed).stream().map(k -> toNodes[k].address()).toList());
        started.add(node);
        return node;
    }

    @Override
    public void close() throws IOException {
        try {
            end();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private void end() throws IOException, InterruptedException {
        for (Node node : started) {
            node.loop.submit(node.watch::close).sync();
        }
        for (int k = 0; k < count; k++) {
            if (keepers[k] != null) {
                stop(k);
            }
        }
        for (SelectorLoop loop : loops) {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** What came of a call, without its wrapping. */
    static <T> T of(CompletableFuture<T> call) {
        try {
            return call.join();
        } catch (CompletionException e) {
            throw new AssertionError(e.getCause());
        }
    }
}
