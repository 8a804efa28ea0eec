package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Response of a client to the handshake (Protocol::HandshakeResponse41), or, with {@code CLIENT_SSL} and no
 * user yet, its request for TLS (Protocol::SSLRequest).
 *
 * @param capabilities flags that the client supports and requests
 * @param maxPacketBytes longest packet that the client accepts
 * @param charset collation of the client's texts
 * @param user name of the user; null in a request for TLS, which ends there
 * @param proof response to the server's nonce, computed by {@code plugin}
 * @param database initial database; empty for none
 * @param plugin authentication plugin of the client; empty if it names none
 * @param attributes connection attributes
 */
record HandshakeResponse(
        long capabilities,
        long maxPacketBytes,
        int charset,
        String user,
        byte[] proof,
        String database,
        String plugin,
        Map<String, String> attributes) {
    private static final int FILLER_BYTES = 23;
    /** Longer attributes are rejected: servers accept 64 KiB in all. */
    private static final int MAX_ATTRIBUTES_BYTES = 1 << 16;

    /**
     * Reads a payload by the capabilities that it announces.
     *
     * @param offered capabilities of the server; others that the client names are ignored
     * @throws ProtocolException if the payload is invalid, or of a protocol before 4.1
     */
    static HandshakeResponse read(ByteBuf in, long offered) {
        long capabilities = Fields.int4(in, "the capabilities");
        if (!Capabilities.has(capabilities, Capabilities.PROTOCOL_41)) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "the client does not support protocol 4.1");
        }
        // Some clients announce flags that they were not offered; servers use the common ones.
        capabilities &= offered;
        long maxPacketBytes = Fields.int4(in, "the maximum packet length");
        int charset = Fields.int1(in, "the character set");
        Fields.bytes(in, FILLER_BYTES, "the filler");
        if (Capabilities.has(capabilities, Capabilities.SSL) && !in.isReadable()) {
            return new HandshakeResponse(capabilities, maxPacketBytes, charset, null, new byte[0], "", "", Map.of());
        }
        String user = Fields.nulText(in, "the user name");
        byte[] proof = Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH_LENENC_DATA)
                ? Fields.lenencBytes(in, "the proof")
                : Fields.bytes(in, Fields.int1(in, "the proof"), "the proof");
        String database = Capabilities.has(capabilities, Capabilities.CONNECT_WITH_DB) && in.isReadable()
                ? Fields.nulText(in, "the database")
                : "";
        String plugin = Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH) && in.isReadable()
                ? Fields.nulText(in, "the plugin name")
                : "";
        Map<String, String> attributes = Capabilities.has(capabilities, Capabilities.CONNECT_ATTRS) && in.isReadable()
                ? attributes(in)
                : Map.of();
        return new HandshakeResponse(capabilities, maxPacketBytes, charset, user, proof, database, plugin, attributes);
    }

    private static Map<String, String> attributes(ByteBuf in) {
        long length = Fields.lenenc(in, "the connection attributes");
        if (length < 0 || length > MAX_ATTRIBUTES_BYTES || length > in.readableBytes()) {
            throw new ProtocolException(
                    ProtocolException.Kind.MALFORMED, "invalid connection attributes: length " + length + " bytes");
        }
        ByteBuf all = in.readSlice((int) length);
        Map<String, String> attributes = new LinkedHashMap<>();
        while (all.isReadable()) {
            String name = Fields.lenencText(all, "a connection attribute");
            attributes.put(name, Fields.lenencText(all, "a connection attribute"));
        }
        return attributes;
    }

    /** Writes the payload. */
    void write(ByteBuf out) {
        out.writeIntLE((int) capabilities)
                .writeIntLE((int) maxPacketBytes)
                .writeByte(charset)
                .writeZero(FILLER_BYTES);
        if (user == null) {
            return;
        }
        Fields.putNulText(out, user);
        if (Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH_LENENC_DATA)) {
            Fields.putLenencBytes(out, proof);
        } else {
            out.writeByte(proof.length).writeBytes(proof);
        }
        if (Capabilities.has(capabilities, Capabilities.CONNECT_WITH_DB)) {
            Fields.putNulText(out, database);
        }
        if (Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH)) {
            Fields.putNulText(out, plugin);
        }
        if (Capabilities.has(capabilities, Capabilities.CONNECT_ATTRS)) {
            ByteBuf all = out.alloc().buffer();
            try {
                attributes.forEach((name, value) -> {
                    Fields.putLenencText(all, name);
                    Fields.putLenencText(all, value);
                });
                Fields.putLenenc(out, all.readableBytes());
                out.writeBytes(all);
            } finally {
                all.release();
            }
        }
    }
}
