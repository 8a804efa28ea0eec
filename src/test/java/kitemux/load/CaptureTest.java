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

/** Tests writing and reading capture files, with truncation, corruption, a full ring and a failing disk. */
class CaptureTest {
    private static final long NOW_US = 1_790_000_000_000_000L;

    @TempDir
    private Path folder;

    private final BlockingQueue<String> operatorLines = new LinkedBlockingQueue<>();

    private static CapturedRequest request(int number) {
        return new CapturedRequest(
                NOW_US + number * 1_000L,
                number % 2,
                number % 3 - 1,
                number % 5 == 0,
                500_000,
                List.of(new CapturedRequest.Attempt("s" + number % 7, 100, 20_000 + number, Result.OK)),
                Observer.RequestOutcome.SERVED,
                20_500 + number);
    }

    private CaptureWriter openWriter(Path subfolder, int ring, int fileKiB, int keepMiB) throws IOException {
        return new CaptureWriter(
                new LoadSettings(subfolder, ring, (long) fileKiB << 10, (long) keepMiB << 20),
                "n0",
                List.of("page", "order"),
                List.of("a", "b"),
                () -> NOW_US,
                operatorLines::add);
    }

    private List<Path> listFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.sorted().toList();
        }
    }

    private Path writeFile(int requestCount) throws IOException {
        try (CaptureWriter writer = openWriter(folder, 8_192, 4_096, 16)) {
            for (int i = 0; i < requestCount; i++) {
                writer.offer(request(i));
            }
        }
        return listFiles(folder).get(0);
    }

    @Test
    void readsBackWhatWasWritten() throws IOException {
        CaptureFile file = CaptureFile.read(writeFile(1_000));
        assertEquals(
                Stream.iterate(0, i -> i + 1)
                        .limit(1_000)
                        .map(CaptureTest::request)
                        .toList(),
                file.requests());
        assertEquals("", file.fault());
        assertEquals(0, file.droppedCount());
        assertEquals("n0", file.node());
        assertEquals(List.of("page", "order"), file.classes());
        assertTrue(operatorLines.isEmpty(), operatorLines::toString);
    }

    @Property(tries = 200)
    void everyBatchIsDecodedAsItWasEncoded(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 1_000_000) Integer> numbers) throws IOException {
        List<CapturedRequest> requests = new ArrayList<>();
        for (int n : numbers) {
            List<CapturedRequest.Attempt> attempts = new ArrayList<>();
            for (int i = 0; i < n % 4; i++) {
                attempts.add(new CapturedRequest.Attempt(
                        "box-" + n % 11 + i, n * 31L, (long) n * n, Result.values()[n % Result.values().length]));
            }
            // Arrival times also decrease: the request that arrived first may be answered last.
            requests.add(new CapturedRequest(
                    NOW_US - n * 977L,
                    n % 2,
                    n % 3 - 1,
                    n % 2 == 0,
                    n,
                    attempts,
                    Observer.RequestOutcome.values()[n % Observer.RequestOutcome.values().length],
                    n * 13L));
        }
        CaptureFormat.Header header = new CaptureFormat.Header(7, "n", NOW_US, List.of("x", "y"), List.of("t", "u"));
        byte[] frame = CaptureFormat.encodeBatch(new CaptureFormat.Batch(numbers.size(), requests));
        CaptureFormat.Batch read =
                CaptureFormat.readBatch(CaptureFormat.readPayload(java.nio.ByteBuffer.wrap(frame)), header);
        assertEquals(new CaptureFormat.Batch(numbers.size(), requests), read);
    }

    /** A kill of the node may truncate the file at any byte. */
    @Test
    void truncatedFileYieldsAllCompleteBatches() throws IOException {
        byte[] firstPart = Files.readAllBytes(writeFile(1));
        byte[] batch = CaptureFormat.encodeBatch(new CaptureFormat.Batch(0, List.of(request(1), request(2))));
        byte[] fileBytes = java.util.Arrays.copyOf(firstPart, firstPart.length + batch.length);
        System.arraycopy(batch, 0, fileBytes, firstPart.length, batch.length);
        for (int length = firstPart.length; length <= fileBytes.length; length++) {
            Path file = Files.write(folder.resolve("cut"), java.util.Arrays.copyOf(fileBytes, length));
            CaptureFile read = CaptureFile.read(file);
            assertEquals(length == fileBytes.length ? 3 : 1, read.requests().size(), "cut at " + length);
            assertEquals(
                    length != fileBytes.length && length != firstPart.length,
                    read.fault().startsWith("cut off"),
                    "at " + length);
        }
    }

    @Test
    void flippedBitIsDetectedAtAnyByte() throws IOException {
        byte[] intact = Files.readAllBytes(writeFile(3));
        List<CapturedRequest> written =
                CaptureFile.read(listFiles(folder).get(0)).requests();
        for (int position = 0; position < intact.length; position++) {
            byte[] damaged = intact.clone();
            damaged[position] ^= 0x10;
            Path file = Files.write(folder.resolve("damaged"), damaged);
            try {
                CaptureFile read = CaptureFile.read(file);
                assertTrue(!read.fault().isEmpty() && read.requests().size() < written.size(), "byte " + position);
            } catch (IOException e) {
                assertTrue(e.getMessage().length() > 5, "byte " + position);
            }
        }
    }

    @Test
    void otherFileIsRejectedByName() throws IOException {
        Path file = Files.writeString(folder.resolve("notes"), "dear diary");
        IOException exception = assertThrows(IOException.class, () -> CaptureFile.read(file));
        assertTrue(exception.getMessage().endsWith("notes is no captured load"), exception.getMessage());
    }

    @Test
    void fullRingDropsAndCountsRequestsWithoutBlocking() throws IOException {
        Path subfolder = folder.resolve("ring");
        try (CaptureWriter writer = openWriter(subfolder, 64, 4_096, 16)) {
            for (int i = 0; i < 100_000; i++) {
                writer.offer(request(i));
            }
        }
        long writtenCount = 0;
        long droppedCount = 0;
        for (Path path : listFiles(subfolder)) {
            CaptureFile file = CaptureFile.read(path);
            writtenCount += file.requests().size();
            droppedCount += file.droppedCount();
        }
        assertEquals(100_000, writtenCount + droppedCount);
        assertTrue(droppedCount > 0, "the ring was never full");
    }

    @Test
    void filesEndBySizeAndTheOldestAreDeleted() throws IOException {
        Path subfolder = folder.resolve("many");
        for (int round = 0; round < 12; round++) {
            long createdUs = NOW_US + round;
            try (CaptureWriter writer = new CaptureWriter(
                    new LoadSettings(subfolder, 8_192, 64 << 10, 192 << 10),
                    "n0",
                    List.of("page", "order"),
                    List.of("a", "b"),
                    () -> createdUs,
                    operatorLines::add)) {
                for (int i = 0; i < 4_096; i++) {
                    writer.offer(request(i * 7_919));
                }
            }
        }
        List<Path> remaining = listFiles(subfolder);
        long bytes = 0;
        for (Path path : remaining) {
            bytes += Files.size(path);
        }
        assertTrue(remaining.size() >= 2 && remaining.size() < 12, "files: " + remaining.size());
        assertTrue(bytes <= 256 << 10, "bytes: " + bytes);
        assertTrue(
                remaining.get(remaining.size() - 1).getFileName().toString().startsWith("" + (NOW_US + 11)),
                "the newest file remains");
    }

    @Test
    void diskFailureIsLoggedOnceAndDroppedRequestsAreCounted() throws Exception {
        Path subfolder = folder.resolve("gone");
        try (CaptureWriter writer = openWriter(subfolder, 8_192, 4_096, 16)) {
            Files.delete(subfolder);
            writer.offer(request(1));
            writer.offer(request(2));
            String line = operatorLines.poll(20, TimeUnit.SECONDS);
            assertTrue(line != null && line.startsWith("load: requests are dropped and counted"), line);
            Files.createDirectories(subfolder);
            writer.offer(request(3));
        }
        assertTrue(operatorLines.isEmpty(), operatorLines::toString);
        CaptureFile file = CaptureFile.read(listFiles(subfolder).get(0));
        assertEquals(List.of(request(3)), file.requests());
        assertEquals(2, file.droppedCount());
    }

    // ---------------------------------------------------------------- settings

    private static List<String> faults(String json) throws IOException {
        List<String> faults = new ArrayList<>();
        LoadSettings.read(Json.read(json.getBytes()).path("load"), faults);
        return faults;
    }

    @Test
    void everyInvalidSettingIsReportedWithItsField() throws IOException {
        assertEquals(List.of(), faults("{\"load\":{\"folder\":\"/x\"}}"));
        assertEquals(List.of(), faults("{}"));
        List<String> reported = faults("{\"load\":{\"ring\":1,\"fileKiB\":\"big\",\"keepMiB\":0,\"colour\":1}}");
        assertEquals(5, reported.size(), reported::toString);
        assertTrue(reported.get(0).startsWith("load.colour is not known"), reported::toString);
        assertEquals("load.folder is missing", reported.get(1));
        assertEquals(
                List.of("load.keepMiB must be at least the size of one file, load.fileKiB"),
                faults("{\"load\":{\"folder\":\"/x\",\"fileKiB\":4096,\"keepMiB\":2}}"));
    }
}
