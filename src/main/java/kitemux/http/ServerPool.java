package kitemux.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import kitemux.Balancer.Result;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.engine.Log;
import kitemux.engine.Time;
import kitemux.engine.Transport;
import kitemux.net.HostList;
import kitemux.net.Network;
import kitemux.net.QuietChannel;
import kitemux.net.Sockets;

/** The connections to servers: one exchange at a time on each, the most recently used first. */
public final class ServerPool implements Transport<ClientRequest, byte[]> {
    private final Bootstrap dialer;
    private final EventLoop loop;
    private final Sockets sockets;
    private final long connIdleUs;
    private final Time clock;
    private final Settings settings;
    private final ByteBufAllocator allocator;
    private final Log log;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    /** The connections that carry an exchange. */
    private final Map<Exchange<ClientRequest, byte[]>, Connection> carriers = new HashMap<>();
    /** How much of answers has come that have not ended yet. */
    private int answersBytes;

    /**
     * No server is known yet.
     *
     * @param connIdleUs after so many microseconds servers close idle connections
     */
    public ServerPool(EventLoop loop, Network network, Sockets sockets, Time clock, Settings settings,
            long connIdleUs, Log log) {
        this.loop = loop;
        this.settings = settings;
        this.log = log;
        allocator = network.allocator();
        this.sockets = sockets;
        this.clock = clock;
        this.connIdleUs = connIdleUs;
        dialer = new Bootstrap().group(loop).channelFactory(network::dialer)
                // Addresses only: no name is ever looked up, and no resolver kept for the loop.
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, allocator)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, settings.connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new AnswerDecoder(), new HttpRequestEncoder());
                    }
                });
    }

    /** A server, at the address that discovery last gave. */
    private static final class Upstream {
        final String id;
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        /** Exchanges for which a connection is being opened; they take the first that is free. */
        final ArrayDeque<Exchange<ClientRequest, byte[]>> awaiting = new ArrayDeque<>();
        InetSocketAddress endpoint;
        long startedAtUs;
        boolean ready;
        int dialing;

        Upstream(String id) {
            this.id = id;
        }
    }

    // ---------------------------------------------------------------- the list

    /** Follows the list. Word of a drain takes effect at once, also for what awaits a connection. */
    public void update(HostList list) {
        Map<String, Upstream> missing = list.all() ? new HashMap<>(upstreams) : Map.of();
        for (HostList.Host host : list.hosts()) {
            String id = host.entry().id();
            if (list.all()) {
                missing.remove(id);
            }
            if (host.entry().state() == ServerState.GONE) {
                remove(id);
                continue;
            }
            Upstream upstream = upstreams.computeIfAbsent(id, Upstream::new);
            // What was opened to another address, or to a process that has ended, is of no more use: a
            // request written to it would end as a reset, which may not be repeated.
            boolean moved = !host.endpoint().equals(upstream.endpoint)
                    || host.entry().startedAtUs() > upstream.startedAtUs;
            upstream.endpoint = host.endpoint();
            upstream.startedAtUs = host.entry().startedAtUs();
            upstream.ready = host.entry().state() == ServerState.READY;
            if (moved || !upstream.ready) {
                List.copyOf(upstream.idle).stream().filter(c -> !c.isUsable()).forEach(Connection::close);
            }
            if (!upstream.ready) {
                turnAway(upstream);
            }
        }
        missing.keySet().forEach(this::remove);
    }

    private void remove(String id) {
        Upstream upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.ready = false;
            closeAll(upstream.idle);
            turnAway(upstream);
        }
    }

    /** Ends what awaits a connection to a server that wants nothing new: it never ran. */
    private static void turnAway(Upstream upstream) {
        Exchange<ClientRequest, byte[]> exchange;
        while ((exchange = upstream.awaiting.poll()) != null) {
            exchange.ended(Result.MOOT, null);
        }
    }

    private static void closeAll(ArrayDeque<Connection> idle) {
        new ArrayList<>(idle).forEach(Connection::close);
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange; the connection that carries it tells its end. */
    @Override
    public void start(String serverId, Exchange<ClientRequest, byte[]> exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.ready) {
            exchange.ended(Result.MOOT, null);
            return;
        }
        Connection free;
        while ((free = upstream.idle.peek()) != null) {
            if (free.channel.isQuiet()) {
                free.carry(exchange);
                return;
            }
            // What has come behind the last answer, or the end of the connection, waits to be read: it would
            // pass for the answer to this request, or reset it.
            free.close();
        }
        if (!sockets.hasRoomForServer() && !closeOldestIdle()) {
            exchange.ended(Result.CONNECT_FAILED, null);
            return;
        }
        upstream.awaiting.add(exchange);
        dial(upstream);
    }

    @Override
    public boolean giveUp(String serverId, Exchange<ClientRequest, byte[]> exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null && upstream.awaiting.remove(exchange)) {
            return false;
        }
        Connection connection = carriers.remove(exchange);
        if (connection == null) {
            return false;
        }
        connection.exchange = null;
        connection.close();
        return connection.written;
    }

    @Override
    public ClientRequest probe() {
        return ClientRequest.PROBE;
    }

    /** As late as a connection is there to carry it: it says how long the node will wait. */
    private FullHttpRequest message(Exchange<ClientRequest, byte[]> exchange) {
        ClientRequest request = exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                request.uri(), Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, "backend.local");
        if (request.txn() != null) {
            message.headers().set("X-Txn", request.txn())
                    .set("X-Lane", settings.classes.get(request.classIndex()).name())
                    .set("X-Remaining", Math.max(1, exchange.untilUs() - clock.nowUs()) + "u");
        }
        if (request.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        if (!request.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    private void dial(Upstream upstream) {
        upstream.dialing++;
        sockets.opened();
        InetSocketAddress to = upstream.endpoint;
        ChannelFuture opening = dialer.connect(to);
        opening.channel().closeFuture().addListener(closed -> sockets.closed());
        // Also a dial that fails on the spot is heard of from the loop, never from inside this call.
        opening.addListener(done -> loop.execute(() -> dialed(upstream, to, opening)));
    }

    private void dialed(Upstream upstream, InetSocketAddress to, ChannelFuture opening) {
        upstream.dialing--;
        if (opening.isSuccess()) {
            Connection connection = new Connection(upstream, to, (QuietChannel) opening.channel());
            opening.channel().pipeline().addLast(connection);
            connection.offer();
        } else if (upstream.awaiting.size() > upstream.dialing) {
            // One dial was made for each that waits; some may have found a connection that came free.
            upstream.awaiting.poll().ended(Result.CONNECT_FAILED, null);
        }
    }

    @Override
    public String endpoint(String serverId) {
        Upstream upstream = upstreams.get(serverId);
        return upstream == null || upstream.endpoint == null ? ""
                : upstream.endpoint.getHostString() + ":" + upstream.endpoint.getPort();
    }

    // ---------------------------------------------------------------- idle connections

    @Override
    public void closeIdle(String serverId) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null) {
            closeAll(upstream.idle);
        }
    }

    /** Closes what is idle; what awaits a connection has ended, what is on one ends with its loop. */
    public void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /** Closes what has been idle for half of what servers allow: a request that met their close resets. */
    public void closeOld() {
        long before = clock.nowUs() - connIdleUs / 2;
        for (Upstream upstream : upstreams.values()) {
            while (!upstream.idle.isEmpty() && upstream.idle.peekLast().idleSinceUs < before) {
                upstream.idle.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        Connection oldest = null;
        for (Upstream upstream : upstreams.values()) {
            Connection last = upstream.idle.peekLast();
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

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Upstream upstream;
        private final InetSocketAddress endpoint;
        private final QuietChannel channel;
        private final long openedAtUs = clock.nowUs();
        private Exchange<ClientRequest, byte[]> exchange;
        private boolean written;
        private long idleSinceUs;
        private HttpResponse head;
        private ByteBuf body;
        private boolean answered;

        Connection(Upstream upstream, InetSocketAddress endpoint, QuietChannel channel) {
            this.upstream = upstream;
            this.endpoint = endpoint;
            this.channel = channel;
        }

        boolean isUsable() {
            return channel.isActive() && upstream.ready && endpoint.equals(upstream.endpoint)
                    && openedAtUs >= upstream.startedAtUs;
        }

        /** Takes up what awaits a connection, or stays idle. */
        void offer() {
            if (!isUsable()) {
                close();
                // Its dial was for one that still waits, perhaps at an address that has changed since.
                if (upstream.ready && upstream.awaiting.size() > upstream.dialing) {
                    upstream.awaiting.poll().ended(Result.CONNECT_FAILED, null);
                }
                return;
            }
            idleSinceUs = clock.nowUs();
            upstream.idle.push(this);
            Exchange<ClientRequest, byte[]> next = upstream.awaiting.poll();
            if (next != null) {
                carry(next);
            }
        }

        void carry(Exchange<ClientRequest, byte[]> next) {
            // First, as a message that cannot be made must not cost the connection.
            FullHttpRequest message = message(next);
            upstream.idle.remove(this);
            exchange = next;
            written = false;
            carriers.put(next, this);
            channel.writeAndFlush(message).addListener(done -> {
                if (done.isSuccess()) {
                    written |= exchange == next;
                } else {
                    close();
                }
            });
        }

        void close() {
            upstream.idle.remove(this);
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                read((HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(HttpObject message) {
            if (exchange == null || message.decoderResult().isFailure()) {
                // Unasked for, or not to be read: what follows cannot be told apart from an answer.
                fail();
                return;
            }
            if (message instanceof HttpResponse response) {
                head = response;
                dropBody();
                // A length that is past all bounds spoils the answer before any of it has come.
                long length = HttpUtil.getContentLength(response, 256L);
                if (length > Limits.MOST_ANSWER) {
                    fail();
                    return;
                }
                body = allocator.buffer((int) Math.min(length, Limits.FIRST_ROOM));
                // Where only the end of the connection ends a body, one cut short would pass for whole.
                if (response.status().code() == 200 && !HttpUtil.isContentLengthSet(response)
                        && !HttpUtil.isTransferEncodingChunked(response)) {
                    fail();
                    return;
                }
            }
            if (message instanceof HttpContent content) {
                int more = content.content().readableBytes();
                if (body.readableBytes() + more > Limits.MOST_ANSWER
                        || answersBytes + more > Limits.MOST_ANSWERS) {
                    fail();
                    return;
                }
                answersBytes += more;
                body.writeBytes(content.content());
            }
            if (message instanceof LastHttpContent
                    && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                answered();
            }
        }

        private void answered() {
            byte[] bytes = ByteBufUtil.getBytes(body);
            int status = head.status().code();
            Result result = status == 200 ? Result.OK
                    : (status == 503 || status == 504) && "1".equals(head.headers().get("X-Turned-Away"))
                    ? Result.FULL : Result.ERROR;
            answered = written && HttpUtil.isKeepAlive(head);
            if (!answered) {
                channel.close();
            }
            end(result, result == Result.OK ? bytes : null);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Not before all that came is read: what came behind the answer must not answer the next.
            if (answered && exchange == null) {
                answered = false;
                offer();
            }
        }

        /** The answer cannot be used, nor anything behind it. */
        private void fail() {
            answered = false;
            close();
            end(Result.RESET, null);
        }

        private void end(Result result, byte[] bytes) {
            head = null;
            dropBody();
            Exchange<ClientRequest, byte[]> over = exchange;
            exchange = null;
            if (over != null) {
                carriers.remove(over);
                over.ended(result, bytes);
            }
        }

        private void dropBody() {
            if (body != null) {
                answersBytes -= body.readableBytes();
                body.release();
                body = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            upstream.idle.remove(this);
            end(written ? Result.RESET : Result.CONNECT_FAILED, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("connection to server " + upstream.id, cause);
            }
            close();
        }
    }
}
