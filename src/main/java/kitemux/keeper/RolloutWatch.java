package kitemux.keeper;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.net.JsonFrameReader;
import kitemux.net.Network;
import kitemux.net.SocketBudget;
import kitemux.net.SocketBuffers;
import kitemux.rollout.Effect;
import kitemux.rollout.Report;
import kitemux.rollout.RolloutText;
import kitemux.rollout.Subscriber;
import kitemux.rollout.WatchEvent;

/**
 * A node's watch on the keepers: executes the effects of its {@link Subscriber} on sockets and passes new
 * configurations to the node. Unless stated otherwise, methods must be called on the loop.
 */
public final class RolloutWatch {
    /** Concurrent reports; further ones are dropped, so that an unresponsive keeper cannot exhaust descriptors. */
    static final int MAX_CONCURRENT_REPORT_COUNT = 4;
    /** Time for a report, from the connect to the response. */
    private static final long REPORT_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final List<InetSocketAddress> keeperAddresses;
    private final Subscriber subscriber;
    private final String identityQuery;
    private final ConfigurationApplier applier;
    private final Log log;
    private final SocketBudget sockets;
    private final Bootstrap bootstrap;
    /** Connections that the subscriber has requested, by its watch ids. */
    private final Map<Long, WatchConnection> watches = new HashMap<>();

    private final Set<Channel> reportChannels = new HashSet<>();
    private long droppedReports;
    private Clock.Timer timer;
    private boolean closed;
    private Subscriber.State loggedState;

    /** Applies configurations at the node. */
    public interface ConfigurationApplier {
        /** Puts a complete configuration in force; called between two events of the loop. */
        void apply(long rev, SortedMap<String, String> values);
    }

    /**
     * Creates a watch without any connection.
     *
     * @param keeperAddresses addresses by keeper number, as many as the subscriber expects
     * @param node number of the node, as in the subscriber
     * @param incarnation incarnation of the node, as in the subscriber
     * @param sockets counts the open sockets: at most two watches and {@link #MAX_CONCURRENT_REPORT_COUNT} reports
     */
    public RolloutWatch(
            EventLoop loop,
            Network network,
            Clock clock,
            List<InetSocketAddress> keeperAddresses,
            Subscriber subscriber,
            int node,
            long incarnation,
            SocketBudget sockets,
            ConfigurationApplier applier,
            Log log) {
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        this.keeperAddresses = List.copyOf(keeperAddresses);
        this.subscriber = subscriber;
        identityQuery = "&node=" + node + "&life=" + incarnation;
        this.applier = applier;
        this.log = log;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) REPORT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
        sockets.buffers().bound(SocketBuffers.Kind.KEEPER).applyTo(bootstrap);
    }

    /** Starts to watch a keeper; may be called from any thread. */
    public void start() {
        loop.execute(this::tick);
    }

    /** State, configuration in force and counters; must be read on the loop. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Number of reports that were not sent because too many were in flight. */
    public long droppedReports() {
        return droppedReports;
    }

    /** Closes all sockets and cancels all timers. Must be called on the loop. */
    public void close() {
        closed = true;
        if (timer != null) {
            timer.cancel();
        }
        List.copyOf(watches.values()).forEach(watch -> watch.channel.close());
        Set.copyOf(reportChannels).forEach(Channel::close);
    }

    private void tick() {
        timer = null;
        execute(subscriber.tick(clock.nowUs()));
    }

    private void execute(List<Effect> effects) {
        if (closed) {
            return;
        }
        for (Effect effect : effects) {
            if (effect instanceof Effect.OpenWatch open) {
                openWatch(open);
            } else if (effect instanceof Effect.CloseWatch close) {
                WatchConnection watch = watches.remove(close.watch());
                if (watch != null) {
                    watch.channel.close();
                }
            } else if (effect instanceof Effect.Apply apply) {
                // Runs as a separate event: code within the current event sees the old values to its end.
                loop.execute(() -> applyConfiguration(apply));
            } else if (effect instanceof Effect.SendReport send) {
                sendReport(send.keeper(), send.report());
            } else {
                throw new IllegalStateException("not an effect of a node: " + effect);
            }
        }
        if (subscriber.state() != loggedState) {
            loggedState = subscriber.state();
            log.info("rollout: "
                    + switch (loggedState) {
                        case CONNECTING -> "no keeper is watched; version " + subscriber.rev() + " stays in force";
                        case CATCHING_UP -> "catching up from version " + subscriber.rev();
                        case CURRENT -> "told all that its keeper knows";
                        case NO_QUORUM ->
                            "its keeper hears no majority: there may be versions later than " + subscriber.rev();
                    });
        }
        if (timer != null) {
            timer.cancel();
        }
        timer = clock.schedule(Math.max(0, subscriber.nextAtUs() - clock.nowUs()), this::tick);
    }

    private void applyConfiguration(Effect.Apply apply) {
        if (!closed) {
            applier.apply(apply.rev(), apply.values());
            execute(subscriber.applied(clock.nowUs(), apply.rev(), apply.values()));
        }
    }

    private void openWatch(Effect.OpenWatch open) {
        WatchConnection watch = new WatchConnection(open.watch());
        watches.put(open.watch(), watch);
        ChannelFuture connecting = bootstrap.connect(keeperAddresses.get(open.keeper()));
        watch.channel = trackSocket(connecting.channel());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                // Even if the connect fails at once, its end must be handled outside the current event.
                loop.execute(watch::end);
                return;
            }
            watch.channel.pipeline().addLast(watch);
            watch.channel.writeAndFlush(
                    request(HttpMethod.GET, "/rollout/watch?after=" + open.afterRev() + identityQuery, new byte[0]));
        });
    }

    private Channel trackSocket(Channel channel) {
        sockets.serverConnectionOpened();
        channel.closeFuture().addListener(done -> sockets.serverConnectionClosed());
        return channel;
    }

    private static FullHttpRequest request(HttpMethod method, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "keeper");
        if (body.length > 0) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return request;
    }

    /** Sends a report. A lost report does no harm, because each report is complete. */
    private void sendReport(int keeper, Report report) {
        if (reportChannels.size() >= MAX_CONCURRENT_REPORT_COUNT) {
            droppedReports++;
            return;
        }
        ChannelFuture connecting = bootstrap.connect(keeperAddresses.get(keeper));
        Channel channel = trackSocket(connecting.channel());
        reportChannels.add(channel);
        channel.closeFuture().addListener(done -> reportChannels.remove(channel));
        loop.schedule(() -> channel.close(), REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                channel.pipeline().addLast(new ReportResponseHandler());
                channel.writeAndFlush(request(HttpMethod.POST, "/rollout/report", RolloutText.write(report)));
            } else {
                channel.close();
            }
        });
    }

    /** Closes the connection after the response to a report, whose content is ignored. */
    private static final class ReportResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof LastHttpContent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private final class WatchConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final long watchId;
        private final JsonFrameReader frames = new JsonFrameReader();
        private Channel channel;

        WatchConnection(long watchId) {
            this.watchId = watchId;
        }

        private boolean isActive() {
            return !closed && watches.get(watchId) == this;
        }

        private void end() {
            if (isActive()) {
                watches.remove(watchId);
                channel.close();
                execute(subscriber.watchEnded(clock.nowUs(), watchId));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (!isActive()) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                end();
            } else if (part instanceof HttpResponse response
                    && response.status().code() != 200) {
                end();
            } else if (part instanceof HttpResponse) {
                execute(subscriber.watchOpened(clock.nowUs(), watchId));
            } else if (part instanceof HttpContent content) {
                read(content.content());
                if (part instanceof LastHttpContent) {
                    end();
                }
            }
        }

        private void read(ByteBuf bytes) {
            while (isActive()) {
                switch (frames.nextFrame(bytes)) {
                    case INCOMPLETE -> {
                        return;
                    }
                    case HEARTBEAT ->
                        execute(subscriber.handleEvent(clock.nowUs(), watchId, new WatchEvent.Heartbeat()));
                    case OBJECT -> handleFrame(frames.takeObject());
                    case MALFORMED -> handleMalformedFrame(frames.malformedText());
                }
            }
        }

        private void handleFrame(byte[] text) {
            RolloutText.ParseResult<WatchEvent> parsed = RolloutText.readWatchEvent(text);
            if (parsed.errors().isEmpty()) {
                execute(subscriber.handleEvent(clock.nowUs(), watchId, parsed.value()));
            } else {
                handleMalformedFrame(parsed.errors().get(0).toString());
            }
        }

        private void handleMalformedFrame(String detail) {
            log.info("rollout: bad line: " + detail);
            execute(subscriber.handleMalformedEvent(clock.nowUs(), watchId));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("watch on a keeper", cause);
            }
            end();
        }
    }
}
