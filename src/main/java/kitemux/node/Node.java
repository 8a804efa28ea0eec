package kitemux.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.ServiceQBalancer;
import kitemux.config.ClassArchive;
import kitemux.config.ConfigException;
import kitemux.discovery.Discovery;
import kitemux.discovery.PushedListWatcher;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.Observer;
import kitemux.engine.SendGate;
import kitemux.engine.Transport;
import kitemux.http.ClientRequest;
import kitemux.http.ClientServer;
import kitemux.http.ConnectionObserver;
import kitemux.http.HttpServers;
import kitemux.http.RequestReader;
import kitemux.http.ShutdownSchedule;
import kitemux.load.CaptureWriter;
import kitemux.load.LoadSettings;
import kitemux.net.EventLoopClock;
import kitemux.net.HostList;
import kitemux.net.Network;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;
import kitemux.net.SelectorLoop;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;
import kitemux.ops.Operations;
import kitemux.orders.OrderJournal;
import kitemux.orders.OrderRecorder;
import kitemux.telemetry.RequestTrace;
import kitemux.telemetry.TraceSettings;

/**
 * A real node: clients' and servers' connections, the watch on the list, the engine between them and its
 * module, all on one event loop. It only wires them together, and owns their start, reload and end.
 */
public final class Node {
    /** Between two looks at what is too old. */
    private static final long HOUSEKEEPING_MS = 200;
    /** A loop that was held up for so long is told of: half of the time after which an answer that was due
     * meanwhile counts as none. */
    private static final long HELD_UP_US = 250_000;
    /** For an agent to tell what it has, which it does at once unless discovery is down. */
    private static final long FIRST_LIST_MS = 1_000;
    /** The exit code of a process that could not start for another reason than its configuration. */
    private static final int START_FAILED = 1;

    private final NodeConfig config;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final ServerPool<ClientRequest, ServerResponse> pool;
    private final ClientServer clients;
    private final Discovery discovery;
    /** Where lists are pushed; null where the module asks for them, or the file names all servers. */
    private final PushedListWatcher pushed;

    private final Engine<ClientRequest, ServerResponse> engine;
    private final EventLoopClock time;
    private final Log log;
    /** What operators may do while it runs; null where no address is given for it. */
    private final Operations operations;

    private boolean listening;
    /** Open until discovery has told something. */
    private final CountDownLatch firstList = new CountDownLatch(1);

    private boolean begun;
    private Future<?> housekeeping;
    private Future<?> beating;

    /**
     * What a node stands on and may be given anew.
     *
     * @param network where channels come from
     * @param time the loop's
     * @param log for the operators
     * @param observer told what becomes of requests
     * @param connectionObserver told what becomes of clients' connections
     * @param sendGate stands before each attempt
     * @param balancerFactory makes the decision module
     * @param transportDecorator stands before the servers' connections, or is those themselves
     */
    public record Dependencies(
            Network network,
            EventLoopClock time,
            Log log,
            Observer observer,
            ConnectionObserver connectionObserver,
            SendGate<ClientRequest> sendGate,
            Function<Balancer.Actions, Balancer> balancerFactory,
            UnaryOperator<Transport<ClientRequest, ServerResponse>> transportDecorator) {

        /** The system's sockets and clock, and nothing in between. */
        static Dependencies system(PollingLoop loop, Log log, Function<Balancer.Actions, Balancer> module) {
            return new Dependencies(
                    NioNetwork.SYSTEM,
                    EventLoopClock.of(loop),
                    log,
                    Observer.NONE,
                    ConnectionObserver.NONE,
                    SendGate.alwaysOpen(),
                    module,
                    UnaryOperator.identity());
        }

        /** The same with a keeper of orders, or with none where that is null. */
        Dependencies withOrderRecorder(EventLoopClock keepersTime, OrderRecorder<ClientRequest> keeper) {
            return keeper == null
                    ? this
                    : new Dependencies(
                            network,
                            keepersTime,
                            log,
                            keeper,
                            connectionObserver,
                            keeper,
                            balancerFactory,
                            transportDecorator);
        }

        /** The same with one more who is told of requests, or with none where that is null. */
        Dependencies withObserver(Observer also) {
            return also == null
                    ? this
                    : new Dependencies(
                            network,
                            time,
                            log,
                            observer.andThen(also),
                            connectionObserver,
                            sendGate,
                            balancerFactory,
                            transportDecorator);
        }

        /** The same with a trace of requests and connections, or with none where that is null. */
        Dependencies withTrace(RequestTrace trace) {
            return trace == null
                    ? this
                    : new Dependencies(
                            network,
                            time,
                            log,
                            observer.andThen(trace),
                            trace,
                            sendGate,
                            balancerFactory,
                            transportDecorator);
        }
    }

    Node(NodeConfig config, PollingLoop loop, Log log) {
        this(config, loop, Dependencies.system(loop, log, module(config)));
    }

    private static Function<Balancer.Actions, Balancer> module(NodeConfig config) {
        return actions -> new ServiceQBalancer(config.settings(), config.seed(), actions);
    }

    /** A node that is not started; the loop is the thread that owns it from then on. */
    public Node(NodeConfig config, EventLoop loop, Dependencies parts) {
        this.config = config;
        this.loop = loop;
        log = parts.log();
        time = parts.time();
        sockets = new SocketBudget(config.maxSockets());
        operations = config.managementAddress() == null ? null : operations(parts);
        pool = new ServerPool<>(
                loop,
                parts.network(),
                sockets,
                parts.time(),
                config.settings().connectTimeoutUs,
                config.connIdleUs(),
                new HttpServers(parts.time(), config.settings(), parts.network().allocator(), log));
        discovery = new Discovery(
                loop,
                parts.network(),
                config.discovery(),
                config.settings().zones,
                config.initialServers().revision(),
                Discovery.MAX_SILENCE_US,
                config.seed(),
                new Discovery.Listener() {
                    @Override
                    public void onList(HostList list) {
                        if (pushed != null) {
                            pushed.onUpdate();
                        }
                        list(list, list.isFull() ? ListKind.FULL : ListKind.CHANGES);
                        firstList.countDown();
                    }

                    @Override
                    public void onMoved() {
                        if (pushed != null) {
                            pushed.onUpdate();
                        }
                        // The module waits longer with each call that fails, and these were to another place:
                        // that nothing has changed is what lets it begin anew.
                        engine.updateServers(ListKind.CHANGES, List.of(), () -> {});
                    }

                    @Override
                    public void onFailure(String reason) {
                        log.info("discovery: " + reason);
                        engine.reportListFailure();
                        if (pushed != null) {
                            pushed.onFailure();
                        }
                    }
                },
                log);
        pushed = config.settings().listOnRequest || config.namesAllServers()
                ? null
                : new PushedListWatcher(time, discovery::subscribe, config.seed());
        engine = new Engine<>(
                config.settings().maxAttempts,
                parts.time(),
                parts.transportDecorator().apply(pool),
                discovery,
                operations == null ? parts.observer() : parts.observer().andThen(operations.observer()),
                parts.sendGate(),
                log,
                parts.balancerFactory());
        clients = new ClientServer(
                loop,
                parts.network(),
                new RequestReader(config.settings()),
                sockets,
                engine,
                parts.time(),
                ofClass -> {
                    if (operations != null) {
                        operations.recordRejectedRequest(ofClass);
                    }
                },
                parts.connectionObserver(),
                log);
    }

    private Operations operations(Dependencies parts) {
        Operations.NodeControl served = new Operations.NodeControl() {
            @Override
            public void updateServers(List<HostList.Host> hosts) {
                put(new HostList(0, false, hosts), ListKind.CHANGES);
            }

            @Override
            public void setDraining(boolean away) {
                clients.setDraining(away);
            }

            @Override
            public boolean isAcceptingClients() {
                return listening && clients.isUp();
            }

            @Override
            public long dispatchCount() {
                return pool.writtenRequestCount();
            }

            @Override
            public int ejectedServerCount() {
                return engine.ejectedServerCount();
            }
        };
        try {
            return new Operations(
                    served,
                    loop,
                    loop,
                    time,
                    sockets,
                    config.settings().classes,
                    config.stateFolder(),
                    config.listen(),
                    parts.log());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---------------------------------------------------------------- start and end

    /**
     * Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2.
     *
     * @return reads the configuration again, as SIGHUP does, from any thread
     */
    public static Runnable run(Map<String, String> env) {
        return run(env, new StderrLog());
    }

    /** The same; lines for the operators go to this log once the configuration has been read. */
    public static Runnable run(Map<String, String> env, Log log) {
        try {
            return begin(env, log);
        } catch (Exception | LinkageError e) {
            // The loop's thread would keep a process alive that never listens. The network library throws
            // what its futures fail with, also checked exceptions.
            System.err.println("kitemux: the start failed: " + e);
            System.exit(START_FAILED);
            throw new IllegalStateException("the process has ended", e);
        }
    }

    private static Runnable begin(Map<String, String> env, Log log) {
        // Else the network library looks for loggers that only other commands bring, and loads them.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        NodeConfig config;
        try {
            config = NodeConfig.read(env);
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended");
        }
        List<String> faults = new ArrayList<>();
        OperatorSettings operator = OperatorSettings.read(env, config.settings(), faults);
        if (!faults.isEmpty()) {
            faults.forEach(fault -> System.err.println("kitemux: " + fault));
            System.exit(2);
        }
        PollingLoop loop = newLoop();
        EventLoopClock time = EventLoopClock.of(loop);
        OrderJournal orders = null;
        if (operator.orders() != null) {
            try {
                orders = OrderJournal.open(operator.orders(), time, loop, log::info);
            } catch (IOException e) {
                System.err.println("kitemux: orders.folder cannot be used: " + e.getMessage());
                System.exit(2);
            }
        }
        Observer recorder = null;
        Runnable endOfCapture = () -> {};
        if (operator.load() != null) {
            try {
                CaptureWriter capture = capture(operator.load(), config, log);
                recorder = capture.recorder(time);
                endOfCapture = capture::close;
            } catch (IOException e) {
                System.err.println("kitemux: load.folder cannot be used: " + e.getMessage());
                System.exit(2);
            }
        }
        RequestTrace trace = operator.trace() == null ? null : trace(operator.trace(), config, time, log);
        Node node;
        try {
            node = new Node(
                    config,
                    loop,
                    Dependencies.system(loop, log, module(config))
                            .withOrderRecorder(
                                    time,
                                    orders == null ? null : orders.recorder(operator.orders(), config.settings(), time))
                            .withObserver(recorder)
                            .withTrace(trace));
        } catch (UncheckedIOException e) {
            System.err.println("kitemux: TMPDIR cannot be used: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended");
        }
        Runnable reload = Reload.onHangUp(env, node, log);
        if (config.managementAddress() != null) {
            // Before it warms up, so that who asks hears that it takes no clients yet.
            orEnd("mgmt " + config.managementAddress(), node.listenForOperators());
        }
        log.info("warming up");
        node.begin();
        WarmUp.run(config, loop, log);
        node.awaitFirstList();
        OrderJournal journal = orders;
        Runnable captureEnds = endOfCapture;
        // Before clients can connect: one that comes before it stands would be left without an answer.
        StartupGate opening = new StartupGate(node::start);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                long signalUs = time.nowUs();
                                if (opening.close()) {
                                    CountDownLatch empty = new CountDownLatch(1);
                                    node.drain(
                                            signalUs,
                                            node.operations != null && node.operations.isReplaced(),
                                            empty::countDown);
                                    empty.await();
                                }
                                captureEnds.run();
                                if (trace != null) {
                                    trace.close();
                                }
                                if (journal != null) {
                                    // What the last answers told is still on its way to the disk.
                                    journal.close();
                                }
                            } catch (IOException e) {
                                log.info("orders: the journal could not be closed: " + e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        ChannelFuture listens = opening.open();
        if (listens != null) {
            orEnd("listen " + config.listen(), listens);
            tellOfUnusedArchive(log);
            log.info("listening on " + config.listen());
        }
        if (operator.rollout() != null) {
            RolloutLink.start(operator.rollout().keepers(), config, loop, time, node.sockets, node::discoveryIs, log);
        }
        return reload;
    }

    /** Begins the trace; where its folder cannot be used the program ends. */
    private static RequestTrace trace(TraceSettings settings, NodeConfig config, EventLoopClock time, Log log) {
        try {
            return RequestTrace.open(settings, "node-" + config.listen().getPort(), time, log::info);
        } catch (IOException e) {
            System.err.println("kitemux: trace.folder cannot be used: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended", e);
        }
    }

    private static CaptureWriter capture(LoadSettings settings, NodeConfig config, Log log) throws IOException {
        return new CaptureWriter(
                settings,
                config.listen().getHostString() + ":" + config.listen().getPort(),
                config.settings().classes.stream()
                        .map(Balancer.RequestClass::name)
                        .toList(),
                config.settings().tenants.stream().map(Balancer.Tenant::name).toList(),
                () -> ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
                log::info);
    }

    /** Waits until an address is listened at; where it cannot be, the program ends. */
    private static void orEnd(String what, ChannelFuture opening) {
        if (!opening.awaitUninterruptibly().isSuccess()) {
            System.err.println("kitemux: " + what + ": " + opening.cause().getMessage());
            System.exit(2);
        }
    }

    /** To be called once clients can connect: the start that was slow by it is over. */
    private static void tellOfUnusedArchive(Log log) {
        try {
            ClassArchive.findUnused(Path.of("/proc/self"))
                    .ifPresent(archive -> log.info("the class archive "
                            + archive + " is missing, or was made from another jar or by another JVM: starts take "
                            + "more than need be until it is made anew"));
        } catch (IOException e) {
            // Not on this system: nothing is known of it, and nothing but the word is lost.
        }
    }

    static PollingLoop newLoop() {
        return SelectorLoop.open();
    }

    /** Listens for operators, where an address is given for them; the future is done once they can call. */
    ChannelFuture listenForOperators() {
        return operations.listen(config.managementAddress());
    }

    /** Follows the list from now on, without serving yet. */
    private void begin() {
        begun = true;
        loop.execute(() -> {
            list(config.initialServers(), ListKind.CACHED);
            if (pushed != null) {
                pushed.start();
            }
        });
    }

    /**
     * Where lists are pushed, what the agent has counts as told from the first moment of this process: it
     * waits for that, but not for an agent that has nothing to say.
     */
    private void awaitFirstList() {
        if (pushed != null) {
            try {
                firstList.await(FIRST_LIST_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Begins to serve; the future is done once clients can connect. */
    public ChannelFuture start() {
        if (!begun) {
            begin();
        }
        // What it did before it serves, such as its rehearsal, held nobody up.
        loop.execute(time::tick);
        housekeeping = loop.scheduleAtFixedRate(
                () -> {
                    pool.closeExpiredConnections();
                    clients.closeExpired();
                },
                HOUSEKEEPING_MS,
                HOUSEKEEPING_MS,
                TimeUnit.MILLISECONDS);
        beating = loop.scheduleWithFixedDelay(this::beat, 0, EventLoopClock.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return clients.listen(config.listen(), operations != null).addListener(opened -> {
            listening = opened.isSuccess();
            if (listening && operations != null) {
                operations.markServing();
            }
        });
    }

    private void beat() {
        long lateUs = time.tick();
        if (lateUs >= HELD_UP_US) {
            log.info("loop held up for " + lateUs / 1_000 + " ms with " + engine.pendingCount()
                    + " requests open: this process had no processor, or one turn took so long");
        }
    }

    /**
     * Takes over what may change while a node runs: where discovery is, or servers where nobody else
     * tells.
     */
    public void reload(NodeConfig changed) {
        loop.execute(() -> {
            if (changed.namesAllServers()) {
                list(changed.initialServers(), ListKind.FULL);
            } else {
                discovery.setAddress(changed.discovery());
            }
            tellOfReload(true);
        });
    }

    /** Discovery is elsewhere from now on, unless the file names all servers; on the loop. */
    private void discoveryIs(InetSocketAddress at) {
        if (!config.namesAllServers()) {
            discovery.setAddress(at);
        }
    }

    /** The configuration cannot be read: what holds stays. */
    void reloadFailed() {
        loop.execute(() -> tellOfReload(false));
    }

    private void tellOfReload(boolean taken) {
        if (operations != null) {
            operations.recordReload(taken);
        }
    }

    /**
     * Says no to the front, serves what still comes, and calls back once nothing is held.
     *
     * @param replaced whether another process takes clients at the same address
     */
    public void drain(boolean replaced, Runnable whenEmpty) {
        drain(time.nowUs(), replaced, whenEmpty);
    }

    /**
     * The same.
     *
     * @param signalUs when the process learned that it has to end
     */
    private void drain(long signalUs, boolean replaced, Runnable whenEmpty) {
        long longestUs = config.settings().classes.stream()
                .mapToLong(Balancer.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(signalUs, longestUs, replaced);
        loop.execute(() -> clients.shutDown(schedule, replaced, whenEmpty));
    }

    /** Lets go of all sockets and timers at once. */
    public void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            beating.cancel(false);
            clients.close();
            pool.close();
            if (pushed != null) {
                pushed.stop();
            }
            discovery.close();
            engine.close();
            if (operations != null) {
                operations.close();
            }
        });
    }

    private void list(HostList list, ListKind kind) {
        put(operations == null ? list : operations.applyOverrides(list), kind);
    }

    private void put(HostList list, ListKind kind) {
        engine.updateServers(kind, list.entries(), () -> pool.update(list));
    }

    // ---------------------------------------------------------------- what stands, for whoever checks

    /** The engine; to be looked at on the loop alone. */
    public Engine<ClientRequest, ServerResponse> engine() {
        return engine;
    }

    /** Descriptors that the node believes to be open; to be looked at on the loop alone. */
    public int openSockets() {
        return sockets.openCount();
    }
}
