package kitemux.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.engine.Log;
import kitemux.engine.ServerListSource;
import kitemux.net.HostList;
import kitemux.net.JsonFrameReader;
import kitemux.net.Network;
import kitemux.net.SocketBuffers;

/**
 * A client of discovery that watches the server list. A failure of the watch is reported; the balancer decides
 * when to subscribe again.
 *
 * <p>Whatever discovery has written to this process counts as delivered, whether or not it was read. A watch
 * that is replaced is therefore read until its successor has delivered something: after a change of the address
 * its response may be on its way, and the one from the new address may come up to a second later.
 *
 * <p>What discovery has when it returns after an outage counts as delivered 6 s later. The longest sequence
 * until then: a call that fails because of the outage ends after 4 s at most ({@link #MAX_SILENCE_US}; a
 * connect that hangs ends after 1 s), the balancer then waits for 1 s at most, and 1 s is left until the next
 * call is answered. After a call that failed just before the return 5 s are left. Not covered: discovery
 * answers calls in turn, and if they queue for longer, as those of many nodes may after an outage, the list
 * arrives too late.
 */
public final class Discovery implements ServerListSource {
    /** Receives the events of the watch. */
    public interface Listener {
        /** Called when a list was received; the next watch resumes from its revision. */
        void onList(HostList list);

        /** Called when the watch ended or could not be opened; it is not reopened automatically. */
        void onFailure(String reason);

        /**
         * Called when discovery's address has changed and a watch is about to be opened there. Earlier failures
         * say nothing about the new address.
         */
        default void onMoved() {}
    }

    /**
     * How long a watch may be silent at most before it counts as broken; discovery writes every 2 s. What a
     * watch misses counts as delivered 6 s after it fell silent. Another one has to be open by then, and the
     * rest of the time is for the wait before it and for a call among many.
     */
    public static final long MAX_SILENCE_US = 4_000_000;
    /**
     * Lower bound of the randomized silence timeout, as a ratio of the maximum. The watches of all nodes fall
     * silent at once and discovery answers calls in turn, so each watch draws its own timeout. The bound is one
     * missed heartbeat and a quarter of one for its delay. The cost is that some nodes reconnect needlessly
     * when a heartbeat is half a second late.
     */
    static final double MIN_SILENCE_RATIO = 0.625;
    /**
     * How long discovery may take after an outage to catch up with the revisions that it delivered before. The
     * cost is that an endpoint whose revisions have started anew is not trusted for this time.
     */
    static final long STALE_LIST_TIMEOUT_US = 10_000_000;
    /**
     * How long the previous watch is read while the new one has delivered nothing; what the new endpoint knows
     * counts as delivered by then. The cost is that lists from an endpoint that was replaced because it was
     * wrong are applied for this time.
     */
    static final long PREVIOUS_WATCH_TIMEOUT_US = 4_000_000;
    /**
     * A new endpoint's list counts as delivered 4 s after the address changed: that leaves time for a failed
     * connect, a wait and two more connects.
     */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private static final String UNUSABLE_LIST = "what it told could not be used";

    private final EventLoop loop;
    private final List<String> zones;
    private final long maxSilenceUs;
    private final Listener listener;
    private final Log log;
    private final Bootstrap bootstrap;
    private final SplittableRandom random;
    private Endpoint endpoint;
    /** The address that delivered the last list; null before the first one. */
    private InetSocketAddress lastSource;
    /** Start time of each listed server in microseconds, by its id, as last received. */
    private final Map<String, Long> serverStartUs = new HashMap<>();

    private boolean isSubscribed;
    private Watch currentWatch;
    /** The watch before the current one, until the current one has delivered something; or null. */
    private Watch previousWatch;

    /**
     * Creates a client that has not subscribed yet.
     *
     * @param buffers bounds of what the system holds for its sockets
     * @param knownRev the revision of the list that the node started with
     * @param maxSilenceUs the longest silence after which a watch counts as broken, in microseconds; each watch
     *     draws a somewhat shorter timeout
     * @param seed seed of the random timeouts
     */
    public Discovery(
            EventLoop loop,
            Network network,
            SocketBuffers buffers,
            InetSocketAddress address,
            List<String> zones,
            long knownRev,
            long maxSilenceUs,
            long seed,
            Listener listener,
            Log log) {
        this.loop = loop;
        this.log = log;
        this.zones = zones;
        this.maxSilenceUs = maxSilenceUs;
        random = new SplittableRandom(seed);
        this.listener = listener;
        endpoint = new Endpoint(address, knownRev, true);
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                // Only addresses are used, so no resolver is created for the event loop.
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
        buffers.bound(SocketBuffers.Kind.DISCOVERY).applyTo(bootstrap);
    }

    /** An address of discovery and what is known of its revisions. */
    private static final class Endpoint {
        final InetSocketAddress address;
        long revision;
        /** Whether the revision was assigned by this endpoint, so that a watch can resume from it. */
        boolean isOwnRevision;
        /**
         * The last revision that this endpoint delivered to this process, or -1. The revision that a node
         * started with may be from another endpoint.
         */
        long receivedRevision = -1;

        Endpoint(InetSocketAddress address, long revision, boolean isOwnRevision) {
            this.address = address;
            this.revision = revision;
            this.isOwnRevision = isOwnRevision;
        }

        /** Makes the next watch request the full list. */
        void resetRevisions() {
            isOwnRevision = false;
            receivedRevision = -1;
        }
    }

    /** Opens a watch for all changes since the last list; it replaces an earlier watch. */
    @Override
    public void subscribe() {
        isSubscribed = true;
        if (currentWatch != null) {
            currentWatch.becomePrevious();
        }
        Watch watch = new Watch(endpoint);
        currentWatch = watch;
        ChannelFuture connectFuture = bootstrap.connect(endpoint.address);
        watch.channel = connectFuture.channel();
        watch.restartSilenceTimer();
        connectFuture.addListener(connected -> {
            if (!connected.isSuccess()) {
                watch.fail("no connection: " + connected.cause().getMessage());
                return;
            }
            watch.channel.pipeline().addLast(watch);
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/discovery/hosts?watch=1" + (endpoint.isOwnRevision ? "&after=" + endpoint.revision : ""));
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            watch.channel.writeAndFlush(request);
        });
    }

    /**
     * Changes discovery's address. A watch is opened there at once, and no failure of the old one is reported.
     * Revisions of the two endpoints are not assumed to be comparable, so the full list is requested.
     */
    public void setAddress(InetSocketAddress address) {
        if (!address.equals(endpoint.address)) {
            log.info("discovery is at " + address + " now");
            endpoint = new Endpoint(address, 0, false);
            if (isSubscribed) {
                listener.onMoved();
                subscribe();
            }
        }
    }

    /** Records the start times of the listed servers. */
    private void recordServerStarts(HostList list) {
        if (list.isFull()) {
            serverStartUs.clear();
        }
        for (HostList.Host host : list.hosts()) {
            if (host.entry().state() == ServerState.GONE) {
                serverStartUs.remove(host.entry().id());
            } else {
                serverStartUs.put(host.entry().id(), host.entry().startedAtUs());
            }
        }
    }

    /** Returns the address at which lists are requested. */
    public InetSocketAddress address() {
        return endpoint.address;
    }

    /** Returns the address that delivered the last list; null before the first one. */
    public InetSocketAddress lastSource() {
        return lastSource;
    }

    /**
     * Resumes from a list that another process of this node has been told. What its address tells later counts as old below
     * that list's revision, as if this process had been told it; at another address the full list is requested.
     */
    public void resumeFrom(ToldServers told) {
        if (!told.discovery().equals(endpoint.address)) {
            endpoint.isOwnRevision = false;
            return;
        }
        recordServerStarts(told.asList());
        endpoint.revision = told.revision();
        endpoint.isOwnRevision = true;
        endpoint.receivedRevision = told.revision();
    }

    /** Requests the full list again, as after a broken watch. */
    @Override
    public void requestFullList() {
        endpoint.isOwnRevision = false;
        if (previousWatch != null) {
            previousWatch.close();
        }
        if (currentWatch != null) {
            currentWatch.fail(UNUSABLE_LIST);
        } else {
            listener.onFailure(UNUSABLE_LIST);
        }
    }

    /** Closes the watches without reporting a failure. */
    public void close() {
        isSubscribed = false;
        if (currentWatch != null) {
            currentWatch.close();
        }
        if (previousWatch != null) {
            previousWatch.close();
        }
    }

    /**
     * Draws a silence timeout in microseconds, between {@link #MIN_SILENCE_RATIO} of the maximum and the
     * maximum.
     */
    static long drawSilenceTimeoutUs(long maxUs, SplittableRandom random) {
        return (long) (maxUs * (MIN_SILENCE_RATIO + (1 - MIN_SILENCE_RATIO) * random.nextDouble()));
    }

    /** One watch: a request whose response is a stream of lists and heartbeats. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final long silenceTimeoutUs = drawSilenceTimeoutUs(maxSilenceUs, random);
        private final JsonFrameReader frameReader = new JsonFrameReader();
        private final Endpoint endpoint;
        private Channel channel;
        private Future<?> silenceTimer;
        private boolean isClosed;
        private boolean hasDelivered;
        /** Runs while this watch delivers only lists that are older than the known one. */
        private Future<?> staleTimer;
        /** Runs while this is the previous watch. */
        private Future<?> handoverTimer;

        Watch(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        /**
         * Makes this the previous watch, which is read until its successor has delivered something. If there is
         * a previous watch already that one is kept, since discovery answers it first.
         */
        void becomePrevious() {
            if (previousWatch != null) {
                close();
                return;
            }
            previousWatch = this;
            currentWatch = null;
            handoverTimer = loop.schedule(this::close, PREVIOUS_WATCH_TIMEOUT_US, TimeUnit.MICROSECONDS);
        }

        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            // Data that arrived during a stall of the event loop is read in the turn in which this timer is due,
            // before it.
            silenceTimer = loop.schedule(() -> fail("silent"), silenceTimeoutUs, TimeUnit.MICROSECONDS);
        }

        /** Closes the watch without reporting a failure. */
        void close() {
            isClosed = true;
            silenceTimer.cancel(false);
            for (Future<?> timer : new Future<?>[] {staleTimer, handoverTimer}) {
                if (timer != null) {
                    timer.cancel(false);
                }
            }
            currentWatch = currentWatch == this ? null : currentWatch;
            previousWatch = previousWatch == this ? null : previousWatch;
            channel.close();
        }

        private void fail(String reason) {
            boolean isCurrent = this == currentWatch;
            if (!isClosed) {
                close();
                if (isCurrent) {
                    listener.onFailure(reason);
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (isClosed) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail("answer cannot be read");
            } else if (message instanceof HttpResponse response
                    && response.status().code() != 200) {
                fail("status " + response.status().code());
            } else if (message instanceof HttpContent content) {
                readFrames(content.content());
                if (message instanceof LastHttpContent) {
                    fail("watch ended");
                }
            }
        }

        /**
         * Reads complete frames. Only those restart the silence timer: bytes that never form a list convey
         * nothing.
         */
        private void readFrames(ByteBuf bytes) {
            JsonFrameReader.Frame frame;
            while (!isClosed && (frame = frameReader.nextFrame(bytes)) != JsonFrameReader.Frame.INCOMPLETE) {
                restartSilenceTimer();
                switch (frame) {
                    case OBJECT -> readList(frameReader.takeObject());
                    // A heartbeat. As the first message it means that nothing has changed, which answers the call.
                    case HEARTBEAT ->
                        handleList(
                                hasDelivered || !endpoint.isOwnRevision
                                        ? null
                                        : new HostList(endpoint.revision, false, List.of()));
                    default -> fail("bad line: " + frameReader.malformedText());
                }
            }
        }

        private void readList(byte[] object) {
            try {
                handleList(HostListReader.read(Json.read(object), zones, ""));
            } catch (IOException | ConfigException e) {
                fail("bad line: " + e.getMessage());
            }
        }

        /** Applies a list; null stands for a heartbeat that reports nothing new. */
        private void handleList(HostList list) {
            HostList update = list;
            if (list != null && list.revision() < endpoint.receivedRevision) {
                update = handleStaleList(list);
            } else if (list != null) {
                recordServerStarts(list);
                if (staleTimer != null) {
                    staleTimer.cancel(false);
                    staleTimer = null;
                }
            }
            if (update != null) {
                hasDelivered = true;
                endpoint.revision = update.revision();
                endpoint.isOwnRevision = true;
                endpoint.receivedRevision = endpoint.revision;
                if (this == currentWatch && previousWatch != null) {
                    previousWatch.close();
                }
                lastSource = endpoint.address;
                listener.onList(update);
                if (currentWatch == null && isSubscribed) {
                    // The list came from the previous watch and there is no current one yet, which still has to be
                    // opened.
                    listener.onFailure("no watch yet in the place of the one that told this");
                }
            }
        }

        /**
         * Handles a list that is older than one that this endpoint delivered before: after an outage discovery
         * may have come back with an old list. The newer list stays in force until discovery has caught up,
         * with one exception: a server that is listed as draining or gone and has not restarted since gets no
         * more requests. A drain is effective as soon as it is received, and may be news here whatever its
         * revision. The cost is that a server that was brought back since is not used until discovery has
         * caught up. If it does not, its revisions have started anew, and the full list is requested.
         */
        private HostList handleStaleList(HostList list) {
            if (staleTimer == null) {
                log.info("discovery: its list is older than the one that it told; waiting for it to catch " + "up");
                staleTimer = loop.schedule(
                        () -> {
                            if (this == currentWatch) {
                                endpoint.resetRevisions();
                                close();
                                subscribe();
                            }
                        },
                        STALE_LIST_TIMEOUT_US,
                        TimeUnit.MICROSECONDS);
            }
            List<HostList.Host> unavailable =
                    list.hosts().stream().filter(this::isUnavailable).toList();
            return hasDelivered && unavailable.isEmpty() ? null : new HostList(endpoint.revision, false, unavailable);
        }

        /** Returns whether the server is listed as draining or gone and has not restarted since. */
        private boolean isUnavailable(HostList.Host host) {
            return host.entry().state() != ServerState.READY
                    && serverStartUs.getOrDefault(host.entry().id(), Long.MAX_VALUE)
                            <= host.entry().startedAtUs();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("discovery watch", cause);
            }
            fail("connection failed");
        }
    }
}
