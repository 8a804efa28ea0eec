package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
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
import kitemux.net.BoundedReadBuffers;
import kitemux.net.EventLoopClock;
import kitemux.net.InputAwareChannel;
import kitemux.net.ServerResponse;

/**
 * A client connection. It serves one request at a time and queues pipelined ones. After input that is rejected
 * as the client's error nothing more is read or served, and the connection closes.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ResponseSink<ServerResponse> {
    private static final byte[] EMPTY_BODY = {};

    private final ClientServer server;
    /** Position of this connection in the order in which connections were accepted, from 1. */
    private final long number;

    private final RequestReader reader;
    private final Engine<ClientRequest, ServerResponse> engine;
    private final Log log;
    private final InputAwareChannel channel;
    private final Ticker ticker;
    private final EventLoopClock clock;
    /**
     * The earliest time at which the connection may have been established; the first input may have arrived
     * with it.
     */
    private final long earliestOpenedUs;

    /** Whether an earlier read of this connection has completed. */
    private boolean hasReadBefore;
    /** Requests that were received completely and wait to be served. */
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    /**
     * Whether parsing is paused since requests are queued. Input is still read, so that the client's disconnect
     * is noticed, and buffered.
     */
    private boolean isParsingPaused;
    /** Input that has been read and waits to be parsed. */
    private final InputBacklog backlog;

    private final ParseScheduler parseScheduler;
    /** Whether the scheduler will have this connection parse its backlog. */
    private boolean isWaitingToParse;
    /**
     * Since when input may be unread in the socket, as reading was paused, in microseconds; {@link Long#MAX_VALUE} once all
     * of it has been read.
     */
    private long unreadSinceUs = Long.MAX_VALUE;
    /** Since when input waits for room to be read, in microseconds; {@link Long#MAX_VALUE} if none does. */
    private long waitingForRoomSinceUs = Long.MAX_VALUE;
    /** Since when the backlog could be parsed, in microseconds; before that, requests were queued in front of it. */
    private long parsableSinceUs;

    /** Size of the input that was discarded after an invalid request. */
    private long discardedBytes;
    /**
     * Since when the input that is being parsed was buffered; {@link Long#MAX_VALUE} for input that has just
     * arrived.
     */
    private long bufferedSinceUs = Long.MAX_VALUE;

    /** The input that the decoder is parsing; it has been merged into the kept input if it is released. Null between parts. */
    private ByteBuf parsedInput;
    /** The buffer in which the decoder keeps the beginning of an unfinished message, or null. */
    private ByteBuf keptInput;

    /** Context of the handler in front of the decoder, which passes input on to it. */
    private ChannelHandlerContext gateContext;

    private final IncomingRequest incoming;
    /** When the client has to have sent more of the request that is being received. */
    private final ReceiveDeadline receiveDeadline;
    /** Whether input was received since the last complete request. */
    private boolean isReceivingRequest;
    /** Whether all further input is discarded. */
    private boolean discardsInput;
    /** Whether a request is being served; true until its response is written. */
    private boolean isBusy;

    private boolean keepAlive = true;
    private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
    private long lingerMs;
    private Future<?> lingerTimer;
    /**
     * Since when the connection has been waiting for its client to send a request, to send the rest of it, or
     * to read a response.
     */
    private long waitingSinceNanos;

    private boolean hasReceivedRequest;
    /** Whether the connection closes after its first response for lack of descriptors. */
    private boolean closesAfterFirstResponse;
    /** Whether the only request is rejected for lack of descriptors. */
    private boolean rejectsRequest;
    /** The reason for which this side closed the connection, or null if it did not. */
    private CloseReason closeReason;
    /** What was queued for the client when this side closed the connection, in bytes. */
    private long unsentBytesAtClose;
    /** The error that the system reported; null if there was none. */
    private String networkError;
    /** The engine's handle of the request that is being served, or null. */
    private Engine.PendingRequest<ClientRequest, ServerResponse> openRequest;
    /** The response that is being streamed to the client, or null. */
    private ResponseStream stream;

    /** A queued request, or the error status for input that was rejected instead of one. */
    private record QueuedRequest(
            HttpRequest head,
            List<byte[]> body,
            RequestReservation reservation,
            long arrivedUs,
            HttpResponseStatus errorStatus) {}

    ClientConnection(
            ClientServer server,
            long number,
            RequestReader reader,
            Engine<ClientRequest, ServerResponse> engine,
            EventLoopClock clock,
            Log log,
            InputAwareChannel channel,
            long earliestOpenedUs) {
        this.server = server;
        this.number = number;
        this.reader = reader;
        this.engine = engine;
        this.clock = clock;
        this.earliestOpenedUs = earliestOpenedUs;
        this.log = log;
        this.channel = channel;
        backlog = new InputBacklog(server.memory().input());
        parseScheduler = server.parseScheduler();
        incoming = new IncomingRequest(server.memory());
        ticker = channel.eventLoop().ticker();
        receiveDeadline = new ReceiveDeadline(clock.nowUs());
        waitingSinceNanos = ticker.nanoTime();
    }

    /**
     * Closes the connection after its first response, as there is no room to keep it.
     *
     * @param isServed whether its request is served; it is rejected otherwise
     */
    void closeAfterFirstResponse(boolean isServed) {
        closesAfterFirstResponse = true;
        rejectsRequest = !isServed;
    }

    // ---------------------------------------------------------------- input

    /**
     * Creates the handler in front of the decoder. Input that is discarded or buffered is not parsed, since bad
     * clients send a lot of it.
     */
    ChannelInboundHandler createInputGate() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext context) {
                gateContext = context;
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                receive((ByteBuf) bytes);
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext context) {
                context.fireChannelReadComplete();
                // Only after all input has been parsed: input that has left the socket but is not known here yet
                // would make the connection look idle, and it might be closed to make room for another one.
                clock.runOverdueTimers();
            }
        };
    }

    /** Parses the input as far as there is time, and keeps the rest for later. */
    private void receive(ByteBuf input) {
        receiveDeadline.onInput(input.readableBytes(), clock.nowUs() - clock.readLagUs());
        if (mayParseNow() && input.readableBytes() <= incoming.maxPartBytes()) {
            parseScheduler.parse(() -> parse(input));
            return;
        }
        while (mayParseNow() && input.isReadable()) {
            int partBytes = Math.min(incoming.maxPartBytes(), input.readableBytes());
            ByteBuf part = channel.alloc().heapBuffer(partBytes).writeBytes(input, partBytes);
            parseScheduler.parse(() -> parse(part));
        }
        if (discardsInput) {
            discard(input.readableBytes());
        } else if (input.isReadable()) {
            keepForLater(input);
        }
        input.release();
    }

    private boolean canParse() {
        return !isParsingPaused && !discardsInput && channel.isActive();
    }

    private boolean mayParseNow() {
        return canParse() && backlog.isEmpty() && parseScheduler.hasTime();
    }

    private void parse(ByteBuf bytes) {
        if (!isReceivingRequest) {
            beginRequest();
        }
        parsedInput = bytes;
        boolean hasRoom = incoming.hasHead() || incoming.reserveLine(bytes);
        gateContext.fireChannelRead(bytes);
        if (!hasRoom && !discardsInput) {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        parsedInput = null;
        if (bytes.refCnt() > 0) {
            keptInput = bytes;
        }
        trimKeptInput();
    }

    private void beginRequest() {
        isReceivingRequest = true;
        receiveDeadline.onRequestBegun();
        if (hasReceivedRequest && !isBusy) {
            waitingSinceNanos = ticker.nanoTime();
        }
    }

    /**
     * Shrinks the buffer that the decoder keeps to the part of a message in it. Clients that stop within a message would
     * otherwise hold a buffer of up to 64 KiB for a few bytes each.
     */
    private void trimKeptInput() {
        if (keptInput != null && keptInput.refCnt() == 0) {
            keptInput = null;
        }
        if (keptInput != null && keptInput.refCnt() == 1) {
            keptInput.discardReadBytes().capacity(keptInput.readableBytes());
        }
    }

    /**
     * Discards input. Reading goes on so that the disconnect of a client that sent an invalid request is
     * noticed before its error response is due, but reading stops if the client sends without end.
     */
    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > Limits.MAX_DISCARDED_BYTES && (isBusy || !queue.isEmpty())) {
            setReading(false);
        }
    }

    /**
     * Returns how many bytes the next read may take. If there is no room for them, the input stays unread in the socket
     * until there is; the end of a connection takes none.
     */
    int maxReadBytes() {
        if (discardsInput) {
            return BoundedReadBuffers.MAX_READ_BYTES;
        }
        int maxBytes = backlog.maxReadBytes();
        if (maxBytes == 0 && channel.hasNoUnreadInput()) {
            return 1;
        }
        if (maxBytes == 0) {
            setReading(false);
            waitingForRoomSinceUs = Math.min(waitingForRoomSinceUs, clock.nowUs());
            server.inputAdmission().add(this);
            return 0;
        }
        waitingForRoomSinceUs = Long.MAX_VALUE;
        return maxBytes;
    }

    /** There is room for input again. */
    void onRoomForInput() {
        resumeReading();
    }

    /** Pauses or resumes reading; while it is paused the client's disconnect is not noticed. */
    private void setReading(boolean enabled) {
        if (channel.config().isAutoRead() != enabled) {
            unreadSinceUs = enabled ? unreadSinceUs : Math.min(unreadSinceUs, earliestArrivalUs());
            if (enabled) {
                receiveDeadline.restart(clock.nowUs());
            }
            channel.config().setAutoRead(enabled);
            server.onReadingChanged(this, enabled);
        }
    }

    /**
     * Keeps input while requests are queued or no time is left to parse it. Beyond the limits the rest, and a
     * disconnect behind it, stays unread in the socket.
     */
    private void keepForLater(ByteBuf input) {
        backlog.append(input, earliestArrivalUs());
        if (backlog.isFull()) {
            setReading(false);
        }
        scheduleParsing();
    }

    private void scheduleParsing() {
        if (canParse() && !backlog.isEmpty() && !isWaitingToParse) {
            isWaitingToParse = true;
            parsableSinceUs = clock.nowUs();
            parseScheduler.enqueue(this);
        }
    }

    /**
     * Parses a part of the backlog.
     *
     * @return whether more of it can be parsed
     */
    boolean parseBacklogPart() {
        isWaitingToParse = false;
        if (!canParse() || backlog.isEmpty()) {
            return false;
        }
        bufferedSinceUs = backlog.oldestArrivalUs();
        parse(backlog.read(channel.alloc(), incoming.maxPartBytes()));
        bufferedSinceUs = Long.MAX_VALUE;
        if (discardsInput) {
            backlog.clear();
        }
        if (backlog.isEmpty()) {
            gateContext.fireChannelReadComplete();
        }
        resumeReading();
        isWaitingToParse = canParse() && !backlog.isEmpty();
        return isWaitingToParse;
    }

    /** Resumes parsing when no request is queued any more. */
    private void resumeParsing() {
        isParsingPaused = false;
        if (discardsInput) {
            backlog.clear();
        }
        scheduleParsing();
        resumeReading();
    }

    private void resumeReading() {
        if (discardsInput || !backlog.isFull()) {
            setReading(true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            // The decoder reports unfinished messages when a connection closes; they need no response.
            if (!discardsInput && channel.isActive()) {
                readPart((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Reserves memory for a field of the head that is being received.
     *
     * @return false if the heads of all requests have used up their memory
     */
    boolean reserveHeadField(int bytes) {
        return incoming.reserveHeadField(bytes);
    }

    private void readPart(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            boolean hasNoRoom = part.decoderResult().cause() instanceof KeptHeaders.NoRoomException;
            rejectInput(hasNoRoom ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest request) {
            HttpResponseStatus error = incoming.begin(request);
            if (error != null) {
                rejectInput(error);
                return;
            }
            if (!isReceivingRequest) {
                beginRequest();
            }
            receiveDeadline.onHeadReceived();
            sendContinueIfExpected(request);
        }
        if (part instanceof HttpContent content) {
            HttpResponseStatus error = incoming.append(content.content());
            if (error != null) {
                rejectInput(error);
                return;
            }
        }
        if (part instanceof LastHttpContent) {
            IncomingRequest.Complete complete = incoming.complete();
            isReceivingRequest = false;
            enqueue(new QueuedRequest(
                    complete.head(), complete.body(), complete.reservation(), earliestArrivalUs(), null));
            if (!discardsInput && hasFurtherInput()) {
                beginRequest();
            }
        }
    }

    /** Returns whether the input goes on behind the message that the decoder has just read; empty lines do not count. */
    private boolean hasFurtherInput() {
        ByteBuf input = parsedInput.refCnt() > 0 ? parsedInput : keptInput;
        // The decoder releases input that it has read to its end before it passes the last message on.
        boolean isReadToEnd = input == null || input.refCnt() == 0;
        return !isReadToEnd && input.forEachByte(next -> next == '\r' || next == '\n') >= 0;
    }

    private void sendContinueIfExpected(HttpRequest request) {
        if (HttpUtil.is100ContinueExpected(request) && !isBusy && queue.isEmpty()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns the earliest time at which the input that is being read may have arrived. */
    private long earliestArrivalUs() {
        long arrivalUs = Math.min(Math.min(bufferedSinceUs, unreadSinceUs), clock.nowUs() - clock.readLagUs());
        return hasReadBefore ? arrivalUs : Math.min(arrivalUs, earliestOpenedUs);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        hasReadBefore = true;
        if (unreadSinceUs != Long.MAX_VALUE && channel.config().isAutoRead() && channel.hasNoUnreadInput()) {
            unreadSinceUs = Long.MAX_VALUE;
        }
    }

    /** Drops a partially received request and gives its memory back. */
    private void discardPartialRequest() {
        incoming.discard();
        isReceivingRequest = false;
    }

    /** Rejects the input. Since the start of the next request is unknown, nothing more is read. */
    private void rejectInput(HttpResponseStatus error) {
        discardPartialRequest();
        discardsInput = true;
        enqueue(new QueuedRequest(null, List.of(), new RequestReservation(server.memory()), 0, error));
    }

    /** Queues a request, or serves it once all connections have been read if none is queued or being served. */
    private void enqueue(QueuedRequest next) {
        hasReceivedRequest = true;
        queue.add(next);
        if (!isBusy && queue.size() == 1) {
            // Requests are served only after the input of all connections has been read. Otherwise a node that has
            // fallen behind would serve requests whose clients have left, since it reads the end of their
            // connections next. Each such request takes up a server and a new connection for nothing, and together
            // with the retries a node that serves the oldest request first would never catch up. The cost is that
            // no request is sent before the others are read.
            server.markBusy(this);
            channel.eventLoop().execute(this::serveNext);
            return;
        }
        // A pipelined request: further input is parsed only after it, so that the queue is bounded.
        isParsingPaused = true;
        if (queue.size() > (isBusy ? 0 : 1) + Limits.MAX_PIPELINED_REQUEST_COUNT && !discardsInput) {
            queue.removeLast().reservation.release();
            rejectInput(HttpResponseStatus.BAD_REQUEST);
        }
    }

    // ---------------------------------------------------------------- serving

    /** Drops the requests that wait to be served and gives their memory back. */
    private void clearQueue() {
        queue.forEach(queued -> queued.reservation.release());
        queue.clear();
    }

    private void serve(QueuedRequest next) {
        isBusy = true;
        if (!isAcceptedByEngine(next)) {
            next.reservation.release();
        }
    }

    /**
     * Serves a request, or answers it at once.
     *
     * @return whether the engine has accepted the request, and gives its memory back
     */
    private boolean isAcceptedByEngine(QueuedRequest next) {
        if (next.errorStatus != null) {
            rejectAndClose(
                    next.errorStatus,
                    EMPTY_BODY,
                    next.errorStatus == HttpResponseStatus.SERVICE_UNAVAILABLE ? reader.retryAfterUs() : 0);
            return false;
        }
        boolean isAccepted = false;
        keepAlive = HttpUtil.isKeepAlive(next.head);
        httpVersion = next.head.protocolVersion();
        try {
            String path = RequestReader.path(next.head.uri());
            if (path.equals("/up")) {
                respond(server.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, 0);
            } else if (RequestReader.isRequestPath(path)) {
                ClientRequest request =
                        reader.read(next.head, next.body, next.reservation, clock.nowUs() - next.arrivedUs);
                if (rejectsRequest || server.isAnsweringRemaining()) {
                    // The request was not sent to any server, so the client may retry it safely.
                    server.onRejected(request);
                    onRefused(reader.retryAfterUs());
                } else {
                    Engine.PendingRequest<ClientRequest, ServerResponse> pending = accept(request);
                    isAccepted = true;
                    engine.dispatch(pending);
                }
            } else {
                rejectAndClose(HttpResponseStatus.NOT_FOUND, EMPTY_BODY, 0);
            }
        } catch (BadRequestException e) {
            byte[] reason = (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
            rejectAndClose(HttpResponseStatus.BAD_REQUEST, reason, 0);
        } catch (RuntimeException e) {
            // An unexpected exception must not leave the request without a response.
            log.error("request " + next.head.uri(), e);
            if (openRequest == null) {
                respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY, 0);
            }
        }
        return isAccepted;
    }

    private Engine.PendingRequest<ClientRequest, ServerResponse> accept(ClientRequest request)
            throws BadRequestException {
        Engine.PendingRequest<ClientRequest, ServerResponse> accepted = engine.accept(this, request);
        if (accepted == null) {
            throw new BadRequestException("X-Txn is that of a request that is open or may have run");
        }
        openRequest = accepted;
        server.onRequestReceived(this, request);
        return accepted;
    }

    @Override
    public ClientInput clientInput() {
        if (!channel.config().isAutoRead()) {
            return ClientInput.PAUSED;
        }
        return channel.hasNoUnreadInput() ? ClientInput.READ : ClientInput.UNREAD;
    }

    @Override
    public void onResponseStarted(ServerResponse response) {
        waitingSinceNanos = ticker.nanoTime();
        HttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (response.length() >= 0) {
            responseHead.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.length());
        } else if (httpVersion.equals(HttpVersion.HTTP_1_0)) {
            keepAlive = false;
            // Only the close of the connection marks the end of the body, and the kernel also closes it if the
            // process is killed. With this option it is reset instead, until the last byte is written.
            setSocketOption(ChannelOption.SO_LINGER, 0);
        } else {
            responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        addCloseHeaderIfLast(responseHead);
        stream = new ResponseStream(
                channel,
                responseHead,
                response,
                server.memory().responses(),
                () -> waitingSinceNanos = ticker.nanoTime());
        stream.start();
    }

    @Override
    public void onServed(ServerResponse response) {
        if (response != null) {
            respond(HttpResponseStatus.OK, response.body(), 0);
            return;
        }
        openRequest = null;
        ResponseStream finished = stream;
        endStream();
        // The response head did not announce the close if the node started to shut down meanwhile. Left open, the
        // connection would carry further requests until the process is killed during one. Pipelined requests still
        // get their responses, the last of which announces the close.
        keepAlive &= hasFurtherRequest() || !server.closesAfterResponse();
        setSocketOption(ChannelOption.SO_LINGER, -1);
        finished.finish().addListener(written -> onResponseWritten(written.isSuccess()));
    }

    /**
     * Aborts the response if it has begun for the client: a reset tells the client that it is incomplete, whatever its
     * framing. One of which the client has no byte is withdrawn, and another response can take its place.
     *
     * @return whether the response has begun
     */
    private boolean abortIfBegun() {
        if (stream == null) {
            return false;
        }
        openRequest = null;
        boolean isWithdrawn = stream.withdraw();
        endStream();
        if (isWithdrawn) {
            prepareForOtherResponse();
            return false;
        }
        setSocketOption(ChannelOption.SO_LINGER, 0);
        close(CloseReason.ANSWER_BROKEN_OFF);
        return true;
    }

    /** Sets an option of the socket; one that has been closed meanwhile carries nothing more, and needs none. */
    private <T> void setSocketOption(ChannelOption<T> option, T value) {
        try {
            channel.config().setOption(option, value);
        } catch (ChannelException e) {
            close(CloseReason.ERROR);
        }
    }

    /** Replaces the codec, which expects the body of the withdrawn response, and closes after the next response. */
    private void prepareForOtherResponse() {
        keepAlive = false;
        discardsInput = true;
        clearQueue();
        discardPartialRequest();
        setSocketOption(ChannelOption.SO_LINGER, -1);
        channel.pipeline().replace(HttpServerCodec.class, null, server.newCodec(this));
    }

    private void endStream() {
        stream.end();
        stream = null;
    }

    @Override
    public void onRefused(long retryAfterUs) {
        if (abortIfBegun()) {
            return;
        }
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, retryAfterUs);
    }

    @Override
    public void onFailed() {
        if (abortIfBegun()) {
            return;
        }
        respond(HttpResponseStatus.BAD_GATEWAY, EMPTY_BODY, 0);
    }

    @Override
    public void onInternalError() {
        if (abortIfBegun()) {
            return;
        }
        respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY, 0);
    }

    /**
     * Sends an error response and closes the connection: a client that made an error is likely to repeat it, at
     * a cost each time.
     */
    private void rejectAndClose(HttpResponseStatus error, byte[] reason, long retryAfterUs) {
        keepAlive = false;
        lingerMs = Limits.LINGER_MS;
        clearQueue();
        discardsInput = true;
        respond(error, reason, retryAfterUs);
    }

    /**
     * Sends the only response to the request that is being served; a {@code retryAfterUs} of 0 omits the
     * Retry-After header.
     */
    private void respond(HttpResponseStatus status, byte[] content, long retryAfterUs) {
        openRequest = null;
        waitingSinceNanos = ticker.nanoTime();
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / 1e6);
        }
        addCloseHeaderIfLast(response);
        server.memory().responses().add(content.length);
        channel.writeAndFlush(response).addListener(written -> {
            server.memory().responses().release(content.length);
            onResponseWritten(written.isSuccess());
        });
    }

    /** Returns whether another request has begun to arrive behind the one that is being answered. */
    private boolean hasFurtherRequest() {
        return !queue.isEmpty() || isReceivingRequest || !hasNoUnreadInput();
    }

    private void addCloseHeaderIfLast(HttpResponse response) {
        // Pipelined requests get their responses first.
        boolean hasPipelinedRequests = !queue.isEmpty() || !backlog.isEmpty();
        if (!keepAlive || closesAfterFirstResponse || server.closesAfterResponse() && !hasPipelinedRequests) {
            keepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Goes on with the next request only after the response is written, since a client may send requests and
     * never read.
     */
    private void onResponseWritten(boolean isWritten) {
        isBusy = false;
        waitingSinceNanos = ticker.nanoTime();
        if (queue.isEmpty()) {
            server.markIdle(this);
        }
        if (!isWritten) {
            close(CloseReason.WRITE_FAILED);
        } else if (!keepAlive) {
            channel.shutdownOutput();
            if (lingerMs == 0 && !hasNoUnreadInput()) {
                // Closing with unread input resets the connection and drops the part of the response that the
                // client has not received yet. The input stays unread, so that the client sends it again
                // elsewhere.
                lingerMs = Limits.LINGER_MS;
                setReading(false);
            }
            lingerTimer =
                    channel.eventLoop().schedule(() -> close(CloseReason.LAST_ANSWER), lingerMs, TimeUnit.MILLISECONDS);
        } else if (!queue.isEmpty()) {
            channel.eventLoop().execute(this::serveNext);
        }
    }

    /** Serves the next queued request, and resumes parsing if none is left. */
    private void serveNext() {
        clock.runOverdueTimers();
        QueuedRequest next = isBusy || !keepAlive || !channel.isActive() ? null : queue.poll();
        if (next != null) {
            serve(next);
        }
        // After the last response nothing more is read, except for the remaining input of a rejected request.
        if (queue.isEmpty() && channel.isActive() && (keepAlive || discardsInput)) {
            resumeParsing();
        }
    }

    // ---------------------------------------------------------------- close

    /** Returns whether the connection has been waiting for its client for more than this many milliseconds. */
    boolean isWaitingLongerThan(long ms) {
        return ticker.nanoTime() - waitingSinceNanos > TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Returns the number of bytes queued for the client, apart from those that its socket has taken. */
    long unsentBytes() {
        ChannelOutboundBuffer queued = channel.unsafe().outboundBuffer();
        return queued == null ? 0 : queued.totalPendingWriteBytes() - queued.currentProgress();
    }

    /**
     * Sends on what the client's socket has room for. A client that takes 64 kB/s frees the part of a socket's buffer from
     * which the system reports it as writable only after many seconds, and would be taken for one that reads nothing.
     */
    private void sendOn() {
        long unsentBefore = unsentBytes();
        if (unsentBefore > 0) {
            channel.retryWrite();
            waitingSinceNanos = unsentBytes() < unsentBefore ? ticker.nanoTime() : waitingSinceNanos;
        }
    }

    /** Closes the connection if its client takes too long to send a request or to read a response. */
    void closeIfExpired() {
        rejectIfInputIsOld();
        rejectIfClientStopped();
        if (openRequest != null && (stream == null || !stream.hasUnsentParts()) || discardsInput && !isBusy) {
            return;
        }
        if (isBusy) {
            sendOn();
            closeIfWaitingLongerThan(Limits.WRITE_TIMEOUT_MS, CloseReason.ANSWER_NOT_TAKEN);
        } else if (!isReceivingRequest) {
            if (hasNoUnreadInput()) {
                closeIfWaitingLongerThan(
                        hasReceivedRequest ? Limits.IDLE_TIMEOUT_MS : Limits.REQUEST_READ_TIMEOUT_MS, CloseReason.IDLE);
            }
        }
    }

    /**
     * Rejects a request whose client has stopped within it or sends it too slowly. Behind a request that is still being
     * served the rejection waits for its turn.
     */
    private void rejectIfClientStopped() {
        if (!isReceivingRequest || discardsInput || !receiveDeadline.isPast(clock.nowUs())) {
            return;
        }
        if (channel.config().isAutoRead() && hasNoUnreadInput()) {
            rejectInput(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            receiveDeadline.restart(clock.nowUs());
        }
    }

    /** Rejects a request whose input has been waiting too long to be read or parsed: its client is owed an answer in time. */
    private void rejectIfInputIsOld() {
        if (!isBusy
                && queue.isEmpty()
                && waitingForRoomSinceUs != Long.MAX_VALUE
                && clock.nowUs() - waitingForRoomSinceUs > Limits.MAX_BACKLOG_AGE_US) {
            waitingForRoomSinceUs = Long.MAX_VALUE;
            server.inputAdmission().remove(this);
            backlog.clear();
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else if (isWaitingToParse
                && canParse()
                && !backlog.isEmpty()
                && clock.nowUs() - Math.max(parsableSinceUs, backlog.oldestArrivalUs()) > Limits.MAX_BACKLOG_AGE_US) {
            backlog.clear();
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    private void closeIfWaitingLongerThan(long ms, CloseReason reason) {
        if (isWaitingLongerThan(ms)) {
            close(reason);
        }
    }

    /** Rejects a request that has been received in part, as its rest would come too late. */
    void rejectPartialRequest() {
        if (hasPartialRequest()) {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Returns the position of this connection in the order in which connections were accepted, from 1. */
    long number() {
        return number;
    }

    /** Returns whether a request has been received in part and nothing else keeps the connection busy. */
    boolean hasPartialRequest() {
        return isReceivingRequest && !isBusy && queue.isEmpty() && !discardsInput;
    }

    /** Returns whether nothing has arrived that is not answered, so that the connection may be closed. */
    boolean isUnused() {
        return !isReceivingRequest
                && hasNoUnreadInput()
                && !(isLingering() && !isWaitingLongerThan(Limits.MIN_LINGER_MS));
    }

    /** Returns whether a request was answered that had not arrived completely, so that its rest may still come. */
    boolean isLingering() {
        return discardsInput && lingerTimer != null;
    }

    /** Returns since when the connection has been waiting for its client. */
    long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    /** Returns whether all input that has arrived is read and parsed. */
    boolean hasNoUnreadInput() {
        return backlog.isEmpty() && channel.hasNoUnreadInput();
    }

    /** Closes the connection for this reason, unless it is being closed for another one. */
    void close(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
            unsentBytesAtClose = unsentBytes();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        setReading(true);
        keepAlive = false;
        discardsInput = true;
        clearQueue();
        discardPartialRequest();
        incoming.close();
        backlog.clear();
        if (stream != null) {
            stream.onClientLeft();
            stream = null;
        }
        if (lingerTimer != null) {
            lingerTimer.cancel(false);
        }
        server.onClosed(this, describeClose());
        if (openRequest != null) {
            engine.clientDisconnected(openRequest);
        }
    }

    private ClientClose describeClose() {
        long waitingMs = TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime() - waitingSinceNanos);
        CloseReason reason = closeReason == null ? CloseReason.BY_CLIENT : closeReason;
        return new ClientClose(reason, unsentBytesAtClose, waitingMs, networkError == null ? "" : networkError);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            networkError = cause.toString();
            close(CloseReason.NETWORK_ERROR);
            return;
        }
        log.error("connection to a client", cause);
        if (discardsInput || !channel.isActive()) {
            close(CloseReason.ERROR);
        } else {
            // A request that has begun to arrive is owed an answer, and so are those before it.
            rejectInput(HttpResponseStatus.INTERNAL_SERVER_ERROR);
        }
    }
}
