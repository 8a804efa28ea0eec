package kitemux.mysql;

import io.netty.handler.codec.DecoderException;

/**
 * Received data is invalid or not allowed. The connection ends with the error that this exception describes.
 */
public final class ProtocolException extends DecoderException {
    private static final long serialVersionUID = 1L;

    /** Kind of error, with its code in the protocol. */
    public enum Kind {
        /** The packet is malformed. */
        MALFORMED(1835, "HY000"),
        /** The packet has an unexpected sequence number (ER_NET_PACKETS_OUT_OF_ORDER). */
        OUT_OF_ORDER(1156, "08S01"),
        /** The packet exceeds the accepted length (ER_NET_PACKET_TOO_LARGE). */
        TOO_LARGE(1153, "08S01"),
        /** The command is not supported (ER_UNKNOWN_COM_ERROR). */
        UNSUPPORTED_COMMAND(1047, "08S01");

        /** Error number in the protocol. */
        public final int code;
        /** SQL state in the protocol. */
        public final String sqlState;

        Kind(int code, String sqlState) {
            this.code = code;
            this.sqlState = sqlState;
        }
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind kind of error
     * @param reason message for the other side
     */
    public ProtocolException(Kind kind, String reason) {
        super(reason);
        this.kind = kind;
    }

    /** Returns the kind of error. */
    public Kind kind() {
        return kind;
    }

    /** Returns the error packet for the other side. */
    public ErrPacket toErrPacket() {
        return new ErrPacket(kind.code, kind.sqlState, getMessage());
    }
}
