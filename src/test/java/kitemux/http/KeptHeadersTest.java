package kitemux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that take memory for fields that nobody reads, and against fields that escape validation. */
class KeptHeadersTest {
    private final AtomicInteger reservedBytes = new AtomicInteger();
    private final HttpHeaders headers = KeptHeaders.forRequests(bytes -> {
                reservedBytes.addAndGet(bytes);
                return true;
            })
            .newHeaders();

    @Test
    void fieldsThatNobodyReadsAreDropped() {
        for (int i = 0; i < 1_500; i++) {
            headers.add("a" + i, "b");
        }
        assertTrue(headers.isEmpty());
        assertEquals(0, reservedBytes.get());
        headers.add("X-tXN", "t");
        assertEquals("t", headers.get("X-Txn"));
        assertTrue(reservedBytes.get() > 0);
    }

    @Test
    void repeatedFieldIsKeptSoThatItIsNoticedAndBounded() {
        headers.add("Content-Length", "1").add("Content-Length", "2");
        assertEquals(2, headers.getAll("content-length").size());
        assertThrows(IllegalArgumentException.class, () -> {
            for (int i = 0; i < 100; i++) {
                headers.add("Content-Length", "1");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a:", "a\u0000", "\u00e4"})
    void droppedFieldWithMalformedNameIsRejected(String name) {
        assertThrows(IllegalArgumentException.class, () -> headers.add(name, "b"));
    }

    @Test
    void droppedFieldWithMalformedValueIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> headers.add("a", "b\u0000"));
    }

    @Test
    void fieldWithoutRoomIsRejected() {
        HttpHeaders full = KeptHeaders.forRequests(bytes -> false).newHeaders();
        assertThrows(KeptHeaders.NoRoomException.class, () -> full.add("X-Txn", "t"));
        assertTrue(full.add("other", "is dropped").isEmpty());
    }
}
