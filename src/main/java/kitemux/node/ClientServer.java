package kitemux.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** The side that clients see: connections, what they ask, and the answers they get. */
final class ClientServer {
    /** What becomes of requests. */
    interface Handler {
        /** A whole request that can be read; it is owed one {@link Client#answer}. */
        void asked(Client client, ClientRequest request);

        /** The client has closed before it had its answer. */
        void left(Client client);
    }

    private static final byte[] NO_BODY = {};
    /** After SIGTERM connections arrive for 0.4 s more; a tenth is room for those under way. */
    private static final long ARRIVING_MS = 500;
    /** A client that has asked nothing for so long makes room for others. */
    private static final long MOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(120);
    /** Whoever has begun a request and does not end it holds a socket and memory for nothing. */
    private static final long MOST_READING_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** How long the rest of what was turned down may take to come. */
    private static final long LINGER_MS = 1_000;

    private final EventLoopGroup loop;
    private final RequestReader reader;
    private final Sockets sockets;
    private final Handler handler;
    /** All connections, the longest unused first. */
    private final Set<Client> clients = new LinkedHashSet<>();
    private Channel listening;
    private boolean draining;
    private boolean closed;
    private Runnable whenEmpty = () -> { };

    ClientServer(EventLoopGroup loop, RequestReader reader, Sockets sockets, Handler handler) {
        this.loop = loop;
        this.reader = reader;
        this.sockets = sockets;
        this.handler = handler;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture opening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.ALLOCATOR, Node.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                }).bind(address);
        listening = opening.channel();
        return opening;
    }

    private void accepted(SocketChannel channel) {
        sockets.clientOpened();
        channel.closeFuture().addListener(done -> sockets.clientClosed());
        if (!sockets.hasRoomForClient() && !closeOldestIdle()) {
            // Every connection has a request open: one more would take descriptors that those need.
            channel.close();
            return;
        }
        Client client = new Client(channel);
        clients.add(client);
        channel.pipeline().addLast(new HttpServerCodec(), new Aggregator(client), client);
    }

    private boolean closeOldestIdle() {
        for (Client client : clients) {
            if (client.isIdle()) {
                client.channel.close();
                return true;
            }
        }
        return false;
    }

    /** Closes connections that have been idle, or amid a request or an unread answer, for too long. */
    void closeOld() {
        long now = System.nanoTime();
        for (Client client : new ArrayList<>(clients)) {
            long since = now - client.activeAtNanos;
            if (client.held == null && since > (client.reading ? MOST_READING_NANOS : MOST_IDLE_NANOS)) {
                client.channel.close();
            }
        }
    }

    /**
     * No longer ready: new connections are served while the front may still deal them out, every answer
     * ends its connection, and then all that is idle is closed.
     *
     * @param whenDone called once no connection is left and none can come
     */
    void drain(Runnable whenDone) {
        draining = true;
        whenEmpty = whenDone;
        loop.schedule(() -> listening.close().addListener(done -> {
            closed = true;
            new ArrayList<>(clients).stream().filter(Client::isIdle).forEach(c -> c.channel.close());
            tellIfEmpty();
        }), ARRIVING_MS, TimeUnit.MILLISECONDS);
    }

    void close() {
        listening.close();
        new ArrayList<>(clients).forEach(c -> c.channel.close());
    }

    private void tellIfEmpty() {
        if (closed && clients.isEmpty()) {
            whenEmpty.run();
        }
    }

    /** Gathers the parts of a request; one with too large a body is answered and its connection closed. */
    private static final class Aggregator extends HttpObjectAggregator {
        private final Client client;

        Aggregator(Client client) {
            super(Node.MOST_BODY);
            this.client = client;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            client.reads();
            super.channelRead(context, message);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            client.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
    }

    /** A client's connection: one request at a time, further ones wait their turn. */
    final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();
        private boolean busy;
        private boolean keepAlive = true;
        private boolean reading;
        private long lingerMs;
        private long activeAtNanos = System.nanoTime();
        /** The request that is open, as the handler knows it. */
        Node.Held held;

        Client(SocketChannel channel) {
            this.channel = channel;
        }

        private boolean isIdle() {
            return !busy;
        }

        private void reads() {
            if (!reading) {
                reading = true;
                activeAtNanos = System.nanoTime();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            reading = false;
            if (!keepAlive) {
                return;
            }
            if (busy) {
                // Sent ahead of the answer: read on only once it is its turn, so that what waits is bounded.
                waiting.add(message.retain());
                channel.config().setAutoRead(false);
                return;
            }
            serve(message);
        }

        private void serve(FullHttpRequest message) {
            busy = true;
            keepAlive = HttpUtil.isKeepAlive(message);
            clients.remove(this);
            clients.add(this);
            if (message.decoderResult().isFailure()) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            try {
                String path = RequestReader.path(message.uri());
                if (path.equals("/up")) {
                    answer(draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                            NO_BODY, 0);
                } else if (RequestReader.isRequestPath(path)) {
                    handler.asked(this, reader.read(message));
                } else {
                    answer(HttpResponseStatus.NOT_FOUND, NO_BODY, 0);
                }
            } catch (BadRequestException e) {
                answer(HttpResponseStatus.BAD_REQUEST,
                        (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8), 0);
            } catch (RuntimeException e) {
                // A defect met by one request must not leave it without an answer.
                Log.error("request " + message.uri(), e);
                if (held == null) {
                    answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
                }
            }
        }

        /** Answers what cannot be read and closes: where the next request would begin is not known. */
        private void reject(HttpResponseStatus status) {
            keepAlive = false;
            lingerMs = LINGER_MS;
            if (held == null) {
                busy = true;
                answer(status, NO_BODY, 0);
            } else {
                channel.close();
            }
        }

        /** The one answer to the request that is open; {@code retryAfterUs} of 0 gives no advice. */
        void answer(HttpResponseStatus status, byte[] body, long retryAfterUs) {
            held = null;
            activeAtNanos = System.nanoTime();
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (retryAfterUs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / 1e6);
            }
            if (!keepAlive || draining) {
                keepAlive = false;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            channel.writeAndFlush(response).addListener(written -> answered());
        }

        /** Only once an answer is written is it the next one's turn: a client may ask and never read. */
        private void answered() {
            busy = false;
            if (!keepAlive) {
                // What is still coming is read for a while: closing on it would break the answer off.
                channel.shutdownOutput();
                loop.schedule(() -> channel.close(), lingerMs, TimeUnit.MILLISECONDS);
            } else if (!waiting.isEmpty()) {
                loop.execute(this::serveNext);
            }
        }

        private void serveNext() {
            FullHttpRequest next = busy || !keepAlive ? null : waiting.poll();
            if (next != null) {
                try {
                    serve(next);
                } finally {
                    next.release();
                }
            }
            if (waiting.isEmpty()) {
                channel.config().setAutoRead(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            keepAlive = false;
            clients.remove(this);
            waiting.forEach(FullHttpRequest::release);
            waiting.clear();
            if (held != null) {
                handler.left(this);
            }
            tellIfEmpty();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.error("connection to a client", cause);
            }
            channel.close();
        }
    }
}
