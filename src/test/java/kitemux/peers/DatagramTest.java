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

/** Messages as bytes, and bytes that are none. */
class DatagramTest {
    private static final int FLEET = 42;

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Integer> nodes = Arbitraries.integers().between(0, 65_535);
        Arbitrary<Long> lives = Arbitraries.longs().between(0, (1L << 48) - 1);
        Arbitrary<Belief> beliefs = Combinators.combine(
                        nodes, lives, Arbitraries.integers(), Arbitraries.of(Standing.class), nodes)
                .as(Belief::new);
        Arbitrary<Word> words = Combinators.combine(
                        nodes,
                        lives,
                        Arbitraries.integers().between(0, 255),
                        Arbitraries.integers(),
                        nodes,
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(40))
                .as(Word::new);
        return Combinators.combine(
                        Arbitraries.of(Message.Kind.class),
                        nodes,
                        lives,
                        Arbitraries.integers(),
                        nodes,
                        beliefs.list().ofMaxSize(5),
                        words.list().ofMaxSize(2))
                .as(Message::new);
    }

    @Property(tries = 300)
    void whatIsWrittenIsRead(@ForAll("messages") Message message) {
        byte[] bytes = Datagram.write(message, FLEET);
        assertEquals(message, Datagram.read(bytes, FLEET).message());
        assertEquals(Datagram.Fault.OTHER_FLEET, Datagram.read(bytes, FLEET + 1).fault());
    }

    @Property(tries = 100)
    void whatIsSpoiltOrCutAnywhereIsTold(@ForAll("messages") Message message) {
        byte[] bytes = Datagram.write(message, FLEET);
        for (int i = 0; i < bytes.length; i++) {
            byte[] spoilt = bytes.clone();
            spoilt[i] ^= 0x10;
            assertNotNull(Datagram.read(spoilt, FLEET).fault(), "byte " + i);
            assertNull(Datagram.read(Arrays.copyOf(bytes, i), FLEET).message(), "cut at " + i);
        }
        assertNull(Datagram.read(Arrays.copyOf(bytes, bytes.length + 1), FLEET).message());
    }

    @Property(tries = 500)
    void anyBytesAreReadWithoutAnException(@ForAll byte[] bytes) {
        assertNull(Datagram.read(bytes, FLEET).message());
    }

    @Test
    void anotherVersionIsToldApart() {
        byte[] bytes = Datagram.write(new Message(Message.Kind.PING, 1, 2, 3, 0, List.of(), List.of()), FLEET);
        assertEquals(Datagram.HEAD, bytes.length);
        bytes[0]++;
        assertEquals(Datagram.Fault.OTHER_VERSION, Datagram.read(bytes, FLEET).fault());
        assertEquals(Datagram.Fault.TOO_SHORT, Datagram.read(new byte[3], FLEET).fault());
    }

    @Test
    void laterLivesAndIncarnationsHoldAndNobodyReturnsFromLeaving() {
        Belief alive = new Belief(1, 10, 2, Standing.ALIVE, 1);
        assertTrue(alive.with(Standing.SUSPECT, 0).overrides(alive));
        assertTrue(alive.with(Standing.GONE, 0).overrides(alive.with(Standing.SUSPECT, 0)));
        assertTrue(!alive.overrides(alive.with(Standing.SUSPECT, 0)));
        assertTrue(new Belief(1, 10, 3, Standing.ALIVE, 1).overrides(alive.with(Standing.GONE, 0)));
        assertTrue(!new Belief(1, 10, 9, Standing.ALIVE, 1).overrides(alive.with(Standing.LEFT, 0)));
        assertTrue(new Belief(1, 11, 0, Standing.ALIVE, 1).overrides(alive.with(Standing.LEFT, 0)));
        assertTrue(!new Belief(1, 9, 9, Standing.GONE, 0).overrides(alive));
    }
}
