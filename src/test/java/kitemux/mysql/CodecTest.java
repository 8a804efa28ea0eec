package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import kitemux.mysql.PacketDecoder.Part;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Round trips of packets and fields in any chunking, and rejection of invalid input. */
class CodecTest {
    /** Fixed, so that each run tries the same inputs. */
    private static final String SEED = "41";

    private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;
    private static final long ALL_CAPABILITIES = Capabilities.PROTOCOL_41
            | Capabilities.PLUGIN_AUTH
            | Capabilities.PLUGIN_AUTH_LENENC_DATA
            | Capabilities.CONNECT_WITH_DB
            | Capabilities.CONNECT_ATTRS
            | Capabilities.SECURE_CONNECTION
            | Capabilities.SESSION_TRACK;

    private static byte[] encode(Consumer<ByteBuf> writer) {
        ByteBuf out = ALLOCATOR.buffer();
        writer.accept(out);
        byte[] bytes = ByteBufUtil.getBytes(out);
        out.release();
        return bytes;
    }

    private static byte[] toPackets(byte[] payload, int sequence) {
        ByteBuf out = Packets.write(ALLOCATOR, Unpooled.wrappedBuffer(payload), sequence);
        byte[] bytes = ByteBufUtil.getBytes(out);
        out.release();
        return bytes;
    }

    /** Decodes bytes that arrive in chunks of these sizes in turn. */
    private static List<byte[]> readPayloads(byte[] bytes, List<Integer> chunkSizes, int maxBytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder());
        List<byte[]> payloads = new ArrayList<>();
        try (PayloadAssembler assembler = new PayloadAssembler(ALLOCATOR, maxBytes)) {
            int offset = 0;
            for (int i = 0; offset < bytes.length; i++) {
                int chunkSize = Math.min(chunkSizes.get(i % chunkSizes.size()), bytes.length - offset);
                channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, chunkSize));
                offset += chunkSize;
                Part part;
                while ((part = channel.readInbound()) != null) {
                    ByteBuf whole = assembler.add(part);
                    if (whole != null) {
                        payloads.add(ByteBufUtil.getBytes(whole));
                        whole.release();
                    }
                }
            }
        } finally {
            channel.finishAndReleaseAll();
        }
        return payloads;
    }

    @Property(seed = SEED, tries = 300)
    void payloadsSurviveAnyChunking(
            @ForAll @Size(min = 1, max = 300) List<byte[]> payloads,
            @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 1, max = 40) Integer> chunkSizes) {
        ByteBuf all = ALLOCATOR.buffer();
        int sequence = 0;
        for (byte[] payload : payloads) {
            all.writeBytes(toPackets(payload, sequence++));
        }
        List<byte[]> decoded = readPayloads(ByteBufUtil.getBytes(all), chunkSizes, 1 << 20);
        all.release();
        assertEquals(payloads.size(), decoded.size());
        for (int i = 0; i < decoded.size(); i++) {
            assertArrayEquals(payloads.get(i), decoded.get(i));
        }
    }

    @Example
    void payloadsOfSixteenMebibytesSpanSeveralPackets() {
        for (int length : new int[] {
            PacketDecoder.MAX_PAYLOAD_BYTES - 1,
            PacketDecoder.MAX_PAYLOAD_BYTES,
            PacketDecoder.MAX_PAYLOAD_BYTES + 1,
            2 * PacketDecoder.MAX_PAYLOAD_BYTES
        }) {
            byte[] payload = new byte[length];
            new Random(length).nextBytes(payload);
            byte[] bytes = toPackets(payload, 254);
            assertEquals(length + 4 * (length / PacketDecoder.MAX_PAYLOAD_BYTES + 1), bytes.length);
            EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder());
            channel.pipeline().get(PacketDecoder.class).expectSequence(254);
            int seen = 0;
            boolean last = false;
            for (int offset = 0; offset < bytes.length; offset += 1 << 16) {
                channel.writeInbound(Unpooled.wrappedBuffer(bytes, offset, Math.min(1 << 16, bytes.length - offset)));
                Part part;
                while ((part = channel.readInbound()) != null) {
                    assertFalse(last, "no part follows the last one");
                    assertEquals(seen == 0, part.first());
                    assertTrue(part.bytes().readableBytes() <= 1 << 16, "no more is buffered than was read");
                    for (int i = 0; i < part.bytes().readableBytes(); i += 4_099) {
                        assertEquals(
                                payload[seen + i],
                                part.bytes().getByte(part.bytes().readerIndex() + i));
                    }
                    seen += part.bytes().readableBytes();
                    last = part.last();
                    part.bytes().release();
                }
            }
            assertEquals(length, seen);
            assertTrue(last);
            channel.finishAndReleaseAll();
        }
    }

    @Property(seed = SEED)
    void unexpectedSequenceNumberIsRejected(@ForAll @IntRange(min = 1, max = 255) int sequence) {
        ProtocolException exception = assertThrows(
                ProtocolException.class, () -> readPayloads(toPackets(new byte[] {1}, sequence), List.of(9), 9));
        assertEquals(ProtocolException.Kind.OUT_OF_ORDER, exception.kind());
        assertEquals(1156, exception.toErrPacket().code());
    }

    @Property(seed = SEED)
    void payloadAboveTheLimitIsRejected(
            @ForAll @IntRange(min = 1, max = 500) int bound, @ForAll @IntRange(min = 1, max = 300) int chunkSize) {
        ProtocolException exception = assertThrows(
                ProtocolException.class,
                () -> readPayloads(toPackets(new byte[bound + 1], 0), List.of(chunkSize), bound));
        assertEquals(ProtocolException.Kind.TOO_LARGE, exception.kind());
        assertEquals(
                1,
                readPayloads(toPackets(new byte[bound], 0), List.of(chunkSize), bound)
                        .size());
    }

    @Property(seed = SEED)
    void lengthEncodedIntegersRoundTripInShortestForm(@ForAll long value) {
        byte[] bytes = encode(out -> Fields.putLenenc(out, value));
        assertEquals(value, Fields.lenenc(Unpooled.wrappedBuffer(bytes), "it"));
        int length = value < 0 || value >= 1 << 24 ? 9 : value >= 1 << 16 ? 4 : value >= 251 ? 3 : 1;
        assertEquals(length, bytes.length);
        for (int truncatedLength = 0; truncatedLength < bytes.length; truncatedLength++) {
            ByteBuf truncated = Unpooled.wrappedBuffer(bytes, 0, truncatedLength);
            assertThrows(ProtocolException.class, () -> Fields.lenenc(truncated, "it"));
        }
    }

    @Example
    void lengthEncodedIntegersRoundTripAtTheirBounds() {
        for (long value : new long[] {0, 250, 251, 252, 65_535, 65_536, (1 << 24) - 1, 1 << 24, -1}) {
            lengthEncodedIntegersRoundTripInShortestForm(value);
        }
    }

    @Property(seed = SEED)
    void initialHandshakesRoundTrip(
            @ForAll @AlphaChars String version,
            @ForAll @Size(20) byte[] nonce,
            @ForAll int id,
            @ForAll @IntRange(max = 255) int charset,
            @ForAll @IntRange(max = 65_535) int status,
            @ForAll @AlphaChars String plugin) {
        InitialHandshake handshake =
                new InitialHandshake(version, id & 0xffffffffL, nonce, ALL_CAPABILITIES, charset, status, plugin);
        byte[] bytes = encode(handshake::write);
        InitialHandshake decoded = InitialHandshake.read(Unpooled.wrappedBuffer(bytes));
        assertArrayEquals(nonce, decoded.nonce());
        assertEquals(
                handshake,
                new InitialHandshake(
                        decoded.version(),
                        decoded.connectionId(),
                        nonce,
                        decoded.capabilities(),
                        decoded.charset(),
                        decoded.status(),
                        decoded.plugin()));
        assertTruncationsAreRejected(bytes, InitialHandshake::read);
    }

    @Property(seed = SEED)
    void handshakeResponsesRoundTrip(
            @ForAll @AlphaChars String user,
            @ForAll @Size(max = 250) byte[] proof,
            @ForAll @AlphaChars String database,
            @ForAll @AlphaChars String plugin,
            @ForAll @Size(max = 9) Map<@AlphaChars String, @StringLength(max = 300) String> attributes,
            @ForAll boolean lenenc) {
        long capabilities = lenenc ? ALL_CAPABILITIES : ALL_CAPABILITIES & ~Capabilities.PLUGIN_AUTH_LENENC_DATA;
        HandshakeResponse handshake =
                new HandshakeResponse(capabilities, 1 << 24, 45, user, proof, database, plugin, attributes);
        byte[] bytes = encode(handshake::write);
        HandshakeResponse decoded = HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL_CAPABILITIES);
        assertArrayEquals(proof, decoded.proof());
        assertEquals(
                handshake,
                new HandshakeResponse(
                        decoded.capabilities(),
                        decoded.maxPacketBytes(),
                        decoded.charset(),
                        decoded.user(),
                        proof,
                        decoded.database(),
                        decoded.plugin(),
                        decoded.attributes()));
    }

    @Example
    void tlsRequestHasNoUser() {
        HandshakeResponse tlsRequest =
                new HandshakeResponse(ALL_CAPABILITIES | Capabilities.SSL, 1, 45, null, new byte[0], "", "", Map.of());
        byte[] bytes = encode(tlsRequest::write);
        assertEquals(32, bytes.length);
        HandshakeResponse decoded =
                HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL_CAPABILITIES | Capabilities.SSL);
        assertEquals(null, decoded.user());
        // A capability that was not offered is ignored, so the rest of the payload is missing.
        assertThrows(
                ProtocolException.class, () -> HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL_CAPABILITIES));
    }

    @Property(seed = SEED)
    void okAndErrPacketsRoundTrip(
            @ForAll long rows,
            @ForAll long id,
            @ForAll @IntRange(max = 65_535) int warnings,
            @ForAll String info,
            @ForAll @Size(max = 300) byte[] state,
            @ForAll boolean tracks,
            @ForAll @IntRange(max = 65_535) int code) {
        String text = new String(
                info.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8);
        OkPacket ok = new OkPacket(rows, id, OkPacket.AUTOCOMMIT, warnings, text, tracks ? state : null);
        long capabilities = tracks ? ALL_CAPABILITIES : ALL_CAPABILITIES & ~Capabilities.SESSION_TRACK;
        byte[] bytes = encode(out -> ok.write(out, OkPacket.HEADER, capabilities));
        OkPacket decoded = OkPacket.read(Unpooled.wrappedBuffer(bytes).skipBytes(1), capabilities);
        assertEquals(rows, decoded.affectedRows());
        assertEquals(id, decoded.lastInsertId());
        assertEquals(warnings, decoded.warnings());
        assertEquals(text, decoded.info());
        assertEquals(tracks, (decoded.status() & OkPacket.SESSION_STATE_CHANGED) != 0);
        assertArrayEquals(tracks ? state : null, decoded.sessionState());
        ErrPacket error = new ErrPacket(code, "42S02", text);
        byte[] errorBytes = encode(error::write);
        assertEquals(error, ErrPacket.read(Unpooled.wrappedBuffer(errorBytes).skipBytes(1)));
    }

    private static void assertTruncationsAreRejected(byte[] bytes, Consumer<ByteBuf> reader) {
        for (int truncatedLength = 0; truncatedLength < bytes.length; truncatedLength++) {
            ByteBuf truncated = Unpooled.wrappedBuffer(bytes, 0, truncatedLength);
            assertThrows(
                    ProtocolException.class, () -> reader.accept(truncated), "truncated to bytes " + truncatedLength);
        }
    }

    @Property(seed = SEED, tries = 5_000)
    void arbitraryBytesAreReadOrRejected(@ForAll @Size(max = 200) byte[] garbage) {
        List<Consumer<ByteBuf>> readers = List.of(
                InitialHandshake::read,
                in -> HandshakeResponse.read(in, -1L),
                in -> OkPacket.read(in, ALL_CAPABILITIES),
                in -> OkPacket.read(in, 0),
                ErrPacket::read,
                in -> Fields.lenencText(in, "it"));
        for (Consumer<ByteBuf> reader : readers) {
            try {
                reader.accept(Unpooled.wrappedBuffer(garbage));
            } catch (ProtocolException exception) {
                assertEquals(ProtocolException.Kind.MALFORMED, exception.kind());
            }
        }
        try {
            readPayloads(garbage, List.of(7), 150);
        } catch (ProtocolException exception) {
            assertTrue(exception.toErrPacket().code() > 0);
        }
    }

    @Property(seed = SEED)
    void proofIsValidOnlyForItsPasswordAndNonce(
            @ForAll @StringLength(min = 1, max = 40) String password,
            @ForAll @StringLength(max = 40) String other,
            @ForAll @Size(20) byte[] nonce,
            @ForAll @IntRange(max = 19) int offset) {
        for (AuthPlugin plugin : AuthPlugin.values()) {
            byte[] digest = plugin.digest(password);
            byte[] proof = plugin.createProof(password, nonce);
            assertTrue(plugin.isValidProof(proof, digest, nonce));
            byte[] otherNonce = nonce.clone();
            otherNonce[offset] ^= 1;
            assertFalse(plugin.isValidProof(proof, digest, otherNonce));
            assertFalse(plugin.isValidProof(new byte[0], digest, nonce), "an empty proof does not match a password");
            if (!java.util.Arrays.equals(digest, plugin.digest(other))) {
                assertFalse(plugin.isValidProof(plugin.createProof(other, nonce), digest, nonce));
            }
            byte[] corrupted = proof.clone();
            corrupted[offset] ^= 1;
            assertFalse(plugin.isValidProof(corrupted, digest, nonce));
        }
    }

    @Example
    void digestsMatchThoseOfServers() {
        // Result of PASSWORD('mypass') in MySQL 5.7, from its reference manual ("Password Hashing in MySQL").
        assertEquals(
                "6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4",
                HexFormat.of().withUpperCase().formatHex(AuthPlugin.NATIVE.digest("mypass")));
    }
}
