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
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients on a number of connections, each of which sends its next request as soon as it has a response, or at a fixed
 * rate. All run on one event loop.
 */
final class LoadGenerator {
    private static final int MAX_SAMPLE_COUNT = 1 << 21;
    private static final double FIRST_REQUESTS_TIMEOUT_S = 10;
    private static final long END_TIMEOUT_S = 10;
    private static final double NANOS_PER_S = 1e9;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String ORDER = "{\"book\":\"2026\",\"copies\":2}".repeat(8);
    private static final AtomicLong LAST_TXN = new AtomicLong();

    private final long[] latenciesNanos = new long[MAX_SAMPLE_COUNT];
    private final long measuredFromNanos;
    private final long untilNanos;
    /** Maximum number of requests on all connections. */
    private final long maxRequestCount;
    /** Whether unsafe orders are sent; safe page requests otherwise. */
    private final boolean sendsOrders;
    /** Minimum time between two requests of a connection; 0 for none. */
    private final long intervalNanos;

    private long sentCount;
    private int sampleCount;
    private int failedCount;
    private final CountDownLatch openClients;

    /**
     * The result of a measurement.
     *
     * @param requestsPerS served requests per second
     * @param p50Us median latency in microseconds
     * @param p99Us 99th percentile of the latency in microseconds
     * @param failedCount responses other than 200 and broken connections
     */
    record LoadResult(double requestsPerS, double p50Us, double p99Us, int failedCount) {}

    private LoadGenerator(
            int connections,
            long measuredFromNanos,
            long untilNanos,
            long maxRequestCount,
            boolean sendsOrders,
            double maxPerS) {
        intervalNanos = maxPerS == 0 ? 0 : (long) (connections * NANOS_PER_S / maxPerS);
        this.maxRequestCount = maxRequestCount;
        this.sendsOrders = sendsOrders;
        this.measuredFromNanos = measuredFromNanos;
        this.untilNanos = untilNanos;
        openClients = new CountDownLatch(connections);
    }

    /**
     * Sends requests and measures them.
     *
     * @param warmUpS seconds before the measurement
     * @param measuredS seconds of the measurement
     * @param sendsOrders whether unsafe orders are sent; safe page requests otherwise
     * @param maxPerS maximum rate on all connections together, in requests per second; 0 for no limit
     */
    static LoadResult measure(
            EventLoopGroup loops,
            InetSocketAddress target,
            int connections,
            double warmUpS,
            double measuredS,
            boolean sendsOrders,
            double maxPerS)
            throws InterruptedException {
        long fromNanos = System.nanoTime() + (long) (warmUpS * NANOS_PER_S);
        LoadGenerator load = new LoadGenerator(
                connections,
                fromNanos,
                fromNanos + (long) (measuredS * NANOS_PER_S),
                Long.MAX_VALUE,
                sendsOrders,
                maxPerS);
        load.run(loops, target, connections, warmUpS + measuredS);
        long[] sorted = load.sortedLatenciesNanos();
        return new LoadResult(
                load.sampleCount / measuredS, quantileUs(sorted, 0.5), quantileUs(sorted, 0.99), load.failedCount);
    }

    /**
     * Sends a number of page requests, for 10 s at most.
     *
     * @return latencies of the served requests in nanoseconds, in ascending order
     */
    static long[] measureFirst(EventLoopGroup loops, InetSocketAddress target, int connections, int requestCount)
            throws InterruptedException {
        long now = System.nanoTime();
        long untilNanos = now + (long) (FIRST_REQUESTS_TIMEOUT_S * NANOS_PER_S);
        LoadGenerator load = new LoadGenerator(connections, now, untilNanos, requestCount, false, 0);
        load.run(loops, target, connections, FIRST_REQUESTS_TIMEOUT_S);
        return load.sortedLatenciesNanos();
    }

    private long[] sortedLatenciesNanos() {
        long[] sorted = Arrays.copyOf(latenciesNanos, sampleCount);
        Arrays.sort(sorted);
        return sorted;
    }

    private void run(EventLoopGroup loops, InetSocketAddress target, int connections, double seconds)
            throws InterruptedException {
        EventLoop loop = loops.next();
        for (int i = 0; i < connections; i++) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Client())
                    .connect(target)
                    .addListener(connected -> {
                        if (!connected.isSuccess()) {
                            failedCount++;
                            openClients.countDown();
                        }
                    });
        }
        if (!openClients.await((long) seconds + END_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("clients of " + target + " did not end");
        }
    }

    /** Returns a quantile of sorted latencies in microseconds, or 0 if there are none. */
    static double quantileUs(long[] sortedNanos, double quantile) {
        return sortedNanos.length == 0 ? 0 : sortedNanos[(int) (quantile * (sortedNanos.length - 1))] / 1e3;
    }

    /** A client on one connection. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final StringBuilder response = new StringBuilder();
        private long sentAtNanos;
        private boolean hasEnded;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendNext(context);
        }

        private void sendNext(ChannelHandlerContext context) {
            sentAtNanos = System.nanoTime();
            if (sentAtNanos >= untilNanos || sentCount++ >= maxRequestCount) {
                context.close();
                return;
            }
            context.writeAndFlush(Unpooled.wrappedBuffer(createRequest().getBytes(StandardCharsets.US_ASCII)));
        }

        private String createRequest() {
            return (sendsOrders ? "POST" : "GET")
                    + " /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                    + Long.toHexString(LAST_TXN.incrementAndGet()) + "\r\nX-Remaining: 1000m\r\nX-Lane: "
                    + (sendsOrders
                            ? "order\r\nContent-Length: " + ORDER.length() + END_OF_HEAD + ORDER
                            : "page" + END_OF_HEAD);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            response.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
            if (!isResponseComplete()) {
                return;
            }
            long now = System.nanoTime();
            if (!response.toString().startsWith("HTTP/1.1 200")) {
                failedCount++;
            } else if (now >= measuredFromNanos && now < untilNanos && sampleCount < MAX_SAMPLE_COUNT) {
                latenciesNanos[sampleCount++] = now - sentAtNanos;
            }
            response.setLength(0);
            long waitNanos = intervalNanos - (now - sentAtNanos);
            if (waitNanos > 0) {
                context.executor().schedule(() -> sendNext(context), waitNanos, TimeUnit.NANOSECONDS);
            } else {
                sendNext(context);
            }
        }

        private boolean isResponseComplete() {
            int headEnd = response.indexOf(END_OF_HEAD);
            return headEnd >= 0 && response.length() >= headEnd + END_OF_HEAD.length() + contentLength(headEnd);
        }

        private int contentLength(int headEnd) {
            String head = response.substring(0, headEnd).toLowerCase(Locale.ROOT);
            int start = head.indexOf(CONTENT_LENGTH);
            int end = head.indexOf('\r', start);
            return Integer.parseInt(head.substring(start + CONTENT_LENGTH.length(), end < 0 ? head.length() : end)
                    .strip());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!hasEnded) {
                hasEnded = true;
                failedCount += System.nanoTime() < untilNanos && sentCount < maxRequestCount ? 1 : 0;
                openClients.countDown();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
