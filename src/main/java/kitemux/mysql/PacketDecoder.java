package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Splits the received bytes into parts of payloads ("MySQL Packets") as they arrive; a packet of any length
 * takes only the memory of a single read. A payload of 16 MiB - 1 or more spans several packets on the wire and
 * is presented as one payload here. Sequence numbers are verified.
 */
final class PacketDecoder extends ByteToMessageDecoder {
    static final int HEADER_BYTES = 4;
    /** Longest payload of a single packet; a payload of this length continues in the next packet. */
    static final int MAX_PAYLOAD_BYTES = 0xffffff;

    /**
     * Some bytes of a payload.
     *
     * @param first whether these are the first bytes of the payload
     * @param last whether these are the last bytes of the payload
     * @param packetLength if these are the first bytes of a packet, the length of that packet; otherwise -1
     * @param sequence number of that packet
     * @param bytes owned by the receiver; may be empty
     */
    record Part(boolean first, boolean last, int packetLength, int sequence, ByteBuf bytes) {}

    private int expectedSequence;
    private int remainingBytes;
    private boolean inPacket;
    private boolean continues;
    private boolean first = true;
    private int packetLength = -1;
    private int sequence;

    /** Sets the expected sequence number of the next packet. */
    void expectSequence(int sequence) {
        expectedSequence = sequence & 0xff;
    }

    /** Sequence number that the next packet from either side should have. */
    int expectedSequence() {
        return expectedSequence;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (!inPacket) {
            if (in.readableBytes() < HEADER_BYTES) {
                return;
            }
            remainingBytes = in.readUnsignedMediumLE();
            packetLength = remainingBytes;
            sequence = in.readUnsignedByte();
            if (sequence != expectedSequence) {
                throw new ProtocolException(
                        ProtocolException.Kind.OUT_OF_ORDER,
                        "unexpected packet sequence: got " + sequence + " where " + expectedSequence + " was expected");
            }
            expectedSequence = sequence + 1 & 0xff;
            continues = remainingBytes == MAX_PAYLOAD_BYTES;
            inPacket = true;
        }
        int availableBytes = Math.min(remainingBytes, in.readableBytes());
        if (availableBytes == 0 && remainingBytes > 0) {
            return;
        }
        remainingBytes -= availableBytes;
        inPacket = remainingBytes > 0;
        boolean last = !inPacket && !continues;
        out.add(new Part(first, last, packetLength, sequence, in.readRetainedSlice(availableBytes)));
        first = last;
        packetLength = -1;
    }
}
