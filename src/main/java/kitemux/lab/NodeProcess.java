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
 * A node that runs as a process of its own on a loopback address, and the connections of its clients. Each try is
 * sent as a separate request. All methods except {@link #launch} are called on the event loop.
 */
final class NodeProcess implements FleetNode {
    /** The node may be closing a connection that has been idle for longer. */
    private static final long MAX_REUSE_IDLE_NANOS = 2_000_000_000L;
    /**
     * Time that a connection waits for the final answer of an abandoned try. An answer within this time does not count
     * as lost; 50 ms of the time allowed have already passed when the wait starts.
     */
    private static final long FINAL_ANSWER_TIMEOUT_NANOS = 450_000_000L;

    private final int number;
    private final InetSocketAddress address;
    private final RunInterceptor interceptor;
    private final Fleet fleet;
    private final RealTimeScheduler time;
    private final EventLoop loop;
    private final Map<String, ClientTry> triesById;
    private final Consumer<List<ServerEntry>> updateListener;
    private final ProcessBuilder command;
    private final Bootstrap dialer;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final Map<ClientTry, Connection> activeConnections = new HashMap<>();
    private final Map<ClientTry, WaitStart> waitStarts = new HashMap<>();
    private Process process;
    private boolean up;
    private int incarnation;
    private double endedProcessesCpuUs;

    /**
     * The start of a try's wait for its node, by the system clock, as the run's time may be behind it.
     *
     * @param startNanos when the request was written or, until then, when the connection was opened
     * @param stallNanos the total stall time of the relays at that point
     */
    private record WaitStart(long startNanos, long stallNanos) {}

    /**
     * Creates a node without starting its process.
     *
     * @param address the address to which clients connect
     * @param triesById receives each try by its id before the try is sent
     * @param updateListener receives the changes that discovery sends to this node
     * @param command starts a node, which is configured by environment variables
     * @param config the node's configuration file
     */
    NodeProcess(
            int number,
            InetSocketAddress address,
            RunInterceptor interceptor,
            Fleet fleet,
            RealTimeScheduler time,
            EventLoop loop,
            Map<String, ClientTry> triesById,
            Consumer<List<ServerEntry>> updateListener,
            ProcessBuilder command,
            Path config)
            throws IOException {
        this.number = number;
        this.address = address;
        this.interceptor = interceptor;
        this.fleet = fleet;
        this.time = time;
        this.loop = loop;
        this.triesById = triesById;
        this.updateListener = updateListener;
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
                        Connection connection = new Connection();
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        connection.headHandler(),
                                        new HttpObjectAggregator(1 << 20),
                                        connection);
                    }
                });
    }

    /**
     * Starts the process; may be called from any thread. The future completes with the process once it accepts
     * clients.
     */
    private CompletableFuture<Process> launchAsync() {
        CompletableFuture<Process> ready = new CompletableFuture<>();
        Thread reader = new Thread(
                () -> {
                    StringBuilder output = new StringBuilder();
                    try {
                        Process started = command.start();
                        BufferedReader lines = started.inputReader();
                        String line;
                        while ((line = lines.readLine()) != null) {
                            String outputLine = line;
                            reportOutput(outputLine);
                            if (!ready.isDone()) {
                                output.append(line).append('\n');
                                if (line.contains("listening on")) {
                                    ready.complete(started);
                                }
                            }
                        }
                        ready.completeExceptionally(new IOException("a node did not start: " + output));
                    } catch (IOException e) {
                        ready.completeExceptionally(e);
                    }
                },
                "node " + address);
        reader.setDaemon(true);
        reader.start();
        return ready;
    }

    /** Reports a line of the process's output; lines after the end of the run are ignored. */
    private void reportOutput(String line) {
        try {
            loop.execute(() -> time.runExternalEvent(() -> interceptor.nodeOutput(number, line)));
        } catch (RejectedExecutionException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts the process before the run begins, and returns once it accepts clients.
     *
     * @throws IOException if the process does not start; the message contains its output
     */
    void launch() throws IOException, InterruptedException {
        try {
            process = launchAsync().get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    // ---------------------------------------------------------------- process

    @Override
    public boolean isUp() {
        return up;
    }

    /** Accepts clients at once if the process is already running, otherwise as soon as it is. */
    @Override
    public void start() {
        if (process != null) {
            up = true;
            interceptor.nodeStarted(number);
            return;
        }
        int launchedIncarnation = ++incarnation;
        launchAsync()
                .whenComplete((started, failed) -> loop.execute(() -> {
                    if (started != null && launchedIncarnation == incarnation) {
                        process = started;
                        up = true;
                        time.runExternalEvent(() -> interceptor.nodeStarted(number));
                    } else if (started != null) {
                        destroy(started);
                    }
                }));
    }

    @Override
    public void kill() {
        up = false;
        incarnation++;
        if (process != null) {
            endedProcessesCpuUs += cpuUs();
            destroy(process);
            process = null;
            interceptor.nodeStopped(number);
        }
    }

    /**
     * Kills the process without a notification of the clients, which continue to connect: models the loss of the
     * whole machine.
     */
    void vanish() {
        kill();
        up = true;
    }

    /** Sets whether the front sends clients to this node, whatever the state of its process. */
    void setReceivesClients(boolean receivesClients) {
        up = receivesClients;
    }

    /** Sends a signal to the process by the signal's name; does nothing without a process. */
    void signal(String name) throws IOException {
        if (process != null) {
            new ProcessBuilder(
                            "kill",
                            "-" + name,
                            Long.toString(nodeHandle(process).pid()))
                    .start();
        }
    }

    /** Returns the node's process itself, which may be the child of a guard process. */
    private static ProcessHandle nodeHandle(Process started) {
        return started.children().findFirst().orElse(started.toHandle());
    }

    private static void destroy(Process started) {
        started.children().forEach(ProcessHandle::destroyForcibly);
        started.destroyForcibly();
    }

    private double cpuUs() {
        return nodeHandle(process)
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / 1e3;
    }

    @Override
    public void serversChanged(List<ServerEntry> entries) {
        updateListener.accept(entries);
    }

    @Override
    public Stats stats() {
        return new Stats(endedProcessesCpuUs + (process == null ? 0 : cpuUs()), 0, 0, 0);
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void submit(ClientTry clientTry) {
        interceptor.trySubmitted(number, clientTry);
        triesById.put(clientTry.txn(), clientTry);
        startWait(clientTry);
        Connection connection = idleConnections.poll();
        while (connection != null && !connection.isUsable()) {
            connection.channel.close();
            connection = idleConnections.poll();
        }
        if (connection != null) {
            connection.send(clientTry);
            return;
        }
        dial(clientTry);
    }

    private void dial(ClientTry clientTry) {
        dialer.connect(address).addListener(done -> {
            Channel channel = ((ChannelFuture) done).channel();
            if (!done.isSuccess()) {
                time.runExternalEvent(() -> connectionLost(clientTry, false));
            } else if (clientTry.isOver()) {
                channel.close();
            } else {
                channel.pipeline().get(Connection.class).send(clientTry);
            }
        });
    }

    private void startWait(ClientTry clientTry) {
        waitStarts.put(clientTry, new WaitStart(System.nanoTime(), interceptor.totalStallNanos()));
    }

    @Override
    public void completed(ClientTry clientTry) {
        activeConnections.remove(clientTry);
        waitStarts.remove(clientTry);
    }

    /**
     * Excludes delays of the lab itself from the node's time. The deadline counts from when the request was written,
     * is extended by the time in which relays were stalled, and data received by then is read before the try is
     * abandoned.
     */
    @Override
    public void deadlineReached(ClientTry clientTry, long afterUs, Runnable abandon) {
        WaitStart waitStart = waitStarts.get(clientTry);
        if (clientTry.isOver() || waitStart == null) {
            abandon.run();
            return;
        }
        long remainingNanos = waitStart.startNanos
                + afterUs * 1_000
                + interceptor.totalStallNanos()
                - waitStart.stallNanos
                - System.nanoTime();
        if (remainingNanos > 0) {
            loop.schedule(
                    () -> time.runExternalEvent(() -> deadlineReached(clientTry, afterUs, abandon)),
                    remainingNanos,
                    TimeUnit.NANOSECONDS);
        } else {
            interceptor.runAfterPendingTraffic(
                    () -> LoopStallMonitor.runAfterSocketPoll(loop, () -> time.runExternalEvent(abandon)));
        }
    }

    /**
     * The client goes on without this try, whose answer no longer counts. The connection waits for the final answer
     * until the request counts as lost, and is closed then, as only that cancels the request.
     */
    @Override
    public void abandoned(ClientTry clientTry) {
        waitStarts.remove(clientTry);
        Connection connection = activeConnections.get(clientTry);
        if (connection == null) {
            interceptor.tryAbandoned(clientTry);
        } else if (!connection.receivingLongAnswer) {
            // An answer that has started to arrive in time is received to its end.
            loop.schedule(
                    () -> time.runExternalEvent(() -> {
                        if (connection.pendingTry == clientTry && !connection.receivingLongAnswer) {
                            connection.pendingTry = null;
                            activeConnections.remove(clientTry);
                            interceptor.tryAbandoned(clientTry);
                            connection.channel.close();
                        }
                    }),
                    FINAL_ANSWER_TIMEOUT_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void connectionLost(ClientTry clientTry, boolean usedBefore) {
        if (!clientTry.isOver()) {
            interceptor.connectionLost(clientTry, usedBefore);
        }
        clientTry.onInternalError();
    }

    private FullHttpRequest buildRequest(ClientTry clientTry) {
        RequestClass requestClass = fleet.classes().get(clientTry.classIndex()).requestClass();
        boolean isSafe = requestClass.retrySafety() == RetrySafety.SAFE;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                isSafe ? HttpMethod.GET : HttpMethod.POST,
                "/api/k" + clientTry.txn(),
                Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set("X-Txn", clientTry.txn())
                .set("X-Lane", requestClass.name())
                .set("X-Remaining", clientTry.remainingUs() + "u");
        if (clientTry.tenant() >= 0) {
            request.headers()
                    .set("X-Org", fleet.tenants().get(clientTry.tenant()).name());
        }
        if (clientTry.isRetry()) {
            request.headers().set("X-Resent", "1");
        }
        if (requestClass.retrySafety() == RetrySafety.KEYED) {
            request.headers().set("Idempotency-Key", "key-" + clientTry.txn());
        }
        if (!isSafe) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        return request;
    }

    /** A client's connection, which carries one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private ClientTry pendingTry;
        private boolean reused;
        /** Whether a long answer has started to arrive. */
        private boolean receivingLongAnswer;

        private long idleSinceNanos;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        /** Returns the handler that precedes the aggregation of answers and sees their heads. */
        ChannelInboundHandler headHandler() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object part) {
                    if (part instanceof HttpResponse head
                            && pendingTry != null
                            && HttpUtil.getContentLength(head, 0L) >= LongAnswer.FIRST_PART_BYTES) {
                        ClientTry clientTry = pendingTry;
                        receivingLongAnswer = true;
                        time.runExternalEvent(() -> interceptor.longAnswerReceiving(clientTry));
                    }
                    context.fireChannelRead(part);
                }
            };
        }

        boolean isUsable() {
            return channel.isActive() && System.nanoTime() - idleSinceNanos < MAX_REUSE_IDLE_NANOS;
        }

        void send(ClientTry clientTry) {
            pendingTry = clientTry;
            activeConnections.put(clientTry, this);
            startWait(clientTry);
            interceptor.tryWritten(clientTry, reused);
            channel.writeAndFlush(buildRequest(clientTry));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            ClientTry clientTry = pendingTry;
            pendingTry = null;
            if (clientTry == null) {
                channel.close();
                return;
            }
            activeConnections.remove(clientTry);
            if (HttpUtil.isKeepAlive(answer)) {
                reused = true;
                idleSinceNanos = System.nanoTime();
                idleConnections.push(this);
            } else {
                channel.close();
            }
            receivingLongAnswer = false;
            int status = answer.status().code();
            String retryAfter = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
            time.runExternalEvent(() -> {
                long retryAfterUs = retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1e6);
                interceptor.answerReceived(clientTry, status, retryAfterUs);
                if (status == 200) {
                    clientTry.onServed(Boolean.TRUE);
                } else if (status == 429 || status == 503) {
                    clientTry.onRefused(retryAfterUs);
                } else {
                    clientTry.onFailed();
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(this);
            ClientTry clientTry = pendingTry;
            pendingTry = null;
            if (clientTry == null) {
                return;
            }
            activeConnections.remove(clientTry);
            if (receivingLongAnswer) {
                time.runExternalEvent(() -> {
                    interceptor.longAnswerCutOff(clientTry);
                    clientTry.onInternalError();
                });
                return;
            }
            if (clientTry.isOver()) {
                // The connection only waited for its final answer, which will not come.
                time.runExternalEvent(() -> interceptor.tryAbandoned(clientTry));
                return;
            }
            if (reused && up) {
                // The node closed an idle connection while the request was sent: send it once more on a new
                // connection.
                time.runExternalEvent(() -> interceptor.connectionLost(clientTry, true));
                dial(clientTry);
            } else {
                time.runExternalEvent(() -> connectionLost(clientTry, reused));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Ends the process and closes all connections. */
    void close() {
        List<Connection> all = new ArrayList<>(idleConnections);
        all.addAll(activeConnections.values());
        all.forEach(connection -> {
            connection.pendingTry = null;
            connection.channel.close();
        });
        incarnation++;
        up = false;
        if (process != null) {
            destroy(process);
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
