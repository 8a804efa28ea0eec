package kitemux.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.Result;
import kitemux.fleet.Box;
import kitemux.fleet.ClientTry;

/**
 * A server of HTTP/1.1 on a loopback address that takes as long as a described one would: its queue, cores,
 * warmth and crowding are those of a {@link Box}, its connections are real. While it is dead its address
 * refuses; a silent one takes connections and says nothing.
 */
final class BoxServer {
    private static final int MOST_BODY = 1 << 16;
    /** What is on its way may come this much after a drain has run out. */
    private static final long DRAIN_SLACK_US = 50_000;

    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    private final Box box;
    private final InetSocketAddress address;
    private final RealTimeScheduler time;
    private final Map<String, ClientTry> asked;
    private final double handshakeUs;
    private final RunInterceptor between;
    private final ServerBootstrap listener;
    private final Set<Channel> open = new LinkedHashSet<>();
    private ChannelFuture listening;

    /**
     * Listens from now on.
     *
     * @param asked the tries that clients have sent, by their ids
     * @param handshakeUs work that a new connection costs, on a core of speed 1
     */
    BoxServer(
            Box box,
            InetSocketAddress address,
            EventLoop loop,
            RealTimeScheduler time,
            Map<String, ClientTry> asked,
            double handshakeUs,
            RunInterceptor between) {
        this.box = box;
        this.between = between;
        this.address = address;
        this.time = time;
        this.asked = asked;
        this.handshakeUs = handshakeUs;
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Connection());
                    }
                });
        box.onChange(this::follow);
        follow();
    }

    /** Done once it listens, or cannot. */
    ChannelFuture opening() {
        return listening;
    }

    /** Its process has ended or begun. */
    private void follow() {
        between.boxStateChanged(box.id(), box.isUp(), box.isSilent());
        if (box.isSilent()) {
            return;
        }
        if (!box.isUp() && listening != null) {
            listening.channel().close();
            listening = null;
            new ArrayList<>(open).forEach(BoxServer::reset);
        } else if (box.isUp() && listening == null) {
            listening = listener.bind(address);
        } else if (box.isUp()) {
            // It was silent: whoever still holds a connection to the old process hears that it is gone.
            new ArrayList<>(open).forEach(BoxServer::reset);
        }
    }

    void close() {
        if (listening != null) {
            listening.channel().close();
        }
        new ArrayList<>(open).forEach(BoxServer::reset);
    }

    private static void reset(Channel channel) {
        if (!channel.isOpen()) {
            // The node has ended it, and the loop has not told yet: options of a closed socket cannot be set.
            return;
        }
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private int process;
        /** Whose long answer it gives, or null. */
        private ClientTry givenTo;

        private boolean counted;
        private boolean fresh = true;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            time.happens(() -> {
                between.boxConnected(
                        box.id(), (InetSocketAddress) context.channel().remoteAddress());
                open.add(context.channel());
                if (box.isUp() && !box.connect()) {
                    reset(context.channel());
                    return;
                }
                counted = box.isUp();
                process = box.incarnation();
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            ClientTry of = asked.get(String.valueOf(request.headers().get("X-Txn")));
            if (of == null) {
                answer(context.channel(), HttpResponseStatus.NOT_FOUND, false);
                return;
            }
            double extraUs = fresh ? handshakeUs : 0;
            fresh = false;
            InetSocketAddress from = (InetSocketAddress) context.channel().remoteAddress();
            time.happens(() -> {
                between.requestReceived(box.id(), from, of, box.isUp());
                if (!box.isUp()) {
                    return;
                }
                box.checkDraining(DRAIN_SLACK_US);
                box.submit(of, extraUs, time.scheduler().nowUs(), new Box.ReplyHandler() {
                    @Override
                    public void completed(Result result) {
                        between.requestCompleted(box.id(), of, result);
                        tell(context.channel(), of, result);
                    }

                    @Override
                    public boolean isAwaited() {
                        return context.channel().isActive();
                    }
                });
            });
        }

        private void served(Channel channel, ClientTry of) {
            LongAnswer answer = between.longAnswer(box.id(), of);
            if (answer == null) {
                answer(channel, HttpResponseStatus.OK, false);
                return;
            }
            givenTo = of;
            between.longAnswerStarted(box.id(), of);
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.lengthBytes());
            channel.write(head);
            give(channel, LongAnswer.FIRST_PART_BYTES);
            later(channel, answer, 0);
        }

        private void give(Channel channel, int bytes) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
        }

        private void later(Channel channel, LongAnswer answer, int given) {
            if (given == answer.sentPieces()) {
                boolean whole = given == answer.pieces();
                if (whole) {
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                }
                gave(whole ? LongAnswer.End.WHOLE : LongAnswer.End.STOPPED);
                return;
            }
            channel.eventLoop()
                    .schedule(
                            () -> time.happens(() -> {
                                if (givenTo != null) {
                                    give(channel, LongAnswer.PIECE_BYTES);
                                    later(channel, answer, given + 1);
                                }
                            }),
                            answer.intervalUs(),
                            TimeUnit.MICROSECONDS);
        }

        private void gave(LongAnswer.End how) {
            if (givenTo != null) {
                between.longAnswerEnded(box.id(), givenTo, how);
                givenTo = null;
            }
        }

        private void tell(Channel channel, ClientTry of, Result result) {
            switch (result) {
                case OK -> served(channel, of);
                case ERROR -> answer(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, false);
                case FULL -> answer(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, true);
                default -> reset(channel);
            }
        }

        private void answer(Channel channel, HttpResponseStatus status, boolean turnedAway) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            if (turnedAway) {
                response.headers().set("X-Turned-Away", "1");
            }
            channel.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
            time.happens(() ->
                    gave(box.isUp() && process == box.incarnation() ? LongAnswer.End.CLOSED : LongAnswer.End.DIED));
            if (counted) {
                counted = false;
                time.happens(() -> box.connectionClosed(process));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
