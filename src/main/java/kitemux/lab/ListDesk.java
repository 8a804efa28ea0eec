package kitemux.lab;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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

import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigText;

/** A discovery on loopback: the whole list, and a watch that tells changes as they are told here. */
final class ListDesk {
    private static final List<String> ZONES = List.of("zone-0");
    /** While nothing changes a watch has an empty line so often. */
    private static final long EMPTY_LINE_MS = 2_000;

    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final ChannelFuture listening;
    private final EventLoop loop;
    private final Consumer<Boolean> called;
    private long rev = 1;

    /**
     * Listens from now on; has no server yet.
     *
     * @param addresses where servers listen, by their ids
     * @param called told of each call, and whether it is a watch
     */
    ListDesk(InetSocketAddress address, EventLoop loop, Map<String, InetSocketAddress> addresses,
            Consumer<Boolean> called) {
        this.called = called;
        this.addresses = addresses;
        this.loop = loop;
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16),
                                new Calls());
                    }
                }).bind(address);
    }

    /** Done once it listens, or cannot. */
    ChannelFuture opening() {
        return listening;
    }

    /** Servers have changed, as all who watch hear at once. */
    void tell(List<ServerEntry> changed) {
        rev++;
        for (ServerEntry entry : changed) {
            if (entry.state() == ServerState.GONE) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
        String line = text(false, changed);
        watches.forEach(watch -> write(watch, line));
    }

    void close() {
        listening.channel().close();
        Set.copyOf(watches).forEach(Channel::close);
    }

    private static void write(Channel watch, String line) {
        watch.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
    }

    /** Servers with their addresses. */
    static List<ConfigText.Server> placed(Collection<ServerEntry> entries,
            Map<String, InetSocketAddress> addresses) {
        return entries.stream().map(entry -> new ConfigText.Server(entry,
                NetUtil.toSocketAddressString(addresses.get(entry.id())))).toList();
    }

    private String text(boolean all, Collection<ServerEntry> servers) {
        return ConfigText.list(rev, all, ZONES, placed(servers, addresses)) + "\n";
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String list = text(true, entries.values());
            boolean watch = new QueryStringDecoder(request.uri()).parameters().containsKey("watch");
            called.accept(watch);
            if (!watch) {
                FullHttpResponse whole = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(list, StandardCharsets.UTF_8));
                whole.headers().set(HttpHeaderNames.CONTENT_LENGTH, whole.content().readableBytes());
                context.writeAndFlush(whole);
                return;
            }
            HttpResponse begun = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            begun.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.write(begun);
            write(context.channel(), list);
            watches.add(context.channel());
            emptyLine(context.channel());
        }

        private void emptyLine(Channel watch) {
            loop.schedule(() -> {
                if (watch.isActive()) {
                    write(watch, "\n");
                    emptyLine(watch);
                }
            }, EMPTY_LINE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
