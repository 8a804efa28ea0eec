package kitemux.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import kitemux.config.Json;
import org.junit.jupiter.api.Test;

/** Checks the format of log lines and that a slow output stream never blocks callers. */
class LineLogTest {
    private static final Instant NOW = Instant.parse("2026-12-01T10:00:00.123456Z");
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private List<String> lines() {
        return bytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void lineBreaksInMessagesAreRemoved() throws InterruptedException {
        LineLog log = new LineLog(new PrintStream(bytes, true, StandardCharsets.UTF_8), false, 16, () -> NOW);
        log.info("server web-1 is\ndraining\r");
        log.error("a defect", new IllegalStateException("why"));
        log.flush();
        assertEquals("2026-12-01T10:00:00.123Z info server web-1 is draining ", lines().get(0));
        assertTrue(
                lines().get(1)
                        .startsWith("2026-12-01T10:00:00.123Z error a defect: java.lang.IllegalState"
                                + "Exception: why at kitemux.sidecar.LineLogTest."),
                lines()::toString);
        assertEquals(2, lines().size());
    }

    @Test
    void jsonEntryHoldsTimeLevelAndText() throws IOException, InterruptedException {
        LineLog log = new LineLog(new PrintStream(bytes, true, StandardCharsets.UTF_8), true, 16, () -> NOW);
        log.info("a \"quoted\"\nword");
        log.error("a defect", new IllegalStateException("why"));
        log.flush();
        Json first = Json.read(lines().get(0).getBytes(StandardCharsets.UTF_8));
        assertEquals("2026-12-01T10:00:00.123Z", first.path("time").asText());
        assertEquals("info", first.path("level").asText());
        assertEquals("a \"quoted\"\nword", first.path("text").asText());
        assertTrue(first.path("cause").isMissing());
        assertTrue(Json.read(lines().get(1).getBytes(StandardCharsets.UTF_8))
                .path("cause")
                .asText()
                .contains("why"));
    }

    /**
     * Guards against request threads that wait for the log. The output stream blocks during the first line, so the
     * queue fills up; later lines must be dropped, counted and reported.
     */
    @Test
    void blockedStreamNeverBlocksCallersAndDroppedLinesAreReported() throws InterruptedException {
        CountDownLatch writeStarted = new CountDownLatch(1);
        CountDownLatch writeAllowed = new CountDownLatch(1);
        OutputStream blockedStream = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                writeStarted.countDown();
                try {
                    writeAllowed.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                bytes.write(b);
            }
        };
        LineLog log = new LineLog(new PrintStream(blockedStream, true, StandardCharsets.UTF_8), false, 16, () -> NOW);
        log.info("first");
        writeStarted.await();
        for (int i = 0; i < 100; i++) {
            log.info("line " + i);
        }
        writeAllowed.countDown();
        log.flush();
        assertEquals(1 + 16 + 1, lines().size(), lines()::toString);
        assertTrue(
                lines().get(1)
                        .endsWith(
                                "warning 84 lines were dropped because they arrived faster than they could be written"),
                lines().get(1));
        assertTrue(lines().get(17).endsWith("line 15"), lines().get(17));
    }
}
