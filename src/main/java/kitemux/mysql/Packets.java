package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Puts payloads into packets. */
final class Packets {
    private Packets() {}

    /** How many packets a payload of so many bytes takes. */
    static int packetCount(int payloadBytes) {
        return payloadBytes / PacketDecoder.MAX_PAYLOAD_BYTES + 1;
    }

    /**
     * Writes a payload as one packet, or as several where it is longer than 16 MiB - 1.
     *
     * @param payload released here
     * @param sequence number of the first
     * @return the packets in one buffer, which the caller owns
     */
    static ByteBuf write(ByteBufAllocator allocator, ByteBuf payload, int sequence) {
        try {
            int packetCount = packetCount(payload.readableBytes());
            ByteBuf out = allocator.buffer(payload.readableBytes() + packetCount * PacketDecoder.HEADER_BYTES);
            for (int i = 0; i < packetCount; i++) {
                // The last may be empty: one that is full says that another follows.
                int length = Math.min(payload.readableBytes(), PacketDecoder.MAX_PAYLOAD_BYTES);
                out.writeMediumLE(length).writeByte(sequence + i).writeBytes(payload, length);
            }
            return out;
        } finally {
            payload.release();
        }
    }
}
