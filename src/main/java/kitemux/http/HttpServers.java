package kitemux.http;

import java.io.IOException;

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

import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import kitemux.engine.Log;
import kitemux.engine.Time;
import kitemux.engine.Transport.Exchange;
import kitemux.net.ServerPool;

/** HTTP/1.1 towards servers: how an exchange is written, and what their answers say. */
public final class HttpServers implements ServerPool.Protocol<ClientRequest, byte[]> {
    private final Time clock;
    private final Settings settings;
    private final ByteBufAllocator allocator;
    private final Log log;
    /** How much of answers has come that have not ended yet. */
    private int answersBytes;

    /** For the classes of these settings. */
    public HttpServers(Time clock, Settings settings, ByteBufAllocator allocator, Log log) {
        this.clock = clock;
        this.settings = settings;
        this.allocator = allocator;
        this.log = log;
    }

    @Override
    public void prepare(ChannelPipeline pipeline) {
        pipeline.addLast(new AnswerDecoder(), new HttpRequestEncoder());
    }

    @Override
    public ServerPool.Link<ClientRequest, byte[]> link() {
        return new Connection();
    }

    @Override
    public ClientRequest probe() {
        return ClientRequest.PROBE;
    }

    /** As late as a connection is there to carry it: it says how long the node will wait. */
    private FullHttpRequest message(Exchange<ClientRequest, byte[]> exchange) {
        ClientRequest request = exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                request.uri(), Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, "backend.local");
        if (request.txn() != null) {
            message.headers().set("X-Txn", request.txn())
                    .set("X-Lane", settings.classes.get(request.classIndex()).name())
                    .set("X-Remaining", Math.max(1, exchange.untilUs() - clock.nowUs()) + "u");
        }
        if (request.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        if (!request.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    // ---------------------------------------------------------------- a connection

    private final class Connection extends ServerPool.Link<ClientRequest, byte[]> {
        private HttpResponse head;
        private ByteBuf body;
        private boolean answered;

        @Override
        protected void opened() {
            free();
        }

        @Override
        protected Object message(Exchange<ClientRequest, byte[]> next) {
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
            if (message instanceof HttpResponse response) {
                head = response;
                dropBody();
                // A length that is past all bounds spoils the answer before any of it has come.
                long length = HttpUtil.getContentLength(response, 256L);
                if (length > Limits.MOST_ANSWER) {
                    fail();
                    return;
                }
                body = allocator.buffer((int) Math.min(length, Limits.FIRST_ROOM));
                // Where only the end of the connection ends a body, one cut short would pass for whole.
                if (response.status().code() == 200 && !HttpUtil.isContentLengthSet(response)
                        && !HttpUtil.isTransferEncodingChunked(response)) {
                    fail();
                    return;
                }
            }
            if (message instanceof HttpContent content) {
                int more = content.content().readableBytes();
                if (body.readableBytes() + more > Limits.MOST_ANSWER
                        || answersBytes + more > Limits.MOST_ANSWERS) {
                    fail();
                    return;
                }
                answersBytes += more;
                body.writeBytes(content.content());
            }
            if (message instanceof LastHttpContent
                    && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                answered();
            }
        }

        private void answered() {
            byte[] bytes = ByteBufUtil.getBytes(body);
            int status = head.status().code();
            Result result = status == 200 ? Result.OK
                    : (status == 503 || status == 504) && "1".equals(head.headers().get("X-Turned-Away"))
                    ? Result.FULL : Result.ERROR;
            answered = isWritten() && HttpUtil.isKeepAlive(head);
            if (!answered) {
                channel().close();
            }
            letGo();
            end(result, result == Result.OK ? bytes : null);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            // Not before all that came is read: what came behind the answer must not answer the next.
            if (answered && exchange() == null) {
                answered = false;
                free();
            }
        }

        /** The answer cannot be used, nor anything behind it. */
        private void fail() {
            answered = false;
            close();
            letGo();
            end(Result.RESET, null);
        }

        private void dropBody() {
            if (body != null) {
                answersBytes -= body.readableBytes();
                body.release();
                body = null;
            }
        }

        @Override
        protected void letGo() {
            head = null;
            dropBody();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("connection to server " + serverId(), cause);
            }
            close();
        }
    }
}
