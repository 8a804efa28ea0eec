package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Encodes payloads as packets. */
final class Packets {
    private Packets() {}

    /** Number of packets that a payload of this length takes. */
    static int packetCount(int payloadBytes) {
        return payloadBytes / PacketDecoder.MAX_PAYLOAD_BYTES + 1;
    }

    /**
     * Writes a payload as one packet, or as several if it has 16 MiB - 1 or more.
     *
     * @param payload released here
     * @param sequence number of the first packet
     * @return the packets in one buffer, owned by the caller
     */
    static ByteBuf write(ByteBufAllocator allocator, ByteBuf payload, int sequence) {
        try {
            int packetCount = packetCount(payload.readableBytes());
            ByteBuf out = allocator.buffer(payload.readableBytes() + packetCount * PacketDecoder.HEADER_BYTES);
            for (int i = 0; i < packetCount; i++) {
                // A full packet is always followed by another one, which may be empty.
                int length = Math.min(payload.readableBytes(), PacketDecoder.MAX_PAYLOAD_BYTES);
                out.writeMediumLE(length).writeByte(sequence + i).writeBytes(payload, length);
            }
            return out;
        } finally {
            payload.release();
        }
    }
}
