package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * First packet of a server (Protocol::HandshakeV10).
 *
 * @param version human-readable version of the server
 * @param connectionId the server's identifier of the connection
 * @param nonce 20 bytes for the proof of the client
 * @param capabilities flags that the server supports
 * @param charset default collation of the server
 * @param status SERVER_STATUS flags
 * @param plugin authentication plugin that the server suggests
 */
record InitialHandshake(
        String version, long connectionId, byte[] nonce, long capabilities, int charset, int status, String plugin) {
    static final int PROTOCOL_VERSION = 10;
    private static final int FIRST_NONCE_PART_BYTES = 8;
    private static final int RESERVED_BYTES = 10;

    /**
     * Reads a payload.
     *
     * @throws ProtocolException if it is invalid, of a protocol version other than 10, or lacks required
     *     capabilities (protocol 4.1, plugins)
     */
    static InitialHandshake read(ByteBuf in) {
        int protocol = Fields.int1(in, "the protocol version");
        if (protocol == ErrPacket.HEADER) {
            ErrPacket error = ErrPacket.read(in);
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED,
                    "the server refused the connection: " + error.code() + " " + error.message());
        }
        if (protocol != PROTOCOL_VERSION) {
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED, "protocol version " + protocol + " is not supported");
        }
        String version = Fields.nulText(in, "the server version");
        long id = Fields.int4(in, "the connection id");
        byte[] firstPart = Fields.bytes(in, FIRST_NONCE_PART_BYTES, "the nonce");
        Fields.int1(in, "the filler");
        long capabilities = Fields.int2(in, "the capabilities");
        int charset = Fields.int1(in, "the character set");
        int status = Fields.int2(in, "the status");
        capabilities |= (long) Fields.int2(in, "the capabilities") << 16;
        int nonceLength = Fields.int1(in, "the nonce length");
        Fields.bytes(in, RESERVED_BYTES, "the reserved bytes");
        if (!Capabilities.has(capabilities, Capabilities.PROTOCOL_41)
                || !Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH)
                || nonceLength != AuthPlugin.NONCE_BYTES + 1) {
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED,
                    "the server does not support protocol 4.1 or authentication plugins");
        }
        byte[] secondPart = Fields.bytes(in, nonceLength - FIRST_NONCE_PART_BYTES, "the nonce");
        byte[] nonce = Arrays.copyOf(firstPart, AuthPlugin.NONCE_BYTES);
        System.arraycopy(secondPart, 0, nonce, FIRST_NONCE_PART_BYTES, AuthPlugin.NONCE_BYTES - FIRST_NONCE_PART_BYTES);
        return new InitialHandshake(
                version, id, nonce, capabilities, charset, status, Fields.nulText(in, "the plugin name"));
    }

    /** Writes the payload. */
    void write(ByteBuf out) {
        out.writeByte(PROTOCOL_VERSION);
        Fields.putNulText(out, version);
        out.writeIntLE((int) connectionId)
                .writeBytes(nonce, 0, FIRST_NONCE_PART_BYTES)
                .writeByte(0)
                .writeShortLE((int) capabilities)
                .writeByte(charset)
                .writeShortLE(status)
                .writeShortLE((int) (capabilities >> 16))
                .writeByte(AuthPlugin.NONCE_BYTES + 1)
                .writeZero(RESERVED_BYTES)
                .writeBytes(nonce, FIRST_NONCE_PART_BYTES, AuthPlugin.NONCE_BYTES - FIRST_NONCE_PART_BYTES)
                .writeByte(0);
        Fields.putNulText(out, plugin);
    }
}
