package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.engine.Engine;
import kitemux.engine.Log;
import kitemux.engine.ResponseSink;
import kitemux.net.EventLoopClock;
import kitemux.net.InputAwareChannel;
import kitemux.net.ServerResponse;

/**
 * A client's connection: one request at a time, further ones wait their turn. Behind what is turned down as
 * the client's error nothing is read or served, and the connection ends.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ResponseSink<ServerResponse> {
    private static final byte[] NO_BODY = {};
    /** Bytes of what was kept that are taken apart at once: fewer requests than may be sent ahead. */
    private static final int KEPT_PART = 512;

    private final ClientServer server;
    /** Its place in the order in which connections were accepted, from 1. */
    private final long number;

    private final RequestReader reader;
    private final Engine<ClientRequest, ServerResponse> engine;
    private final Log log;
    private final InputAwareChannel channel;
    private final Ticker ticker;
    private final EventLoopClock time;
    /** The earliest that it may have come up: what is read at first may have come with it. */
    private final long openedUs;

    private boolean readBefore;
    /** What came whole and waits for its turn. */
    private final ArrayDeque<Incoming> waiting = new ArrayDeque<>();
    /** Requests wait: what comes meanwhile is read, so that the client's leaving is seen, and kept. */
    private boolean paused;
    /** What is kept so, or null; since when, and how much is set aside for it. */
    private ByteBuf ahead;

    private long aheadSinceUs;
    private long aheadBytes;
    /** Bytes that came after the last that is read. */
    private long dropped;
    /** Since when what is taken apart now was kept; without end where it has just come. */
    private long keptSinceUs = Long.MAX_VALUE;

    private ChannelHandlerContext gateContext;

    private HttpRequest head;
    private RequestBody body;
    /** What is set aside for the body that comes, and for those that came and have had no answer. */
    private long comingBytes;

    private long heldBytes;
    /** Whether something came since the last whole request. */
    private boolean reading;
    /** Nothing more is read: what comes is dropped. */
    private boolean deaf;
    /** From a request's turn until its answer is written. */
    private boolean busy;

    private boolean keepAlive = true;
    private HttpVersion protocol = HttpVersion.HTTP_1_1;
    private long lingerMs;
    private Future<?> lingering;
    /** When the client's part began: to ask, to go on asking, or to take its answer. */
    private long sinceNanos;

    private boolean everAsked;
    private boolean crowded;
    private boolean turnedAway;
    /** Why this side closed it; null while it has not. */
    private CloseReason closeReason;
    /** The request that is open, as the engine knows it. */
    private Engine.PendingRequest<ClientRequest, ServerResponse> held;
    /** What is passed on to the client as it comes, or null. */
    private ServerResponse passing;

    /** A request, or the status that what came instead of one is owed. */
    private record Incoming(HttpRequest head, List<byte[]> body, long cameUs, HttpResponseStatus error) {}

    ClientConnection(
            ClientServer server,
            long number,
            RequestReader reader,
            Engine<ClientRequest, ServerResponse> engine,
            EventLoopClock time,
            Log log,
            InputAwareChannel channel,
            long openedUs) {
        this.server = server;
        this.number = number;
        this.reader = reader;
        this.engine = engine;
        this.time = time;
        this.openedUs = openedUs;
        this.log = log;
        this.channel = channel;
        ticker = channel.eventLoop().ticker();
        sinceNanos = ticker.nanoTime();
    }

    /** There is no room to keep it: its first answer ends it, and is a refusal if there is none to serve
     * it. */
    void endAfterOne(boolean serve) {
        crowded = true;
        turnedAway = !serve;
    }

    // ---------------------------------------------------------------- what comes

    /** What stands before the decoder: bad clients send much, and what is not read is not taken apart. */
    ChannelInboundHandler gate() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext context) {
                gateContext = context;
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (deaf) {
                    drop((ByteBuf) bytes);
                } else if (paused) {
                    keep((ByteBuf) bytes);
                } else {
                    take((ByteBuf) bytes);
                }
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext context) {
                context.fireChannelReadComplete();
                // Not before all of it is taken apart: what has left the socket and is not known here yet
                // would pass for an idle connection, which an answer to another may have to make room for.
                time.runOverdueTimers();
            }
        };
    }

    private void take(ByteBuf bytes) {
        if (!reading) {
            reading = true;
            sinceNanos = everAsked && !busy ? ticker.nanoTime() : sinceNanos;
        }
        gateContext.fireChannelRead(bytes);
    }

    /** A client that has sent what cannot be used may still leave before its turn comes: that is seen only
     * where reading goes on. One that sends without end is left to wait. */
    private void drop(ByteBuf bytes) {
        dropped += bytes.readableBytes();
        bytes.release();
        if (dropped > Limits.MAX_DISCARDED_BYTES && (busy || !waiting.isEmpty())) {
            channel.config().setAutoRead(false);
        }
    }

    /** Beyond what there is room for, the rest stays with the system, and a client's leaving behind it. */
    private void keep(ByteBuf bytes) {
        if (ahead == null) {
            ahead = channel.alloc().heapBuffer(bytes.readableBytes());
            aheadSinceUs = cameUs();
        }
        long more = bytes.readableBytes();
        ahead.discardReadBytes().writeBytes(bytes);
        bytes.release();
        boolean room = server.setAside(more);
        aheadBytes += room ? more : 0;
        if (!room || ahead.readableBytes() >= Limits.MAX_PIPELINED_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Nothing waits any more: what was kept is taken apart bit by bit, up to where something has to wait. */
    private void resume() {
        paused = false;
        if (ahead != null) {
            keptSinceUs = aheadSinceUs;
            while (!paused && !deaf && ahead.isReadable()) {
                take(ahead.readBytes(Math.min(KEPT_PART, ahead.readableBytes())));
            }
            keptSinceUs = Long.MAX_VALUE;
            gateContext.fireChannelReadComplete();
            if (deaf || !ahead.isReadable()) {
                forgetAhead();
            } else {
                long more = Math.max(0, aheadBytes - ahead.readableBytes());
                server.setAside(-more);
                aheadBytes -= more;
            }
        }
        channel.config().setAutoRead(ahead == null || ahead.readableBytes() < Limits.MAX_PIPELINED_BYTES);
    }

    private void forgetAhead() {
        if (ahead != null) {
            ahead.release();
            ahead = null;
            server.setAside(-aheadBytes);
            aheadBytes = 0;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            // As a connection ends the decoder tells of what is unfinished: nothing is owed for that.
            if (!deaf && channel.isActive()) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            turnDown(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest begun) {
            head = begun;
            body = new RequestBody();
            HttpResponseStatus error = RequestReader.errorOf(begun);
            if (error != null) {
                turnDown(error);
                return;
            }
            if (!setAside(HttpUtil.getContentLength(begun, 0L))) {
                turnDown(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            if (HttpUtil.is100ContinueExpected(begun) && !busy && waiting.isEmpty()) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content) {
            ByteBuf bytes = content.content();
            if (body.size() + bytes.readableBytes() > Limits.MAX_REQUEST_BODY_BYTES) {
                turnDown(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            if (!setAside(body.size() + bytes.readableBytes())) {
                turnDown(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            body.add(bytes);
        }
        if (part instanceof LastHttpContent) {
            Incoming whole = new Incoming(head, body.parts(), cameUs(), null);
            heldBytes += comingBytes;
            comingBytes = 0;
            forgetPart();
            take(whole);
        }
    }

    /** The earliest that what is read now may have come. */
    private long cameUs() {
        long sinceLook = Math.min(keptSinceUs, time.nowUs() - time.readLagUs());
        return readBefore ? sinceLook : Math.min(sinceLook, openedUs);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readBefore = true;
    }

    /** Room for so much of the body that comes; false if there is none, and nothing more is set aside. */
    private boolean setAside(long bytes) {
        long more = bytes <= Limits.SMALL_REQUEST_BODY_BYTES ? 0 : bytes - comingBytes;
        if (more > 0 && !server.setAside(more)) {
            return false;
        }
        comingBytes += Math.max(0, more);
        return true;
    }

    private void giveBackBodies() {
        server.setAside(-heldBytes);
        heldBytes = 0;
    }

    private void forgetPart() {
        head = null;
        body = null;
        server.setAside(-comingBytes);
        comingBytes = 0;
        reading = false;
    }

    /** What comes cannot be used: where the next request would begin is not known, nothing more is read. */
    private void turnDown(HttpResponseStatus error) {
        forgetPart();
        deaf = true;
        take(new Incoming(null, List.of(), 0, error));
    }

    private void take(Incoming next) {
        everAsked = true;
        waiting.add(next);
        if (!busy && waiting.size() == 1) {
            // Only once all is read that has come on any connection. A node that has fallen behind would else
            // serve requests whose clients have left, the end of whose connections it reads next: each takes
            // a server's place and a new connection for nothing, and with retries behind them a node that
            // serves the oldest first never catches up. Harm: none is sent before the others are read.
            server.used(this);
            channel.eventLoop().execute(this::serveNext);
            return;
        }
        // Sent ahead of the answer: what comes is taken apart only once it is its turn, so that what waits is
        // bounded.
        paused = true;
        if (waiting.size() > (busy ? 0 : 1) + Limits.MAX_PIPELINED_REQUEST_COUNT && !deaf) {
            waiting.removeLast();
            turnDown(HttpResponseStatus.BAD_REQUEST);
        }
    }

    // ---------------------------------------------------------------- one after another

    private void serve(Incoming next) {
        busy = true;
        if (next.error != null) {
            refuse(
                    next.error,
                    NO_BODY,
                    next.error == HttpResponseStatus.SERVICE_UNAVAILABLE ? reader.retryAfterUs() : 0);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(next.head);
        protocol = next.head.protocolVersion();
        try {
            String path = RequestReader.path(next.head.uri());
            if (path.equals("/up")) {
                answer(server.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY, 0);
            } else if (RequestReader.isRequestPath(path)) {
                ClientRequest request = reader.read(next.head, next.body, time.nowUs() - next.cameUs);
                if (turnedAway || server.isAnsweringRest()) {
                    // Never sent anywhere, so that trying again does no harm.
                    server.turnedAway(request);
                    onRefused(reader.retryAfterUs());
                } else {
                    ask(request);
                }
            } else {
                refuse(HttpResponseStatus.NOT_FOUND, NO_BODY, 0);
            }
        } catch (BadRequestException e) {
            byte[] reason = (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
            refuse(HttpResponseStatus.BAD_REQUEST, reason, 0);
        } catch (RuntimeException e) {
            // A defect met by one request must not leave it without an answer.
            log.error("request " + next.head.uri(), e);
            if (held == null) {
                answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
            }
        }
    }

    private void ask(ClientRequest request) throws BadRequestException {
        Engine.PendingRequest<ClientRequest, ServerResponse> taken = engine.accept(this, request);
        if (taken == null) {
            throw new BadRequestException("X-Txn is that of an open request");
        }
        held = taken;
        server.requested(this, request);
        engine.dispatch(taken);
    }

    @Override
    public void onResponseStarted(ServerResponse answer) {
        passing = answer;
        sinceNanos = ticker.nanoTime();
        HttpResponse begins = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (answer.length() >= 0) {
            begins.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length());
        } else if (protocol.equals(HttpVersion.HTTP_1_0)) {
            keepAlive = false;
            // Nothing but the end of the connection is its end, also that by which a process is killed: that
            // is to be a reset up to the last byte.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } else {
            begins.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        sayIfLast(begins);
        channel.write(begins);
        answer.streamTo(bytes -> {
            channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(written -> sinceNanos = ticker.nanoTime());
            // One that has left takes no more: what cannot be called off is read to its end.
            answer.setReading(channel.isWritable() || !channel.isActive());
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (passing != null) {
            passing.setReading(channel.isWritable());
        }
    }

    @Override
    public void onServed(ServerResponse answer) {
        if (answer != null) {
            answer(HttpResponseStatus.OK, answer.body(), 0);
            return;
        }
        held = null;
        passing = null;
        // Its head said nothing of it where the node was told to end meanwhile: left open it would carry
        // further requests, up to where the process is killed under one. What was sent ahead is owed its
        // answer, which says that it is the last.
        keepAlive &= !waiting.isEmpty() || ahead != null || !server.endsConnections();
        channel.config().setOption(ChannelOption.SO_LINGER, -1);
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> answered(written.isSuccess()));
    }

    /** What was begun cannot be taken back: that it is not whole is told by a reset, whatever its framing. */
    private boolean isBrokenOff() {
        if (passing == null) {
            return false;
        }
        held = null;
        passing = null;
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        close(CloseReason.ANSWER_BROKEN_OFF);
        return true;
    }

    @Override
    public void onRefused(long retryAfterUs) {
        if (isBrokenOff()) {
            return;
        }
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY, retryAfterUs);
    }

    @Override
    public void onFailed() {
        if (isBrokenOff()) {
            return;
        }
        answer(HttpResponseStatus.BAD_GATEWAY, NO_BODY, 0);
    }

    @Override
    public void onInternalError() {
        if (isBrokenOff()) {
            return;
        }
        answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
    }

    /** Answers a client's error and ends the connection: who errs once does so again, at a cost each time. */
    private void refuse(HttpResponseStatus error, byte[] reason, long retryAfterUs) {
        keepAlive = false;
        lingerMs = Limits.LINGER_MS;
        waiting.clear();
        deaf = true;
        answer(error, reason, retryAfterUs);
    }

    /** The one answer to the request that is open; {@code retryAfterUs} of 0 gives no advice. */
    private void answer(HttpResponseStatus status, byte[] content, long retryAfterUs) {
        held = null;
        sinceNanos = ticker.nanoTime();
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / 1e6);
        }
        sayIfLast(response);
        channel.writeAndFlush(response).addListener(written -> answered(written.isSuccess()));
    }

    private void sayIfLast(HttpResponse response) {
        // What was sent ahead is owed its answer, too.
        boolean more = !waiting.isEmpty() || ahead != null;
        if (!keepAlive || crowded || server.endsConnections() && !more) {
            keepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Only once an answer is written is it the next one's turn: a client may ask and never read. */
    private void answered(boolean written) {
        if (waiting.isEmpty()) {
            giveBackBodies();
        }
        busy = false;
        sinceNanos = ticker.nanoTime();
        if (waiting.isEmpty()) {
            server.rested(this);
        }
        if (!written) {
            close(CloseReason.WRITE_FAILED);
        } else if (!keepAlive) {
            channel.shutdownOutput();
            if (lingerMs == 0 && !isQuiet()) {
                // A close on what is unread resets the connection, and drops what of the answer is not with
                // the client yet. It stays unread: the client is to send it again elsewhere.
                lingerMs = Limits.LINGER_MS;
                channel.config().setAutoRead(false);
            }
            lingering =
                    channel.eventLoop().schedule(() -> close(CloseReason.LAST_ANSWER), lingerMs, TimeUnit.MILLISECONDS);
        } else if (!waiting.isEmpty()) {
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        time.runOverdueTimers();
        Incoming next = busy || !keepAlive || !channel.isActive() ? null : waiting.poll();
        if (next != null) {
            serve(next);
        }
        // Behind its last answer nothing more is read, but for the rest of what was turned down.
        if (waiting.isEmpty() && channel.isActive() && (keepAlive || deaf)) {
            resume();
        }
    }

    // ---------------------------------------------------------------- its end

    boolean isOlderThan(long ms) {
        return ticker.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Ends a connection whose client takes too long to ask or to take its answer. */
    void closeIfLate() {
        if (held != null && (passing == null || channel.isWritable()) || deaf && !busy) {
            return;
        }
        if (busy) {
            closeIfOlderThan(Limits.WRITE_TIMEOUT_MS, CloseReason.ANSWER_NOT_TAKEN);
        } else if (!reading) {
            if (isQuiet()) {
                closeIfOlderThan(everAsked ? Limits.IDLE_TIMEOUT_MS : Limits.REQUEST_READ_TIMEOUT_MS, CloseReason.IDLE);
            }
        } else if (isOlderThan(Limits.REQUEST_READ_TIMEOUT_MS
                + (body == null ? 0 : body.size() / Limits.MIN_BODY_RATE_BYTES_PER_MS))) {
            turnDown(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    private void closeIfOlderThan(long ms, CloseReason reason) {
        if (isOlderThan(ms)) {
            close(reason);
        }
    }

    /** What has come in part is refused: its rest would come too late. */
    void refusePartial() {
        if (reading && !busy && waiting.isEmpty() && !deaf) {
            turnDown(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    long number() {
        return number;
    }

    /** Whether a request has come in part. */
    boolean isReading() {
        return reading;
    }

    /** Whether all that has come is read. */
    boolean isQuiet() {
        return channel.hasNoUnreadInput();
    }

    /** Closes it for this reason, unless it is being closed for another. */
    void close(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        keepAlive = false;
        deaf = true;
        waiting.clear();
        forgetPart();
        giveBackBodies();
        forgetAhead();
        if (passing != null) {
            passing.setReading(true);
        }
        if (lingering != null) {
            lingering.cancel(false);
        }
        server.ended(this, closeReason == null ? CloseReason.BY_CLIENT : closeReason);
        if (held != null) {
            engine.clientDisconnected(held);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.error("connection to a client", cause);
        }
        close(CloseReason.ERROR);
    }
}
