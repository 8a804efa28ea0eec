package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a client answers (Protocol::HandshakeResponse41), or, with {@code CLIENT_SSL} and no user yet, its
 * wish for TLS (Protocol::SSLRequest).
 *
 * @param capabilities what it can do and wants
 * @param maxPacketBytes the longest packet that it takes
 * @param charset collation of its texts
 * @param user its name; null in a wish for TLS, in which nothing else follows
 * @param proof for the nonce and {@code plugin}
 * @param database where it begins; empty for none
 * @param plugin how it proves who it is; empty if it does not say
 * @param attributes what it says of itself
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
    /** Attributes beyond this are a fault: servers take 64 KiB in all. */
    private static final int MAX_ATTRIBUTES_BYTES = 1 << 16;

    /**
     * Reads a payload, by the capabilities that it names itself.
     *
     * @param offered what the server can do: a client may name no other
     * @throws ProtocolException if it is something else, or of a protocol before 4.1
     */
    static HandshakeResponse read(ByteBuf in, long offered) {
        long capabilities = Fields.int4(in, "the capabilities");
        if (!Capabilities.has(capabilities, Capabilities.PROTOCOL_41)) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "the client knows no protocol 4.1");
        }
        // Real clients name some that they were not offered; a server heeds what both have.
        capabilities &= offered;
        long maxPacketBytes = Fields.int4(in, "the longest packet");
        int charset = Fields.int1(in, "the character set");
        Fields.bytes(in, FILLER_BYTES, "the filler");
        if (Capabilities.has(capabilities, Capabilities.SSL) && !in.isReadable()) {
            return new HandshakeResponse(capabilities, maxPacketBytes, charset, null, new byte[0], "", "", Map.of());
        }
        String user = Fields.nulText(in, "the user's name");
        byte[] proof = Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH_LENENC_DATA)
                ? Fields.lenencBytes(in, "the proof")
                : Fields.bytes(in, Fields.int1(in, "the proof"), "the proof");
        String database = Capabilities.has(capabilities, Capabilities.CONNECT_WITH_DB) && in.isReadable()
                ? Fields.nulText(in, "the database")
                : "";
        String plugin = Capabilities.has(capabilities, Capabilities.PLUGIN_AUTH) && in.isReadable()
                ? Fields.nulText(in, "the plugin's name")
                : "";
        Map<String, String> attributes = Capabilities.has(capabilities, Capabilities.CONNECT_ATTRS) && in.isReadable()
                ? attributes(in)
                : Map.of();
        return new HandshakeResponse(capabilities, maxPacketBytes, charset, user, proof, database, plugin, attributes);
    }

    private static Map<String, String> attributes(ByteBuf in) {
        long length = Fields.lenenc(in, "the attributes");
        if (length < 0 || length > MAX_ATTRIBUTES_BYTES || length > in.readableBytes()) {
            throw new ProtocolException(ProtocolException.Kind.MALFORMED, "the attributes have " + length + " bytes");
        }
        ByteBuf all = in.readSlice((int) length);
        Map<String, String> attributes = new LinkedHashMap<>();
        while (all.isReadable()) {
            String name = Fields.lenencText(all, "an attribute");
            attributes.put(name, Fields.lenencText(all, "an attribute"));
        }
        return attributes;
    }

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
