package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.engine.Transport.Exchange;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;

/** HTTP/1.1 towards servers: how an exchange is written, and what their answers say. */
public final class HttpServers implements ServerPool.Protocol<ClientRequest, ServerResponse> {
    private final Clock clock;
    private final Settings settings;
    private final ByteBufAllocator allocator;
    private final Log log;
    /** How much of answers has come that have not ended yet. */
    private int answersBytes;

    /** For the classes of these settings. */
    public HttpServers(Clock clock, Settings settings, ByteBufAllocator allocator, Log log) {
        this.clock = clock;
        this.settings = settings;
        this.allocator = allocator;
        this.log = log;
    }

    @Override
    public void initPipeline(ChannelPipeline pipeline) {
        pipeline.addLast(new StrictResponseDecoder(), new HttpRequestEncoder());
    }

    @Override
    public ServerPool.ServerConnection<ClientRequest, ServerResponse> newConnection() {
        return new Connection();
    }

    @Override
    public ClientRequest probeRequest() {
        return ClientRequest.PROBE;
    }

    /** As late as a connection is there to carry it: it says how long the node will wait. */
    private FullHttpRequest message(Exchange<ClientRequest, ServerResponse> exchange) {
        ClientRequest request = exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body().toArray(byte[][]::new)));
        message.headers().set(HttpHeaderNames.HOST, "backend.local");
        if (request.txn() != null) {
            message.headers()
                    .set("X-Txn", request.txn())
                    .set("X-Lane", settings.classes.get(request.classIndex()).name())
                    .set("X-Remaining", Math.max(1, exchange.expiresAtUs() - clock.nowUs()) + "u");
        }
        if (request.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        if (!request.method().equals(HttpMethod.GET)) {
            message.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
        return message;
    }

    // ---------------------------------------------------------------- a connection

    private final class Connection extends ServerPool.ServerConnection<ClientRequest, ServerResponse> {
        private HttpResponse head;
        /** What has come of an answer that is gathered; null before one, and while one is passed on. */
        private ByteBuf body;
        /** An answer that is passed on as it comes, or null. */
        private ServerResponse passing;

        private boolean reading = true;
        private long readAtUs;
        /** Bytes of an answer that have been passed on, and when the first were. */
        private long passed;

        private long passingSinceUs;
        private boolean answered;
        /** The other side broke it off: its end is not that of an answer. */
        private boolean broken;

        @Override
        protected void onConnected() {
            markAvailable();
        }

        @Override
        protected Object createMessage(Exchange<ClientRequest, ServerResponse> next) {
            return HttpServers.this.message(next);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                read((HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(HttpObject message) {
            if (exchange() == null || message.decoderResult().isFailure()) {
                // Unasked for, or not to be read: what follows cannot be told apart from an answer.
                fail();
                return;
            }
            readAtUs = clock.nowUs();
            if (message instanceof HttpResponse response) {
                head = response;
                dropBody();
                // A length that is past all bounds spoils the answer before any of it has come.
                if (HttpUtil.getContentLength(response, 0L) > Limits.MAX_RESPONSE_BYTES) {
                    fail();
                    return;
                }
                body = allocator.buffer(
                        (int) Math.min(HttpUtil.getContentLength(response, 256L), Limits.MAX_INITIAL_BUFFER_BYTES));
            }
            if (message instanceof HttpContent content && !gather(content.content())) {
                return;
            }
            if (message instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                if ((broken || isClosedLocally()) && isEndedByClose()) {
                    // The decoder takes any end of the connection for the answer's.
                    fail();
                    return;
                }
                answered();
            }
        }

        /** False if the answer has come to its end here. */
        private boolean gather(ByteBuf more) {
            if (passing != null) {
                passed += more.readableBytes();
                if (passed > Limits.MAX_RESPONSE_BYTES) {
                    fail();
                    return false;
                }
                passing.deliver(more.retain());
                return exchange() != null;
            }
            int bytes = more.readableBytes();
            if (head.status().code() != 200
                    ? body.readableBytes() + bytes > Limits.MAX_ERROR_BODY_BYTES
                    : answersBytes + bytes > Limits.MAX_TOTAL_BUFFERED_RESPONSE_BYTES) {
                fail();
                return false;
            }
            answersBytes += bytes;
            body.writeBytes(more);
            if (head.status().code() == 200
                    && Math.max(body.readableBytes(), HttpUtil.getContentLength(head, 0L))
                            > Limits.MAX_BUFFERED_RESPONSE_BYTES) {
                return passOn();
            }
            return true;
        }

        /** Too long to be held: it goes on as it comes, and can be tried nowhere else from here on. */
        private boolean passOn() {
            ServerResponse begins = ServerResponse.streaming(HttpUtil.getContentLength(head, -1L), this::setReading);
            if (!startResponse(begins)) {
                releaseResponse();
                return false;
            }
            passing = begins;
            passingSinceUs = clock.nowUs();
            answersBytes -= body.readableBytes();
            ByteBuf first = body;
            body = null;
            passed = first.readableBytes();
            passing.deliver(first);
            return exchange() != null;
        }

        private void setReading(boolean on) {
            if (reading != on) {
                reading = on;
                readAtUs = clock.nowUs();
                channel().config().setAutoRead(on);
            }
        }

        @Override
        protected boolean isStalled() {
            if (passing == null) {
                return false;
            }
            // What has come since the loop last looked may lie unread: a loop that stood still stalls nobody.
            long lookedUs = clock.nowUs() - clock.readLagUs();
            long deadlineUs = exchange().deadlineUs();
            boolean silent = lookedUs - readAtUs > Limits.STALL_TIMEOUT_US
                    || readAtUs <= deadlineUs && lookedUs - deadlineUs > Limits.DEADLINE_GRACE_US;
            return reading && silent || lookedUs - passingSinceUs > Limits.MAX_STREAMING_US;
        }

        /** Whether nothing but the end of the connection ends the body (RFC 9112, 6.3). */
        private boolean isEndedByClose() {
            return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
        }

        private void answered() {
            byte[] bytes = passing != null ? null : ByteBufUtil.getBytes(body);
            int status = head.status().code();
            Result result = status == 200
                    ? Result.OK
                    : (status == 503 || status == 504)
                                    && "1".equals(head.headers().get("X-Turned-Away"))
                            ? Result.FULL
                            : Result.ERROR;
            answered = isRequestWritten() && HttpUtil.isKeepAlive(head) && !isEndedByClose();
            if (!answered) {
                channel().close();
            }
            releaseResponse();
            completeExchange(result, result == Result.OK && bytes != null ? ServerResponse.buffered(bytes) : null);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Not before all that came is read: what came behind the answer must not answer the next.
            if (answered && exchange() == null) {
                answered = false;
                markAvailable();
            }
        }

        /** The answer cannot be used, nor anything behind it. */
        private void fail() {
            answered = false;
            close();
            releaseResponse();
            completeExchange(Result.RESET, null);
        }

        private void dropBody() {
            if (body != null) {
                answersBytes -= body.readableBytes();
                body.release();
                body = null;
            }
        }

        @Override
        protected void releaseResponse() {
            head = null;
            passing = null;
            dropBody();
            setReading(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            broken = true;
            if (!(cause instanceof IOException)) {
                log.error("connection to server " + serverId(), cause);
            }
            close();
        }
    }
}
