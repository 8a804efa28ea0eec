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
 * An HTTP/1.1 server on a loopback address that behaves as described for a fleet: its queue, cores, warm-up and
 * overload are those of a {@link Box}, its connections are real. The address refuses connections while the box is
 * dead; a silent box accepts connections and does not answer.
 */
final class BoxServer {
    private static final int MAX_BODY_BYTES = 1 << 16;
    /** Requests that are in flight may still arrive this long after the end of a drain. */
    private static final long DRAIN_TOLERANCE_US = 50_000;

    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    private final Box box;
    private final InetSocketAddress address;
    private final RealTimeScheduler time;
    private final Map<String, ClientTry> triesById;
    private final double handshakeWorkUs;
    private final RunInterceptor interceptor;
    private final ServerBootstrap listener;
    private final Set<Channel> openChannels = new LinkedHashSet<>();
    private ChannelFuture bindFuture;

    /**
     * Starts to listen if the box is up.
     *
     * @param triesById the tries that clients have sent, by id
     * @param handshakeWorkUs the work that a new connection costs, in microseconds on a core of speed 1
     */
    BoxServer(
            Box box,
            InetSocketAddress address,
            EventLoop loop,
            RealTimeScheduler time,
            Map<String, ClientTry> triesById,
            double handshakeWorkUs,
            RunInterceptor interceptor) {
        this.box = box;
        this.interceptor = interceptor;
        this.address = address;
        this.time = time;
        this.triesById = triesById;
        this.handshakeWorkUs = handshakeWorkUs;
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
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Connection());
                    }
                });
        box.onChange(this::boxChanged);
        boxChanged();
    }

    /** Returns a future that completes once the server listens or has failed to. */
    ChannelFuture bindFuture() {
        return bindFuture;
    }

    /** Follows a start or an end of the box's process. */
    private void boxChanged() {
        interceptor.boxStateChanged(box.id(), box.isUp(), box.isSilent());
        if (box.isSilent()) {
            return;
        }
        if (!box.isUp() && bindFuture != null) {
            bindFuture.channel().close();
            bindFuture = null;
            new ArrayList<>(openChannels).forEach(BoxServer::reset);
        } else if (box.isUp() && bindFuture == null) {
            bindFuture = listener.bind(address);
        } else if (box.isUp()) {
            // The box was silent: connections to its previous process are reset.
            new ArrayList<>(openChannels).forEach(BoxServer::reset);
        }
    }

    void close() {
        if (bindFuture != null) {
            bindFuture.channel().close();
        }
        new ArrayList<>(openChannels).forEach(BoxServer::reset);
    }

    private static void reset(Channel channel) {
        if (!channel.isOpen()) {
            // The node has closed the connection and the loop has not reported it yet; setting an option of a closed
            // socket fails.
            return;
        }
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private int boxIncarnation;
        /** The try whose long answer is being sent, or null. */
        private ClientTry longAnswerTry;

        private boolean isCounted;
        private boolean isNew = true;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            time.runExternalEvent(() -> {
                interceptor.boxConnected(
                        box.id(), (InetSocketAddress) context.channel().remoteAddress());
                openChannels.add(context.channel());
                if (box.isUp() && !box.connect()) {
                    reset(context.channel());
                    return;
                }
                isCounted = box.isUp();
                boxIncarnation = box.incarnation();
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            ClientTry clientTry = triesById.get(String.valueOf(request.headers().get("X-Txn")));
            if (clientTry == null) {
                sendResponse(context.channel(), HttpResponseStatus.NOT_FOUND, false);
                return;
            }
            double extraWorkUs = isNew ? handshakeWorkUs : 0;
            isNew = false;
            InetSocketAddress remoteAddress =
                    (InetSocketAddress) context.channel().remoteAddress();
            time.runExternalEvent(() -> {
                interceptor.requestReceived(box.id(), remoteAddress, clientTry, box.isUp());
                if (!box.isUp()) {
                    return;
                }
                box.checkDraining(DRAIN_TOLERANCE_US);
                box.submit(clientTry, extraWorkUs, time.scheduler().nowUs(), new Box.ReplyHandler() {
                    @Override
                    public void completed(Result result) {
                        interceptor.requestCompleted(box.id(), clientTry, result);
                        sendResult(context.channel(), clientTry, result);
                    }

                    @Override
                    public boolean isAwaited() {
                        return context.channel().isActive();
                    }
                });
            });
        }

        private void sendServed(Channel channel, ClientTry clientTry) {
            LongAnswer answer = interceptor.longAnswer(box.id(), clientTry);
            if (answer == null) {
                sendResponse(channel, HttpResponseStatus.OK, false);
                return;
            }
            longAnswerTry = clientTry;
            interceptor.longAnswerStarted(box.id(), clientTry);
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.lengthBytes());
            channel.write(head);
            sendBytes(channel, LongAnswer.FIRST_PART_BYTES);
            scheduleNextPiece(channel, answer, 0);
        }

        private void sendBytes(Channel channel, int bytes) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
        }

        private void scheduleNextPiece(Channel channel, LongAnswer answer, int sentPieces) {
            if (sentPieces == answer.sentPieces()) {
                boolean whole = sentPieces == answer.pieces();
                if (whole) {
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                }
                longAnswerEnded(whole ? LongAnswer.End.WHOLE : LongAnswer.End.STOPPED);
                return;
            }
            channel.eventLoop()
                    .schedule(
                            () -> time.runExternalEvent(() -> {
                                if (longAnswerTry != null) {
                                    sendBytes(channel, LongAnswer.PIECE_BYTES);
                                    scheduleNextPiece(channel, answer, sentPieces + 1);
                                }
                            }),
                            answer.intervalUs(),
                            TimeUnit.MICROSECONDS);
        }

        private void longAnswerEnded(LongAnswer.End end) {
            if (longAnswerTry != null) {
                interceptor.longAnswerEnded(box.id(), longAnswerTry, end);
                longAnswerTry = null;
            }
        }

        private void sendResult(Channel channel, ClientTry clientTry, Result result) {
            switch (result) {
                case OK -> sendServed(channel, clientTry);
                case ERROR -> sendResponse(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, false);
                case FULL -> sendResponse(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, true);
                default -> reset(channel);
            }
        }

        private void sendResponse(Channel channel, HttpResponseStatus status, boolean isRejection) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            if (isRejection) {
                response.headers().set("X-Turned-Away", "1");
            }
            channel.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openChannels.remove(context.channel());
            time.runExternalEvent(() -> longAnswerEnded(
                    box.isUp() && boxIncarnation == box.incarnation() ? LongAnswer.End.CLOSED : LongAnswer.End.DIED));
            if (isCounted) {
                isCounted = false;
                time.runExternalEvent(() -> box.connectionClosed(boxIncarnation));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
