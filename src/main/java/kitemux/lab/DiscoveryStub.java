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
import kitemux.config.ConfigFormatter;

/**
 * A discovery stand-in on a loopback address. It serves the complete list of servers, and watches that receive each
 * published change. All methods except {@link #bindFuture} and the statistics are called on the event loop.
 */
public final class DiscoveryStub {
    private static final byte[] KEEPALIVE_LINE = {'\n'};
    /** An idle watch receives an empty line in this interval. */
    private static final long KEEPALIVE_INTERVAL_MS = 2_000;

    private final List<String> zones;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final ChannelFuture bindFuture;
    private final EventLoop loop;
    private final Consumer<Boolean> requestListener;
    private final AtomicLong writtenBytes = new AtomicLong();
    private volatile int watchCount;
    private long rev = 1;
    /** The serialized list of the current version; null if it has to be serialized again. */
    private byte[] snapshot;

    /**
     * Starts to listen, with an empty list.
     *
     * @param zones the names of the zones, in the order of their indexes
     * @param addresses the addresses of the servers by their ids
     * @param requestListener called for each request, with whether it opens a watch
     */
    public DiscoveryStub(
            InetSocketAddress address,
            EventLoop loop,
            List<String> zones,
            Map<String, InetSocketAddress> addresses,
            Consumer<Boolean> requestListener) {
        this.zones = zones;
        this.requestListener = requestListener;
        this.addresses = addresses;
        this.loop = loop;
        bindFuture = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new RequestHandler());
                    }
                })
                .bind(address);
    }

    /** Returns a future that completes once the stub listens or has failed to. */
    public ChannelFuture bindFuture() {
        return bindFuture;
    }

    /** Applies changes to the list and sends them to all open watches. */
    public void publish(List<ServerEntry> changed) {
        rev++;
        snapshot = null;
        for (ServerEntry entry : changed) {
            if (entry.state() == ServerState.GONE) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
        byte[] line = listText(false, changed);
        watches.forEach(watch -> write(watch, line));
    }

    /** Closes all watches, as a discovery that goes down does; later requests are answered again. */
    public void closeWatches() {
        Set.copyOf(watches).forEach(Channel::close);
    }

    /** Returns the version of the list. */
    public long rev() {
        return rev;
    }

    /** Returns the number of open watches; may be called from any thread. */
    public int watchCount() {
        return watchCount;
    }

    /**
     * Returns the number of bytes of lists, changes and empty lines sent so far, without HTTP overhead; may be called
     * from any thread.
     */
    public long writtenBytes() {
        return writtenBytes.get();
    }

    /** Stops listening and closes all watches. */
    public void close() {
        bindFuture.channel().close();
        closeWatches();
    }

    private void write(Channel watch, byte[] line) {
        writtenBytes.addAndGet(line.length);
        watch.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line)));
    }

    /** Returns the servers with their addresses. */
    public static List<ConfigFormatter.Server> withAddresses(
            Collection<ServerEntry> entries, Map<String, InetSocketAddress> addresses) {
        return entries.stream()
                .map(entry ->
                        new ConfigFormatter.Server(entry, NetUtil.toSocketAddressString(addresses.get(entry.id()))))
                .toList();
    }

    private byte[] listText(boolean isSnapshot, Collection<ServerEntry> servers) {
        return (ConfigFormatter.formatServerList(rev, isSnapshot, zones, withAddresses(servers, addresses)) + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (snapshot == null) {
                snapshot = listText(true, entries.values());
            }
            byte[] list = snapshot;
            boolean watch = new QueryStringDecoder(request.uri()).parameters().containsKey("watch");
            requestListener.accept(watch);
            if (!watch) {
                FullHttpResponse response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(list));
                response.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
                context.writeAndFlush(response);
                return;
            }
            HttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.write(responseHead);
            write(context.channel(), list);
            watches.add(context.channel());
            watchCount = watches.size();
            scheduleKeepalive(context.channel());
        }

        private void scheduleKeepalive(Channel watch) {
            loop.schedule(
                    () -> {
                        if (watch.isActive()) {
                            write(watch, KEEPALIVE_LINE);
                            scheduleKeepalive(watch);
                        }
                    },
                    KEEPALIVE_INTERVAL_MS,
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
