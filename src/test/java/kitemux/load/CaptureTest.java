package kitemux.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kitemux.Balancer.Result;
import kitemux.config.Json;
import kitemux.engine.Observer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files of captured load: written, cut off, damaged, full and failing. */
class CaptureTest {
    private static final long NOW = 1_790_000_000_000_000L;

    @TempDir
    private Path folder;

    private final BlockingQueue<String> said = new LinkedBlockingQueue<>();

    private static CapturedRequest seen(int number) {
        return new CapturedRequest(
                NOW + number * 1_000L,
                number % 2,
                number % 3 - 1,
                number % 5 == 0,
                500_000,
                List.of(new CapturedRequest.Attempt("s" + number % 7, 100, 20_000 + number, Result.OK)),
                Observer.RequestOutcome.SERVED,
                20_500 + number);
    }

    private CaptureWriter capture(Path into, int ring, int fileKiB, int keepMiB) throws IOException {
        return new CaptureWriter(
                new LoadSettings(into, ring, (long) fileKiB << 10, (long) keepMiB << 20),
                "n0",
                List.of("page", "order"),
                List.of("a", "b"),
                () -> NOW,
                said::add);
    }

    private List<Path> files(Path in) throws IOException {
        try (Stream<Path> all = Files.list(in)) {
            return all.sorted().toList();
        }
    }

    private Path written(int requests) throws IOException {
        try (CaptureWriter capture = capture(folder, 8_192, 4_096, 16)) {
            for (int i = 0; i < requests; i++) {
                capture.offer(seen(i));
            }
        }
        return files(folder).get(0);
    }

    @Test
    void whatIsWrittenIsReadAgain() throws IOException {
        CaptureFile file = CaptureFile.read(written(1_000));
        assertEquals(
                Stream.iterate(0, i -> i + 1)
                        .limit(1_000)
                        .map(CaptureTest::seen)
                        .toList(),
                file.requests());
        assertEquals("", file.fault());
        assertEquals(0, file.droppedCount());
        assertEquals("n0", file.node());
        assertEquals(List.of("page", "order"), file.classes());
        assertTrue(said.isEmpty(), said::toString);
    }

    @Property(tries = 200)
    void anyBatchIsReadAsItWas(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 1_000_000) Integer> numbers)
            throws IOException {
        List<CapturedRequest> all = new ArrayList<>();
        for (int n : numbers) {
            List<CapturedRequest.Attempt> attempts = new ArrayList<>();
            for (int i = 0; i < n % 4; i++) {
                attempts.add(new CapturedRequest.Attempt(
                        "box-" + n % 11 + i, n * 31L, (long) n * n, Result.values()[n % Result.values().length]));
            }
            // Times go back as well: who came first may be answered last.
            all.add(new CapturedRequest(
                    NOW - n * 977L,
                    n % 2,
                    n % 3 - 1,
                    n % 2 == 0,
                    n,
                    attempts,
                    Observer.RequestOutcome.values()[n % Observer.RequestOutcome.values().length],
                    n * 13L));
        }
        CaptureFormat.Head head = new CaptureFormat.Head(7, "n", NOW, List.of("x", "y"), List.of("t", "u"));
        byte[] frame = CaptureFormat.batch(new CaptureFormat.Batch(numbers.size(), all));
        CaptureFormat.Batch read = CaptureFormat.readBatch(CaptureFormat.payload(java.nio.ByteBuffer.wrap(frame)), head);
        assertEquals(new CaptureFormat.Batch(numbers.size(), all), read);
    }

    /** As a kill leaves it, wherever it was. */
    @Test
    void aFileCutOffAnywhereGivesAllWholeBatchesBeforeThat() throws IOException {
        byte[] head = Files.readAllBytes(written(1));
        byte[] batch = CaptureFormat.batch(new CaptureFormat.Batch(0, List.of(seen(1), seen(2))));
        byte[] all = java.util.Arrays.copyOf(head, head.length + batch.length);
        System.arraycopy(batch, 0, all, head.length, batch.length);
        for (int cut = head.length; cut <= all.length; cut++) {
            Path file = Files.write(folder.resolve("cut"), java.util.Arrays.copyOf(all, cut));
            CaptureFile read = CaptureFile.read(file);
            assertEquals(cut == all.length ? 3 : 1, read.requests().size(), "cut at " + cut);
            assertEquals(cut != all.length && cut != head.length, read.fault().startsWith("cut off"), "at " + cut);
        }
    }

    @Test
    void aFlippedBitIsFoundWhereverItIs() throws IOException {
        byte[] whole = Files.readAllBytes(written(3));
        List<CapturedRequest> seen = CaptureFile.read(files(folder).get(0)).requests();
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Path file = Files.write(folder.resolve("damaged"), damaged);
            try {
                CaptureFile read = CaptureFile.read(file);
                assertTrue(!read.fault().isEmpty() && read.requests().size() < seen.size(), "byte " + at);
            } catch (IOException e) {
                assertTrue(e.getMessage().length() > 5, "byte " + at);
            }
        }
    }

    @Test
    void whatIsNoCapturedLoadIsToldByName() throws IOException {
        Path file = Files.writeString(folder.resolve("notes"), "dear diary");
        IOException told = assertThrows(IOException.class, () -> CaptureFile.read(file));
        assertTrue(told.getMessage().endsWith("notes is no captured load"), told.getMessage());
    }

    @Test
    void whatAFullRingDoesNotTakeIsCountedAndNothingWaits() throws IOException {
        Path into = folder.resolve("ring");
        try (CaptureWriter capture = capture(into, 64, 4_096, 16)) {
            for (int i = 0; i < 100_000; i++) {
                capture.offer(seen(i));
            }
        }
        long kept = 0;
        long leftOut = 0;
        for (Path path : files(into)) {
            CaptureFile file = CaptureFile.read(path);
            kept += file.requests().size();
            leftOut += file.droppedCount();
        }
        assertEquals(100_000, kept + leftOut);
        assertTrue(leftOut > 0, "the ring never filled");
    }

    @Test
    void filesAreEndedBySizeAndTheOldestGo() throws IOException {
        Path into = folder.resolve("many");
        for (int round = 0; round < 12; round++) {
            long at = NOW + round;
            try (CaptureWriter capture = new CaptureWriter(
                    new LoadSettings(into, 8_192, 64 << 10, 192 << 10),
                    "n0",
                    List.of("page", "order"),
                    List.of("a", "b"),
                    () -> at,
                    said::add)) {
                for (int i = 0; i < 4_096; i++) {
                    capture.offer(seen(i * 7_919));
                }
            }
        }
        List<Path> left = files(into);
        long bytes = 0;
        for (Path path : left) {
            bytes += Files.size(path);
        }
        assertTrue(left.size() >= 2 && left.size() < 12, "files: " + left.size());
        assertTrue(bytes <= 256 << 10, "bytes: " + bytes);
        assertTrue(left.get(left.size() - 1).getFileName().toString().startsWith("" + (NOW + 11)), "the newest stays");
    }

    @Test
    void aDiskThatFailsIsToldOnceAndCountsWhatItDidNotTake() throws Exception {
        Path into = folder.resolve("gone");
        try (CaptureWriter capture = capture(into, 8_192, 4_096, 16)) {
            Files.delete(into);
            capture.offer(seen(1));
            capture.offer(seen(2));
            String line = said.poll(20, TimeUnit.SECONDS);
            assertTrue(line != null && line.startsWith("load: what comes is left out and counted"), line);
            Files.createDirectories(into);
            capture.offer(seen(3));
        }
        assertTrue(said.isEmpty(), said::toString);
        CaptureFile file = CaptureFile.read(files(into).get(0));
        assertEquals(List.of(seen(3)), file.requests());
        assertEquals(2, file.droppedCount());
    }

    // ---------------------------------------------------------------- settings

    private static List<String> faults(String json) throws IOException {
        List<String> faults = new ArrayList<>();
        LoadSettings.read(Json.read(json.getBytes()).path("load"), faults);
        return faults;
    }

    @Test
    void everyBadSettingIsToldWithItsField() throws IOException {
        assertEquals(List.of(), faults("{\"load\":{\"folder\":\"/x\"}}"));
        assertEquals(List.of(), faults("{}"));
        List<String> found = faults("{\"load\":{\"ring\":1,\"fileKiB\":\"big\",\"keepMiB\":0,\"colour\":1}}");
        assertEquals(5, found.size(), found::toString);
        assertTrue(found.get(0).startsWith("load.colour is not known"), found::toString);
        assertEquals("load.folder is missing", found.get(1));
        assertEquals(
                List.of("load.keepMiB is less than one file has by load.fileKiB"),
                faults("{\"load\":{\"folder\":\"/x\",\"fileKiB\":4096,\"keepMiB\":2}}"));
    }
}
