package kitemux.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of messages, and rejection of invalid datagrams. */
class DatagramTest {
    private static final int FLEET = 42;

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Integer> nodes = Arbitraries.integers().between(0, 65_535);
        Arbitrary<Long> generations = Arbitraries.longs().between(0, (1L << 48) - 1);
        Arbitrary<MemberRecord> members = Combinators.combine(
                        nodes, generations, Arbitraries.integers(), Arbitraries.of(MemberState.class), nodes)
                .as(MemberRecord::new);
        Arbitrary<Update> updates = Combinators.combine(
                        nodes,
                        generations,
                        Arbitraries.integers().between(0, 255),
                        Arbitraries.integers(),
                        nodes,
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(40))
                .as(Update::new);
        return Combinators.combine(
                        Arbitraries.of(Message.Kind.class),
                        nodes,
                        generations,
                        Arbitraries.integers(),
                        nodes,
                        members.list().ofMaxSize(5),
                        updates.list().ofMaxSize(2))
                .as(Message::new);
    }

    @Property(tries = 300)
    void encodedMessagesDecodeToTheSameMessage(@ForAll("messages") Message message) {
        byte[] bytes = Datagram.write(message, FLEET);
        assertEquals(message, Datagram.read(bytes, FLEET).message());
        assertEquals(
                Datagram.ReadError.WRONG_FLEET, Datagram.read(bytes, FLEET + 1).error());
    }

    @Property(tries = 100)
    void corruptedAndTruncatedDatagramsAreRejected(@ForAll("messages") Message message) {
        byte[] bytes = Datagram.write(message, FLEET);
        for (int i = 0; i < bytes.length; i++) {
            byte[] corrupted = bytes.clone();
            corrupted[i] ^= 0x10;
            assertNotNull(Datagram.read(corrupted, FLEET).error(), "corrupted byte " + i);
            assertNull(Datagram.read(Arrays.copyOf(bytes, i), FLEET).message(), "truncated to bytes " + i);
        }
        assertNull(Datagram.read(Arrays.copyOf(bytes, bytes.length + 1), FLEET).message());
    }

    @Property(tries = 500)
    void arbitraryBytesAreRejectedWithoutAnException(@ForAll byte[] bytes) {
        assertNull(Datagram.read(bytes, FLEET).message());
    }

    @Test
    void unsupportedVersionIsReported() {
        byte[] bytes = Datagram.write(new Message(Message.Kind.PING, 1, 2, 3, 0, List.of(), List.of()), FLEET);
        assertEquals(Datagram.HEADER_BYTES, bytes.length);
        bytes[0]++;
        assertEquals(
                Datagram.ReadError.UNSUPPORTED_VERSION,
                Datagram.read(bytes, FLEET).error());
        assertEquals(
                Datagram.ReadError.TOO_SHORT, Datagram.read(new byte[3], FLEET).error());
    }

    @Test
    void laterGenerationsAndIncarnationsTakePrecedenceAndLeavingIsFinal() {
        MemberRecord alive = new MemberRecord(1, 10, 2, MemberState.ALIVE, 1);
        assertTrue(alive.withState(MemberState.SUSPECT, 0).overrides(alive));
        assertTrue(alive.withState(MemberState.GONE, 0).overrides(alive.withState(MemberState.SUSPECT, 0)));
        assertTrue(!alive.overrides(alive.withState(MemberState.SUSPECT, 0)));
        assertTrue(new MemberRecord(1, 10, 3, MemberState.ALIVE, 1).overrides(alive.withState(MemberState.GONE, 0)));
        assertTrue(!new MemberRecord(1, 10, 9, MemberState.ALIVE, 1).overrides(alive.withState(MemberState.LEFT, 0)));
        assertTrue(new MemberRecord(1, 11, 0, MemberState.ALIVE, 1).overrides(alive.withState(MemberState.LEFT, 0)));
        assertTrue(!new MemberRecord(1, 9, 9, MemberState.GONE, 0).overrides(alive));
    }
}
