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

/** Packets and their fields: there and back, in any pieces, and with anything else in their place. */
class CodecTest {
    /** So that each run tries the same. */
    private static final String SEED = "41";

    private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;
    private static final long ALL = Capabilities.PROTOCOL_41
            | Capabilities.PLUGIN_AUTH
            | Capabilities.PLUGIN_AUTH_LENENC_DATA
            | Capabilities.CONNECT_WITH_DB
            | Capabilities.CONNECT_ATTRS
            | Capabilities.SECURE_CONNECTION
            | Capabilities.SESSION_TRACK;

    private static byte[] written(Consumer<ByteBuf> by) {
        ByteBuf out = ALLOCATOR.buffer();
        by.accept(out);
        byte[] bytes = ByteBufUtil.getBytes(out);
        out.release();
        return bytes;
    }

    private static byte[] packets(byte[] payload, int sequence) {
        ByteBuf out = Packets.write(ALLOCATOR, Unpooled.wrappedBuffer(payload), sequence);
        byte[] bytes = ByteBufUtil.getBytes(out);
        out.release();
        return bytes;
    }

    /** Payloads that come out where the bytes go in, in pieces of these sizes in turn. */
    private static List<byte[]> read(byte[] bytes, List<Integer> pieces, int most) {
        EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder());
        List<byte[]> payloads = new ArrayList<>();
        try (PayloadAssembler gatherer = new PayloadAssembler(ALLOCATOR, most)) {
            int at = 0;
            for (int i = 0; at < bytes.length; i++) {
                int piece = Math.min(pieces.get(i % pieces.size()), bytes.length - at);
                channel.writeInbound(Unpooled.copiedBuffer(bytes, at, piece));
                at += piece;
                Part part;
                while ((part = channel.readInbound()) != null) {
                    ByteBuf whole = gatherer.add(part);
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
    void payloadsComeOutAsTheyWentInHoweverTheyAreCut(
            @ForAll @Size(min = 1, max = 300) List<byte[]> payloads,
            @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 1, max = 40) Integer> pieces) {
        ByteBuf all = ALLOCATOR.buffer();
        int sequence = 0;
        for (byte[] payload : payloads) {
            all.writeBytes(packets(payload, sequence++));
        }
        List<byte[]> back = read(ByteBufUtil.getBytes(all), pieces, 1 << 20);
        all.release();
        assertEquals(payloads.size(), back.size());
        for (int i = 0; i < back.size(); i++) {
            assertArrayEquals(payloads.get(i), back.get(i));
        }
    }

    @Example
    void aPayloadOfSixteenMebibytesAndMoreIsSeveralPacketsAndOnePayload() {
        for (int length : new int[] {
            PacketDecoder.MAX_PAYLOAD_BYTES - 1,
            PacketDecoder.MAX_PAYLOAD_BYTES,
            PacketDecoder.MAX_PAYLOAD_BYTES + 1,
            2 * PacketDecoder.MAX_PAYLOAD_BYTES
        }) {
            byte[] payload = new byte[length];
            new Random(length).nextBytes(payload);
            byte[] bytes = packets(payload, 254);
            assertEquals(length + 4 * (length / PacketDecoder.MAX_PAYLOAD_BYTES + 1), bytes.length);
            EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder());
            channel.pipeline().get(PacketDecoder.class).expectSequence(254);
            int seen = 0;
            boolean last = false;
            for (int at = 0; at < bytes.length; at += 1 << 16) {
                channel.writeInbound(Unpooled.wrappedBuffer(bytes, at, Math.min(1 << 16, bytes.length - at)));
                Part part;
                while ((part = channel.readInbound()) != null) {
                    assertFalse(last, "nothing comes behind the last part");
                    assertEquals(seen == 0, part.first());
                    assertTrue(part.bytes().readableBytes() <= 1 << 16, "no more is held than was read");
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
    void aPacketOutOfTurnIsAFaultThatSaysSo(@ForAll @IntRange(min = 1, max = 255) int sequence) {
        ProtocolException fault =
                assertThrows(ProtocolException.class, () -> read(packets(new byte[] {1}, sequence), List.of(9), 9));
        assertEquals(ProtocolException.Kind.OUT_OF_ORDER, fault.kind());
        assertEquals(1156, fault.toErrPacket().code());
    }

    @Property(seed = SEED)
    void aPayloadBeyondTheBoundIsAFaultAndHoldsNothing(
            @ForAll @IntRange(min = 1, max = 500) int bound, @ForAll @IntRange(min = 1, max = 300) int piece) {
        ProtocolException fault = assertThrows(
                ProtocolException.class, () -> read(packets(new byte[bound + 1], 0), List.of(piece), bound));
        assertEquals(ProtocolException.Kind.TOO_LARGE, fault.kind());
        assertEquals(1, read(packets(new byte[bound], 0), List.of(piece), bound).size());
    }

    @Property(seed = SEED)
    void numbersComeBackInTheirShortestForm(@ForAll long value) {
        byte[] bytes = written(out -> Fields.putLenenc(out, value));
        assertEquals(value, Fields.lenenc(Unpooled.wrappedBuffer(bytes), "it"));
        int length = value < 0 || value >= 1 << 24 ? 9 : value >= 1 << 16 ? 4 : value >= 251 ? 3 : 1;
        assertEquals(length, bytes.length);
        for (int cut = 0; cut < bytes.length; cut++) {
            ByteBuf early = Unpooled.wrappedBuffer(bytes, 0, cut);
            assertThrows(ProtocolException.class, () -> Fields.lenenc(early, "it"));
        }
    }

    @Example
    void numbersAtTheirBounds() {
        for (long value : new long[] {0, 250, 251, 252, 65_535, 65_536, (1 << 24) - 1, 1 << 24, -1}) {
            numbersComeBackInTheirShortestForm(value);
        }
    }

    @Property(seed = SEED)
    void greetingsComeBack(
            @ForAll @AlphaChars String version,
            @ForAll @Size(20) byte[] nonce,
            @ForAll int id,
            @ForAll @IntRange(max = 255) int charset,
            @ForAll @IntRange(max = 65_535) int status,
            @ForAll @AlphaChars String plugin) {
        InitialHandshake greeting =
                new InitialHandshake(version, id & 0xffffffffL, nonce, ALL, charset, status, plugin);
        byte[] bytes = written(greeting::write);
        InitialHandshake back = InitialHandshake.read(Unpooled.wrappedBuffer(bytes));
        assertArrayEquals(nonce, back.nonce());
        assertEquals(
                greeting,
                new InitialHandshake(
                        back.version(),
                        back.connectionId(),
                        nonce,
                        back.capabilities(),
                        back.charset(),
                        back.status(),
                        back.plugin()));
        cutsAreFaults(bytes, InitialHandshake::read);
    }

    @Property(seed = SEED)
    void answersToGreetingsComeBack(
            @ForAll @AlphaChars String user,
            @ForAll @Size(max = 250) byte[] proof,
            @ForAll @AlphaChars String database,
            @ForAll @AlphaChars String plugin,
            @ForAll @Size(max = 9) Map<@AlphaChars String, @StringLength(max = 300) String> attributes,
            @ForAll boolean lenenc) {
        long capabilities = lenenc ? ALL : ALL & ~Capabilities.PLUGIN_AUTH_LENENC_DATA;
        HandshakeResponse greeting =
                new HandshakeResponse(capabilities, 1 << 24, 45, user, proof, database, plugin, attributes);
        byte[] bytes = written(greeting::write);
        HandshakeResponse back = HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL);
        assertArrayEquals(proof, back.proof());
        assertEquals(
                greeting,
                new HandshakeResponse(
                        back.capabilities(),
                        back.maxPacketBytes(),
                        back.charset(),
                        back.user(),
                        proof,
                        back.database(),
                        back.plugin(),
                        back.attributes()));
    }

    @Example
    void aWishForTlsHasNoUser() {
        HandshakeResponse wish =
                new HandshakeResponse(ALL | Capabilities.SSL, 1, 45, null, new byte[0], "", "", Map.of());
        byte[] bytes = written(wish::write);
        assertEquals(32, bytes.length);
        HandshakeResponse back = HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL | Capabilities.SSL);
        assertEquals(null, back.user());
        // One that was not offered counts for nothing: the rest is then missing.
        assertThrows(ProtocolException.class, () -> HandshakeResponse.read(Unpooled.wrappedBuffer(bytes), ALL));
    }

    @Property(seed = SEED)
    void okAndErrorsComeBack(
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
        long capabilities = tracks ? ALL : ALL & ~Capabilities.SESSION_TRACK;
        byte[] bytes = written(out -> ok.write(out, OkPacket.HEADER, capabilities));
        OkPacket back = OkPacket.read(Unpooled.wrappedBuffer(bytes).skipBytes(1), capabilities);
        assertEquals(rows, back.affectedRows());
        assertEquals(id, back.lastInsertId());
        assertEquals(warnings, back.warnings());
        assertEquals(text, back.info());
        assertEquals(tracks, (back.status() & OkPacket.SESSION_STATE_CHANGED) != 0);
        assertArrayEquals(tracks ? state : null, back.sessionState());
        ErrPacket error = new ErrPacket(code, "42S02", text);
        byte[] errorBytes = written(error::write);
        assertEquals(error, ErrPacket.read(Unpooled.wrappedBuffer(errorBytes).skipBytes(1)));
    }

    private static void cutsAreFaults(byte[] bytes, Consumer<ByteBuf> reader) {
        for (int cut = 0; cut < bytes.length; cut++) {
            ByteBuf early = Unpooled.wrappedBuffer(bytes, 0, cut);
            assertThrows(ProtocolException.class, () -> reader.accept(early), "cut at " + cut);
        }
    }

    @Property(seed = SEED, tries = 5_000)
    void garbageIsReadOrIsAFaultAndNothingElse(@ForAll @Size(max = 200) byte[] garbage) {
        List<Consumer<ByteBuf>> readers = List.of(
                InitialHandshake::read,
                in -> HandshakeResponse.read(in, -1L),
                in -> OkPacket.read(in, ALL),
                in -> OkPacket.read(in, 0),
                ErrPacket::read,
                in -> Fields.lenencText(in, "it"));
        for (Consumer<ByteBuf> reader : readers) {
            try {
                reader.accept(Unpooled.wrappedBuffer(garbage));
            } catch (ProtocolException fault) {
                assertEquals(ProtocolException.Kind.MALFORMED, fault.kind());
            }
        }
        try {
            read(garbage, List.of(7), 150);
        } catch (ProtocolException fault) {
            assertTrue(fault.toErrPacket().code() > 0);
        }
    }

    @Property(seed = SEED)
    void aProofHoldsForItsPasswordAndNonceAlone(
            @ForAll @StringLength(min = 1, max = 40) String password,
            @ForAll @StringLength(max = 40) String other,
            @ForAll @Size(20) byte[] nonce,
            @ForAll @IntRange(max = 19) int at) {
        for (AuthPlugin scramble : AuthPlugin.values()) {
            byte[] digest = scramble.digest(password);
            byte[] proof = scramble.createProof(password, nonce);
            assertTrue(scramble.isValidProof(proof, digest, nonce));
            byte[] otherNonce = nonce.clone();
            otherNonce[at] ^= 1;
            assertFalse(scramble.isValidProof(proof, digest, otherNonce));
            assertFalse(scramble.isValidProof(new byte[0], digest, nonce), "no password is not this one");
            if (!java.util.Arrays.equals(digest, scramble.digest(other))) {
                assertFalse(scramble.isValidProof(scramble.createProof(other, nonce), digest, nonce));
            }
            byte[] spoilt = proof.clone();
            spoilt[at] ^= 1;
            assertFalse(scramble.isValidProof(spoilt, digest, nonce));
        }
    }

    @Example
    void digestsAreThoseThatServersKeep() {
        // What PASSWORD('mypass') of MySQL 5.7 gives, by its reference manual ("Password Hashing in MySQL").
        assertEquals(
                "6C8989366EAF75BB670AD8EA7A7FC1176A95CEF4",
                HexFormat.of().withUpperCase().formatHex(AuthPlugin.NATIVE.digest("mypass")));
    }
}
