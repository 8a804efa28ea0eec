package kitemux.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigText;

/**
 * A discovery on loopback: the whole list, and a watch that tells changes as they are told here. All but
 * {@link #bindFuture} and the figures is called on its loop.
 */
public final class DiscoveryStub {
    private static final byte[] EMPTY_LINE = {'\n'};
    /** While nothing changes a watch has an empty line so often. */
    private static final long EMPTY_LINE_MS = 2_000;

    private final List<String> zones;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final ChannelFuture listening;
    private final EventLoop loop;
    private final Consumer<Boolean> called;
    private final AtomicLong written = new AtomicLong();
    private volatile int watchCount;
    private long rev = 1;
    /** The whole list of this version as it is written; null where it is to be made anew. */
    private byte[] whole;

    /**
     * Listens from now on; has no server yet.
     *
     * @param zones their names, by which entries are written
     * @param addresses where servers listen, by their ids
     * @param called told of each call, and whether it is a watch
     */
    public DiscoveryStub(
            InetSocketAddress address,
            EventLoop loop,
            List<String> zones,
            Map<String, InetSocketAddress> addresses,
            Consumer<Boolean> called) {
        this.zones = zones;
        this.called = called;
        this.addresses = addresses;
        this.loop = loop;
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Calls());
                    }
                })
                .bind(address);
    }

    /** Done once it listens, or cannot. */
    public ChannelFuture bindFuture() {
        return listening;
    }

    /** Servers have changed, as all who watch hear at once. */
    public void publish(List<ServerEntry> changed) {
        rev++;
        whole = null;
        for (ServerEntry entry : changed) {
            if (entry.state() == ServerState.GONE) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
        byte[] line = text(false, changed);
        watches.forEach(watch -> write(watch, line));
    }

    /** Ends all watches, as discovery does when it goes down; it answers whoever calls again. */
    public void closeWatches() {
        Set.copyOf(watches).forEach(Channel::close);
    }

    /** The version of the list. */
    public long rev() {
        return rev;
    }

    /** How many watch; from any thread. */
    public int watchCount() {
        return watchCount;
    }

    /** Bytes of lists and empty lines that were written so far, without what HTTP adds; from any thread. */
    public long writtenBytes() {
        return written.get();
    }

    /** Listens no more, and ends all watches. */
    public void close() {
        listening.channel().close();
        closeWatches();
    }

    private void write(Channel watch, byte[] line) {
        written.addAndGet(line.length);
        watch.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line)));
    }

    /** Servers with their addresses. */
    public static List<ConfigText.Server> withAddresses(
            Collection<ServerEntry> entries, Map<String, InetSocketAddress> addresses) {
        return entries.stream()
                .map(entry -> new ConfigText.Server(entry, NetUtil.toSocketAddressString(addresses.get(entry.id()))))
                .toList();
    }

    private byte[] text(boolean all, Collection<ServerEntry> servers) {
        return (ConfigText.list(rev, all, zones, withAddresses(servers, addresses)) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (whole == null) {
                whole = text(true, entries.values());
            }
            byte[] list = whole;
            boolean watch = new QueryStringDecoder(request.uri()).parameters().containsKey("watch");
            called.accept(watch);
            if (!watch) {
                FullHttpResponse whole = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(list));
                whole.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, whole.content().readableBytes());
                context.writeAndFlush(whole);
                return;
            }
            HttpResponse begun = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            begun.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.write(begun);
            write(context.channel(), list);
            watches.add(context.channel());
            watchCount = watches.size();
            emptyLine(context.channel());
        }

        private void emptyLine(Channel watch) {
            loop.schedule(
                    () -> {
                        if (watch.isActive()) {
                            write(watch, EMPTY_LINE);
                            emptyLine(watch);
                        }
                    },
                    EMPTY_LINE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.remove(context.channel());
            watchCount = watches.size();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
