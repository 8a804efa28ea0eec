package kitemux.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.fleet.ClientTry;
import kitemux.fleet.Fleet;
import kitemux.fleet.FleetNode;

/**
 * A real node's process on a loopback address, and its clients' connections: each try is a request of its
 * own.
 * All but {@link #launch} is called on the loop.
 */
final class NodeProcess implements FleetNode {
    /** A connection unused for so long may be closed by its node just now. */
    private static final long FRESH_NANOS = 2_000_000_000L;
    /** A final answer that comes so much after its time, of which 50 ms are over then, is not lost. */
    private static final long LAST_ANSWER_NANOS = 450_000_000L;

    private final int number;
    private final InetSocketAddress address;
    private final RunInterceptor between;
    private final Fleet fleet;
    private final RealTimeScheduler time;
    private final EventLoop loop;
    private final Map<String, ClientTry> asked;
    private final Consumer<List<ServerEntry>> listed;
    private final ProcessBuilder command;
    private final Bootstrap dialer;
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private final Map<ClientTry, Client> busy = new HashMap<>();
    private final Map<ClientTry, Since> since = new HashMap<>();
    private Process process;
    private boolean up;
    private int lives;
    private double usedUs;

    /**
     * Since when a try waits for its node: by the clock, as the run's time may be behind it.
     *
     * @param nanos when it was written, or, until then, dialled for
     * @param heldUpNanos how long the ways had been held up by then
     */
    private record Since(long nanos, long heldUpNanos) {}

    /**
     * Starts nothing yet.
     *
     * @param address where clients dial
     * @param asked gets each try by its id before it is sent
     * @param listed what discovery has to tell this node
     * @param command starts a node; is told the rest by the environment
     * @param config what the process is told, as a file
     */
    NodeProcess(
            int number,
            InetSocketAddress address,
            RunInterceptor between,
            Fleet fleet,
            RealTimeScheduler time,
            EventLoop loop,
            Map<String, ClientTry> asked,
            Consumer<List<ServerEntry>> listed,
            ProcessBuilder command,
            Path config)
            throws IOException {
        this.number = number;
        this.address = address;
        this.between = between;
        this.fleet = fleet;
        this.time = time;
        this.loop = loop;
        this.asked = asked;
        this.listed = listed;
        this.command = command.redirectErrorStream(true);
        command.environment().put("PROXY_CONFIG", config.toString());
        Path temporary = config.resolveSibling(config.getFileName() + ".tmp");
        Files.createDirectories(temporary);
        command.environment().put("TMPDIR", temporary.toString());
        dialer = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Client client = new Client();
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        client.heads(),
                                        new HttpObjectAggregator(1 << 20),
                                        client);
                    }
                });
    }

    /** Starts the process from any thread; done, with the process, once it takes clients. */
    private CompletableFuture<Process> launched() {
        CompletableFuture<Process> ready = new CompletableFuture<>();
        Thread reader = new Thread(
                () -> {
                    StringBuilder said = new StringBuilder();
                    try {
                        Process started = command.start();
                        BufferedReader lines = started.inputReader();
                        String line;
                        while ((line = lines.readLine()) != null) {
                            String told = line;
                            tell(told);
                            if (!ready.isDone()) {
                                said.append(line).append('\n');
                                if (line.contains("listening on")) {
                                    ready.complete(started);
                                }
                            }
                        }
                        ready.completeExceptionally(new IOException("a node did not start: " + said));
                    } catch (IOException e) {
                        ready.completeExceptionally(e);
                    }
                },
                "node " + address);
        reader.setDaemon(true);
        reader.start();
        return ready;
    }

    /** A line that it wrote; once the run is over nobody listens any more. */
    private void tell(String line) {
        try {
            loop.execute(() -> time.happens(() -> between.nodeOutput(number, line)));
        } catch (RejectedExecutionException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts it before the run begins; returns once it takes clients.
     *
     * @throws IOException if it does not start; the message holds what it said
     */
    void launch() throws IOException, InterruptedException {
        try {
            process = launched().get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    // ---------------------------------------------------------------- its life

    @Override
    public boolean isUp() {
        return up;
    }

    /** Takes clients at once where its process runs already, else once that is up. */
    @Override
    public void start() {
        if (process != null) {
            up = true;
            between.nodeStarted(number);
            return;
        }
        int life = ++lives;
        launched()
                .whenComplete((started, failed) -> loop.execute(() -> {
                    if (started != null && life == lives) {
                        process = started;
                        up = true;
                        time.happens(() -> between.nodeStarted(number));
                    } else if (started != null) {
                        end(started);
                    }
                }));
    }

    @Override
    public void kill() {
        up = false;
        lives++;
        if (process != null) {
            usedUs += cpuUs();
            end(process);
            process = null;
            between.nodeStopped(number);
        }
    }

    /** Its process is killed, and clients go on dialling it: its machine has gone, and says nothing. */
    void vanish() {
        kill();
        up = true;
    }

    /** Whether the front deals clients out to it, whatever its process does. */
    void dealt(boolean to) {
        up = to;
    }

    /** Its process gets a signal by its name; nothing happens where there is none. */
    void signal(String name) throws IOException {
        if (process != null) {
            new ProcessBuilder("kill", "-" + name, Long.toString(itself(process).pid())).start();
        }
    }

    /** The process of the node, which whoever started it may stand before. */
    private static ProcessHandle itself(Process started) {
        return started.children().findFirst().orElse(started.toHandle());
    }

    private static void end(Process started) {
        started.children().forEach(ProcessHandle::destroyForcibly);
        started.destroyForcibly();
    }

    private double cpuUs() {
        return itself(process).info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e3;
    }

    @Override
    public void serversChanged(List<ServerEntry> entries) {
        listed.accept(entries);
    }

    @Override
    public Stats stats() {
        return new Stats(usedUs + (process == null ? 0 : cpuUs()), 0, 0, 0);
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void submit(ClientTry one) {
        between.trySubmitted(number, one);
        asked.put(one.txn(), one);
        waitsFromNow(one);
        Client free = idle.poll();
        while (free != null && !free.isUsable()) {
            free.channel.close();
            free = idle.poll();
        }
        if (free != null) {
            free.ask(one);
            return;
        }
        dial(one);
    }

    private void dial(ClientTry one) {
        dialer.connect(address).addListener(done -> {
            Channel channel = ((ChannelFuture) done).channel();
            if (!done.isSuccess()) {
                time.happens(() -> brokenUnder(one, false));
            } else if (one.isOver()) {
                channel.close();
            } else {
                channel.pipeline().get(Client.class).ask(one);
            }
        });
    }

    private void waitsFromNow(ClientTry one) {
        since.put(one, new Since(System.nanoTime(), between.totalStallNanos()));
    }

    @Override
    public void completed(ClientTry one) {
        busy.remove(one);
        since.remove(one);
    }

    /**
     * What the player itself took is not its node's: the time runs from when the request was written, stands
     * while the ways are held up, and whatever has come when it is over is read first.
     */
    @Override
    public void deadlineReached(ClientTry one, long afterUs, Runnable leaves) {
        Since from = since.get(one);
        if (one.isOver() || from == null) {
            leaves.run();
            return;
        }
        long waits = from.nanos + afterUs * 1_000 + between.totalStallNanos() - from.heldUpNanos - System.nanoTime();
        if (waits > 0) {
            loop.schedule(() -> time.happens(() -> deadlineReached(one, afterUs, leaves)), waits, TimeUnit.NANOSECONDS);
        } else {
            between.runAfterPendingTraffic(() -> LoopStallMonitor.runAfterSocketPoll(loop, () -> time.happens(leaves)));
        }
    }

    /**
     * Its client earns nothing any more, and goes on without it; its connection waits for the final answer
     * until a request without one is lost, and is closed then, as nothing else calls a request off.
     */
    @Override
    public void abandoned(ClientTry one) {
        since.remove(one);
        Client client = busy.get(one);
        if (client == null) {
            between.tryAbandoned(one);
        } else if (!client.amid) {
            // What began to come in time is waited for to its end.
            loop.schedule(
                    () -> time.happens(() -> {
                        if (client.asks == one && !client.amid) {
                            client.asks = null;
                            busy.remove(one);
                            between.tryAbandoned(one);
                            client.channel.close();
                        }
                    }),
                    LAST_ANSWER_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void brokenUnder(ClientTry one, boolean usedBefore) {
        if (!one.isOver()) {
            between.connectionLost(one, usedBefore);
        }
        one.onInternalError();
    }

    private FullHttpRequest message(ClientTry one) {
        RequestClass of = fleet.classes().get(one.classIndex()).requestClass();
        boolean reads = of.retrySafety() == RetrySafety.SAFE;
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                reads ? HttpMethod.GET : HttpMethod.POST,
                "/api/k" + one.txn(),
                Unpooled.EMPTY_BUFFER);
        message.headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set("X-Txn", one.txn())
                .set("X-Lane", of.name())
                .set("X-Remaining", one.remainingUs() + "u");
        if (one.tenant() >= 0) {
            message.headers().set("X-Org", fleet.tenants().get(one.tenant()).name());
        }
        if (one.isRetry()) {
            message.headers().set("X-Resent", "1");
        }
        if (of.retrySafety() == RetrySafety.KEYED) {
            message.headers().set("Idempotency-Key", "key-" + one.txn());
        }
        if (!reads) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        return message;
    }

    /** A client's connection: one request at a time. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private ClientTry asks;
        private boolean reused;
        /** A long answer has begun to come. */
        private boolean amid;

        private long idleSinceNanos;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        /** Stands before what makes answers whole. */
        ChannelInboundHandler heads() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object part) {
                    if (part instanceof HttpResponse head
                            && asks != null
                            && HttpUtil.getContentLength(head, 0L) >= LongAnswer.FIRST_PART_BYTES) {
                        ClientTry one = asks;
                        amid = true;
                        time.happens(() -> between.longAnswerReceiving(one));
                    }
                    context.fireChannelRead(part);
                }
            };
        }

        boolean isUsable() {
            return channel.isActive() && System.nanoTime() - idleSinceNanos < FRESH_NANOS;
        }

        void ask(ClientTry one) {
            asks = one;
            busy.put(one, this);
            waitsFromNow(one);
            between.tryWritten(one, reused);
            channel.writeAndFlush(message(one));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            ClientTry one = asks;
            asks = null;
            if (one == null) {
                channel.close();
                return;
            }
            busy.remove(one);
            if (HttpUtil.isKeepAlive(answer)) {
                reused = true;
                idleSinceNanos = System.nanoTime();
                idle.push(this);
            } else {
                channel.close();
            }
            amid = false;
            int status = answer.status().code();
            String after = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
            time.happens(() -> {
                long afterUs = after == null ? 0 : (long) (Double.parseDouble(after) * 1e6);
                between.answerReceived(one, status, afterUs);
                if (status == 200) {
                    one.onServed(Boolean.TRUE);
                } else if (status == 429 || status == 503) {
                    one.onRefused(afterUs);
                } else {
                    one.onFailed();
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            ClientTry one = asks;
            asks = null;
            if (one == null) {
                return;
            }
            busy.remove(one);
            if (amid) {
                time.happens(() -> {
                    between.longAnswerCutOff(one);
                    one.onInternalError();
                });
                return;
            }
            if (one.isOver()) {
                // It waited for its final answer alone, and will not get it.
                time.happens(() -> between.tryAbandoned(one));
                return;
            }
            if (reused && up) {
                // It crossed the end of an unused connection: asked once more, on a new one.
                time.happens(() -> between.connectionLost(one, true));
                dial(one);
            } else {
                time.happens(() -> brokenUnder(one, reused));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Ends all at once. */
    void close() {
        List<Client> all = new ArrayList<>(idle);
        all.addAll(busy.values());
        all.forEach(client -> {
            client.asks = null;
            client.channel.close();
        });
        lives++;
        up = false;
        if (process != null) {
            end(process);
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
