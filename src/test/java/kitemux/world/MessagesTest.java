package kitemux.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a judge that takes an answer in chunks for an empty one, and the chunks for answers of their own. */
class MessagesTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static List<String> read(String text, int pieceBytes) {
        Messages messages = new Messages();
        List<String> bodies = new ArrayList<>();
        byte[] bytes = Messages.bytes(text);
        for (int from = 0; from < bytes.length; from += pieceBytes) {
            byte[] piece = java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + pieceBytes));
            messages.take(
                    new End.Segment(piece, 0),
                    message -> bodies.add(
                            message.status() + " " + new String(message.body(), StandardCharsets.ISO_8859_1)));
        }
        return bodies;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void messagesInChunksAndWithLengthsAreReadInAnyPieces(int pieceBytes) {
        String text = CHUNKED_HEAD + "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nField: f\r\n\r\n"
                + "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
                + CHUNKED_HEAD + "0\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        assertEquals(List.of("200 abc0123456789", "503 ", "200 ", "200 ok"), read(text, pieceBytes));
    }

    @ParameterizedTest
    @ValueSource(strings = {"zz\r\n", "2\r\nabc\r\n", "2\nab\r\n", "-2\r\n"})
    void whatIsNoChunkIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> read(CHUNKED_HEAD + text, 1_000));
    }

    @Test
    void lengthOfBodyInChunksIsWhatHasCome() {
        Messages messages = new Messages();
        messages.take(new End.Segment(Messages.bytes(CHUNKED_HEAD + "5\r\nabc"), 0), message -> {});
        assertEquals(3, messages.lengthAmid());
        messages.take(new End.Segment(Messages.bytes("de\r\n0\r\n\r\n"), 0), message -> {});
        assertEquals(0, messages.lengthAmid());
    }
}
