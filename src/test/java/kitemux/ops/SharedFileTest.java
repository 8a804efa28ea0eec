package kitemux.ops;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against values that a process takes from a file that is torn, foreign or of another version. */
class SharedFileTest {
    private static final byte[] CONTENT = "{\"rev\":2}".getBytes(StandardCharsets.UTF_8);

    @TempDir
    Path folder;

    private Path path() {
        return folder.resolve("value");
    }

    private SharedFile file(String process) {
        return new SharedFile(path(), folder.resolve("value-" + process + ".new"));
    }

    @Test
    void valueIsReadOnceAfterEachChange() throws Exception {
        SharedFile writer = file("a");
        SharedFile reader = file("b");
        assertEquals(Optional.empty(), reader.readIfChanged());
        writer.write(CONTENT);
        assertEquals(Optional.empty(), writer.readIfChanged(), "its own value");
        assertArrayEquals(CONTENT, reader.readIfChanged().orElseThrow());
        assertEquals(Optional.empty(), reader.readIfChanged());
        writer.write(new byte[0]);
        assertEquals(0, reader.readIfChanged().orElseThrow().length);
    }

    @Test
    void valueCutOffAnywhereIsUnreadable() throws Exception {
        file("a").write(CONTENT);
        byte[] whole = Files.readAllBytes(path());
        for (int bytes = 0; bytes < whole.length; bytes++) {
            Files.write(path(), Arrays.copyOf(whole, bytes));
            assertThrows(SharedFile.UnreadableException.class, () -> file("b").readIfChanged(), "cut off");
        }
    }

    @Test
    void valueWithAnyByteChangedIsUnreadable() throws Exception {
        file("a").write(CONTENT);
        byte[] whole = Files.readAllBytes(path());
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 1;
            Files.write(path(), changed);
            assertThrows(SharedFile.UnreadableException.class, () -> file("b").readIfChanged(), "byte " + at);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"kitemux-shared 2 0 0\n", "kitemux-shared\n", "a b c d", "\n"})
    void foreignFileIsUnreadableOnceAndThenReplaced(String text) throws Exception {
        Files.writeString(path(), text);
        SharedFile file = file("a");
        assertThrows(SharedFile.UnreadableException.class, file::readIfChanged);
        assertEquals(Optional.empty(), file.readIfChanged(), "it has not changed");
        file("b").write(CONTENT);
        assertArrayEquals(CONTENT, file.readIfChanged().orElseThrow());
    }

    @Test
    void sizeIsBounded() throws Exception {
        assertThrows(IOException.class, () -> file("a").write(new byte[SharedFile.MAX_CONTENT_BYTES + 1]));
        assertFalse(Files.exists(path()));
        byte[] largest = new byte[SharedFile.MAX_CONTENT_BYTES];
        file("a").write(largest);
        assertArrayEquals(largest, file("b").readIfChanged().orElseThrow());
        try (RandomAccessFile grown = new RandomAccessFile(path().toFile(), "rw")) {
            grown.setLength(1L << 40);
        }
        assertThrows(SharedFile.UnreadableException.class, () -> file("b").readIfChanged());
    }

    @Test
    void readerSeesWholeValuesWhileTwoProcessesWrite() throws Exception {
        Thread[] writers = new Thread[2];
        for (int i = 0; i < writers.length; i++) {
            byte[] content = new byte[100_000 + i];
            Arrays.fill(content, (byte) i);
            SharedFile writer = file("w" + i);
            writers[i] = new Thread(() -> {
                for (int count = 0; count < 200; count++) {
                    try {
                        writer.write(content);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            writers[i].start();
        }
        int read = 0;
        SharedFile reader = file("r");
        while (writers[0].isAlive() || writers[1].isAlive()) {
            read += reader.readIfChanged().isPresent() ? 1 : 0;
        }
        assertTrue(read > 0);
    }
}
