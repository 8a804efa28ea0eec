package kitemux.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.stream.Stream;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.net.BoundedReadBuffers;
import kitemux.net.ClientUsage;
import kitemux.net.EventLoopClock;
import kitemux.net.InputAwareChannel;
import kitemux.net.Network;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;
import kitemux.net.SocketBuffers;

/**
 * The server side of the node towards clients: accepts connections, closes some to make room for others, and
 * shuts down.
 */
public final class ClientServer {
    /** Minimum interval between two log lines about connections that could not be accepted. */
    private static final long ACCEPT_FAILURE_LOG_INTERVAL_US = 1_000_000;

    private final EventLoopGroup loop;
    private final Network network;
    private final RequestReader reader;
    private final SocketBudget sockets;
    private final Engine<ClientRequest, ServerResponse> engine;
    private final EventLoopClock clock;
    private final MemoryAccount memory;
    private final InputAdmission inputAdmission;
    private final ParseScheduler parseScheduler;
    private final IntConsumer onRejected;
    private final ConnectionObserver observer;
    private final Log log;
    private final ClientConnections connections = new ClientConnections();

    private Channel listener;
    /** When the listener was opened; no connection can be older. */
    private long listeningSinceUs;
    /**
     * Since when established connections may wait to be accepted; {@link Long#MAX_VALUE} if all have been
     * accepted.
     */
    private long backlogSinceUs = Long.MAX_VALUE;

    private int acceptedInTurn;
    /** Number of failed accept calls that have not been logged. */
    private long unreportedAcceptFailures;

    private long acceptFailureLoggedUs;
    /** Whether connections were left in the backlog in this turn for lack of descriptors. */
    private boolean hasBacklogInTurn;
    /** Number of open connections from which nothing is read. */
    private int pausedCount;
    /** Number of connections closed since the start, by the ordinal of the reason. */
    private final long[] closeCounts = new long[CloseReason.values().length];
    /** Number of connections accepted since the start. */
    private long acceptedCount;

    private ShutdownPhase phase = ShutdownPhase.SERVING;
    /**
     * Whether another process replaces this one and listens at the same address; the load balancer in front
     * gets one answer for both.
     */
    private boolean isReplaced;
    /**
     * Since when an operator has been draining the clients, on the event loop's clock; {@link Long#MAX_VALUE}
     * if they are not drained.
     */
    private long drainingSinceUs = Long.MAX_VALUE;

    private Runnable onAllClosed = () -> {};

    private final Network.AcceptGate acceptGate = new Network.AcceptGate() {
        @Override
        public boolean canAccept() {
            boolean hasRoom = sockets.canAcceptClient();
            if (!hasRoom) {
                hasBacklogInTurn = true;
                onConnectionsWaiting();
            }
            return hasRoom;
        }

        @Override
        public void onAccepted() {
            sockets.clientAccepted();
        }

        @Override
        public void onAcceptFailed(IOException cause) {
            unreportedAcceptFailures++;
            if (clock.nowUs() - acceptFailureLoggedUs >= ACCEPT_FAILURE_LOG_INTERVAL_US) {
                log.info("accept failed " + unreportedAcceptFailures + " times: " + cause.getMessage());
                unreportedAcceptFailures = 0;
                acceptFailureLoggedUs = clock.nowUs();
            }
        }
    };

    /**
     * Creates a server that does not listen yet; requests go to the engine, which runs on the same event loop.
     *
     * @param memory what the connections may hold on the heap
     * @param onRejected called with the class of each request that is rejected before it reaches the engine
     * @param observer notified of the events of connections
     */
    public ClientServer(
            EventLoopGroup loop,
            Network network,
            RequestReader reader,
            SocketBudget sockets,
            Engine<ClientRequest, ServerResponse> engine,
            EventLoopClock clock,
            MemoryAccount memory,
            IntConsumer onRejected,
            ConnectionObserver observer,
            Log log) {
        this.memory = memory;
        this.onRejected = onRejected;
        this.observer = observer;
        this.loop = loop;
        parseScheduler = new ParseScheduler(loop.next());
        inputAdmission = new InputAdmission(loop, memory.input());
        this.network = network;
        this.reader = reader;
        this.sockets = sockets;
        this.engine = engine;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Opens the listener; the future completes once clients can connect.
     *
     * @param shared whether another process may listen at the same address
     */
    public ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap bootstrap = new ServerBootstrap();
        sockets.buffers().bound(SocketBuffers.Kind.CLIENT).applyTo(bootstrap);
        if (shared) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture opening = bootstrap
                .group(loop)
                .channelFactory(() -> network.newListener(acceptGate))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, Network.BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, network.allocator())
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(SocketBudget.MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initConnection((InputAwareChannel) channel);
                    }
                })
                .bind(address);
        listener = opening.channel();
        opening.addListener(opened -> listeningSinceUs = clock.nowUs());
        return opening;
    }

    private void initConnection(InputAwareChannel channel) {
        acceptedCount++;
        sockets.clientRegistered();
        channel.closeFuture().addListener(done -> {
            sockets.clientClosed();
            resumeAcceptingIfRoom();
        });
        ClientConnection client =
                new ClientConnection(this, acceptedCount, reader, engine, clock, log, channel, earliestOpenedUs());
        observer.connectionAccepted(acceptedCount, channel.remoteAddress());
        if (!sockets.canKeepClient() && !connections.makeRoom()) {
            // No connection could be closed at once. The new one may have brought a request too, which must be
            // answered: it is served, or rejected if even that would exceed the limits, and then the connection
            // closes. The cost is that clients beyond the limit open a connection for each request.
            boolean isServed = sockets.canServeClient();
            client.closeAfterFirstResponse(isServed);
            if (!isServed) {
                sockets.clientRejected();
                channel.closeFuture().addListener(done -> sockets.rejectedClientClosed());
            }
            if (!sockets.canAcceptClient()) {
                // Further connections wait in the listener's backlog, which has room for many.
                listener.config().setAutoRead(false);
                hasBacklogInTurn = true;
                onConnectionsWaiting();
            }
        }
        connections.add(client);
        // Each connection is read until no input is left, its end included, so that a client that has left is not
        // served; but never more than there is room for.
        channel.config()
                .setRecvByteBufAllocator(new BoundedReadBuffers(client::maxReadBytes).respectMaybeMoreData(false));
        channel.pipeline().addLast(client.createInputGate(), newCodec(client), client);
        clock.runOverdueTimers();
    }

    /** Creates the codec of a connection; it expects the beginning of a request, and that of a response. */
    HttpServerCodec newCodec(ClientConnection client) {
        return new HttpServerCodec(new HttpDecoderConfig()
                .setMaxChunkSize(Limits.SMALL_REQUEST_BODY_BYTES)
                .setHeadersFactory(KeptHeaders.forRequests(client::reserveHeadField))
                .setTrailersFactory(KeptHeaders.forTrailers()));
    }

    /** Returns the earliest time at which a connection that is accepted now may have been established. */
    private long earliestOpenedUs() {
        long earliestUs = Math.max(listeningSinceUs, Math.min(backlogSinceUs, clock.nowUs() - clock.readLagUs()));
        if (acceptedInTurn++ == 0) {
            // Runs in the same turn, after all connections that are accepted in it.
            loop.execute(() -> {
                boolean hasBacklog = hasBacklogInTurn
                        || acceptedInTurn >= SocketBudget.MAX_ACCEPTS_PER_TURN
                        || !listener.config().isAutoRead();
                backlogSinceUs = hasBacklog ? earliestUs : Long.MAX_VALUE;
                acceptedInTurn = 0;
                hasBacklogInTurn = false;
                if (hasBacklog) {
                    clearBacklogOnceAccepted(acceptedCount);
                }
            });
        }
        return earliestUs;
    }

    /**
     * Clears the backlog's start time once no connection has been accepted for a tick: the listener was polled
     * in between, so that all have been accepted.
     */
    private void clearBacklogOnceAccepted(long countBefore) {
        loop.schedule(
                () -> {
                    boolean canAccept = listener.config().isAutoRead() && sockets.canAcceptClient();
                    if (acceptedCount == countBefore && canAccept) {
                        backlogSinceUs = Long.MAX_VALUE;
                    } else if (backlogSinceUs != Long.MAX_VALUE && listener.isOpen()) {
                        clearBacklogOnceAccepted(acceptedCount);
                    }
                },
                EventLoopClock.TICK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Notes that established connections may wait to be accepted, for which there is no room. */
    private void onConnectionsWaiting() {
        if (backlogSinceUs == Long.MAX_VALUE) {
            backlogSinceUs = clock.nowUs() - clock.readLagUs();
            clearBacklogOnceAccepted(acceptedCount);
        }
    }

    private void resumeAcceptingIfRoom() {
        if (!listener.config().isAutoRead() && listener.isOpen() && sockets.canAcceptClient()) {
            listener.config().setAutoRead(true);
        }
    }

    /** Marks a connection as busy when a request was received on it. */
    void markBusy(ClientConnection client) {
        connections.markBusy(client);
    }

    /**
     * Marks a connection as idle when its response is written. The number of idle connections is bounded, since
     * clients that keep unused ones would otherwise hold all descriptors.
     */
    void markIdle(ClientConnection client) {
        if (connections.markIdle(client)
                && (connections.idleCount() > sockets.maxIdleClients()
                        || !listener.config().isAutoRead())) {
            connections.closeUnusedIdle();
        }
    }

    void onRequestReceived(ClientConnection client, ClientRequest request) {
        observer.requestReceived(client.number(), request.txn());
    }

    /** Records that reading from a connection was paused or resumed. */
    void onReadingChanged(ClientConnection client, boolean isReading) {
        pausedCount += isReading ? -1 : 1;
        if (isReading) {
            observer.readingResumed(client.number());
        } else {
            observer.readingPaused(client.number());
        }
    }

    void onClosed(ClientConnection client, ClientClose close) {
        observer.connectionClosed(client.number(), close);
        closeCounts[close.reason().ordinal()]++;
        inputAdmission.remove(client);
        connections.remove(client);
        finishIfEmpty();
    }

    /** Returns what the connections may hold on the heap. */
    MemoryAccount memory() {
        return memory;
    }

    /** Returns the connections whose input waits for room. */
    InputAdmission inputAdmission() {
        return inputAdmission;
    }

    /** Returns what bounds the processor time of parsing. */
    ParseScheduler parseScheduler() {
        return parseScheduler;
    }

    void onRejected(ClientRequest request) {
        onRejected.accept(request.classIndex());
    }

    /** Returns the number of bytes queued for clients that have not taken them yet. */
    public long unsentBytes() {
        return connections.all().stream()
                .mapToLong(ClientConnection::unsentBytes)
                .sum();
    }

    /** Returns what the connections do at present, and why earlier ones were closed. */
    public ClientUsage clientUsage() {
        List<ClientUsage.CloseCount> closes = Stream.of(CloseReason.values())
                .map(reason -> new ClientUsage.CloseCount(
                        reason.name().toLowerCase(Locale.ROOT), closeCounts[reason.ordinal()]))
                .toList();
        return new ClientUsage(connections.all().size(), pausedCount, closes);
    }

    /** Closes connections whose clients exceeded a timeout. */
    public void closeExpired() {
        connections.all().forEach(ClientConnection::closeIfExpired);
        if (!listener.config().isAutoRead()) {
            // Connections wait to be accepted behind requests that do not arrive completely.
            connections.refusePartialRequests(sockets.clientsBeyondKept());
            connections.closeAllLingering();
        }
        if (isAnsweringRemaining()) {
            connections.refuseAllPartialRequests();
        }
        if (phase.compareTo(ShutdownPhase.CLOSING_IDLE) >= 0) {
            connections.closeUnused(Limits.NEW_CONNECTION_GRACE_MS, CloseReason.SHUTDOWN);
        } else if (drainingSinceUs != Long.MAX_VALUE
                && clock.nowUs() - drainingSinceUs >= Limits.IDLE_DRAIN_MS * 1_000) {
            connections.closeUnused(Limits.MIN_UNUSED_MS, CloseReason.SENT_AWAY);
        }
    }

    /** Returns whether each response closes its connection. */
    boolean closesAfterResponse() {
        return phase != ShutdownPhase.SERVING || drainingSinceUs != Long.MAX_VALUE;
    }

    /** Returns whether the load balancer in front may send clients to this address. */
    public boolean isUp() {
        return drainingSinceUs == Long.MAX_VALUE && isTakingClients();
    }

    /** Returns whether clients can connect to this address and will be able to, drained or not. */
    public boolean isTakingClients() {
        return phase == ShutdownPhase.SERVING || isReplaced;
    }

    /**
     * Starts or stops draining the clients: the load balancer in front is told that this address is down, each
     * response closes its connection, and connections that stay idle are closed. The listener stays open, as
     * some clients still come, and all may come back.
     */
    public void setDraining(boolean isDraining) {
        if (isDraining != (drainingSinceUs != Long.MAX_VALUE)) {
            drainingSinceUs = isDraining ? clock.nowUs() : Long.MAX_VALUE;
        }
    }

    /**
     * Shuts the client side down by this schedule: from now on each response closes its connection, then the
     * listener and all idle connections are closed, and the requests that are still open at the end are
     * answered.
     *
     * @param replacedByAnother whether another process listens at the same address, so that the address stays
     *     up
     * @param onDone called once no connection is open and none can be accepted
     */
    public void shutDown(ShutdownSchedule schedule, boolean replacedByAnother, Runnable onDone) {
        isReplaced = replacedByAnother;
        onAllClosed = onDone;
        enterPhase(ShutdownPhase.LAME_DUCK);
        scheduleAt(schedule.listenUntilUs(), this::closeListener);
        scheduleAt(schedule.idleUntilUs(), this::closeIdle);
        scheduleAt(schedule.answerByUs(), this::answerRemaining);
        engine.setAnswerDeadline(schedule.answerByUs());
    }

    private void scheduleAt(long atUs, Runnable task) {
        loop.schedule(task, Math.max(0, atUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    private void enterPhase(ShutdownPhase next) {
        if (!phase.next().contains(next)) {
            throw new IllegalStateException("shutdown from " + phase + " to " + next);
        }
        phase = next;
        observer.shutdownPhaseEntered(next);
    }

    /**
     * Closes the listener. Connections in its backlog would be reset with it, so they are accepted first while
     * there is time.
     */
    private void closeListener() {
        if (!listener.config().isAutoRead() && phase.compareTo(ShutdownPhase.ANSWERING_REST) < 0) {
            loop.schedule(this::closeListener, EventLoopClock.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        // The connections that were accepted last are registered before this task runs.
        listener.close().addListener(done -> loop.execute(this::finishIfEmpty));
    }

    private void closeIdle() {
        enterPhase(ShutdownPhase.CLOSING_IDLE);
        connections.closeUnused(0, CloseReason.SHUTDOWN);
        finishIfEmpty();
    }

    /**
     * Answers all open requests: the engine does so in this turn, and requests that are still being received
     * are rejected from now on.
     */
    private void answerRemaining() {
        if (phase != ShutdownPhase.CLOSED) {
            enterPhase(ShutdownPhase.ANSWERING_REST);
            connections.closeUnused(0, CloseReason.SHUTDOWN);
            connections.refuseAllPartialRequests();
            finishIfEmpty();
        }
    }

    /** Returns whether requests are rejected since no response could come in time any more. */
    boolean isAnsweringRemaining() {
        return phase == ShutdownPhase.ANSWERING_REST;
    }

    /** Closes the listener and all connections immediately. */
    public void close() {
        listener.close();
        connections.all().forEach(client -> client.close(CloseReason.NODE_CLOSED));
    }

    private void finishIfEmpty() {
        boolean canFinish = phase == ShutdownPhase.CLOSING_IDLE || phase == ShutdownPhase.ANSWERING_REST;
        if (canFinish && !listener.isOpen() && connections.isEmpty()) {
            enterPhase(ShutdownPhase.CLOSED);
            onAllClosed.run();
        }
    }
}
