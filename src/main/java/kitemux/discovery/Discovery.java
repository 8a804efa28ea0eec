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

/**
 * The watch on discovery's list. When it breaks it says so; asking again is the module's word.
 *
 * <p>What is written to this process counts as told, whether or not it is read. A watch that another takes
 * the place of is therefore read on until that one has spoken: at a move its answer may be on its way, and
 * the new place's comes up to a second later.
 *
 * <p>What it has at its return counts as told 6 s later. The longest chain up to its word: a call that it was
 * down for is over after 4 s at most ({@link #MAX_SILENCE_US}; a dial that hangs after 1 s), the module then
 * waits for 1 s at most, and 1 s is left for the next call's turn. A call that failed in the last instant
 * before leaves 5 s. Open: where calls stand in turn for longer, as those of many nodes after a return may,
 * that is too late.
 */
public final class Discovery implements ServerListSource {
    /** What the watch tells. */
    public interface Listener {
        /** A list has come; its version is the one to go on from. */
        void onList(HostList list);

        /** The watch is over, or could not begin; it is not opened again by itself. */
        void onFailure(String reason);

        /** Discovery is elsewhere from now on, and a watch opens there: what failed before tells nothing of
         * that place. */
        default void onMoved() {}
    }

    /** Discovery writes every 2 s. A watch that is silent for so long is broken: what it misses counts as
     * told 6 s after it fell silent, by when another has to be open, and what is left is for the wait before
     * it and for a call among many. */
    public static final long MAX_SILENCE_US = 4_000_000;
    /** Watches fall silent at all nodes at once, and discovery takes calls in turn: each watch has a patience
     * of its own, drawn between this part of the most and the most. That is one beat missed and a quarter of
     * one for its way. Harm: where a beat comes half a second late, some nodes call for nothing. */
    static final double LEAST_PART = 0.625;
    /** For discovery to catch up with what it told before it was down. Harm: a place whose versions have
     * begun anew is not believed for so long. */
    static final long MOST_OLD_US = 10_000_000;
    /** For a place that is new to speak, by when what it knows counts as told, and the old one is read no
     * more. Harm: for so long the word of a place that was left because it was wrong still holds. */
    static final long MOST_LEAVING_US = 4_000_000;
    /** A place that is new counts as heard 4 s after it was told: there is time for a dial that fails, a wait
     * and two more. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private static final String UNUSABLE = "what it told could not be used";

    private final EventLoop loop;
    private final List<String> zones;
    private final long mostSilenceUs;
    private final Listener listener;
    private final Log log;
    private final Bootstrap dialer;
    private final SplittableRandom random;
    private Place place;
    /** When each server that is listed started, by what was heard last. */
    private final Map<String, Long> startedAtUs = new HashMap<>();

    private boolean wanted;
    private Watch current;
    /** The one before it, until the current one has spoken; or null. */
    private Watch former;

    /**
     * Asks nothing yet.
     *
     * @param knownRev the version of the list that the node began with
     * @param mostSilenceUs a watch on which nothing comes for so many microseconds is broken, or for somewhat
     *     less
     * @param seed for how much less
     */
    public Discovery(
            EventLoop loop,
            Network network,
            InetSocketAddress at,
            List<String> zones,
            long knownRev,
            long mostSilenceUs,
            long seed,
            Listener listener,
            Log log) {
        this.loop = loop;
        this.log = log;
        this.zones = zones;
        this.mostSilenceUs = mostSilenceUs;
        random = new SplittableRandom(seed);
        this.listener = listener;
        place = new Place(at, knownRev, true);
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(network::newOutboundChannel)
                // Addresses only: no name is ever looked up, and no resolver kept for the loop.
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, network.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
    }

    /** Where lists come from, and what is known of its versions. */
    private static final class Place {
        final InetSocketAddress address;
        long rev;
        /** Whether the version is one of this place's, so that a watch can go on from it. */
        boolean revIsOfHere;
        /** The version that this place told this process last; -1 before. What a node began with may be from
         * another place. */
        long heardRev = -1;

        Place(InetSocketAddress address, long rev, boolean revIsOfHere) {
            this.address = address;
            this.rev = rev;
            this.revIsOfHere = revIsOfHere;
        }

        /** The next watch asks for all there is. */
        void forgetVersions() {
            revIsOfHere = false;
            heardRev = -1;
        }
    }

    /** Opens a watch for all that changed since the last list; it takes the place of an earlier one. */
    @Override
    public void subscribe() {
        wanted = true;
        if (current != null) {
            current.leave();
        }
        Watch watch = new Watch(place);
        current = watch;
        ChannelFuture opening = dialer.connect(place.address);
        watch.channel = opening.channel();
        watch.expectMore();
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                watch.broken("no connection: " + done.cause().getMessage());
                return;
            }
            watch.channel.pipeline().addLast(watch);
            FullHttpRequest ask = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/discovery/hosts?watch=1" + (place.revIsOfHere ? "&after=" + place.rev : ""));
            ask.headers().set(HttpHeaderNames.HOST, "discovery");
            watch.channel.writeAndFlush(ask);
        });
    }

    /**
     * Discovery is elsewhere from now on. A watch opens there at once; no failure is told of the old one.
     * Nothing says that versions mean the same at both places, so the whole list is asked for.
     */
    public void setAddress(InetSocketAddress to) {
        if (!to.equals(place.address)) {
            log.info("discovery is at " + to + " now");
            place = new Place(to, 0, false);
            if (wanted) {
                listener.onMoved();
                subscribe();
            }
        }
    }

    /** All of it is asked for once more, as after a watch that broke. */
    @Override
    public void requestFullList() {
        place.revIsOfHere = false;
        if (former != null) {
            former.end();
        }
        if (current != null) {
            current.broken(UNUSABLE);
        } else {
            listener.onFailure(UNUSABLE);
        }
    }

    /** Ends the watch without a word. */
    public void close() {
        wanted = false;
        if (current != null) {
            current.end();
        }
        if (former != null) {
            former.end();
        }
    }

    static long patienceUs(long mostUs, SplittableRandom random) {
        return (long) (mostUs * (LEAST_PART + (1 - LEAST_PART) * random.nextDouble()));
    }

    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final long patienceUs = patienceUs(mostSilenceUs, random);
        private final JsonFrameReader lines = new JsonFrameReader();
        private final Place place;
        private Channel channel;
        private Future<?> silence;
        private boolean over;
        private boolean told;
        /** Runs while all that it tells is older than what is known. */
        private Future<?> lasting;
        /** Runs while it is the former one. */
        private Future<?> stay;

        Watch(Place place) {
            this.place = place;
        }

        /** Another takes its place, and it is read on until that one has spoken. Of two that have not been
         * followed yet the first is kept: it has the earlier turn. */
        void leave() {
            if (former != null) {
                end();
                return;
            }
            former = this;
            current = null;
            stay = loop.schedule(this::end, MOST_LEAVING_US, TimeUnit.MICROSECONDS);
        }

        private void expectMore() {
            if (silence != null) {
                silence.cancel(false);
            }
            // What came while the loop stood still is read in the turn that this would run in, before it.
            silence = loop.schedule(() -> broken("silent"), patienceUs, TimeUnit.MICROSECONDS);
        }

        /** Ends without a word. */
        void end() {
            over = true;
            silence.cancel(false);
            for (Future<?> timer : new Future<?>[] {lasting, stay}) {
                if (timer != null) {
                    timer.cancel(false);
                }
            }
            current = current == this ? null : current;
            former = former == this ? null : former;
            channel.close();
        }

        private void broken(String reason) {
            boolean told = this == current;
            if (!over) {
                end();
                if (told) {
                    listener.onFailure(reason);
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (over) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                broken("answer cannot be read");
            } else if (message instanceof HttpResponse response
                    && response.status().code() != 200) {
                broken("status " + response.status().code());
            } else if (message instanceof HttpContent content) {
                read(content.content());
                if (message instanceof LastHttpContent) {
                    broken("watch ended");
                }
            }
        }

        /** Only what is whole is a sign of life: bytes that never make a list tell nothing. */
        private void read(ByteBuf bytes) {
            JsonFrameReader.Frame what;
            while (!over && (what = lines.nextFrame(bytes)) != JsonFrameReader.Frame.INCOMPLETE) {
                expectMore();
                switch (what) {
                    case OBJECT -> readList(lines.takeObject());
                    // A beat. As the first word it says that nothing has changed: the call has its answer.
                    case HEARTBEAT ->
                        heard(told || !place.revIsOfHere ? null : new HostList(place.rev, false, List.of()));
                    default -> broken("bad line: " + lines.malformedText());
                }
            }
        }

        private void readList(byte[] whole) {
            try {
                heard(HostListReader.read(Json.read(whole), zones, ""));
            } catch (IOException | ConfigException e) {
                broken("bad line: " + e.getMessage());
            }
        }

        private void heard(HostList list) {
            HostList news = list;
            if (list != null && list.revision() < place.heardRev) {
                news = older(list);
            } else if (list != null) {
                note(list);
                if (lasting != null) {
                    lasting.cancel(false);
                    lasting = null;
                }
            }
            if (news != null) {
                told = true;
                place.rev = news.revision();
                place.revIsOfHere = true;
                place.heardRev = place.rev;
                if (this == current && former != null) {
                    former.end();
                }
                listener.onList(news);
                if (current == null && wanted) {
                    // It was the former's, and no watch follows it yet: one is still to be asked for.
                    listener.onFailure("no watch yet in the place of the one that told this");
                }
            }
        }

        /**
         * This place knew more once: after it was down it may have come back with an old list. What it said
         * since stands; what it tells on this watch counts again once it has caught up, but for this: a
         * server that it says drains or has gone, and that has not started since, gets nothing more. Word of
         * a drain holds from when it comes, and may be new here whatever its version. Harm: a server that it
         * brought back since is left alone until it has caught up. If it does not, its versions have begun
         * anew, and the whole list is asked for.
         */
        private HostList older(HostList list) {
            if (lasting == null) {
                log.info("discovery: its list is older than the one that it told; waiting for it to catch " + "up");
                lasting = loop.schedule(
                        () -> {
                            if (this == current) {
                                place.forgetVersions();
                                end();
                                subscribe();
                            }
                        },
                        MOST_OLD_US,
                        TimeUnit.MICROSECONDS);
            }
            List<HostList.Host> leaving =
                    list.hosts().stream().filter(this::leaves).toList();
            return told && leaving.isEmpty() ? null : new HostList(place.rev, false, leaving);
        }

        private boolean leaves(HostList.Host host) {
            return host.entry().state() != ServerState.READY
                    && startedAtUs.getOrDefault(host.entry().id(), Long.MAX_VALUE)
                            <= host.entry().startedAtUs();
        }

        private void note(HostList list) {
            if (list.isFull()) {
                startedAtUs.clear();
            }
            for (HostList.Host host : list.hosts()) {
                if (host.entry().state() == ServerState.GONE) {
                    startedAtUs.remove(host.entry().id());
                } else {
                    startedAtUs.put(host.entry().id(), host.entry().startedAtUs());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("watch on discovery", cause);
            }
            broken("connection failed");
        }
    }
}
