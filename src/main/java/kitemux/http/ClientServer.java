package kitemux.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.net.EventLoopClock;
import kitemux.net.InputAwareChannel;
import kitemux.net.Network;
import kitemux.net.ServerResponse;
import kitemux.net.SocketBudget;

/** The side that clients see: which connections there are, which make room for others, and their end. */
public final class ClientServer {
    /** Reads from one connection in a turn of the loop, Netty's usual number: then others have their turn. */
    private static final int READS = 16;
    /** Between two lines that tell of connections that could not be accepted. */
    private static final long ACCEPT_FAILURE_LINE_US = 1_000_000;

    private final EventLoopGroup loop;
    private final Network network;
    private final RequestReader reader;
    private final SocketBudget sockets;
    private final Engine<ClientRequest, ServerResponse> engine;
    private final EventLoopClock time;
    private final IntConsumer turnedAway;
    private final ConnectionObserver observer;
    private final Log log;
    /** Connections that have had no whole request yet, the oldest first. */
    private final Set<ClientConnection> fresh = new LinkedHashSet<>();
    /** Those with a request whose answer is not written. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();
    /** All others, the longest unused first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private Channel listening;
    /** No connection can have come up before. */
    private long listeningSinceUs;
    /** Since when some that have come up may wait to be taken in; without end if all were taken. */
    private long waitingSinceUs = Long.MAX_VALUE;

    private int takenInTurn;
    /** Calls that could not accept a connection and that no line has told of. */
    private long acceptFailures;

    private long acceptFailureToldUs;
    /** What long bodies of requests take that have had no answer. */
    private long bodiesBytes;
    /** Whether some were left waiting in this turn for want of room. */
    private boolean leftInTurn;
    /** How many connections were ever taken in. */
    private long taken;

    private ShutdownPhase phase = ShutdownPhase.SERVING;
    /** A process that takes this one's place listens too: what the front is told is of both. */
    private boolean replaced;
    /** Since when clients are sent away by hand, on the loop's clock; without end if they are not. */
    private long awaySinceUs = Long.MAX_VALUE;

    private Runnable whenEmpty = () -> {};

    private final Network.AcceptGate gate = new Network.AcceptGate() {
        @Override
        public boolean canAccept() {
            boolean may = sockets.canAcceptClient();
            leftInTurn |= !may;
            return may;
        }

        @Override
        public void onAccepted() {
            sockets.clientAccepted();
        }

        @Override
        public void onAcceptFailed(IOException cause) {
            acceptFailures++;
            if (time.nowUs() - acceptFailureToldUs >= ACCEPT_FAILURE_LINE_US) {
                log.info("accept failed " + acceptFailures + " times: " + cause.getMessage());
                acceptFailures = 0;
                acceptFailureToldUs = time.nowUs();
            }
        }
    };

    /**
     * Serves nobody yet; requests go to the engine, which lives on the same loop.
     *
     * @param turnedAway told the class of each request that is refused before the engine has it
     * @param observer told what becomes of connections
     */
    public ClientServer(
            EventLoopGroup loop,
            Network network,
            RequestReader reader,
            SocketBudget sockets,
            Engine<ClientRequest, ServerResponse> engine,
            EventLoopClock time,
            IntConsumer turnedAway,
            ConnectionObserver observer,
            Log log) {
        this.turnedAway = turnedAway;
        this.observer = observer;
        this.loop = loop;
        this.network = network;
        this.reader = reader;
        this.sockets = sockets;
        this.engine = engine;
        this.time = time;
        this.log = log;
    }

    /**
     * Listens; the future is done once clients can connect.
     *
     * @param shared whether another process may listen at the same address
     */
    public ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap listener = new ServerBootstrap();
        if (shared) {
            listener.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture opening = listener.group(loop)
                .channelFactory(() -> network.newListener(gate))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, Network.BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, network.allocator())
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(SocketBudget.MAX_ACCEPTS_PER_TURN))
                // Each is read until nothing more has come, its end included: whoever has left is not served.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted((InputAwareChannel) channel);
                    }
                })
                .bind(address);
        listening = opening.channel();
        opening.addListener(opened -> listeningSinceUs = time.nowUs());
        return opening;
    }

    private void accepted(InputAwareChannel channel) {
        taken++;
        sockets.clientRegistered();
        channel.closeFuture().addListener(done -> {
            sockets.clientClosed();
            acceptIfRoom();
        });
        ClientConnection client = new ClientConnection(this, taken, reader, engine, time, log, channel, earliestUs());
        observer.connectionAccepted(taken, channel.remoteAddress());
        if (!sockets.canKeepClient() && !makeRoom()) {
            // Every connection has a request open. This one may have brought one too, which is owed an
            // answer: it is served, or where even that takes too many turned away, and let go. Harm:
            // clients beyond the bound open a connection for each request.
            boolean serve = sockets.canServeClient();
            client.endAfterOne(serve);
            if (!serve) {
                sockets.clientRejected();
                channel.closeFuture().addListener(done -> sockets.rejectedClientClosed());
            }
            if (!sockets.canAcceptClient()) {
                // Further ones wait with the system, which has room for many.
                listening.config().setAutoRead(false);
                leftInTurn = true;
            }
        }
        fresh.add(client);
        channel.pipeline()
                .addLast(
                        client.gate(),
                        new HttpServerCodec(new HttpDecoderConfig().setMaxChunkSize(Limits.SMALL_REQUEST_BODY_BYTES)),
                        client);
        time.runOverdueTimers();
    }

    /** The earliest that a connection that is taken in now may have come up. */
    private long earliestUs() {
        long earliest = Math.max(listeningSinceUs, Math.min(waitingSinceUs, time.nowUs() - time.readLagUs()));
        if (takenInTurn++ == 0) {
            // In the same turn, behind all that is taken in in it.
            loop.execute(() -> {
                boolean left = leftInTurn
                        || takenInTurn >= SocketBudget.MAX_ACCEPTS_PER_TURN
                        || !listening.config().isAutoRead();
                waitingSinceUs = left ? earliest : Long.MAX_VALUE;
                takenInTurn = 0;
                leftInTurn = false;
                if (left) {
                    forgetOnceAllAreTaken(taken);
                }
            });
        }
        return earliest;
    }

    /** Where none was taken since, all were: the listener has been looked at in between. */
    private void forgetOnceAllAreTaken(long takenBefore) {
        loop.schedule(
                () -> {
                    if (taken == takenBefore && listening.config().isAutoRead()) {
                        waitingSinceUs = Long.MAX_VALUE;
                    } else if (waitingSinceUs != Long.MAX_VALUE && listening.isOpen()) {
                        forgetOnceAllAreTaken(taken);
                    }
                },
                EventLoopClock.TICK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void acceptIfRoom() {
        if (!listening.config().isAutoRead() && listening.isOpen() && sockets.canAcceptClient()) {
            listening.config().setAutoRead(true);
        }
    }

    /**
     * Closes the oldest that has asked nothing, unless it is new, else the longest unused. Where silent ones
     * are the most they make room however new: a flood of them must not cost the usual clients theirs.
     *
     * @return false if all are in use
     */
    private boolean makeRoom() {
        if (!fresh.isEmpty()) {
            ClientConnection oldest = fresh.iterator().next();
            if ((fresh.size() > busy.size() + idle.size() || oldest.isOlderThan(Limits.NEW_CONNECTION_GRACE_MS))
                    && closeFirst(fresh)) {
                return true;
            }
        }
        return closeFirst(idle);
    }

    /**
     * Closes the first on which nothing has come that waits to be read: a node that has fallen behind would
     * else lose requests of clients that it takes for idle. It is taken out at once, as the loop tells of its
     * end later, and until then it would be closed again. Harm: in a flood all are looked at.
     *
     * @return false if there is none
     */
    private boolean closeFirst(Set<ClientConnection> clients) {
        for (Iterator<ClientConnection> each = clients.iterator(); each.hasNext(); ) {
            ClientConnection client = each.next();
            if (client.isQuiet() && !(client.isReading() && clients == idle)) {
                each.remove();
                client.close(CloseReason.NO_ROOM);
                return true;
            }
        }
        return false;
    }

    /** A request has come on this connection; its turn is next. */
    void used(ClientConnection client) {
        fresh.remove(client);
        idle.remove(client);
        busy.add(client);
    }

    /** Its answer is written. Clients that keep what they use no more would hold all that they may open. */
    void rested(ClientConnection client) {
        if (busy.remove(client)) {
            idle.add(client);
            if (idle.size() > sockets.maxIdleClients() || !listening.config().isAutoRead()) {
                closeFirst(idle);
            }
        }
    }

    void requested(ClientConnection client, ClientRequest request) {
        observer.requestReceived(client.number(), request.txn());
    }

    void ended(ClientConnection client, CloseReason reason) {
        observer.connectionClosed(client.number(), reason);
        fresh.remove(client);
        busy.remove(client);
        idle.remove(client);
        tellIfEmpty();
    }

    /**
     * Sets room for so many bytes of long bodies aside, or gives so many back where under 0.
     *
     * @return false if there is no room
     */
    boolean setAside(long bytes) {
        if (bytes > 0 && bodiesBytes + bytes > Limits.MAX_TOTAL_REQUEST_BODY_BYTES) {
            return false;
        }
        bodiesBytes += bytes;
        return true;
    }

    void turnedAway(ClientRequest request) {
        turnedAway.accept(request.classIndex());
    }

    private List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(fresh);
        all.addAll(busy);
        all.addAll(idle);
        return all;
    }

    /** Ends what has taken too long on the clients' part. */
    public void closeExpired() {
        all().forEach(ClientConnection::closeIfLate);
        if (phase.compareTo(ShutdownPhase.CLOSING_IDLE) >= 0) {
            closeUnused(Limits.NEW_CONNECTION_GRACE_MS, CloseReason.SHUTDOWN);
        } else if (awaySinceUs != Long.MAX_VALUE && time.nowUs() - awaySinceUs >= Limits.IDLE_DRAIN_MS * 1_000) {
            closeUnused(Limits.MIN_UNUSED_MS, CloseReason.SENT_AWAY);
        }
    }

    /** Whether each answer ends its connection. */
    boolean endsConnections() {
        return phase != ShutdownPhase.SERVING || awaySinceUs != Long.MAX_VALUE;
    }

    /** Whether the front may deal out clients to this address. */
    public boolean isUp() {
        return awaySinceUs == Long.MAX_VALUE && (phase == ShutdownPhase.SERVING || replaced);
    }

    /**
     * Sends clients away, or no more: the front is told no, each answer ends its connection, and what stays
     * idle is closed. The listener stays open, as some still come, and all may come back.
     */
    public void setDraining(boolean away) {
        if (away != (awaySinceUs != Long.MAX_VALUE)) {
            awaySinceUs = away ? time.nowUs() : Long.MAX_VALUE;
        }
    }

    /**
     * Ends the clients' side by this schedule: every answer ends its connection from now on, the listener and
     * then all unused connections are closed, and what is held at the end is answered.
     *
     * @param byAnother another process listens at the same address, and the front is to be told yes
     * @param whenDone called once no connection is left and none can come
     */
    public void shutDown(ShutdownSchedule schedule, boolean byAnother, Runnable whenDone) {
        replaced = byAnother;
        whenEmpty = whenDone;
        enter(ShutdownPhase.LAME_DUCK);
        at(schedule.listenUntilUs(), this::closeListener);
        at(schedule.idleUntilUs(), this::closeIdle);
        at(schedule.answerByUs(), this::answerRest);
        engine.setAnswerDeadline(schedule.answerByUs());
    }

    private void at(long us, Runnable task) {
        loop.schedule(task, Math.max(0, us - time.nowUs()), TimeUnit.MICROSECONDS);
    }

    private void enter(ShutdownPhase next) {
        if (!phase.next().contains(next)) {
            throw new IllegalStateException("shutdown from " + phase + " to " + next);
        }
        phase = next;
        observer.shutdownPhaseEntered(next);
    }

    /** What waits for room would be reset with the listener: that has to be taken first, while there is time. */
    private void closeListener() {
        if (!listening.config().isAutoRead() && phase.compareTo(ShutdownPhase.ANSWERING_REST) < 0) {
            loop.schedule(this::closeListener, EventLoopClock.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        // Those that it accepted at the last are known behind this.
        listening.close().addListener(done -> loop.execute(this::tellIfEmpty));
    }

    private void closeIdle() {
        enter(ShutdownPhase.CLOSING_IDLE);
        closeUnused(0, CloseReason.SHUTDOWN);
        tellIfEmpty();
    }

    /** The engine answers what it holds in this turn; what is still to be read is refused from now on. */
    private void answerRest() {
        if (phase != ShutdownPhase.CLOSED) {
            enter(ShutdownPhase.ANSWERING_REST);
            closeUnused(0, CloseReason.SHUTDOWN);
            all().forEach(ClientConnection::refusePartial);
            tellIfEmpty();
        }
    }

    /** Whether requests are refused as no answer could come in time any more. */
    boolean isAnsweringRest() {
        return phase == ShutdownPhase.ANSWERING_REST;
    }

    /** What has come is served, and its answer ends the connection; all else is closed. */
    private void closeUnused(long unusedMs, CloseReason reason) {
        List<ClientConnection> unused = all();
        unused.removeAll(busy);
        unused.removeIf(
                client -> client.isReading() || !client.isQuiet() || unusedMs > 0 && !client.isOlderThan(unusedMs));
        unused.forEach(client -> client.close(reason));
    }

    /** Ends everything at once. */
    public void close() {
        listening.close();
        all().forEach(client -> client.close(CloseReason.NODE_CLOSED));
    }

    private void tellIfEmpty() {
        boolean mayEnd = phase == ShutdownPhase.CLOSING_IDLE || phase == ShutdownPhase.ANSWERING_REST;
        if (mayEnd && !listening.isOpen() && all().isEmpty()) {
            enter(ShutdownPhase.CLOSED);
            whenEmpty.run();
        }
    }
}
