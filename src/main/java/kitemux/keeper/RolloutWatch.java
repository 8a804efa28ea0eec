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
import kitemux.rollout.Effect;
import kitemux.rollout.Report;
import kitemux.rollout.RolloutText;
import kitemux.rollout.Subscriber;
import kitemux.rollout.WatchEvent;

/**
 * A node's watch on the keepers: carries the effects of its {@link Subscriber} to sockets, and what is to be
 * in force to the node. For the loop alone.
 */
public final class RolloutWatch {
    /** Reports on their way at once; a keeper that takes none must not take descriptors. Beyond: not sent. */
    static final int MOST_REPORTS = 4;
    /** For a report, from the dial to its answer. */
    private static final long REPORT_MS = 2_000;

    private final EventLoop loop;
    private final Clock time;
    private final List<InetSocketAddress> keepers;
    private final Subscriber subscriber;
    private final String who;
    private final ConfigurationApplier inForce;
    private final Log log;
    private final SocketBudget sockets;
    private final Bootstrap dialer;
    /** Dials and watches that the machine knows, by its numbers. */
    private final Map<Long, Watch> watches = new HashMap<>();

    private final Set<Channel> reports = new HashSet<>();
    private long droppedReports;
    private Clock.Timer timer;
    private boolean closed;
    private Subscriber.State stood;

    /** Has values in force. */
    public interface ConfigurationApplier {
        /** From now on these are in force, whole; called between two events of the loop. */
        void apply(long rev, SortedMap<String, String> values);
    }

    /**
     * Watches nobody yet.
     *
     * @param keepers addresses by number, as many as the machine was told
     * @param node its number, as the machine was told
     * @param life as the machine was told
     * @param sockets counts those that are open: two watches and {@link #MOST_REPORTS} at most
     */
    public RolloutWatch(
            EventLoop loop,
            Network network,
            Clock time,
            List<InetSocketAddress> keepers,
            Subscriber machine,
            int node,
            long life,
            SocketBudget sockets,
            ConfigurationApplier inForce,
            Log log) {
        this.loop = loop;
        this.sockets = sockets;
        this.time = time;
        this.keepers = List.copyOf(keepers);
        this.subscriber = machine;
        who = "&node=" + node + "&life=" + life;
        this.inForce = inForce;
        this.log = log;
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) REPORT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
    }

    /** Dials a keeper; from any thread. */
    public void start() {
        loop.execute(this::tick);
    }

    /** How it stands, what is in force, and counters; to be looked at on the loop. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Reports that were not sent as too many were on their way. */
    public long droppedReports() {
        return droppedReports;
    }

    /** Lets go of all sockets and timers; on the loop. */
    public void close() {
        closed = true;
        if (timer != null) {
            timer.cancel();
        }
        List.copyOf(watches.values()).forEach(watch -> watch.channel.close());
        Set.copyOf(reports).forEach(Channel::close);
    }

    private void tick() {
        timer = null;
        carry(subscriber.tick(time.nowUs()));
    }

    private void carry(List<Effect> effects) {
        if (closed) {
            return;
        }
        for (Effect effect : effects) {
            if (effect instanceof Effect.OpenWatch dial) {
                dial(dial);
            } else if (effect instanceof Effect.CloseWatch hangUp) {
                Watch watch = watches.remove(hangUp.watch());
                if (watch != null) {
                    watch.channel.close();
                }
            } else if (effect instanceof Effect.Apply put) {
                // An event of its own: whoever is in the middle of one sees the old values to its end.
                loop.execute(() -> put(put));
            } else if (effect instanceof Effect.SendReport send) {
                report(send.keeper(), send.report());
            } else {
                throw new IllegalStateException("no effect of a node: " + effect);
            }
        }
        if (subscriber.state() != stood) {
            stood = subscriber.state();
            log.info("rollout: "
                    + switch (stood) {
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
        timer = time.schedule(Math.max(0, subscriber.nextAtUs() - time.nowUs()), this::tick);
    }

    private void put(Effect.Apply put) {
        if (!closed) {
            inForce.apply(put.rev(), put.values());
            carry(subscriber.applied(time.nowUs(), put.rev(), put.values()));
        }
    }

    private void dial(Effect.OpenWatch dial) {
        Watch watch = new Watch(dial.watch());
        watches.put(dial.watch(), watch);
        ChannelFuture opening = dialer.connect(keepers.get(dial.keeper()));
        watch.channel = counted(opening.channel());
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                // Never from inside an event, also where it fails at once.
                loop.execute(watch::ended);
                return;
            }
            watch.channel.pipeline().addLast(watch);
            watch.channel.writeAndFlush(
                    request(HttpMethod.GET, "/rollout/watch?after=" + dial.afterRev() + who, new byte[0]));
        });
    }

    private Channel counted(Channel channel) {
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

    /** It does not matter if it is lost: the next one tells all. */
    private void report(int keeper, Report report) {
        if (reports.size() >= MOST_REPORTS) {
            droppedReports++;
            return;
        }
        ChannelFuture opening = dialer.connect(keepers.get(keeper));
        Channel channel = counted(opening.channel());
        reports.add(channel);
        channel.closeFuture().addListener(done -> reports.remove(channel));
        loop.schedule(() -> channel.close(), REPORT_MS, TimeUnit.MILLISECONDS);
        opening.addListener(done -> {
            if (done.isSuccess()) {
                channel.pipeline().addLast(new Told());
                channel.writeAndFlush(request(HttpMethod.POST, "/rollout/report", RolloutText.write(report)));
            } else {
                channel.close();
            }
        });
    }

    /** A report's answer, of which nothing is read but that it is there. */
    private static final class Told extends SimpleChannelInboundHandler<HttpObject> {
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

    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final long number;
        private final JsonFrameReader lines = new JsonFrameReader();
        private Channel channel;

        Watch(long number) {
            this.number = number;
        }

        private boolean isWanted() {
            return !closed && watches.get(number) == this;
        }

        private void ended() {
            if (isWanted()) {
                watches.remove(number);
                channel.close();
                carry(subscriber.watchEnded(time.nowUs(), number));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (!isWanted()) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                ended();
            } else if (part instanceof HttpResponse response
                    && response.status().code() != 200) {
                ended();
            } else if (part instanceof HttpResponse) {
                carry(subscriber.watchOpened(time.nowUs(), number));
            } else if (part instanceof HttpContent content) {
                read(content.content());
                if (part instanceof LastHttpContent) {
                    ended();
                }
            }
        }

        private void read(ByteBuf bytes) {
            while (isWanted()) {
                switch (lines.nextFrame(bytes)) {
                    case INCOMPLETE -> {
                        return;
                    }
                    case HEARTBEAT -> carry(subscriber.handleEvent(time.nowUs(), number, new WatchEvent.Heartbeat()));
                    case OBJECT -> line(lines.takeObject());
                    case MALFORMED -> bad(lines.malformedText());
                }
            }
        }

        private void line(byte[] text) {
            RolloutText.ParseResult<WatchEvent> read = RolloutText.readWatchEvent(text);
            if (read.errors().isEmpty()) {
                carry(subscriber.handleEvent(time.nowUs(), number, read.value()));
            } else {
                bad(read.errors().get(0).toString());
            }
        }

        private void bad(String what) {
            log.info("rollout: bad line: " + what);
            carry(subscriber.handleMalformedEvent(time.nowUs(), number));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("watch on a keeper", cause);
            }
            ended();
        }
    }
}
