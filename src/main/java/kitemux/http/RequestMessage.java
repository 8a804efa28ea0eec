package kitemux.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.stream.ChunkedInput;
import java.util.Iterator;
import java.util.List;

/**
 * A request with a long body, which is written to a server part by part as the connection takes it. Written at once, the
 * JDK would copy several MB of the body into direct memory for one system call, and keep that memory for later calls.
 */
final class RequestMessage implements ChunkedInput<HttpObject> {
    private final HttpRequest head;
    private final Iterator<byte[]> parts;
    private final long bodyBytes;
    private long writtenBytes;
    private boolean isHeadWritten;
    private boolean isEndWritten;

    /** Creates the message; the head must state the length of the body. */
    RequestMessage(HttpRequest head, List<byte[]> body) {
        this.head = head;
        parts = body.iterator();
        bodyBytes = body.stream().mapToLong(part -> part.length).sum();
    }

    @Override
    public boolean isEndOfInput() {
        return isEndWritten;
    }

    @Override
    public HttpObject readChunk(ByteBufAllocator allocator) {
        if (!isHeadWritten) {
            isHeadWritten = true;
            return head;
        }
        if (parts.hasNext()) {
            byte[] part = parts.next();
            writtenBytes += part.length;
            return new DefaultHttpContent(Unpooled.wrappedBuffer(part));
        }
        isEndWritten = true;
        return LastHttpContent.EMPTY_LAST_CONTENT;
    }

    @Override
    @Deprecated
    public HttpObject readChunk(ChannelHandlerContext context) {
        return readChunk(context.alloc());
    }

    @Override
    public long length() {
        return bodyBytes;
    }

    @Override
    public long progress() {
        return writtenBytes;
    }

    @Override
    public void close() {
        // The body belongs to the request, which may be sent again.
    }
}
