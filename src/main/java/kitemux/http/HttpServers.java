package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import kitemux.engine.Clock;
import kitemux.engine.ConnectionLoss;
import kitemux.engine.Log;
import kitemux.engine.Transport.Exchange;
import kitemux.net.BoundedReadBuffers;
import kitemux.net.ByteBudget;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;

/** The HTTP/1.1 protocol towards servers: encodes requests and interprets responses. */
public final class HttpServers implements ServerPool.Protocol<ClientRequest, ServerResponse> {
    private final Clock clock;
    private final Settings settings;
    private final ByteBufAllocator allocator;
    private final Log log;
    private final BoundedReadBuffers readBuffers = new BoundedReadBuffers();
    /** Holds the size of the responses that are buffered, and of those that wait for their clients. */
    private final ByteBudget responses;

    /**
     * Creates the protocol for the classes of these settings.
     *
     * @param responses what all responses on the heap may hold together; once it is used up they are streamed, however
     *     short they are
     */
    public HttpServers(Clock clock, Settings settings, ByteBufAllocator allocator, ByteBudget responses, Log log) {
        this.responses = responses;
        this.clock = clock;
        this.settings = settings;
        this.allocator = allocator;
        this.log = log;
    }

    @Override
    public void initPipeline(ChannelPipeline pipeline) {
        pipeline.addLast(new StrictResponseDecoder(readBuffers), new RequestEncoder(), new ChunkedWriteHandler());
    }

    @Override
    public ServerPool.ServerConnection<ClientRequest, ServerResponse> newConnection() {
        return new Connection();
    }

    @Override
    public ClientRequest probeRequest() {
        return ClientRequest.PROBE;
    }

    /**
     * Creates the request once a connection is available to send it, since it states how long the node will
     * wait.
     */
    private Object createRequest(Exchange<ClientRequest, ServerResponse> exchange) {
        ClientRequest request = exchange.request();
        long remainingUs = Math.max(1, exchange.expiresAtUs() - clock.nowUs());
        return request.body().size() <= 1
                ? createMessage(request, remainingUs)
                : new RequestMessage(createHead(request, remainingUs), request.body());
    }

    /**
     * Creates the message for a request. A body always has its length, whatever the method: a server would take
     * the bytes of an undeclared one for the next request.
     *
     * @param remainingUs how long the node will wait, in microseconds
     */
    FullHttpRequest createMessage(ClientRequest request, long remainingUs) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body().toArray(byte[][]::new)));
        setHeaders(message.headers(), request, remainingUs);
        return message;
    }

    /** Creates the head of a request whose body follows in parts. */
    private HttpRequest createHead(ClientRequest request, long remainingUs) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        setHeaders(head.headers(), request, remainingUs);
        return head;
    }

    private void setHeaders(HttpHeaders headers, ClientRequest request, long remainingUs) {
        headers.set(HttpHeaderNames.HOST, "backend.local");
        if (request.txn() != null) {
            headers.set("X-Txn", request.txn())
                    .set("X-Lane", settings.classes.get(request.classIndex()).name())
                    .set("X-Remaining", remainingUs + "u");
        }
        if (request.idempotencyKey() != null) {
            headers.set("Idempotency-Key", request.idempotencyKey());
        }
        long bodyBytes = request.body().stream().mapToLong(part -> part.length).sum();
        if (bodyBytes > 0 || !request.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        }
    }

    // ---------------------------------------------------------------- connection

    /** A connection to a server, which carries one exchange at a time. */
    private final class Connection extends ServerPool.ServerConnection<ClientRequest, ServerResponse> {
        private HttpResponse head;
        /**
         * The received part of a response that is being buffered; null before a response, and while one is
         * streamed or reports an error.
         */
        private ByteBuf body;
        /** Number of bytes of an error response's body that have been discarded. */
        private int discardedErrorBytes;
        /** The response that is being streamed, or null. */
        private ServerResponse streamedResponse;

        /** Whether input is read from the server; false while the client does not keep up. */
        private boolean reading = true;

        private long lastReadUs;
        /** When the head of the response was read, in microseconds on the event loop's clock. */
        private long headReadUs;
        /** Number of bytes of the response that have been streamed. */
        private long streamedBytes;

        /** When streaming started, in microseconds on the event loop's clock. */
        private long streamingSinceUs;
        /** Whether the connection may carry another request once all input is read. */
        private boolean isReusable;
        /** Whether the connection failed, so that its end does not mark the end of a response. */
        private boolean isBroken;
        /** Why this node ended the connection; null if it did not. */
        private ConnectionLoss.Cause ownCause;
        /** The error that the system reported; null if there was none. */
        private String networkError;

        @Override
        protected void onConnected() {
            markAvailable();
        }

        @Override
        protected Object createMessage(Exchange<ClientRequest, ServerResponse> next) {
            return HttpServers.this.createRequest(next);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                readPart((HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void readPart(HttpObject message) {
            if (exchange() == null || message.decoderResult().isFailure()) {
                // Unsolicited or malformed: what follows cannot be distinguished from a response.
                fail();
                return;
            }
            if (message instanceof HttpResponse response) {
                head = response;
                headReadUs = clock.nowUs();
                releaseBody();
                // A response with an excessive Content-Length is rejected before any of its body has arrived.
                if (HttpUtil.getContentLength(response, 0L) > Limits.MAX_RESPONSE_BYTES) {
                    fail();
                    return;
                }
                discardedErrorBytes = 0;
                if (isSuccess()) {
                    body = allocator.heapBuffer(0);
                }
            }
            lastReadUs = clock.nowUs();
            if (message instanceof HttpContent content && !addContent(content.content())) {
                return;
            }
            if (message instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                if ((isBroken || isClosedLocally()) && isEndedByClose()) {
                    // The decoder takes any end of the connection for the end of the response.
                    fail();
                    return;
                }
                finishResponse();
            }
        }

        /**
         * Buffers or streams a part of the body.
         *
         * @return false if the exchange has ended
         */
        private boolean addContent(ByteBuf content) {
            if (streamedResponse != null) {
                streamedBytes += content.readableBytes();
                if (streamedBytes > Limits.MAX_RESPONSE_BYTES) {
                    fail();
                    return false;
                }
                streamedResponse.deliver(content.retain());
                return exchange() != null;
            }
            int bytes = content.readableBytes();
            if (!isSuccess()) {
                return discardErrorBytes(bytes);
            }
            long expectedBytes = Math.max(body.readableBytes() + bytes, HttpUtil.getContentLength(head, 0L));
            if (expectedBytes > Limits.MAX_BUFFERED_RESPONSE_BYTES || !growBody(body.readableBytes() + bytes)) {
                return startStreaming() && addContent(content);
            }
            body.writeBytes(content);
            return true;
        }

        /**
         * Grows the body's buffer to this size at least, for which memory is reserved first.
         *
         * @return false if there is no room
         */
        private boolean growBody(int neededBytes) {
            int additionalBytes =
                    Math.max(neededBytes, Math.min(2 * body.capacity(), Limits.MAX_BUFFERED_RESPONSE_BYTES))
                            - body.capacity();
            if (neededBytes <= body.capacity()) {
                return true;
            }
            if (!responses.tryReserve(additionalBytes)) {
                return false;
            }
            body.capacity(body.capacity() + additionalBytes);
            return true;
        }

        /**
         * Counts the bytes of an error response, whose body nobody gets.
         *
         * @return false if the exchange has ended
         */
        private boolean discardErrorBytes(int bytes) {
            discardedErrorBytes += bytes;
            if (discardedErrorBytes > Limits.MAX_ERROR_BODY_BYTES) {
                fail();
                return false;
            }
            return true;
        }

        private boolean isSuccess() {
            return head.status().code() == HttpResponseStatus.OK.code();
        }

        /**
         * Starts to stream a response that is too long to be buffered, or for which there is no room; the request cannot
         * be retried on another server from here on.
         *
         * @return false if the exchange has ended
         */
        private boolean startStreaming() {
            ServerResponse response = ServerResponse.streaming(HttpUtil.getContentLength(head, -1L), this::setReading);
            if (!startResponse(response)) {
                releaseResponse();
                return false;
            }
            streamedResponse = response;
            streamingSinceUs = clock.nowUs();
            streamedBytes = body.readableBytes();
            ByteBuf begun = body;
            responses.release(begun.capacity());
            body = null;
            if (streamedBytes > 0) {
                streamedResponse.deliver(begun);
            } else {
                begun.release();
            }
            return exchange() != null;
        }

        /**
         * Streams what has arrived of the body of a response that may be long; the server still gives it. The end of one
         * with a short length is what its deadline applies to. A head alone is nothing that the client could be given.
         */
        @Override
        protected boolean startPartialResponse() {
            boolean isShort = head != null && HttpUtil.isContentLengthSet(head) && !isLong();
            boolean hasBytes = body != null && body.isReadable();
            return hasBytes && streamedResponse == null && !isShort && startStreaming();
        }

        /** Returns whether the response is too long to be buffered, as far as is known. */
        private boolean isLong() {
            return Math.max(streamedBytes, HttpUtil.getContentLength(head, 0L)) > Limits.MAX_BUFFERED_RESPONSE_BYTES;
        }

        private void setReading(boolean enabled) {
            if (reading != enabled) {
                reading = enabled;
                lastReadUs = clock.nowUs();
                channel().config().setAutoRead(enabled);
            }
        }

        @Override
        protected boolean isStalled() {
            if (streamedResponse == null) {
                return false;
            }
            // Data that arrived since the event loop last polled may be unread: a stall of the loop is not a stall
            // of the server.
            ownCause = stallCause(clock.nowUs() - clock.readLagUs());
            return ownCause != null;
        }

        /** Returns why the response is ended at this time, or null if it goes on. */
        private ConnectionLoss.Cause stallCause(long lookedUs) {
            if (lookedUs - streamingSinceUs > Limits.MAX_STREAMING_US) {
                return ConnectionLoss.Cause.RESPONSE_TOO_LONG;
            }
            if (!reading) {
                return null;
            }
            if (lookedUs - lastReadUs > Limits.STALL_TIMEOUT_US) {
                return ConnectionLoss.Cause.SERVER_SILENT;
            }
            boolean isTooSlow = !isLong() && lookedUs > exchange().deadlineUs() && isTrickling(lookedUs);
            return isTooSlow ? ConnectionLoss.Cause.SERVER_TOO_SLOW : null;
        }

        /** Returns whether a response that may be short comes more slowly than any server sends a long one. */
        private boolean isTrickling(long lookedUs) {
            long paidUs = streamedBytes * 1_000 / Limits.MIN_BODY_RATE_BYTES_PER_MS;
            return lookedUs - headReadUs - Limits.STALL_TIMEOUT_US > paidUs;
        }

        /** Returns whether only the end of the connection marks the end of the body (RFC 9112, section 6.3). */
        private boolean isEndedByClose() {
            return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
        }

        private void finishResponse() {
            byte[] bytes = body == null ? null : ByteBufUtil.getBytes(body);
            int status = head.status().code();
            Result result = isSuccess()
                    ? Result.OK
                    : (status == 503 || status == 504)
                                    && "1".equals(head.headers().get("X-Turned-Away"))
                            ? Result.FULL
                            : Result.ERROR;
            isReusable = isRequestWritten() && HttpUtil.isKeepAlive(head) && !isEndedByClose();
            if (!isReusable) {
                channel().close();
            }
            releaseResponse();
            completeExchange(result, bytes == null ? null : ServerResponse.buffered(bytes));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Only after all input is read: bytes after the response must not be taken for the response to the
            // next request.
            if (isReusable && exchange() == null) {
                isReusable = false;
                markAvailable();
            }
        }

        /** Fails the exchange: neither the response nor anything after it can be used. */
        private void fail() {
            isReusable = false;
            if (!isClosedLocally() && !isBroken) {
                ownCause = ConnectionLoss.Cause.RESPONSE_MALFORMED;
            }
            close();
            reportLoss();
            releaseResponse();
            completeExchange(Result.RESET, null);
        }

        @Override
        protected ConnectionLoss describeLoss() {
            ConnectionLoss.Cause otherCause =
                    isBroken ? ConnectionLoss.Cause.NETWORK_ERROR : ConnectionLoss.Cause.ENDED_BY_SERVER;
            long bodyBytes = body == null ? streamedBytes : body.readableBytes();
            return new ConnectionLoss(
                    ownCause == null ? otherCause : ownCause, bodyBytes, networkError == null ? "" : networkError);
        }

        private void releaseBody() {
            if (body != null) {
                responses.release(body.capacity());
                body.release();
                body = null;
            }
        }

        @Override
        protected void releaseResponse() {
            head = null;
            streamedResponse = null;
            streamedBytes = 0;
            releaseBody();
            setReading(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            isBroken = true;
            networkError = cause.toString();
            if (!(cause instanceof IOException)) {
                log.error("connection to server " + serverId(), cause);
            }
            close();
        }
    }
}
