package kitemux.drill;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The way from one party to another: listens where the one is told that the other does, and passes on what
 * comes, in order, as late as it is told to, or not at all. A way that is cut says nothing: connections stay
 * open and silent, and new ones never come up; what was on its way comes when it is whole again. While the
 * party behind it does not listen it does not either, so that a dial is refused as it would be there.
 *
 * <p>All is called on the loop of the ways.
 */
final class Link {
    /** Held for one connection and direction; beyond that the sender is not read from. */
    private static final int MOST_HELD = 256 * 1024;
    /** Connections that fill a listener's queue, so that the system drops what dials it. */
    private static final int FILL = 3;

    private static final int BACKLOG = 1_024;
    private static final long MOST_REBIND_NANOS = 2_000_000_000L;

    /**
     * What befalls a way.
     *
     * @param bytesPerS 0 for no limit
     */
    record State(boolean cutThere, boolean cutBack, long delayUs, long spreadUs, double bytesPerS) {
        static final State WELL = new State(false, false, 0, 0, 0);

        boolean isCut() {
            return cutThere || cutBack;
        }

        /** Both at once. */
        State and(State other) {
            double rate = bytesPerS == 0
                    ? other.bytesPerS
                    : other.bytesPerS == 0 ? bytesPerS : Math.min(bytesPerS, other.bytesPerS);
            return new State(
                    cutThere || other.cutThere,
                    cutBack || other.cutBack,
                    delayUs + other.delayUs,
                    spreadUs + other.spreadUs,
                    rate);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress listen;
    private final InetSocketAddress target;
    private final InetSocketAddress dialsFrom;
    private final SplittableRandom draws;
    private final ServerBootstrap listener;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private final List<SocketChannel> fill = new ArrayList<>();
    private ServerSocketChannel deaf;
    private Channel listening;
    private State state = State.WELL;
    private boolean targetListens = true;
    private Mode mode = Mode.SHUT;
    private final CompletableFuture<Void> opened = new CompletableFuture<>();
    private final Consumer<Throwable> failed;

    /**
     * Does not listen before {@link #open}.
     *
     * @param failed told of what must not happen
     * @param dialsFrom the address that the far party sees; its port is the system's choice
     * @param seed of how late each piece is
     */
    Link(
            EventLoop loop,
            InetSocketAddress listen,
            InetSocketAddress target,
            InetSocketAddress dialsFrom,
            long seed,
            Consumer<Throwable> failed) {
        this.failed = failed;
        this.loop = loop;
        this.listen = listen;
        this.target = target;
        this.dialsFrom = dialsFrom;
        draws = new SplittableRandom(seed);
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        new Pair(near).dial();
                    }
                });
    }

    /** Listens from now on. */
    void open() {
        listen();
    }

    /** Follows what befalls it. */
    void set(State now) {
        state = now;
        listen();
        new ArrayList<>(pairs).forEach(pair -> {
            pair.there.go();
            pair.back.go();
        });
    }

    /** Whether the party behind it listens. */
    void targetListens(boolean listens) {
        targetListens = listens;
        listen();
    }

    /** All its connections are reset, on both sides. */
    void reset() {
        new ArrayList<>(pairs).forEach(Pair::reset);
    }

    private enum Mode {
        OPEN,
        DEAF,
        SHUT
    }

    private void listen() {
        Mode wanted = state.isCut() ? Mode.DEAF : targetListens ? Mode.OPEN : Mode.SHUT;
        if (wanted == mode) {
            return;
        }
        mode = wanted;
        if (listening != null) {
            listening.close();
            listening = null;
        }
        hear();
        if (wanted != Mode.SHUT) {
            listen(wanted, System.nanoTime() + MOST_REBIND_NANOS);
        }
    }

    /**
     * A listener that was closed holds its address until the loop's next look, so that this may take some.
     */
    private void listen(Mode wanted, long untilNanos) {
        if (mode != wanted) {
            return;
        }
        if (wanted == Mode.DEAF) {
            try {
                deafen();
            } catch (IOException e) {
                hear();
                again(wanted, untilNanos, e);
            }
            return;
        }
        listener.bind(listen).addListener(done -> {
            Channel channel = ((ChannelFuture) done).channel();
            if (!done.isSuccess()) {
                again(wanted, untilNanos, done.cause());
            } else if (mode != wanted || listening != null) {
                channel.close();
            } else {
                listening = channel;
                opened.complete(null);
            }
        });
    }

    private void again(Mode wanted, long untilNanos, Throwable cause) {
        if (System.nanoTime() > untilNanos) {
            opened.completeExceptionally(cause);
            failed.accept(new IOException("a way cannot listen at " + listen + ": " + cause.getMessage(), cause));
            return;
        }
        loop.schedule(() -> listen(wanted, untilNanos), 1, TimeUnit.MILLISECONDS);
    }

    /** Listens and takes nobody in, with a queue that is full already: the system drops what dials. */
    private void deafen() throws IOException {
        deaf = ServerSocketChannel.open();
        deaf.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        deaf.bind(listen, 1);
        for (int i = 0; i < FILL; i++) {
            SocketChannel one = SocketChannel.open();
            fill.add(one);
            one.configureBlocking(false);
            one.connect(listen);
        }
    }

    private void hear() {
        try {
            for (SocketChannel one : fill) {
                one.close();
            }
            fill.clear();
            if (deaf != null) {
                deaf.close();
                deaf = null;
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    /** Done once it listens for the first time, or cannot. */
    CompletableFuture<Void> opened() {
        return opened;
    }

    void close() {
        targetListens = false;
        state = State.WELL;
        listen();
        reset();
    }

    /** Pieces that are on their way in one direction, in order. */
    private final class Pipe {
        private final Pair pair;
        private final boolean isThere;
        private final ArrayDeque<Piece> held = new ArrayDeque<>();
        private int heldBytes;
        private long lastDueNanos;
        private boolean armed;

        Pipe(Pair pair, boolean isThere) {
            this.pair = pair;
            this.isThere = isThere;
        }

        private Channel from() {
            return isThere ? pair.near : pair.far;
        }

        private Channel to() {
            return isThere ? pair.far : pair.near;
        }

        /** Takes a piece: bytes, or the end of what its sender says, or a reset. */
        void take(Piece piece) {
            long now = System.nanoTime();
            long late =
                    state.delayUs() * 1_000 + (state.spreadUs() == 0 ? 0 : draws.nextLong(state.spreadUs() * 1_000));
            long takes = state.bytesPerS() == 0 ? 0 : (long) (piece.size() * 1e9 / state.bytesPerS());
            piece.dueNanos = Math.max(now + late, held.isEmpty() ? now : lastDueNanos) + takes;
            lastDueNanos = piece.dueNanos;
            held.add(piece);
            heldBytes += piece.size();
            if (heldBytes > MOST_HELD) {
                from().config().setAutoRead(false);
            }
            go();
        }

        private boolean isCut() {
            return isThere ? state.cutThere() : state.cutBack();
        }

        /** Passes on what is due. */
        void go() {
            boolean wrote = false;
            while (!armed && !held.isEmpty() && !isCut() && to() != null && to().isActive()) {
                long in = held.peek().dueNanos - System.nanoTime();
                if (in > 0) {
                    armed = true;
                    loop.schedule(
                            () -> {
                                armed = false;
                                go();
                            },
                            in,
                            TimeUnit.NANOSECONDS);
                    break;
                }
                Piece next = held.poll();
                heldBytes -= next.size();
                wrote = true;
                next.passTo(to(), pair);
            }
            if (wrote) {
                to().flush();
                if (heldBytes <= MOST_HELD && from() != null && from().isOpen()) {
                    from().config().setAutoRead(true);
                }
            }
        }

        void drop() {
            held.forEach(piece -> ReferenceCountUtil.release(piece.bytes));
            held.clear();
        }
    }

    /** Bytes; or, without any, the end of what a side says, in good order or not. */
    private static final class Piece {
        private final ByteBuf bytes;
        private final boolean resets;
        private long dueNanos;

        Piece(ByteBuf bytes, boolean resets) {
            this.bytes = bytes;
            this.resets = resets;
        }

        int size() {
            return bytes == null ? 0 : bytes.readableBytes();
        }

        void passTo(Channel to, Pair pair) {
            if (resets) {
                pair.reset();
            } else if (bytes == null) {
                // What was written before goes before.
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
                    ((DuplexChannel) to).shutdownOutput();
                    pair.ended();
                });
            } else {
                to.write(bytes);
            }
        }
    }

    /** A connection to here and the one from here on. */
    private final class Pair {
        private final Channel near;
        private final Pipe there = new Pipe(this, true);
        private final Pipe back = new Pipe(this, false);
        private Channel far;
        private int ends;

        Pair(Channel near) {
            this.near = near;
            pairs.add(this);
            near.pipeline().addLast(new Side(this, there));
        }

        void dial() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .handler(new Side(this, back))
                    .connect(target, dialsFrom)
                    .addListener(done -> {
                        Channel channel = ((ChannelFuture) done).channel();
                        if (!done.isSuccess() || !pairs.contains(this)) {
                            channel.close();
                            reset();
                            return;
                        }
                        far = channel;
                        near.config().setAutoRead(true);
                        there.go();
                    });
        }

        /** One side has said all: when both have, nothing is left. */
        void ended() {
            if (++ends == 2) {
                over();
                near.close();
                far.close();
            }
        }

        void reset() {
            over();
            for (Channel side : far == null ? List.of(near) : List.of(near, far)) {
                if (side.isOpen()) {
                    side.config().setOption(ChannelOption.SO_LINGER, 0);
                    side.close();
                }
            }
        }

        private void over() {
            pairs.remove(this);
            there.drop();
            back.drop();
        }
    }

    private static final class Side extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final Pipe pipe;
        private boolean over;

        Side(Pair pair, Pipe pipe) {
            this.pair = pair;
            this.pipe = pipe;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            pipe.take(new Piece((ByteBuf) bytes, false));
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE && !over) {
                over = true;
                pipe.take(new Piece(null, false));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!over && pair.far != null) {
                over = true;
                pipe.take(new Piece(null, true));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
