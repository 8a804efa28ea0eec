package kitemux.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerState;
import kitemux.engine.Clock;
import kitemux.engine.ConnectionLoss;
import kitemux.engine.Transport;

/**
 * A pool of connections to servers. Each connection carries one exchange at a time, and the most recently used
 * idle connection is reused first. The pool follows the server list and decides which connections are usable;
 * the protocol's {@link ServerConnection}s read and write the messages.
 *
 * @param <Q> type of the protocol's requests
 * @param <A> type of the protocol's responses
 */
public final class ServerPool<Q, A> implements Transport<Q, A> {
    /**
     * How long a connection rests after a response before it carries another request, in microseconds. Servers may send a
     * response a second time some milliseconds late; on a connection that is in use it would be taken for the next one.
     */
    static final long REST_US = 10_000;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final SocketBudget socketBudget;
    private final long connIdleUs;
    private final Clock clock;
    private final Protocol<Q, A> protocol;
    private final Map<String, Upstream<Q, A>> upstreams = new HashMap<>();
    /** Requests written completely to servers, not counting probes. */
    private long writtenRequestCount;
    /** The connections with an exchange in flight. */
    private final Map<Exchange<Q, A>, ServerConnection<Q, A>> connectionsByExchange = new HashMap<>();

    /**
     * The protocol spoken with servers.
     *
     * @param <Q> type of its requests
     * @param <A> type of its responses
     */
    public interface Protocol<Q, A> {
        /** Adds the protocol's codecs to an unconnected channel; a connection from {@link #newConnection} follows. */
        void initPipeline(ChannelPipeline pipeline);

        /** Creates the connection for a channel that has just connected. */
        ServerConnection<Q, A> newConnection();

        /** Returns the request that probes a server, where the settings allow probes. */
        Q probeRequest();
    }

    /**
     * Creates a pool without servers.
     *
     * @param connectTimeoutUs time allowed to open a connection, in microseconds
     * @param connIdleUs time after which servers close idle connections, in microseconds
     */
    public ServerPool(
            EventLoop loop,
            Network network,
            SocketBudget socketBudget,
            Clock clock,
            long connectTimeoutUs,
            long connIdleUs,
            Protocol<Q, A> protocol) {
        this.loop = loop;
        this.protocol = protocol;
        this.socketBudget = socketBudget;
        this.clock = clock;
        this.connIdleUs = connIdleUs;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                // Servers have IP addresses only, so no name resolver is needed.
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.RECVBUF_ALLOCATOR, new BoundedReadBuffers())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        protocol.initPipeline(channel.pipeline());
                        channel.pipeline().addLast(new ConnectErrorHandler());
                    }
                });
        socketBudget.buffers().bound(SocketBuffers.Kind.SERVER).applyTo(bootstrap);
    }

    /** A server at its last listed address. */
    private static final class Upstream<Q, A> {
        final String id;
        final ArrayDeque<ServerConnection<Q, A>> idleConnections = new ArrayDeque<>();
        /** Exchanges that wait for a connection; they take the first one that becomes available. */
        final ArrayDeque<Exchange<Q, A>> waitingExchanges = new ArrayDeque<>();

        InetSocketAddress endpoint;
        long startedAtUs;
        int zone;
        /** Number of the server's group. */
        int cell;

        boolean ready;
        /** Connections that are being opened and cannot carry an exchange yet. */
        int connectingCount;

        Upstream(String id) {
            this.id = id;
        }

        /**
         * Returns the most recently used idle connection that has rested since its last response, or null. One whose
         * rest is over goes to the exchanges that wait before it is returned here.
         */
        ServerConnection<Q, A> firstRested() {
            for (ServerConnection<Q, A> connection : idleConnections) {
                if (!connection.isResting) {
                    return connection;
                }
            }
            return null;
        }

        /** Returns the number of connections that will be available soon: they are being opened, or rest. */
        int comingCount() {
            int count = connectingCount;
            for (ServerConnection<Q, A> connection : idleConnections) {
                count += connection.isResting ? 1 : 0;
            }
            return count;
        }

        /** Returns whether a listed entry of this id is another process than the one before. */
        boolean isReplacedBy(HostList.Host host) {
            return !host.endpoint().equals(endpoint)
                    || host.entry().startedAtUs() > startedAtUs
                    || host.entry().zone() != zone
                    || host.entry().cell() != cell;
        }
    }

    // ---------------------------------------------------------------- server list

    /** Applies a server list. A drain takes effect immediately, also for exchanges that wait for a connection. */
    public void update(HostList list) {
        Map<String, Upstream<Q, A>> missing = list.isFull() ? new HashMap<>(upstreams) : Map.of();
        for (HostList.Host host : list.hosts()) {
            String id = host.entry().id();
            if (list.isFull()) {
                missing.remove(id);
            }
            if (host.entry().state() == ServerState.GONE) {
                remove(id);
                continue;
            }
            Upstream<Q, A> upstream = upstreams.computeIfAbsent(id, Upstream::new);
            boolean isReplaced = upstream.isReplacedBy(host);
            upstream.endpoint = host.endpoint();
            upstream.startedAtUs = host.entry().startedAtUs();
            upstream.zone = host.entry().zone();
            upstream.cell = host.entry().cell();
            upstream.ready = host.entry().state() == ServerState.READY;
            if (isReplaced || !upstream.ready) {
                // Connections to a former address, or to a process that has ended, are not usable: a request written
                // to one would end in a reset, after which it might not be allowed to run again.
                List.copyOf(upstream.idleConnections).stream()
                        .filter(connection -> !connection.isUsable())
                        .forEach(ServerConnection::close);
                // Waiting exchanges were chosen for the process before; the new one may be cold or of another group.
                endWaitingExchanges(upstream);
            }
        }
        missing.keySet().forEach(this::remove);
    }

    private void remove(String id) {
        Upstream<Q, A> upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.ready = false;
            closeAll(upstream.idleConnections);
            endWaitingExchanges(upstream);
        }
    }

    /** Ends the exchanges that wait for a connection to a server's process that takes no more; they never ran. */
    private static <Q, A> void endWaitingExchanges(Upstream<Q, A> upstream) {
        Exchange<Q, A> exchange;
        while ((exchange = upstream.waitingExchanges.poll()) != null) {
            exchange.onEnded(Result.MOOT, null);
        }
    }

    private static <Q, A> void closeAll(ArrayDeque<ServerConnection<Q, A>> connections) {
        new ArrayList<>(connections).forEach(ServerConnection::close);
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange on an idle connection, or opens a new one for it. */
    @Override
    public void start(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.ready || !exchange.mayBeWritten()) {
            exchange.onEnded(Result.MOOT, null);
            return;
        }
        ServerConnection<Q, A> connection;
        while ((connection = upstream.firstRested()) != null) {
            if (connection.channel.hasNoUnreadInput()) {
                connection.sendRequest(exchange);
                return;
            }
            // Unread bytes after the last response, or the end of the connection, would be taken for the response
            // to this request or reset it.
            connection.close();
        }
        if (upstream.waitingExchanges.size() < upstream.comingCount()) {
            upstream.waitingExchanges.add(exchange);
            return;
        }
        upstream.waitingExchanges.add(exchange);
        openOrFail(upstream);
    }

    /** Opens a connection for the exchange that has come last, or ends it if there is no descriptor left. */
    private void openOrFail(Upstream<Q, A> upstream) {
        if (socketBudget.canOpenServerConnection() || closeOldestIdle()) {
            openConnection(upstream);
        } else {
            upstream.waitingExchanges.removeLast().onEnded(Result.CONNECT_FAILED, null);
        }
    }

    @Override
    public boolean abandon(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        if (upstream != null && upstream.waitingExchanges.remove(exchange)) {
            return false;
        }
        ServerConnection<Q, A> connection = connectionsByExchange.remove(exchange);
        if (connection == null) {
            return false;
        }
        connection.exchange = null;
        connection.close();
        return connection.requestWritten;
    }

    @Override
    public boolean startPartialResponse(String serverId, Exchange<Q, A> exchange) {
        ServerConnection<Q, A> connection = connectionsByExchange.get(exchange);
        return connection != null && connection.startPartialResponse();
    }

    @Override
    public boolean withdraw(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        return upstream != null && upstream.waitingExchanges.remove(exchange);
    }

    @Override
    public Q probeRequest() {
        return protocol.probeRequest();
    }

    private void openConnection(Upstream<Q, A> upstream) {
        upstream.connectingCount++;
        socketBudget.serverConnectionOpened();
        InetSocketAddress endpoint = upstream.endpoint;
        ChannelFuture opening = bootstrap.connect(endpoint);
        opening.channel().closeFuture().addListener(closed -> socketBudget.serverConnectionClosed());
        // The result is always handled in a later task of the loop, even if the connect fails immediately. Two
        // tasks are needed to run after the ends of connections that were read in the same iteration, which are
        // also reported by tasks: the client that waits for this connection may have disconnected.
        opening.addListener(
                done -> loop.execute(() -> loop.execute(() -> onConnectFinished(upstream, endpoint, opening))));
    }

    private void onConnectFinished(Upstream<Q, A> upstream, InetSocketAddress endpoint, ChannelFuture opening) {
        if (!opening.isSuccess() || !opening.channel().isActive()) {
            onConnectFailed(upstream);
            return;
        }
        ServerConnection<Q, A> connection = protocol.newConnection();
        connection.attach(this, upstream, endpoint, (InputAwareChannel) opening.channel());
        opening.channel().pipeline().addLast(connection).remove(ConnectErrorHandler.class);
        connection.onConnected();
    }

    private void onConnectFailed(Upstream<Q, A> upstream) {
        upstream.connectingCount--;
        if (upstream.waitingExchanges.size() > upstream.comingCount()) {
            // One connection was opened for each waiting exchange, but some may have taken one that became idle.
            upstream.waitingExchanges.poll().onEnded(Result.CONNECT_FAILED, null);
        }
    }

    @Override
    public String endpoint(String serverId) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        return upstream == null || upstream.endpoint == null
                ? ""
                : upstream.endpoint.getHostString() + ":" + upstream.endpoint.getPort();
    }

    // ---------------------------------------------------------------- idle connections

    @Override
    public void closeIdle(String serverId) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        if (upstream != null) {
            closeAll(upstream.idleConnections);
        }
    }

    /** Returns the number of requests written completely to servers so far, not counting probes. */
    public long writtenRequestCount() {
        return writtenRequestCount;
    }

    /**
     * Removes all servers: idle connections are closed, and exchanges that wait for a connection end. Exchanges in
     * flight end with their event loop.
     */
    public void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /**
     * Closes stalled connections, and those that have been idle for half of the time that servers allow. A request
     * sent while the server closes its idle connection would be reset.
     */
    public void closeExpiredConnections() {
        List.copyOf(connectionsByExchange.values()).stream()
                .filter(ServerConnection::isStalled)
                .forEach(ServerConnection::close);
        long idleBeforeUs = clock.nowUs() - connIdleUs / 2;
        for (Upstream<Q, A> upstream : upstreams.values()) {
            while (!upstream.idleConnections.isEmpty()
                    && upstream.idleConnections.peekLast().idleSinceUs < idleBeforeUs) {
                upstream.idleConnections.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        ServerConnection<Q, A> oldest = null;
        for (Upstream<Q, A> upstream : upstreams.values()) {
            ServerConnection<Q, A> last = upstream.idleConnections.peekLast();
            if (last != null && (oldest == null || last.idleSinceUs < oldest.idleSinceUs)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    // ---------------------------------------------------------------- server connections

    /**
     * A connection to a server. It is the last handler in its channel's pipeline; protocol-specific subclasses
     * read the responses.
     *
     * @param <Q> type of the protocol's requests
     * @param <A> type of the protocol's responses
     */
    public abstract static class ServerConnection<Q, A> extends ChannelInboundHandlerAdapter {
        private ServerPool<Q, A> pool;
        private Upstream<Q, A> upstream;
        private InetSocketAddress endpoint;
        private InputAwareChannel channel;
        private long openedAtUs;
        private boolean established;
        private Exchange<Q, A> exchange;
        private boolean requestWritten;
        private boolean hasCarriedRequest;
        private boolean closedLocally;
        private long idleSinceUs;
        /** Whether the connection must not carry another request yet, as its last response has just ended. */
        private boolean isResting;

        private void attach(
                ServerPool<Q, A> owner,
                Upstream<Q, A> connectedUpstream,
                InetSocketAddress connectedEndpoint,
                InputAwareChannel connectedChannel) {
            pool = owner;
            upstream = connectedUpstream;
            endpoint = connectedEndpoint;
            channel = connectedChannel;
            openedAtUs = owner.clock.nowUs();
        }

        /**
         * The connection is open. The subclass must call {@link #markAvailable} once it can carry an exchange.
         */
        protected abstract void onConnected();

        /** Creates the message for an exchange; called only when a connection is available to send it. */
        protected abstract Object createMessage(Exchange<Q, A> next);

        /**
         * Starts to pass on a response that has begun to arrive and whose end is not known.
         *
         * @return false if no such response has begun
         */
        protected boolean startPartialResponse() {
            return false;
        }

        /** Whether the response to the current exchange has started and no longer makes progress. */
        protected boolean isStalled() {
            return false;
        }

        /**
         * Reports that an unbuffered response has started.
         *
         * @return false if the response is not wanted; the connection is then closed
         */
        protected final boolean startResponse(A response) {
            Exchange<Q, A> current = exchange;
            if (current.onResponseStarted(response)) {
                return true;
            }
            pool.connectionsByExchange.remove(current);
            exchange = null;
            close();
            return false;
        }

        /** Returns the current exchange, or null. */
        protected final Exchange<Q, A> exchange() {
            return exchange;
        }

        /** Whether the request of the current or last exchange was written completely. */
        protected final boolean isRequestWritten() {
            return requestWritten;
        }

        /** Whether this node closed the connection. */
        protected final boolean isClosedLocally() {
            return closedLocally;
        }

        /** Returns the connection's channel. */
        protected final InputAwareChannel channel() {
            return channel;
        }

        /** Returns the server's id. */
        protected final String serverId() {
            return upstream.id;
        }

        private boolean isUsable() {
            return channel.isActive()
                    && upstream.ready
                    && endpoint.equals(upstream.endpoint)
                    && openedAtUs >= upstream.startedAtUs;
        }

        /** Makes the connection available: it takes a waiting exchange, or becomes idle if there is none. */
        protected final void markAvailable() {
            if (!established) {
                established = true;
                upstream.connectingCount--;
            }
            if (!isUsable()) {
                close();
                // It was opened for an exchange that still waits, possibly at an address that has since changed.
                if (upstream.ready && upstream.waitingExchanges.size() > upstream.comingCount()) {
                    upstream.waitingExchanges.poll().onEnded(Result.CONNECT_FAILED, null);
                }
                return;
            }
            idleSinceUs = pool.clock.nowUs();
            upstream.idleConnections.push(this);
            if (hasCarriedRequest) {
                rest();
            } else {
                sendNextWaiting();
            }
        }

        /** Keeps the connection from use until anything that follows the last response must have come. */
        private void rest() {
            channel.acknowledgeInput();
            isResting = true;
            pool.loop.schedule(this::endRest, REST_US, TimeUnit.MICROSECONDS);
        }

        private void endRest() {
            isResting = false;
            if (!upstream.idleConnections.contains(this)) {
                return;
            }
            if (channel.hasNoUnreadInput()) {
                sendNextWaiting();
            } else {
                close();
                openForWaiting();
            }
        }

        /** Opens a connection if an exchange has waited for this one, which cannot carry it. */
        private void openForWaiting() {
            if (upstream.ready && upstream.waitingExchanges.size() > upstream.comingCount()) {
                pool.openOrFail(upstream);
            }
        }

        /** Sends the first waiting exchange that may still be written; the end of another may bring a new one. */
        private void sendNextWaiting() {
            Exchange<Q, A> next;
            while (exchange == null && channel.isActive() && (next = upstream.waitingExchanges.poll()) != null) {
                if (next.mayBeWritten()) {
                    sendRequest(next);
                } else {
                    next.onEnded(Result.MOOT, null);
                }
            }
        }

        private void sendRequest(Exchange<Q, A> next) {
            // Created first, so that a failure here does not lose the connection.
            Object message = createMessage(next);
            next.onWriting();
            upstream.idleConnections.remove(this);
            exchange = next;
            hasCarriedRequest = true;
            requestWritten = false;
            pool.connectionsByExchange.put(next, this);
            channel.writeAndFlush(message).addListener(done -> {
                if (done.isSuccess()) {
                    pool.writtenRequestCount += next.request() == pool.protocol.probeRequest() ? 0 : 1;
                    requestWritten |= exchange == next;
                } else {
                    close();
                }
            });
        }

        /** Closes the connection; the current exchange ends when the channel becomes inactive. */
        protected final void close() {
            closedLocally = true;
            upstream.idleConnections.remove(this);
            channel.close();
        }

        /** Reports the end of the current exchange, if there is one. */
        protected final void completeExchange(Result result, A response) {
            Exchange<Q, A> completed = exchange;
            exchange = null;
            if (completed != null) {
                pool.connectionsByExchange.remove(completed);
                completed.onEnded(result, response);
            }
        }

        /** Releases what the protocol holds of a response. */
        protected abstract void releaseResponse();

        @Override
        public final void channelInactive(ChannelHandlerContext context) {
            upstream.idleConnections.remove(this);
            if (isResting) {
                isResting = false;
                openForWaiting();
            }
            if (requestWritten) {
                reportLoss();
            }
            releaseResponse();
            if (!established) {
                established = true;
                pool.onConnectFailed(upstream);
            }
            completeExchange(requestWritten ? Result.RESET : Result.CONNECT_FAILED, null);
        }

        /** Tells the current exchange, if there is one, how its connection was lost. */
        protected final void reportLoss() {
            if (exchange != null) {
                exchange.onConnectionLost(describeLoss());
            }
        }

        /** Describes how the connection was lost; called before the current exchange ends. */
        protected ConnectionLoss describeLoss() {
            return new ConnectionLoss(ConnectionLoss.Cause.ENDED_BY_SERVER, 0, "");
        }
    }
}
