package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import kitemux.net.BoundedReadBuffers;

/**
 * Decodes servers' responses and rejects those that are ambiguous. Netty's decoder is lenient: it accepts a
 * line without a colon as a header without a value, and a status code with a sign.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    /**
     * Creates a decoder.
     *
     * @param readBuffers allocates the buffers in which the rest of one read and the next one are joined
     */
    StrictResponseDecoder(BoundedReadBuffers readBuffers) {
        super(new HttpDecoderConfig()
                .setHeadersFactory(KeptHeaders.forResponses())
                .setTrailersFactory(KeptHeaders.forTrailers()));
        setCumulator((allocator, kept, next) -> join(readBuffers, allocator, kept, next));
    }

    /**
     * Joins what is left of one read with the next one in a buffer of exactly their size. Netty's own cumulator lets the
     * buffer of the first read grow to twice the size and keeps it.
     */
    private static ByteBuf join(
            BoundedReadBuffers readBuffers, ByteBufAllocator allocator, ByteBuf kept, ByteBuf next) {
        if (!kept.isReadable()) {
            kept.release();
            return next;
        }
        if (kept == next) {
            next.release();
            return kept;
        }
        try {
            ByteBuf joined = readBuffers.allocate(allocator, kept.readableBytes() + next.readableBytes());
            return joined.writeBytes(kept).writeBytes(next);
        } finally {
            kept.release();
            next.release();
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (status.length() != 3 || !status.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("invalid status code: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /**
     * Returns false, since a node never requests a protocol upgrade: a 101 response is treated like any other
     * interim response.
     */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }
}
