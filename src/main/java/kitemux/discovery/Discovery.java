package kitemux.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

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

import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.engine.Lists;
import kitemux.engine.Log;
import kitemux.net.HostList;
import kitemux.net.Network;

/** The watch on discovery's list. When it breaks it says so; asking again is the module's word. */
public final class Discovery implements Lists {
    /** What the watch tells. */
    public interface Listener {
        /** A list has come; its version is the one to go on from. */
        void listed(HostList list);

        /** The watch is over, or could not begin; it is not opened again by itself. */
        void failed(String reason);
    }

    /** Discovery writes every 2 s. Three beats missed: a watch that is silent for so long is broken. */
    public static final long MOST_SILENCE_US = 7_000_000;
    /** For discovery to catch up with what it told before it was down. Harm: a place whose versions have
     * begun anew is not believed for so long. */
    static final long MOST_OLD_US = 10_000_000;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    /** No list is so long; a line without an end must not fill the memory. */
    private static final int MOST_LINE = 4 << 20;

    private final EventLoop loop;
    private final List<String> zones;
    private final long mostSilenceUs;
    private final Listener listener;
    private final Log log;
    private final Bootstrap dialer;
    private InetSocketAddress address;
    private long rev;
    /** Whether the version is one of this place's, so that a watch can go on from it. */
    private boolean revIsOfHere = true;
    /** The version that this place told this process last; -1 before. What a node began with may be from
     * another place. */
    private long heardRev = -1;
    private boolean wanted;
    private Watch current;

    /**
     * Asks nothing yet.
     *
     * @param knownRev the version of the list that the node began with
     * @param mostSilenceUs a watch on which nothing comes for so many microseconds is broken
     */
    public Discovery(EventLoop loop, Network network, InetSocketAddress at, List<String> zones, long knownRev,
            long mostSilenceUs, Listener listener, Log log) {
        this.loop = loop;
        this.log = log;
        this.zones = zones;
        this.mostSilenceUs = mostSilenceUs;
        this.listener = listener;
        address = at;
        rev = knownRev;
        dialer = new Bootstrap().group(loop).channelFactory(network::dialer)
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

    /** Opens a watch for all that changed since the last list; it takes the place of an earlier one. */
    @Override
    public void subscribe() {
        wanted = true;
        if (current != null) {
            current.end();
        }
        Watch watch = new Watch();
        current = watch;
        ChannelFuture opening = dialer.connect(address);
        watch.channel = opening.channel();
        watch.expectMore();
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                watch.broken("no connection: " + done.cause().getMessage());
                return;
            }
            watch.channel.pipeline().addLast(watch);
            FullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/discovery/hosts?watch=1" + (revIsOfHere ? "&after=" + rev : ""));
            ask.headers().set(HttpHeaderNames.HOST, "discovery");
            watch.channel.writeAndFlush(ask);
        });
    }

    /**
     * Discovery is elsewhere from now on. The watch goes there at once; no failure is told of the old one.
     * Nothing says that versions mean the same at both places, so the whole list is asked for.
     */
    public void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            log.line("discovery is at " + to + " now");
            address = to;
            revIsOfHere = false;
            heardRev = -1;
            if (wanted) {
                subscribe();
            }
        }
    }

    /** Ends the watch without a word. */
    public void close() {
        wanted = false;
        if (current != null) {
            current.end();
            current = null;
        }
    }

    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Channel channel;
        private Future<?> silence;
        private boolean over;
        private boolean told;
        /** Runs while all that it tells is older than what is known. */
        private Future<?> lasting;

        private void expectMore() {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> broken("silent"), mostSilenceUs, TimeUnit.MICROSECONDS);
        }

        /** Ends without a word. */
        void end() {
            over = true;
            silence.cancel(false);
            if (lasting != null) {
                lasting.cancel(false);
            }
            channel.close();
        }

        private void broken(String reason) {
            if (!over) {
                end();
                current = null;
                listener.failed(reason);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (over) {
                return;
            }
            expectMore();
            if (message.decoderResult().isFailure()) {
                broken("answer cannot be read");
            } else if (message instanceof HttpResponse response && response.status().code() != 200) {
                broken("status " + response.status().code());
            } else if (message instanceof HttpContent content) {
                read(content.content());
                if (message instanceof LastHttpContent) {
                    broken("watch ended");
                }
            }
        }

        private void read(ByteBuf bytes) {
            while (bytes.isReadable() && !over) {
                int length = bytes.bytesBefore((byte) '\n');
                byte[] part = new byte[length < 0 ? bytes.readableBytes() : length];
                bytes.readBytes(part);
                line.writeBytes(part);
                if (line.size() > MOST_LINE) {
                    broken("line without an end");
                } else if (length >= 0) {
                    bytes.skipBytes(1);
                    byte[] whole = line.toByteArray();
                    line.reset();
                    readLine(whole);
                }
            }
        }

        private void readLine(byte[] whole) {
            HostList list;
            try {
                if (new String(whole, StandardCharsets.US_ASCII).isBlank()) {
                    // A beat. As the first word it says that nothing has changed: the call has its answer.
                    list = told || !revIsOfHere ? null : new HostList(rev, false, List.of());
                } else {
                    list = HostListReader.read(Json.read(whole), zones, "");
                }
            } catch (IOException | ConfigException e) {
                broken("bad line: " + e.getMessage());
                return;
            }
            if (list != null && list.rev() < heardRev) {
                list = older();
            } else if (list != null && lasting != null) {
                lasting.cancel(false);
                lasting = null;
            }
            if (list != null) {
                told = true;
                rev = list.rev();
                revIsOfHere = true;
                heardRev = rev;
                listener.listed(list);
            }
        }

        /**
         * This place knew more once: after it was down it may have come back with an old list. What it said
         * since, of servers that drain above all, stands; what it tells on this watch counts again once it
         * has caught up. If it does not, its versions have begun anew, and the whole list is asked for.
         */
        private HostList older() {
            if (lasting == null) {
                log.line("discovery: its list is older than the one that it told; waiting for it to catch "
                        + "up");
                lasting = loop.schedule(() -> {
                    revIsOfHere = false;
                    heardRev = -1;
                    subscribe();
                }, MOST_OLD_US, TimeUnit.MICROSECONDS);
            }
            return told ? null : new HostList(rev, false, List.of());
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
