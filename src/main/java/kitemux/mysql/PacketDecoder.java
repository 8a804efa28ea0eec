package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Cuts what is read into parts of packets ("MySQL Packets"), as they come: a packet of any length passes in
 * memory for what one read brought. A payload that is longer than 16 MiB - 1 comes in several packets on the
 * wire and is one here. Sequence numbers are checked.
 */
final class PacketDecoder extends ByteToMessageDecoder {
    static final int HEADER_BYTES = 4;
    /** Longest payload of one packet on the wire; one that has it goes on in the next. */
    static final int MAX_PAYLOAD_BYTES = 0xffffff;

    /**
     * Some bytes of a payload.
     *
     * @param first whether they are its first
     * @param last whether they are its last
     * @param packetLength where they are the first of a packet on the wire, its length; else -1
     * @param sequence that packet's number
     * @param bytes owned by whoever gets the part; may be none
     */
    record Part(boolean first, boolean last, int packetLength, int sequence, ByteBuf bytes) {}

    private int expectedSequence;
    private int remainingBytes;
    private boolean inPacket;
    private boolean continues;
    private boolean first = true;
    private int packetLength = -1;
    private int sequence;

    /** The next packet is the first of an exchange, or numbered so. */
    void expectSequence(int sequence) {
        expectedSequence = sequence & 0xff;
    }

    /** The number that the next packet should have, from either side. */
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
                        "packet " + sequence + " came where " + expectedSequence + " was due");
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
