package kitemux.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.ServiceQBalancer;

/**
 * A real node: it carries what happens on the sockets to the decision module and what the module asks for
 * to the sockets. It decides nothing. All of it runs on one event loop.
 */
public final class Node implements Balancer.Actions {
    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private static final byte[] NO_BODY = {};
    private static final long PROBE_US = 1_000_000;

    private final NodeConfig config;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final ServerPool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final Balancer balancer;

    private final Map<Long, Held> held = new HashMap<>();
    /** The ids of those that are owed an answer. A second one of the same id could have its effect twice. */
    private final Set<String> openTxns = new HashSet<>();
    private long lastId;
    /** What the module is still to be told: nothing is fed back into it from inside one of its events. */
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean telling;
    private Future<?> housekeeping;
    private Future<?> wake;
    private long wakeAtUs;

    /** Something to tell the module, and the request that it is about, or null. */
    private record Event(Held about, Runnable call) { }

    /** A client's request from its coming until its last attempt has ended. */
    static final class Held {
        private final long id;
        private final ClientRequest request;
        private final ClientConnection client;
        private final long deadlineUs;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private int outstanding;
        private boolean ended;

        Held(long id, ClientRequest request, ClientConnection client, long deadlineUs) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.deadlineUs = deadlineUs;
        }
    }

    Node(NodeConfig config, EventLoop loop) {
        this(config, loop, actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
    }

    Node(NodeConfig config, EventLoop loop, Function<Balancer.Actions, Balancer> module) {
        this.config = config;
        this.loop = loop;
        Sockets sockets = new Sockets(config.sockets());
        pool = new ServerPool(loop, sockets, clock, config.settings().connectTimeoutUs, config.connIdleUs());
        clients = new ClientServer(loop, new RequestReader(config.settings()), sockets,
                new ClientServer.Handler() {
                    @Override
                    public void asked(ClientConnection client, ClientRequest request)
                            throws BadRequestException {
                        take(client, request);
                    }

                    @Override
                    public void left(ClientConnection client) {
                        Held gone = client.held;
                        tell(gone, () -> {
                            end(gone);
                            balancer.onClientGone(clock.nowUs(), gone.id);
                            forgetIfOver(gone);
                        });
                    }
                });
        discovery = new Discovery(loop, config, Discovery.MOST_SILENCE_US, new Discovery.Listener() {
            @Override
            public void listed(HostList list) {
                list(list, list.all() ? ListKind.FULL : ListKind.CHANGES);
            }

            @Override
            public void failed(String reason) {
                Log.line("discovery: " + reason);
                tell(null, () -> balancer.onListFailed(clock.nowUs()));
            }
        });
        balancer = module.apply(this);
    }

    // ---------------------------------------------------------------- start and end

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        try {
            config = NodeConfig.read(env);
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            return;
        }
        EventLoop loop = newLoop();
        Node node = new Node(config, loop);
        Reload.onHangUp(env, node);
        Rehearsal.play(config, loop);
        ChannelFuture listening = node.start().awaitUninterruptibly();
        if (!listening.isSuccess()) {
            System.err.println("kitemux: listen " + config.listen() + ": " + listening.cause().getMessage());
            System.exit(2);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            CountDownLatch empty = new CountDownLatch(1);
            node.drain(empty::countDown);
            try {
                empty.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
        Log.line("listening on " + config.listen());
    }

    static EventLoop newLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Begins to serve; the future is done once clients can connect. */
    ChannelFuture start() {
        loop.execute(() -> list(config.known(), ListKind.CACHED));
        housekeeping = loop.scheduleAtFixedRate(() -> {
            pool.closeOld();
            clients.closeOld();
        }, Limits.HOUSEKEEPING_MS, Limits.HOUSEKEEPING_MS, TimeUnit.MILLISECONDS);
        return clients.listen(config.listen());
    }

    /** Takes over what may change while a node runs, which is where discovery is. */
    void reload(NodeConfig changed) {
        loop.execute(() -> discovery.moveTo(changed.discovery()));
    }

    /** Says no to the front, serves what still comes, and calls back once nothing is held. */
    void drain(Runnable whenEmpty) {
        loop.execute(() -> clients.drain(whenEmpty));
    }

    /** Lets go of all sockets and timers at once. */
    void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            if (wake != null) {
                wake.cancel(false);
            }
            clients.close();
            pool.close();
        });
    }

    // ---------------------------------------------------------------- events for the module

    private void tell(Held about, Runnable call) {
        events.add(new Event(about, call));
        if (telling) {
            return;
        }
        telling = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                tellOne(event);
            }
        } finally {
            telling = false;
        }
    }

    private void tellOne(Event event) {
        try {
            event.call.run();
        } catch (RuntimeException e) {
            // A defect met by one request must neither end the node nor leave it without an answer.
            Log.error("event", e);
            if (event.about != null && !event.about.ended) {
                answer(event.about, HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
                events.add(new Event(null, () -> balancer.onClientGone(clock.nowUs(), event.about.id)));
            }
        }
    }

    private void list(HostList list, ListKind kind) {
        tell(null, () -> {
            // The pool first, as the module sends to new servers at once. What it frees from a draining
            // server is told after the list: the module would else send it there again.
            pool.update(list);
            balancer.onServers(clock.nowUs(), kind, list.hosts().stream().map(HostList.Host::entry).toList());
        });
    }

    private void take(ClientConnection client, ClientRequest request) throws BadRequestException {
        if (!openTxns.add(request.txn())) {
            throw new BadRequestException("X-Txn is that of an open request");
        }
        long now = clock.nowUs();
        Held taken = new Held(++lastId, request, client, now + request.leftUs());
        client.held = taken;
        held.put(taken.id, taken);
        tell(taken, () -> balancer.onRequest(clock.nowUs(), new Request(taken.id, request.classIndex(),
                request.tenant(), Math.max(0, taken.deadlineUs - clock.nowUs()), request.workUs(),
                request.retry(), request.key())));
    }

    // ---------------------------------------------------------------- attempts

    private final class Attempt implements ServerPool.Exchange {
        private final Held of;
        private final int number;
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private final long untilUs;
        private Future<?> expiry;
        private boolean over;

        Attempt(Held of, int number, String serverId, long untilUs) {
            this.of = of;
            this.number = number;
            this.serverId = serverId;
            this.untilUs = untilUs;
        }

        @Override
        public FullHttpRequest message() {
            ClientRequest request = of.request;
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                    request.uri(), Unpooled.wrappedBuffer(request.body()));
            message.headers().set(HttpHeaderNames.HOST, "backend.local")
                    .set("X-Txn", request.txn())
                    .set("X-Lane", config.settings().classes.get(request.classIndex()).name())
                    .set("X-Remaining", Math.max(1, untilUs - clock.nowUs()) + "u");
            if (request.idempotencyKey() != null) {
                message.headers().set("Idempotency-Key", request.idempotencyKey());
            }
            if (!request.method().equals(HttpMethod.GET)) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            }
            return message;
        }

        void begin() {
            of.outstanding++;
            if (untilUs <= sentAtUs || number >= config.settings().maxAttempts || of.ended) {
                ended(Result.MOOT, NO_BODY);
                return;
            }
            expiry = loop.schedule(this::expire, untilUs - sentAtUs, TimeUnit.MICROSECONDS);
            pool.start(serverId, this);
        }

        private void expire() {
            // What never left for want of a connection is known not to have run.
            ended(pool.giveUp(serverId, this) ? Result.TIMEOUT : Result.CONNECT_FAILED, NO_BODY);
        }

        void cancel() {
            if (!over) {
                pool.giveUp(serverId, this);
                ended(Result.CANCELLED, NO_BODY);
            }
        }

        @Override
        public void ended(Result result, byte[] body) {
            if (over) {
                return;
            }
            over = true;
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (result == Result.OK && !of.ended) {
                answer(of, HttpResponseStatus.OK, body, 0);
            }
            tell(of, () -> {
                of.outstanding--;
                forgetIfOver(of);
                balancer.onOutcome(clock.nowUs(), new Outcome(of.id, number, result,
                        clock.nowUs() - sentAtUs, of.ended, null));
            });
        }
    }

    private void forgetIfOver(Held request) {
        if (request.ended && request.outstanding == 0) {
            held.remove(request.id);
        }
    }

    private void end(Held request) {
        request.ended = true;
        openTxns.remove(request.request.txn());
    }

    /** The one final answer; nothing is sent for the request after it. */
    private void answer(Held request, HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (request.ended) {
            return;
        }
        end(request);
        request.client.answer(status, body, retryAfterUs);
        forgetIfOver(request);
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        Held request = held.get(requestId);
        long until = untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        Attempt attempt = new Attempt(request, request.attempts.size(), serverId, until);
        request.attempts.add(attempt);
        attempt.begin();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Held request = held.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        finish(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        finish(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        Held request = held.get(requestId);
        if (request != null) {
            answer(request, status, NO_BODY, retryAfterUs);
        }
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAtUs = atUs;
        scheduleWake();
    }

    private void scheduleWake() {
        wake = loop.schedule(() -> {
            long now = clock.nowUs();
            if (now < wakeAtUs) {
                scheduleWake();
                return;
            }
            wake = null;
            tell(null, () -> balancer.onWake(clock.nowUs()));
        }, Math.max(0, wakeAtUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String serverId) {
        new Probe(serverId).begin();
    }

    /** A check of one server. */
    private final class Probe implements ServerPool.Exchange {
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private Future<?> expiry;

        Probe(String serverId) {
            this.serverId = serverId;
        }

        void begin() {
            expiry = loop.schedule(() -> {
                pool.giveUp(serverId, this);
                ended(Result.TIMEOUT, NO_BODY);
            }, PROBE_US, TimeUnit.MICROSECONDS);
            pool.start(serverId, this);
        }

        @Override
        public FullHttpRequest message() {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/alive", Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, "backend.local");
            return message;
        }

        @Override
        public void ended(Result result, byte[] body) {
            expiry.cancel(false);
            tell(null, () -> balancer.onProbe(clock.nowUs(), serverId, result,
                    clock.nowUs() - sentAtUs, null));
        }
    }

    @Override
    public void closeIdle(String serverId) {
        pool.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }
}
