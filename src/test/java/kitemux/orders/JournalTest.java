package kitemux.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import kitemux.disk.Disk;
import kitemux.disk.MemoryDisk;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;
import org.junit.jupiter.api.Test;

/** Tests recovery of a journal after power cuts and corruption, deletion of old segments, and look-ups. */
class JournalTest {
    private static final Digest BODY = Digest.of(new byte[] {1, 2, 3});

    private final List<String> logLines = new ArrayList<>();
    private long clockUs = 1_000_000;
    private long segmentAgeUs = Long.MAX_VALUE;
    private long retentionUs;
    private long maxTotalBytes;

    private Journal open(Disk disk, long segmentBytes, long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        return Journal.open(
                disk,
                new Journal.Limits(segmentBytes, segmentAgeUs, retentionUs, maxTotalBytes),
                () -> clockUs++,
                random::nextLong,
                logLines::add);
    }

    static Accepted accepted(long number, String orderId) {
        return new Accepted(number, 5, orderId, "place-order", "school", "cart-" + number, "", 3, BODY);
    }

    /** Returns the entries of all segments on a disk, in order. */
    private static List<Entry> entries(MemoryDisk disk) throws IOException {
        List<Entry> all = new ArrayList<>();
        for (long sequence : SegmentNames.sequences(disk.list())) {
            Segment.read(disk.read(SegmentNames.segmentName(sequence)))
                    .entries()
                    .forEach(p -> all.add(p.entry()));
        }
        return all;
    }

    /** The orders that a run began, and those whose entries were durable before the power cut. */
    private static final class Run {
        final Set<Long> durableIntents = new HashSet<>();
        final Set<Long> durableAnswers = new HashSet<>();
        final Set<Long> begunOrders = new HashSet<>();
    }

    /** Records orders one after the other, each accepted, sent, ended and answered, until the power cut. */
    private Run placeOrders(Disk disk, int count, long segmentBytes) {
        Run run = new Run();
        try (Journal journal = open(disk, segmentBytes, 7)) {
            for (int i = 0; i < count; i++) {
                long number = journal.nextNumber();
                run.begunOrders.add(number);
                journal.append(
                        List.of(accepted(number, "o" + number), new Intent(number, 6, 0, "s1", "127.0.0.1:1", 900)));
                journal.sync();
                run.durableIntents.add(number);
                journal.append(
                        List.of(new Ended(number, 7, 0, Result.OK, true), new Answered(number, 8, Answer.SERVED)));
                journal.sync();
                run.durableAnswers.add(number);
            }
        } catch (IOException e) {
            // The power was cut.
        }
        return run;
    }

    private void recoverAndCheck(MemoryDisk disk, Run run) throws IOException {
        open(disk, 400, 8).close();
        Map<Long, Integer> accepted = new HashMap<>();
        Set<Long> intents = new HashSet<>();
        Set<Long> answers = new HashSet<>();
        Map<Long, Integer> leftOpen = new HashMap<>();
        for (Entry entry : entries(disk)) {
            if (entry instanceof Accepted) {
                accepted.merge(entry.number(), 1, Integer::sum);
            } else if (entry instanceof Intent) {
                intents.add(entry.number());
            } else if (entry instanceof Answered) {
                answers.add(entry.number());
            } else if (entry instanceof LeftOpen) {
                leftOpen.merge(entry.number(), 1, Integer::sum);
            }
        }
        assertTrue(intents.containsAll(run.durableIntents), "a durable intent is missing");
        assertTrue(answers.containsAll(run.durableAnswers));
        assertTrue(run.begunOrders.containsAll(accepted.keySet()), "an order was recorded that was never placed");
        assertTrue(accepted.values().stream().allMatch(n -> n == 1), "an order was recorded twice");
        for (long number : accepted.keySet()) {
            assertEquals(
                    answers.contains(number) ? 0 : 1,
                    leftOpen.getOrDefault(number, 0),
                    "an open order is marked as left open once, any other is not: " + number);
        }
    }

    /** Cuts the power after each disk operation, with different amounts of unsynced data surviving. */
    @Test
    void powerCutAtAnyStepLosesNoDurableEntryAndDuplicatesNone() throws IOException {
        MemoryDisk fullRunDisk = new MemoryDisk();
        assertEquals(12, placeOrders(fullRunDisk, 12, 400).durableAnswers.size());
        assertTrue(SegmentNames.sequences(fullRunDisk.list()).size() > 4, "the run uses several segments");
        for (int operationCount = 0; operationCount <= fullRunDisk.operationCount; operationCount++) {
            for (int unsyncedBytes : new int[] {0, 1, 7, 30, 64, 65, 100, 1_000_000}) {
                MemoryDisk disk = new MemoryDisk();
                disk.operationsUntilFailure = operationCount;
                Run run = placeOrders(disk, 12, 400);
                recoverAndCheck(disk.afterPowerCut(unsyncedBytes), run);
            }
        }
    }

    @Test
    void powerCutDuringRecoveryIsRecovered() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        disk.operationsUntilFailure = 25;
        Run run = placeOrders(disk, 12, 400);
        for (int operationCount = 0; operationCount < 12; operationCount++) {
            MemoryDisk diskAfterCut = disk.afterPowerCut(50);
            diskAfterCut.operationsUntilFailure = operationCount;
            try {
                open(diskAfterCut, 400, 9).close();
            } catch (IOException e) {
                // The power was cut again.
            }
            for (int unsyncedBytes : new int[] {0, 3, 20, 1_000_000}) {
                recoverAndCheck(diskAfterCut.afterPowerCut(unsyncedBytes), run);
            }
        }
    }

    @Test
    void corruptBytesAreLoggedAndHideNoEntryBehindThem() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 5, 1 << 20);
        String name = SegmentNames.segmentName(1);
        byte[] bytes = disk.read(name);
        List<Segment.LocatedEntry> entriesBefore = Segment.read(bytes).entries();
        bytes[entriesBefore.get(4).offset() + Segment.FRAME_HEADER_BYTES + 3] ^= 0x10;
        disk.put(name, bytes);
        open(disk, 1 << 20, 8).close();
        assertTrue(
                logLines.stream()
                        .anyMatch(line -> line.contains(name + ", offset "
                                        + entriesBefore.get(4).offset() + ":")
                                && line.contains("checksum")),
                logLines.toString());
        assertEquals(
                entriesBefore.size() - 1,
                entries(disk).stream().filter(e -> !(e instanceof LeftOpen)).count());
    }

    @Test
    void framesOfAnotherSegmentAreRejected() throws IOException {
        Segment.Header firstHeader = new Segment.Header(1, 11, 0);
        Segment.Header secondHeader = new Segment.Header(2, 22, 0);
        byte[] frame = Segment.encodeFrame(firstHeader, Segment.HEADER_BYTES, accepted(1, "o"));
        byte[] bytes = new byte[Segment.HEADER_BYTES + frame.length];
        System.arraycopy(secondHeader.bytes(), 0, bytes, 0, Segment.HEADER_BYTES);
        System.arraycopy(frame, 0, bytes, Segment.HEADER_BYTES, frame.length);
        assertTrue(Segment.read(bytes).entries().isEmpty());
        System.arraycopy(firstHeader.bytes(), 0, bytes, 0, Segment.HEADER_BYTES);
        assertEquals(1, Segment.read(bytes).entries().size());
    }

    @Test
    void corruptBytesNeitherFailAReaderNorYieldFalseEntries() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 8, 1 << 20);
        byte[] intact = disk.read(SegmentNames.segmentName(1));
        Set<Entry> written = new HashSet<>(entries(disk));
        SplittableRandom random = new SplittableRandom(3);
        int decodedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = intact.clone();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                int at = random.nextInt(bytes.length);
                switch (random.nextInt(3)) {
                    case 0 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                    case 1 -> bytes = java.util.Arrays.copyOf(bytes, Math.max(1, at));
                    default ->
                        System.arraycopy(
                                intact,
                                0,
                                bytes,
                                Math.min(at, bytes.length),
                                Math.min(40, bytes.length - Math.min(at, bytes.length)));
                }
            }
            Segment.Content content = Segment.read(bytes);
            decodedCount += content.entries().size();
            assertTrue(content.entries().stream().allMatch(p -> written.contains(p.entry())));
        }
        assertTrue(decodedCount > 20_000, "most intact entries were still decoded");
    }

    @Test
    void invalidSegmentIsSetAsideAndNotDeleted() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 2, 1 << 20);
        disk.put(SegmentNames.segmentName(2), "half a head".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        try (Journal journal = open(disk, 1 << 20, 8)) {
            assertEquals(3, journal.header().sequence());
            assertEquals(3, journal.nextNumber());
        }
        assertTrue(disk.list().contains(SegmentNames.segmentName(2) + SegmentNames.SET_ASIDE_SUFFIX));
        assertFalse(disk.list().contains(SegmentNames.segmentName(2)));
    }

    @Test
    void segmentEndsByAge() throws IOException {
        segmentAgeUs = 1_000;
        MemoryDisk disk = new MemoryDisk();
        try (Journal journal = open(disk, 1 << 20, 7)) {
            journal.append(List.of(accepted(1, "a")));
            assertEquals(1, journal.header().sequence());
            clockUs += 1_000;
            journal.append(List.of(accepted(2, "b")));
            assertEquals(2, journal.header().sequence());
            clockUs -= 500_000;
            journal.append(List.of(accepted(3, "c")));
            assertEquals(2, journal.header().sequence(), "a clock that is set back ends no segment");
        }
    }

    @Test
    void expiredSegmentsAreDeletedUnlessAnOrderIsOpen() throws IOException {
        retentionUs = 1;
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 12, 400);
        int segmentCount = SegmentNames.sequences(disk.list()).size();
        assertTrue(segmentCount <= 2, segmentCount + " segments remain");
        try (Journal journal = open(disk, 400, 8)) {
            long openNumber = journal.nextNumber();
            journal.append(List.of(accepted(openNumber, "waits"), new Intent(openNumber, 6, 0, "s", "", 9)));
            for (int i = 1; i < 12; i++) {
                journal.append(
                        List.of(accepted(openNumber + i, "o" + i), new Answered(openNumber + i, 8, Answer.REFUSED)));
            }
            journal.sync();
            assertTrue(
                    entries(disk).contains(accepted(openNumber, "waits")),
                    "a segment with an open order stays, however old it is");
            assertEquals(openNumber, journal.oldestOpen());
        }
    }

    @Test
    void oldestSegmentsAreDeletedBySizeUnlessAnOrderIsOpen() throws IOException {
        maxTotalBytes = 2_500;
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 12, 400);
        List<Long> segments = SegmentNames.sequences(disk.list());
        assertTrue(segments.size() > 2 && segments.get(0) > 1, segments + " remain");
        long bytes = 0;
        for (long segment : segments) {
            bytes += disk.size(SegmentNames.segmentName(segment));
        }
        assertTrue(bytes <= maxTotalBytes + 1_000, bytes + " bytes exceed the limit by more than one segment");
        assertTrue(
                disk.list().stream().noneMatch(name -> name.equals(SegmentNames.indexName(1))),
                "an index is deleted with its segment");
        try (Journal journal = open(disk, 400, 8)) {
            long openNumber = journal.nextNumber();
            journal.append(List.of(accepted(openNumber, "waits"), new Intent(openNumber, 6, 0, "s", "", 9)));
            for (int i = 1; i < 30; i++) {
                journal.append(
                        List.of(accepted(openNumber + i, "o" + i), new Answered(openNumber + i, 8, Answer.REFUSED)));
            }
            assertTrue(
                    entries(disk).contains(accepted(openNumber, "waits")),
                    "a segment with an open order stays, however large the journal is");
        }
    }

    @Test
    void reusedIdAfterARestartIsASeparateOrder() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        try (Journal journal = open(disk, 1 << 20, 7)) {
            journal.append(List.of(accepted(1, "same"), new Intent(1, 6, 0, "s", "", 9)));
        }
        try (Journal journal = open(disk, 1 << 20, 8)) {
            long number = journal.nextNumber();
            journal.append(List.of(accepted(number, "same"), new Answered(number, 8, Answer.REFUSED)));
        }
        assertEquals(List.of("same UNKNOWN", "same REFUSED"), findOrders(disk, "same", new int[1]));
    }

    @Test
    void incompleteHeaderOfTheLastSegmentIsTornAndNoFault() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 3, 1 << 20);
        byte[] first = disk.read(SegmentNames.segmentName(1));
        for (int length = 0; length < Segment.HEADER_BYTES; length++) {
            disk.put(SegmentNames.segmentName(2), java.util.Arrays.copyOf(first, length));
            JournalReader.VerificationResult result = new JournalReader(disk).verify();
            assertEquals(List.of(), result.faults(), "an incomplete header of " + length + " bytes is no fault");
            assertEquals(length, result.tornBytes());
        }
        disk.put(SegmentNames.segmentName(2), new byte[Segment.HEADER_BYTES]);
        assertEquals(1, new JournalReader(disk).verify().faults().size(), "the header is complete, but invalid");
        disk.put(SegmentNames.segmentName(2), new byte[3]);
        disk.put(SegmentNames.segmentName(3), first);
        assertEquals(
                2,
                new JournalReader(disk).verify().faults().size(),
                "a torn segment is not the last, and a header has another sequence number");
    }

    private static List<String> findOrders(MemoryDisk disk, String orderId, int[] reads) throws IOException {
        List<String> results = new ArrayList<>();
        disk.segmentReadCount = 0;
        new JournalReader(disk)
                .findHistories(
                        Set.of(orderId),
                        Set.of(),
                        Set.of(),
                        accepted -> true,
                        history -> results.add(history.accepted().orderId() + " " + history.state(false)));
        reads[0] = disk.segmentReadCount;
        return results;
    }

    @Test
    void indexSavesSegmentReadsWithoutChangingResults() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 40, 800);
        List<Long> segments = SegmentNames.sequences(disk.list());
        int[] readsWithIndex = new int[1];
        int[] readsWithoutIndex = new int[1];
        for (int i = 1; i <= 41; i++) {
            List<String> results = findOrders(disk, "o" + i, readsWithIndex);
            MemoryDisk diskWithoutIndexes = disk.afterPowerCut(0);
            for (long segment : segments.subList(0, segments.size() - 1)) {
                diskWithoutIndexes.files().remove(SegmentNames.indexName(segment));
            }
            assertEquals(findOrders(diskWithoutIndexes, "o" + i, readsWithoutIndex), results);
            assertEquals(i <= 40 ? List.of("o" + i + " ANSWERED") : List.of(), results);
            assertTrue(
                    readsWithIndex[0] <= 4 && readsWithoutIndex[0] == segments.size(),
                    readsWithIndex[0] + " of " + readsWithoutIndex[0]);
            if (i == 41) {
                assertEquals(segments.size() - 1, new JournalReader(diskWithoutIndexes).rebuildIndexes());
                assertEquals(0, new JournalReader(diskWithoutIndexes).rebuildIndexes());
                findOrders(diskWithoutIndexes, "o7", readsWithIndex);
                assertTrue(readsWithIndex[0] <= 4, "a rebuilt index saves as many reads");
            }
        }
    }

    @Test
    void corruptOrOutdatedIndexIsIgnored() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        placeOrders(disk, 12, 800);
        String name = SegmentNames.indexName(1);
        byte[] intact = disk.read(name);
        assertTrue(SegmentIndex.read(intact).matches(1, disk.size(SegmentNames.segmentName(1))));
        assertFalse(SegmentIndex.read(intact).matches(2, disk.size(SegmentNames.segmentName(1))));
        assertFalse(SegmentIndex.read(intact).matches(1, disk.size(SegmentNames.segmentName(1)) + 1));
        for (int i = 0; i < intact.length; i++) {
            byte[] corrupt = intact.clone();
            corrupt[i] ^= 1;
            disk.put(name, corrupt);
            assertEquals(List.of("o1 ANSWERED"), findOrders(disk, "o1", new int[1]), "byte " + i);
        }
        for (int length = 0; length < intact.length; length++) {
            assertEquals(null, SegmentIndex.read(java.util.Arrays.copyOf(intact, length)));
        }
    }
}
