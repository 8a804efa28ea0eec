package kitemux.mysql;

import io.netty.buffer.ByteBuf;

/**
 * OK_Packet of protocol 4.1; with {@code CLIENT_DEPRECATE_EOF} also what ends rows, with another header.
 *
 * @param affectedRows rows changed, as an unsigned number
 * @param lastInsertId as an unsigned number
 * @param status SERVER_STATUS flags
 * @param warnings how many
 * @param info for people
 * @param sessionState changes of the session's state as the server wrote them, or null where it wrote none
 */
record OkPacket(long affectedRows, long lastInsertId, int status, int warnings, String info, byte[] sessionState) {
    static final int HEADER = 0x00;
    /** Of one that ends rows, and of an EOF_Packet. */
    static final int RESULT_END_HEADER = 0xfe;
    /** EOF_Packets are shorter; a row that begins with the same byte is longer. */
    static final int RESULT_END_BOUND_BYTES = 0xffffff;

    static final int IN_TRANSACTION = 1;
    static final int AUTOCOMMIT = 1 << 1;
    static final int MORE_RESULTS = 1 << 3;
    static final int SESSION_STATE_CHANGED = 1 << 14;

    /** Reads one whose header byte is read. */
    static OkPacket read(ByteBuf in, long capabilities) {
        long rows = Fields.lenenc(in, "the changed rows");
        long id = Fields.lenenc(in, "the last insert's id");
        int status = Fields.int2(in, "the status");
        int warnings = Fields.int2(in, "the warnings");
        if (!Capabilities.has(capabilities, Capabilities.SESSION_TRACK)) {
            return new OkPacket(rows, id, status, warnings, Fields.remainingText(in), null);
        }
        // Servers leave both out where there is nothing to say.
        String info = in.isReadable() ? Fields.lenencText(in, "the info") : "";
        byte[] state = (status & SESSION_STATE_CHANGED) == 0 ? null : Fields.lenencBytes(in, "the session's state");
        return new OkPacket(rows, id, status, warnings, info, state);
    }

    void write(ByteBuf out, int header, long capabilities) {
        out.writeByte(header);
        Fields.putLenenc(out, affectedRows);
        Fields.putLenenc(out, lastInsertId);
        boolean tracks = Capabilities.has(capabilities, Capabilities.SESSION_TRACK);
        boolean changed = tracks && sessionState != null;
        out.writeShortLE(changed ? status | SESSION_STATE_CHANGED : status & ~SESSION_STATE_CHANGED)
                .writeShortLE(warnings);
        if (!tracks) {
            out.writeCharSequence(info, java.nio.charset.StandardCharsets.UTF_8);
        } else if (changed || !info.isEmpty()) {
            Fields.putLenencText(out, info);
            if (changed) {
                Fields.putLenencBytes(out, sessionState);
            }
        }
    }
}
