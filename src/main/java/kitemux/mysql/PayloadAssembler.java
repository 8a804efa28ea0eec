package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import kitemux.mysql.PacketDecoder.Part;

/** Puts the parts of a payload together that must be read as a whole, up to a bound. */
final class PayloadAssembler implements AutoCloseable {
    private final ByteBufAllocator allocator;
    private final int maxBytes;
    private ByteBuf payload;

    /**
     * One that holds nothing.
     *
     * @param most bytes of a payload that are taken; guards memory against one that never ends
     */
    PayloadAssembler(ByteBufAllocator allocator, int maxBytes) {
        this.allocator = allocator;
        this.maxBytes = maxBytes;
    }

    /**
     * Takes a part over.
     *
     * @return the whole payload, which the caller owns, or null if more is to come
     * @throws ProtocolException if it is longer than what is taken; what was held is let go
     */
    ByteBuf add(Part part) {
        try {
            if (payload == null) {
                payload = allocator.buffer(Math.min(maxBytes, part.bytes().readableBytes()));
            }
            if (payload.readableBytes() + part.bytes().readableBytes() > maxBytes) {
                close();
                throw new ProtocolException(
                        ProtocolException.Kind.TOO_LARGE, "a packet has more than " + maxBytes + " bytes");
            }
            payload.writeBytes(part.bytes());
        } finally {
            part.bytes().release();
        }
        if (!part.last()) {
            return null;
        }
        ByteBuf whole = payload;
        payload = null;
        return whole;
    }

    @Override
    public void close() {
        if (payload != null) {
            payload.release();
            payload = null;
        }
    }
}
