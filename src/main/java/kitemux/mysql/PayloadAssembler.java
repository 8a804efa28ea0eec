package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import kitemux.mysql.PacketDecoder.Part;

/** Assembles the parts of a payload that must be read as a whole, up to a maximum length. */
final class PayloadAssembler implements AutoCloseable {
    private final ByteBufAllocator allocator;
    private final int maxBytes;
    private ByteBuf payload;

    /**
     * Creates an empty assembler.
     *
     * @param allocator of the buffer
     * @param maxBytes maximum length of a payload; protects memory against endless payloads
     */
    PayloadAssembler(ByteBufAllocator allocator, int maxBytes) {
        this.allocator = allocator;
        this.maxBytes = maxBytes;
    }

    /**
     * Adds a part and releases it.
     *
     * @return the whole payload, owned by the caller, or null if more parts follow
     * @throws ProtocolException if the payload exceeds the maximum length; the buffered bytes are released
     */
    ByteBuf add(Part part) {
        try {
            if (payload == null) {
                payload = allocator.buffer(Math.min(maxBytes, part.bytes().readableBytes()));
            }
            if (payload.readableBytes() + part.bytes().readableBytes() > maxBytes) {
                close();
                throw new ProtocolException(
                        ProtocolException.Kind.TOO_LARGE, "packet exceeds the limit of " + maxBytes + " bytes");
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
