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
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerState;
import kitemux.engine.Clock;
import kitemux.engine.Transport;

/**
 * The connections to servers, of whatever protocol: one exchange at a time on each, the most recently used
 * first. It follows the list of servers, and knows which connections are of use; what goes over them is the
 * protocol's, by its {@link ServerConnection}s.
 *
 * @param <Q> requests of the protocol
 * @param <A> answers of the protocol
 */
public final class ServerPool<Q, A> implements Transport<Q, A> {
    private final Bootstrap dialer;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final long connIdleUs;
    private final Clock clock;
    private final Protocol<Q, A> protocol;
    private final Map<String, Upstream<Q, A>> upstreams = new HashMap<>();
    /** Requests written whole to servers, probes aside. */
    private long written;
    /** The connections that carry an exchange. */
    private final Map<Exchange<Q, A>, ServerConnection<Q, A>> carriers = new HashMap<>();

    /**
     * What is spoken with servers.
     *
     * @param <Q> its requests
     * @param <A> its answers
     */
    public interface Protocol<Q, A> {
        /** Puts what reads and writes it into a channel that is not connected yet; a link will follow. */
        void initPipeline(ChannelPipeline pipeline);

        /** A link for a channel that has just connected. */
        ServerConnection<Q, A> newConnection();

        /** What checks a server, where the settings allow probes. */
        Q probeRequest();
    }

    /**
     * No server is known yet.
     *
     * @param connectTimeoutUs time allowed to open a connection
     * @param connIdleUs after so many microseconds servers close idle connections
     */
    public ServerPool(
            EventLoop loop,
            Network network,
            SocketBudget sockets,
            Clock clock,
            long connectTimeoutUs,
            long connIdleUs,
            Protocol<Q, A> protocol) {
        this.loop = loop;
        this.protocol = protocol;
        this.sockets = sockets;
        this.clock = clock;
        this.connIdleUs = connIdleUs;
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                // Addresses only: no name is ever looked up, and no resolver kept for the loop.
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        protocol.initPipeline(channel.pipeline());
                        channel.pipeline().addLast(new ConnectErrorHandler());
                    }
                });
    }

    /** A server, at the address that discovery last gave. */
    private static final class Upstream<Q, A> {
        final String id;
        final ArrayDeque<ServerConnection<Q, A>> idle = new ArrayDeque<>();
        /** Exchanges for which a connection is being opened; they take the first that is free. */
        final ArrayDeque<Exchange<Q, A>> awaiting = new ArrayDeque<>();

        InetSocketAddress endpoint;
        long startedAtUs;
        boolean ready;
        /** Connections that are being opened, up to where they can carry something. */
        int dialing;

        Upstream(String id) {
            this.id = id;
        }
    }

    // ---------------------------------------------------------------- the list

    /** Follows the list. Word of a drain takes effect at once, also for what awaits a connection. */
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
            // What was opened to another address, or to a process that has ended, is of no more use: a
            // request written to it would end as a reset, which may not be repeated.
            boolean moved =
                    !host.endpoint().equals(upstream.endpoint) || host.entry().startedAtUs() > upstream.startedAtUs;
            upstream.endpoint = host.endpoint();
            upstream.startedAtUs = host.entry().startedAtUs();
            upstream.ready = host.entry().state() == ServerState.READY;
            if (moved || !upstream.ready) {
                List.copyOf(upstream.idle).stream()
                        .filter(link -> !link.isUsable())
                        .forEach(ServerConnection::close);
            }
            if (!upstream.ready) {
                turnAway(upstream);
            }
        }
        missing.keySet().forEach(this::remove);
    }

    private void remove(String id) {
        Upstream<Q, A> upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.ready = false;
            closeAll(upstream.idle);
            turnAway(upstream);
        }
    }

    /** Ends what awaits a connection to a server that wants nothing new: it never ran. */
    private static <Q, A> void turnAway(Upstream<Q, A> upstream) {
        Exchange<Q, A> exchange;
        while ((exchange = upstream.awaiting.poll()) != null) {
            exchange.onEnded(Result.MOOT, null);
        }
    }

    private static <Q, A> void closeAll(ArrayDeque<ServerConnection<Q, A>> idle) {
        new ArrayList<>(idle).forEach(ServerConnection::close);
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange; the connection that carries it tells its end. */
    @Override
    public void start(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.ready) {
            exchange.onEnded(Result.MOOT, null);
            return;
        }
        ServerConnection<Q, A> free;
        while ((free = upstream.idle.peek()) != null) {
            if (free.channel.hasNoUnreadInput()) {
                free.carry(exchange);
                return;
            }
            // What has come behind the last answer, or the end of the connection, waits to be read: it would
            // pass for the answer to this request, or reset it.
            free.close();
        }
        if (!sockets.canOpenServerConnection() && !closeOldestIdle()) {
            exchange.onEnded(Result.CONNECT_FAILED, null);
            return;
        }
        upstream.awaiting.add(exchange);
        dial(upstream);
    }

    @Override
    public boolean abandon(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        if (upstream != null && upstream.awaiting.remove(exchange)) {
            return false;
        }
        ServerConnection<Q, A> link = carriers.remove(exchange);
        if (link == null) {
            return false;
        }
        link.exchange = null;
        link.close();
        return link.written;
    }

    @Override
    public boolean withdraw(String serverId, Exchange<Q, A> exchange) {
        Upstream<Q, A> upstream = upstreams.get(serverId);
        return upstream != null && upstream.awaiting.remove(exchange);
    }

    @Override
    public Q probeRequest() {
        return protocol.probeRequest();
    }

    private void dial(Upstream<Q, A> upstream) {
        upstream.dialing++;
        sockets.serverConnectionOpened();
        InetSocketAddress to = upstream.endpoint;
        ChannelFuture opening = dialer.connect(to);
        opening.channel().closeFuture().addListener(closed -> sockets.serverConnectionClosed());
        // Also a dial that fails on the spot is heard of from the loop, never from inside this call. And
        // behind the ends of connections that were read in the same turn, which are told by tasks of the loop
        // as well: whoever waits for this one may have left.
        opening.addListener(done -> loop.execute(() -> loop.execute(() -> dialed(upstream, to, opening))));
    }

    private void dialed(Upstream<Q, A> upstream, InetSocketAddress to, ChannelFuture opening) {
        if (!opening.isSuccess() || !opening.channel().isActive()) {
            notOpened(upstream);
            return;
        }
        ServerConnection<Q, A> link = protocol.newConnection();
        link.join(this, upstream, to, (InputAwareChannel) opening.channel());
        opening.channel().pipeline().addLast(link).remove(ConnectErrorHandler.class);
        link.onConnected();
    }

    private void notOpened(Upstream<Q, A> upstream) {
        upstream.dialing--;
        if (upstream.awaiting.size() > upstream.dialing) {
            // One dial was made for each that waits; some may have found a connection that came free.
            upstream.awaiting.poll().onEnded(Result.CONNECT_FAILED, null);
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
            closeAll(upstream.idle);
        }
    }

    /** Requests written whole to servers so far, probes aside. */
    public long writtenRequestCount() {
        return written;
    }

    /** Closes what is idle; what awaits a connection has ended, what is on one ends with its loop. */
    public void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /** Closes what has been idle for half of what servers allow: a request that met their close resets. And
     * what carries an answer that does not go on. */
    public void closeExpiredConnections() {
        List.copyOf(carriers.values()).stream().filter(ServerConnection::isStalled).forEach(ServerConnection::close);
        long before = clock.nowUs() - connIdleUs / 2;
        for (Upstream<Q, A> upstream : upstreams.values()) {
            while (!upstream.idle.isEmpty() && upstream.idle.peekLast().idleSinceUs < before) {
                upstream.idle.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        ServerConnection<Q, A> oldest = null;
        for (Upstream<Q, A> upstream : upstreams.values()) {
            ServerConnection<Q, A> last = upstream.idle.peekLast();
            if (last != null && (oldest == null || last.idleSinceUs < oldest.idleSinceUs)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    // ---------------------------------------------------------------- a connection

    /**
     * A connection to a server, the last in its channel's pipeline: the protocol's part reads what comes.
     *
     * @param <Q> requests of the protocol
     * @param <A> answers of the protocol
     */
    public abstract static class ServerConnection<Q, A> extends ChannelInboundHandlerAdapter {
        private ServerPool<Q, A> pool;
        private Upstream<Q, A> upstream;
        private InetSocketAddress endpoint;
        private InputAwareChannel channel;
        private long openedAtUs;
        private boolean up;
        private Exchange<Q, A> exchange;
        private boolean written;
        private boolean closedHere;
        private long idleSinceUs;

        private void join(ServerPool<Q, A> to, Upstream<Q, A> server, InetSocketAddress at, InputAwareChannel connected) {
            pool = to;
            upstream = server;
            endpoint = at;
            channel = connected;
            openedAtUs = to.clock.nowUs();
        }

        /** The connection is up: {@link #markAvailable} is due once it can carry an exchange. */
        protected abstract void onConnected();

        /** What to write for an exchange, as late as a connection is there to carry it. */
        protected abstract Object createMessage(Exchange<Q, A> next);

        /** Whether what it carries has begun to be answered and will not go on. */
        protected boolean isStalled() {
            return false;
        }

        /**
         * Tells that an answer begins which nobody holds whole.
         *
         * @return false if nobody wants it: the connection is closed then and carries nothing more
         */
        protected final boolean startResponse(A answer) {
            Exchange<Q, A> begun = exchange;
            if (begun.onResponseStarted(answer)) {
                return true;
            }
            pool.carriers.remove(begun);
            exchange = null;
            close();
            return false;
        }

        /** What it carries, or null. */
        protected final Exchange<Q, A> exchange() {
            return exchange;
        }

        /** Whether the request that it carries, or carried last, was written whole. */
        protected final boolean isRequestWritten() {
            return written;
        }

        /** Whether this side has ended it. */
        protected final boolean isClosedLocally() {
            return closedHere;
        }

        /** Its channel. */
        protected final InputAwareChannel channel() {
            return channel;
        }

        /** The server's id. */
        protected final String serverId() {
            return upstream.id;
        }

        private boolean isUsable() {
            return channel.isActive()
                    && upstream.ready
                    && endpoint.equals(upstream.endpoint)
                    && openedAtUs >= upstream.startedAtUs;
        }

        /** It can carry an exchange: takes up what awaits a connection, or stays idle. */
        protected final void markAvailable() {
            if (!up) {
                up = true;
                upstream.dialing--;
            }
            if (!isUsable()) {
                close();
                // Its dial was for one that still waits, perhaps at an address that has changed since.
                if (upstream.ready && upstream.awaiting.size() > upstream.dialing) {
                    upstream.awaiting.poll().onEnded(Result.CONNECT_FAILED, null);
                }
                return;
            }
            idleSinceUs = pool.clock.nowUs();
            upstream.idle.push(this);
            Exchange<Q, A> next = upstream.awaiting.poll();
            if (next != null) {
                carry(next);
            }
        }

        private void carry(Exchange<Q, A> next) {
            // First, as a message that cannot be made must not cost the connection.
            Object message = createMessage(next);
            upstream.idle.remove(this);
            exchange = next;
            written = false;
            pool.carriers.put(next, this);
            channel.writeAndFlush(message).addListener(done -> {
                if (done.isSuccess()) {
                    pool.written += next.request() == pool.protocol.probeRequest() ? 0 : 1;
                    written |= exchange == next;
                } else {
                    close();
                }
            });
        }

        /** Ends the connection; what it carries is told so. */
        protected final void close() {
            closedHere = true;
            upstream.idle.remove(this);
            channel.close();
        }

        /** Tells the end of what it carries, if anything. */
        protected final void completeExchange(Result result, A answer) {
            Exchange<Q, A> over = exchange;
            exchange = null;
            if (over != null) {
                pool.carriers.remove(over);
                over.onEnded(result, answer);
            }
        }

        /** The connection has ended: what the protocol holds of an answer is let go. */
        protected abstract void releaseResponse();

        @Override
        public final void channelInactive(ChannelHandlerContext context) {
            upstream.idle.remove(this);
            releaseResponse();
            if (!up) {
                up = true;
                pool.notOpened(upstream);
            }
            completeExchange(written ? Result.RESET : Result.CONNECT_FAILED, null);
        }
    }
}
