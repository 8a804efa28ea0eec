package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * ERR_Packet of protocol 4.1.
 *
 * @param code error number, 0 to 65,535
 * @param sqlState five letters and digits; "HY000" if the packet has none, as before the login
 * @param message human-readable text
 */
public record ErrPacket(int code, String sqlState, String message) {
    static final int HEADER = 0xff;
    private static final int SQL_STATE_LENGTH = 5;

    /** Reads a packet whose header byte has been read. */
    static ErrPacket read(ByteBuf in) {
        int code = Fields.int2(in, "the error number");
        String state = "HY000";
        if (in.isReadable() && in.getByte(in.readerIndex()) == '#') {
            in.skipBytes(1);
            state = new String(Fields.bytes(in, SQL_STATE_LENGTH, "the SQL state"), StandardCharsets.US_ASCII);
        }
        return new ErrPacket(code, state, Fields.remainingText(in));
    }

    /** Writes the payload with its header byte. */
    void write(ByteBuf out) {
        out.writeByte(HEADER).writeShortLE(code).writeByte('#');
        out.writeCharSequence(sqlState, StandardCharsets.US_ASCII);
        out.writeCharSequence(message, StandardCharsets.UTF_8);
    }
}
