package kitemux.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
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
import java.util.function.Supplier;
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
import kitemux.http.MemoryAccount;
import kitemux.http.RequestReader;
import kitemux.http.ShutdownSchedule;
import kitemux.load.CaptureWriter;
import kitemux.load.LoadSettings;
import kitemux.net.BufferUsage;
import kitemux.net.EndpointOwners;
import kitemux.net.EventLoopClock;
import kitemux.net.HeapUsage;
import kitemux.net.HostList;
import kitemux.net.LoopUsage;
import kitemux.net.Network;
import kitemux.net.NioNetwork;
import kitemux.net.NodeUsage;
import kitemux.net.PollingLoop;
import kitemux.net.ProcessorWaitSampler;
import kitemux.net.SelectorLoop;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;
import kitemux.net.SocketBuffers;
import kitemux.net.TcpMemorySampler;
import kitemux.ops.Operations;
import kitemux.orders.OrderJournal;
import kitemux.orders.OrderRecorder;
import kitemux.telemetry.RequestTrace;
import kitemux.telemetry.TraceSettings;

/**
 * A load-balancing proxy node. It connects the client and server connections, the discovery watch, the engine and the
 * balancer, all of which run on one event loop, and it owns their start, reload and shutdown.
 */
public final class Node {
    /** Interval at which expired connections and requests are closed. */
    private static final long HOUSEKEEPING_INTERVAL_MS = 200;
    /**
     * Delay of the event loop from which a warning is logged. It is half of the time after which a response that was
     * due during the delay counts as missing.
     */
    private static final long LOOP_STALL_WARNING_US = 250_000;
    /**
     * Longest wait at startup for the first pushed server list. The agent sends its list at once unless discovery is
     * down.
     */
    private static final long FIRST_LIST_TIMEOUT_MS = 1_000;

    private static final long BYTES_PER_MEGABYTE = 1_000_000;
    /** Exit code of a process that could not start for a reason other than its configuration. */
    private static final int START_FAILED_EXIT_CODE = 1;
    /** Exit code of a process whose event loop has ended. */
    private static final int LOOP_ENDED_EXIT_CODE = 4;

    private final NodeConfig config;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final MemoryAccount memory;
    private final ServerPool<ClientRequest, ServerResponse> serverPool;
    private final ClientServer clientServer;
    private final Discovery discovery;
    /** Watches pushed server lists; null if the balancer requests lists or the configuration names all servers. */
    private final PushedListWatcher pushedListWatcher;

    private final Engine<ClientRequest, ServerResponse> engine;
    private final EventLoopClock clock;
    private final Log log;
    /** The management interface; null if no management address is configured. */
    private final Operations operations;
    /** Shares the server list with other processes of the node; null without operations, or if no list is told. */
    private final ServerListSharing serverListSharing;

    private final EndpointOwners endpointOwners = new EndpointOwners();
    private boolean listening;
    /** Stalls of the event loop that were logged. */
    private long stallCount;

    private long longestStallUs;
    /** Released when discovery has delivered its first server list. */
    private final CountDownLatch firstListReceived = new CountDownLatch(1);

    private boolean isBootstrapped;
    private Future<?> housekeepingTask;
    private Future<?> tickTask;

    /**
     * The collaborators of a node; tests and simulations may replace them.
     *
     * @param network source of channels
     * @param time clock of the event loop
     * @param log log for the operators
     * @param observer receives request events
     * @param connectionObserver receives events of client connections
     * @param sendGate admits each attempt before it is sent
     * @param balancerFactory creates the balancer
     * @param transportDecorator wraps the server pool's transport, or returns it unchanged
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

        /** Returns the system's sockets and clock, without observers, gate or transport wrapper. */
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

        /** Returns a copy that records orders; returns this if the recorder is null. */
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

        /** Returns a copy with an additional request observer; returns this if the observer is null. */
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

        /** Returns a copy that traces requests and connections; returns this if the trace is null. */
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
        this(config, loop, Dependencies.system(loop, log, balancerFactory(config)));
    }

    private static Function<Balancer.Actions, Balancer> balancerFactory(NodeConfig config) {
        return actions -> new ServiceQBalancer(config.settings(), config.seed(), actions);
    }

    /** Creates a node without starting it. From then on only the thread of {@code loop} may access its state. */
    public Node(NodeConfig config, EventLoop loop, Dependencies dependencies) {
        this.config = config;
        this.loop = loop;
        log = dependencies.log();
        clock = dependencies.time();
        sockets = new SocketBudget(config.maxSockets(), SocketBuffers.forSystem(config.maxSockets()));
        memory = memoryAccount(config.maxMemoryBytes(), log);
        operations = config.managementAddress() == null ? null : operations(dependencies);
        serverPool = new ServerPool<>(
                loop,
                dependencies.network(),
                sockets,
                dependencies.time(),
                config.settings().connectTimeoutUs,
                config.connIdleUs(),
                new HttpServers(
                        dependencies.time(),
                        config.settings(),
                        dependencies.network().allocator(),
                        memory.responses(),
                        log));
        discovery = new Discovery(
                loop,
                dependencies.network(),
                sockets.buffers(),
                config.discovery(),
                config.settings().zones,
                config.initialServers().revision(),
                Discovery.MAX_SILENCE_US,
                config.seed(),
                new Discovery.Listener() {
                    @Override
                    public void onList(HostList list) {
                        if (pushedListWatcher != null) {
                            pushedListWatcher.onUpdate();
                        }
                        if (serverListSharing != null) {
                            serverListSharing.onTold(list);
                        }
                        updateServerList(list, list.isFull() ? ListKind.FULL : ListKind.CHANGES);
                        firstListReceived.countDown();
                    }

                    @Override
                    public void onMoved() {
                        if (pushedListWatcher != null) {
                            pushedListWatcher.onUpdate();
                        }
                        // The balancer backs off after each failed call, but those calls went to the previous address.
                        // An empty update resets its backoff.
                        engine.updateServers(ListKind.CHANGES, List.of(), () -> {});
                    }

                    @Override
                    public void onFailure(String reason) {
                        log.info("discovery: " + reason);
                        engine.reportListFailure();
                        if (pushedListWatcher != null) {
                            pushedListWatcher.onFailure();
                        }
                    }
                },
                log);
        serverListSharing = operations == null || config.namesAllServers()
                ? null
                : new ServerListSharing(
                        operations,
                        config.settings().zones,
                        discovery,
                        loop,
                        clock,
                        log,
                        config.initialServers(),
                        endpointOwners::withoutSuperseded,
                        // It is no answer of discovery: a call that is due stays due.
                        news -> updateServerList(news, ListKind.OVERRIDES));
        pushedListWatcher = config.settings().listOnRequest || config.namesAllServers()
                ? null
                : new PushedListWatcher(clock, discovery::subscribe, config.seed());
        engine = new Engine<>(
                config.settings().maxAttempts,
                dependencies.time(),
                dependencies.transportDecorator().apply(serverPool),
                discovery,
                operations == null
                        ? dependencies.observer()
                        : dependencies.observer().andThen(operations.observer()),
                dependencies.sendGate(),
                log,
                dependencies.balancerFactory());
        clientServer = new ClientServer(
                loop,
                dependencies.network(),
                new RequestReader(config.settings()),
                sockets,
                engine,
                dependencies.time(),
                memory,
                classIndex -> {
                    if (operations != null) {
                        operations.recordRejectedRequest(classIndex);
                    }
                },
                dependencies.connectionObserver(),
                log);
        if (operations != null) {
            operations.applyInitialDrain();
        }
    }

    /** Returns an account with which this process stays below its limit of memory. */
    private static MemoryAccount memoryAccount(long maxMemoryBytes, Log log) {
        long processBytes = MemoryAccount.processBytes(Runtime.getRuntime().maxMemory());
        if (processBytes <= maxMemoryBytes) {
            return MemoryAccount.full();
        }
        log.info(
                "limits.memory_mb is " + maxMemoryBytes / BYTES_PER_MEGABYTE + ", and with the options of its JVM this "
                        + "process may take " + processBytes / BYTES_PER_MEGABYTE
                        + " MB: it holds less for its clients, and -Xmx should be lower");
        return MemoryAccount.reducedBy(processBytes - maxMemoryBytes);
    }

    private Operations operations(Dependencies dependencies) {
        Operations.NodeControl nodeControl = new Operations.NodeControl() {
            @Override
            public void updateServers(List<HostList.Host> hosts) {
                List<HostList.Host> current = endpointOwners.withoutSuperseded(hosts);
                applyServerList(new HostList(0, false, current), ListKind.OVERRIDES);
            }

            @Override
            public void receiveServerList(byte[] content) {
                if (serverListSharing != null) {
                    serverListSharing.receive(content);
                }
            }

            @Override
            public void setDraining(boolean draining) {
                clientServer.setDraining(draining);
            }

            @Override
            public boolean isAcceptingClients() {
                return listening && clientServer.isTakingClients();
            }

            @Override
            public long dispatchCount() {
                return serverPool.writtenRequestCount();
            }

            @Override
            public int ejectedServerCount() {
                return engine.ejectedServerCount();
            }

            @Override
            public NodeUsage usage() {
                return new NodeUsage(
                        bufferUsage(dependencies.network().allocator()),
                        memory.usages(),
                        sockets.usage(),
                        HeapUsage.current(),
                        clientServer.clientUsage(),
                        new LoopUsage(stallCount, longestStallUs));
            }
        };
        try {
            return new Operations(
                    nodeControl,
                    loop,
                    loop,
                    clock,
                    sockets,
                    config.settings().classes,
                    config.stateFolder(),
                    config.listen(),
                    dependencies.log());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---------------------------------------------------------------- start and shutdown

    /**
     * Runs a node until SIGTERM. A bad configuration ends the process with one line on standard error and exit code 2.
     *
     * @return an action that reads the configuration again, as SIGHUP does; it may be called from any thread
     */
    public static Runnable run(Map<String, String> env) {
        return run(env, new StderrLog());
    }

    /** Runs a node as {@link #run(Map)} does and writes to the given log once the configuration has been read. */
    public static Runnable run(Map<String, String> env, Log log) {
        try {
            return bootstrap(env, log);
        } catch (Exception | LinkageError e) {
            // The event loop's thread would keep alive a process that never listens. Netty futures rethrow their cause,
            // which may be a checked exception.
            System.err.println("kitemux: the start failed: " + e);
            System.exit(START_FAILED_EXIT_CODE);
            throw new IllegalStateException("the process has ended", e);
        }
    }

    private static Runnable bootstrap(Map<String, String> env, Log log) {
        // Without this, Netty searches for logging libraries that only other commands bring, and loads them.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        NodeConfig config;
        try {
            config = NodeConfig.read(env);
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended");
        }
        List<String> errors = new ArrayList<>();
        OperatorSettings operatorSettings = OperatorSettings.read(env, config.settings(), errors);
        if (!errors.isEmpty()) {
            errors.forEach(error -> System.err.println("kitemux: " + error));
            System.exit(2);
        }
        PollingLoop loop = SelectorLoop.open(Node::haltWithoutLoop);
        EventLoopClock clock = EventLoopClock.of(loop);
        OrderJournal orders = null;
        if (operatorSettings.orders() != null) {
            try {
                orders = OrderJournal.open(operatorSettings.orders(), clock, loop, log::info);
            } catch (IOException e) {
                System.err.println("kitemux: orders.folder cannot be used: " + e.getMessage());
                System.exit(2);
            }
        }
        Observer recorder = null;
        Runnable closeCapture = () -> {};
        if (operatorSettings.load() != null) {
            try {
                CaptureWriter capture = openCapture(operatorSettings.load(), config, log);
                recorder = capture.recorder(clock);
                closeCapture = capture::close;
            } catch (IOException e) {
                System.err.println("kitemux: load.folder cannot be used: " + e.getMessage());
                System.exit(2);
            }
        }
        RequestTrace trace =
                operatorSettings.trace() == null ? null : openTrace(operatorSettings.trace(), config, loop, clock, log);
        Node node;
        try {
            node = new Node(
                    config,
                    loop,
                    Dependencies.system(loop, log, balancerFactory(config))
                            .withOrderRecorder(
                                    clock,
                                    orders == null
                                            ? null
                                            : orders.recorder(operatorSettings.orders(), config.settings(), clock))
                            .withObserver(recorder)
                            .withTrace(trace));
        } catch (UncheckedIOException e) {
            System.err.println("kitemux: TMPDIR cannot be used: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended");
        }
        Runnable reload = ConfigReloader.installSighupHandler(env, node, log);
        if (config.managementAddress() != null) {
            // The management interface opens before the warm-up, so that readiness checks are answered (not ready) from
            // then on.
            awaitOrExit("mgmt " + config.managementAddress(), node.listenForOperators());
        }
        log.info("warming up");
        node.bootstrap();
        WarmUp.run(config, loop, log);
        node.awaitFirstList();
        OrderJournal journalToClose = orders;
        Runnable closeCaptureAtShutdown = closeCapture;
        // The shutdown hook is installed before clients can connect. A SIGTERM before that would leave clients without
        // a response.
        StartupGate startupGate = new StartupGate(node::start);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                long signalUs = clock.nowUs();
                                if (startupGate.close()) {
                                    CountDownLatch drained = new CountDownLatch(1);
                                    node.drain(
                                            signalUs,
                                            node.operations != null && node.operations.isReplaced(),
                                            drained::countDown);
                                    drained.await();
                                }
                                closeCaptureAtShutdown.run();
                                if (trace != null) {
                                    trace.close();
                                }
                                if (journalToClose != null) {
                                    // Records of the last responses may still be on their way to the disk.
                                    journalToClose.close();
                                }
                            } catch (IOException e) {
                                log.info("orders: the journal could not be closed: " + e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        ChannelFuture bindFuture = startupGate.open();
        if (bindFuture != null) {
            awaitOrExit("listen " + config.listen(), bindFuture);
            logUnusedClassArchive(log);
            log.info("listening on " + config.listen());
        }
        if (operatorSettings.rollout() != null) {
            RolloutLink.start(
                    operatorSettings.rollout().keepers(),
                    config,
                    loop,
                    clock,
                    node.sockets,
                    node::setDiscoveryAddress,
                    log);
        }
        return reload;
    }

    /** Opens the request trace, or exits the process if its folder cannot be used. */
    private static RequestTrace openTrace(
            TraceSettings settings, NodeConfig config, EventLoop loop, EventLoopClock clock, Log log) {
        try {
            return RequestTrace.open(
                    settings, "node-" + config.listen().getPort(), clock, systemSamplers(loop), log::info);
        } catch (IOException e) {
            System.err.println("kitemux: trace.folder cannot be used: " + e.getMessage());
            System.exit(2);
            throw new IllegalStateException("the process has ended", e);
        }
    }

    /** Returns what the system says of itself beside the trace of the node; called before the loop has any work. */
    private static List<Supplier<String>> systemSamplers(EventLoop loop) {
        Path proc = Path.of("/proc");
        String threadName = loop.submit(() -> Thread.currentThread().getName())
                .syncUninterruptibly()
                .getNow();
        return List.of(new TcpMemorySampler(proc)::sample, new ProcessorWaitSampler(proc, threadName)::sample);
    }

    private static CaptureWriter openCapture(LoadSettings settings, NodeConfig config, Log log) throws IOException {
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

    /** Waits until a listener is bound, or exits the process if it cannot be. */
    private static void awaitOrExit(String setting, ChannelFuture bindFuture) {
        if (!bindFuture.awaitUninterruptibly().isSuccess()) {
            System.err.println("kitemux: " + setting + ": " + bindFuture.cause().getMessage());
            System.exit(2);
        }
    }

    /**
     * Logs a configured class archive that the JVM did not load. It runs once clients can connect, so that it does not
     * delay the start.
     */
    private static void logUnusedClassArchive(Log log) {
        try {
            ClassArchive.findUnused(Path.of("/proc/self"))
                    .ifPresent(archive -> log.info("the class archive "
                            + archive + " is missing, or was made from another jar or by another JVM: starts are "
                            + "slower until it is created again"));
        } catch (IOException e) {
            // The system has no /proc: the check is not possible, and only the log line is lost.
        }
    }

    /**
     * Ends the process at once: without its event loop it would keep its connections and answer nothing, and an orderly
     * shutdown would wait for the loop.
     */
    private static void haltWithoutLoop() {
        try {
            System.err.println("kitemux: the event loop has ended, and the process with it");
        } finally {
            Runtime.getRuntime().halt(LOOP_ENDED_EXIT_CODE);
        }
    }

    static PollingLoop newLoop() {
        return SelectorLoop.open();
    }

    /**
     * Starts the management listener; a management address must be configured. The future completes when it is bound.
     */
    ChannelFuture listenForOperators() {
        return operations.listen(config.managementAddress());
    }

    /** Starts to follow the server list, without serving clients yet. */
    private void bootstrap() {
        isBootstrapped = true;
        loop.execute(() -> {
            if (serverListSharing != null) {
                serverListSharing.loadInitialServers();
            }
            updateServerList(
                    serverListSharing == null ? config.initialServers() : serverListSharing.servers(), ListKind.CACHED);
            if (pushedListWatcher != null) {
                pushedListWatcher.start();
            }
        });
    }

    /**
     * Waits for the first pushed server list, so that no request is served by an outdated one. The wait is bounded, as
     * an agent without a list sends nothing.
     */
    private void awaitFirstList() {
        if (pushedListWatcher != null) {
            try {
                firstListReceived.await(FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Starts to serve clients. The future completes when clients can connect. */
    public ChannelFuture start() {
        if (!isBootstrapped) {
            bootstrap();
        }
        // Work before this point, such as the warm-up, delayed no client and must not be reported as a stall.
        loop.execute(clock::tick);
        housekeepingTask = loop.scheduleAtFixedRate(
                () -> {
                    serverPool.closeExpiredConnections();
                    clientServer.closeExpired();
                },
                HOUSEKEEPING_INTERVAL_MS,
                HOUSEKEEPING_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        tickTask = loop.scheduleWithFixedDelay(this::tick, 0, EventLoopClock.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return clientServer.listen(config.listen(), operations != null).addListener(bound -> {
            listening = bound.isSuccess();
            if (listening && operations != null) {
                operations.markServing();
            }
        });
    }

    private void tick() {
        long delayUs = clock.tick();
        longestStallUs = Math.max(longestStallUs, delayUs);
        if (delayUs >= LOOP_STALL_WARNING_US) {
            stallCount++;
            log.info("loop held up for " + delayUs / 1_000 + " ms with " + engine.pendingCount()
                    + " requests open: this process got no CPU time, or one loop iteration took that long");
        }
    }

    /**
     * Applies the settings that may change at run time: the address of discovery, or the servers if the configuration
     * names all of them.
     */
    public void reload(NodeConfig changedConfig) {
        loop.execute(() -> {
            if (changedConfig.namesAllServers()) {
                updateServerList(changedConfig.initialServers(), ListKind.FULL);
            } else {
                discovery.setAddress(changedConfig.discovery());
            }
            recordReload(true);
        });
    }

    /** Changes the address of discovery, unless the configuration names all servers. Called on the event loop. */
    private void setDiscoveryAddress(InetSocketAddress address) {
        if (!config.namesAllServers()) {
            discovery.setAddress(address);
        }
    }

    /** Records that the configuration could not be read; the current one stays in force. */
    void reloadFailed() {
        loop.execute(() -> recordReload(false));
    }

    private void recordReload(boolean accepted) {
        if (operations != null) {
            operations.recordReload(accepted);
        }
    }

    /**
     * Fails the health check, serves requests that still arrive, and calls back once no request or client connection is
     * left.
     *
     * @param replaced whether another process accepts clients at the same address
     * @param whenEmpty called when the drain is complete
     */
    public void drain(boolean replaced, Runnable whenEmpty) {
        drain(clock.nowUs(), replaced, whenEmpty);
    }

    /**
     * Drains as {@link #drain(boolean, Runnable)} does.
     *
     * @param signalUs when the process received the signal to end, in microseconds
     */
    private void drain(long signalUs, boolean replaced, Runnable whenEmpty) {
        long longestDeadlineUs = config.settings().classes.stream()
                .mapToLong(Balancer.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(signalUs, longestDeadlineUs, replaced);
        loop.execute(() -> {
            if (serverListSharing != null) {
                serverListSharing.shareAtOnce();
            }
            clientServer.shutDown(schedule, replaced, whenEmpty);
        });
    }

    /** Closes all sockets and cancels all timers at once. */
    public void close() {
        loop.execute(() -> {
            housekeepingTask.cancel(false);
            tickTask.cancel(false);
            clientServer.close();
            serverPool.close();
            if (pushedListWatcher != null) {
                pushedListWatcher.stop();
            }
            discovery.close();
            engine.close();
            if (operations != null) {
                operations.close();
            }
        });
    }

    private void updateServerList(HostList list, ListKind kind) {
        HostList current = operations == null ? list : operations.applyOverrides(list);
        applyServerList(endpointOwners.withSuperseded(current), kind);
    }

    private void applyServerList(HostList list, ListKind kind) {
        engine.updateServers(kind, list.entries(), () -> serverPool.update(list));
    }

    private BufferUsage bufferUsage(ByteBufAllocator allocator) {
        return new BufferUsage(
                ((ByteBufAllocatorMetricProvider) allocator).metric().usedDirectMemory(),
                memory.responses().usedBytes(),
                clientServer.unsentBytes(),
                memory.requestBytes());
    }

    // ---------------------------------------------------------------- state for tests and checks

    /** Stops to share state with other processes, and waits; a test deletes its folder then. */
    boolean closeSharedFolder(long timeoutMs) throws InterruptedException {
        return operations == null || operations.closeSharedFolder(timeoutMs);
    }

    /** Returns the engine. Only the event loop may access it. */
    public Engine<ClientRequest, ServerResponse> engine() {
        return engine;
    }

    /** Returns the number of descriptors that the node counts as open. Called on the event loop. */
    public int openSockets() {
        return sockets.openCount();
    }
}
