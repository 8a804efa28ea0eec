package kitemux.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients on so many connections, each of which asks again as soon as it has its answer. One loop drives
 * them, so that what is measured is the other side.
 */
final class Load {
    private static final int MOST_SAMPLES = 1 << 21;
    private static final byte[] END_OF_HEAD = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String ORDER = "{\"book\":\"2026\",\"copies\":2}".repeat(8);
    private static final AtomicLong LAST_TXN = new AtomicLong();

    private final long[] samples = new long[MOST_SAMPLES];
    private final long fromNanos;
    private final long untilNanos;
    /** Requests that are asked in all, at most. */
    private final long most;
    /** Whether orders are placed, which must never run twice, or pages asked for. */
    private final boolean orders;
    /** Between two requests of a connection, at least; 0 to ask as soon as the answer is there. */
    private final long gapNanos;

    private long asked;
    private int count;
    private int failed;
    private final CountDownLatch left;

    /**
     * What came of it.
     *
     * @param perS requests a second
     * @param p50Us latency that half of them met
     * @param p99Us latency that all but one in a hundred met
     * @param failed answers other than 200, and connections that broke
     */
    record Figures(double perS, double p50Us, double p99Us, int failed) {}

    private Load(int connections, long fromNanos, long untilNanos, long most, boolean orders, double perS) {
        gapNanos = perS == 0 ? 0 : (long) (connections * 1e9 / perS);
        this.most = most;
        this.orders = orders;
        this.fromNanos = fromNanos;
        this.untilNanos = untilNanos;
        left = new CountDownLatch(connections);
    }

    /**
     * Asks for pages, or places orders, for so long, after a time that does not count.
     *
     * @param perS so many a second on all connections together, at most; 0 for as many as are answered
     */
    static Figures run(
            EventLoopGroup loops,
            InetSocketAddress target,
            int connections,
            double warmS,
            double s,
            boolean orders,
            double perS)
            throws InterruptedException {
        long from = System.nanoTime() + (long) (warmS * 1e9);
        Load load = new Load(connections, from, from + (long) (s * 1e9), Long.MAX_VALUE, orders, perS);
        load.ask(loops, target, connections, warmS + s);
        long[] sorted = load.sorted();
        return new Figures(load.count / s, at(sorted, 0.5), at(sorted, 0.99), load.failed);
    }

    /**
     * Asks for so many in all and no longer than ten seconds.
     *
     * @return latencies in nanoseconds of those that were served, in ascending order
     */
    static long[] first(EventLoopGroup loops, InetSocketAddress target, int connections, int count)
            throws InterruptedException {
        long now = System.nanoTime();
        Load load = new Load(connections, now, now + 10_000_000_000L, count, false, 0);
        load.ask(loops, target, connections, 10);
        return load.sorted();
    }

    private long[] sorted() {
        long[] sorted = Arrays.copyOf(samples, count);
        Arrays.sort(sorted);
        return sorted;
    }

    private void ask(EventLoopGroup loops, InetSocketAddress target, int connections, double s)
            throws InterruptedException {
        EventLoop loop = loops.next();
        for (int i = 0; i < connections; i++) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Client())
                    .connect(target)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            failed++;
                            left.countDown();
                        }
                    });
        }
        if (!left.await((long) s + 10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("clients of " + target + " did not end");
        }
    }

    /** The latency in microseconds that this share of them met. */
    static double at(long[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) (share * (sorted.length - 1))] / 1e3;
    }

    private final class Client extends ChannelInboundHandlerAdapter {
        private final StringBuilder answer = new StringBuilder();
        private long askedAt;
        private boolean over;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ask(context);
        }

        private void ask(ChannelHandlerContext context) {
            askedAt = System.nanoTime();
            if (askedAt >= untilNanos || asked++ >= most) {
                context.close();
                return;
            }
            String request = (orders ? "POST" : "GET")
                    + " /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                    + Long.toHexString(LAST_TXN.incrementAndGet()) + "\r\nX-Remaining: 1000m\r\nX-Lane: "
                    + (orders ? "order\r\nContent-Length: " + ORDER.length() + "\r\n\r\n" + ORDER : "page\r\n\r\n");
            context.writeAndFlush(Unpooled.wrappedBuffer(request.getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            answer.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
            int body = answer.indexOf(new String(END_OF_HEAD, StandardCharsets.US_ASCII));
            if (body < 0 || answer.length() < body + END_OF_HEAD.length + length(body)) {
                return;
            }
            long now = System.nanoTime();
            if (!answer.toString().startsWith("HTTP/1.1 200")) {
                failed++;
            } else if (now >= fromNanos && now < untilNanos && count < MOST_SAMPLES) {
                samples[count++] = now - askedAt;
            }
            answer.setLength(0);
            long waitNanos = gapNanos - (now - askedAt);
            if (waitNanos > 0) {
                context.executor().schedule(() -> ask(context), waitNanos, TimeUnit.NANOSECONDS);
            } else {
                ask(context);
            }
        }

        private int length(int headEnd) {
            String head = answer.substring(0, headEnd).toLowerCase(java.util.Locale.ROOT);
            int at = head.indexOf("content-length:");
            int end = head.indexOf('\r', at);
            return Integer.parseInt(
                    head.substring(at + 15, end < 0 ? head.length() : end).strip());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!over) {
                over = true;
                failed += System.nanoTime() < untilNanos && asked < most ? 1 : 0;
                left.countDown();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
