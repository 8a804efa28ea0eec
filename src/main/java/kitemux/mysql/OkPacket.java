package kitemux.mysql;

import io.netty.buffer.ByteBuf;

/**
 * OK_Packet of protocol 4.1; with {@code CLIENT_DEPRECATE_EOF} it also ends the rows of a result set, under
 * another header.
 *
 * @param affectedRows number of changed rows, unsigned
 * @param lastInsertId last generated identifier, unsigned
 * @param status SERVER_STATUS flags
 * @param warnings number of warnings
 * @param info human-readable text
 * @param sessionState changes of the session state as the server wrote them, or null if there are none
 */
record OkPacket(long affectedRows, long lastInsertId, int status, int warnings, String info, byte[] sessionState) {
    static final int HEADER = 0x00;
    /** Header of an OK packet that ends rows, and of an EOF_Packet. */
    static final int RESULT_END_HEADER = 0xfe;
    /**
     * Packets with that header that are shorter than this end the rows; a row that begins with the same byte is
     * longer.
     */
    static final int RESULT_END_BOUND_BYTES = 0xffffff;

    static final int IN_TRANSACTION = 1;
    static final int AUTOCOMMIT = 1 << 1;
    static final int MORE_RESULTS = 1 << 3;
    static final int SESSION_STATE_CHANGED = 1 << 14;

    /** Reads a packet whose header byte has been read. */
    static OkPacket read(ByteBuf in, long capabilities) {
        long rows = Fields.lenenc(in, "the affected row count");
        long id = Fields.lenenc(in, "the last insert id");
        int status = Fields.int2(in, "the status");
        int warnings = Fields.int2(in, "the warnings");
        if (!Capabilities.has(capabilities, Capabilities.SESSION_TRACK)) {
            return new OkPacket(rows, id, status, warnings, Fields.remainingText(in), null);
        }
        // Servers omit both if there is nothing to report.
        String info = in.isReadable() ? Fields.lenencText(in, "the info") : "";
        byte[] state = (status & SESSION_STATE_CHANGED) == 0 ? null : Fields.lenencBytes(in, "the session state");
        return new OkPacket(rows, id, status, warnings, info, state);
    }

    /** Writes the payload with this header byte. */
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
