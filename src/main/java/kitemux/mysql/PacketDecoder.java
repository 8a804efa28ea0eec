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
    static final int HEADER = 4;
    /** Longest payload of one packet on the wire; one that has it goes on in the next. */
    static final int MOST_PAYLOAD = 0xffffff;

    /**
     * Some bytes of a payload.
     *
     * @param first whether they are its first
     * @param last whether they are its last
     * @param wire where they are the first of a packet on the wire, its length; else -1
     * @param sequence that packet's number
     * @param bytes owned by whoever gets the part; may be none
     */
    record Part(boolean first, boolean last, int wire, int sequence, ByteBuf bytes) {}

    private int expected;
    private int left;
    private boolean inPacket;
    private boolean goesOn;
    private boolean first = true;
    private int wire = -1;
    private int sequence;

    /** The next packet is the first of an exchange, or numbered so. */
    void expect(int sequence) {
        expected = sequence & 0xff;
    }

    /** The number that the next packet should have, from either side. */
    int expected() {
        return expected;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (!inPacket) {
            if (in.readableBytes() < HEADER) {
                return;
            }
            left = in.readUnsignedMediumLE();
            wire = left;
            sequence = in.readUnsignedByte();
            if (sequence != expected) {
                throw new ProtocolException(
                        ProtocolException.Kind.OUT_OF_ORDER,
                        "packet " + sequence + " came where " + expected + " was due");
            }
            expected = sequence + 1 & 0xff;
            goesOn = left == MOST_PAYLOAD;
            inPacket = true;
        }
        int now = Math.min(left, in.readableBytes());
        if (now == 0 && left > 0) {
            return;
        }
        left -= now;
        inPacket = left > 0;
        boolean last = !inPacket && !goesOn;
        out.add(new Part(first, last, wire, sequence, in.readRetainedSlice(now)));
        first = last;
        wire = -1;
    }
}
