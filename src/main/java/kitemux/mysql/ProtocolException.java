package kitemux.mysql;

import io.netty.handler.codec.DecoderException;

/** What came cannot be read, or is not allowed: the connection ends with the error that this tells. */
public final class ProtocolException extends DecoderException {
    private static final long serialVersionUID = 1L;

    /** What it is called in the protocol. */
    public enum Kind {
        /** A packet that is no packet of its kind. */
        MALFORMED(1835, "HY000"),
        /** Packets that do not follow each other (ER_NET_PACKETS_OUT_OF_ORDER). */
        OUT_OF_ORDER(1156, "08S01"),
        /** A packet that is longer than what is taken (ER_NET_PACKET_TOO_LARGE). */
        TOO_LARGE(1153, "08S01"),
        /** A command that is not carried (ER_UNKNOWN_COM_ERROR). */
        UNSUPPORTED_COMMAND(1047, "08S01");

        /** Error number. */
        public final int code;
        /** SQL state. */
        public final String sqlState;

        Kind(int code, String sqlState) {
            this.code = code;
            this.sqlState = sqlState;
        }
    }

    private final Kind kind;

    /** A fault with its reason, which the other side is told. */
    public ProtocolException(Kind kind, String reason) {
        super(reason);
        this.kind = kind;
    }

    /** What kind of fault. */
    public Kind kind() {
        return kind;
    }

    /** What the other side is told. */
    public ErrPacket toErrPacket() {
        return new ErrPacket(kind.code, kind.sqlState, getMessage());
    }
}
