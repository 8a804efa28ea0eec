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
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Result;
import kitemux.orders.Entry.Accepted;
import org.junit.jupiter.api.Test;

/** A journal whose power is cut, at each of its steps. */
class JournalTest {
    private static final Digest BODY = Digest.of(new byte[] {1, 2, 3});

    private final List<String> lines = new ArrayList<>();
    private long clockUs = 1_000_000;
    private long ageUs = Long.MAX_VALUE;
    private long keepUs;
    private long keepBytes;

    private Journal open(Disk disk, long mostSegment, long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        return Journal.open(
                disk,
                new Journal.Limits(mostSegment, ageUs, keepUs, keepBytes),
                () -> clockUs++,
                random::nextLong,
                lines::add);
    }

    static Accepted accepted(long number, String order) {
        return new Accepted(number, 5, order, "place-order", "school", "cart-" + number, "", 3, BODY);
    }

    /** All entries of a disk in their order, and what stands between them. */
    private static List<Entry> entries(MemoryDisk disk) throws IOException {
        List<Entry> all = new ArrayList<>();
        for (long sequence : SegmentNames.sequences(disk.list())) {
            Segment.read(disk.read(SegmentNames.of(sequence))).entries().forEach(p -> all.add(p.entry()));
        }
        return all;
    }

    /** What a run of orders was told to be durable before the power went. */
    private static final class Run {
        final Set<Long> durableIntents = new HashSet<>();
        final Set<Long> durableAnswers = new HashSet<>();
        final Set<Long> begun = new HashSet<>();
    }

    /** Orders one after the other, each taken, sent, ended and answered, until the power goes. */
    private Run orders(Disk disk, int count, long mostSegment) {
        Run run = new Run();
        try (Journal journal = open(disk, mostSegment, 7)) {
            for (int i = 0; i < count; i++) {
                long number = journal.next();
                run.begun.add(number);
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
            // The power went.
        }
        return run;
    }

    private void check(MemoryDisk found, Run run) throws IOException {
        open(found, 400, 8).close();
        Map<Long, Integer> taken = new HashMap<>();
        Set<Long> intents = new HashSet<>();
        Set<Long> answers = new HashSet<>();
        Map<Long, Integer> left = new HashMap<>();
        for (Entry entry : entries(found)) {
            if (entry instanceof Accepted) {
                taken.merge(entry.number(), 1, Integer::sum);
            } else if (entry instanceof Intent) {
                intents.add(entry.number());
            } else if (entry instanceof Answered) {
                answers.add(entry.number());
            } else if (entry instanceof LeftOpen) {
                left.merge(entry.number(), 1, Integer::sum);
            }
        }
        assertTrue(intents.containsAll(run.durableIntents), "a send without its record");
        assertTrue(answers.containsAll(run.durableAnswers));
        assertTrue(run.begun.containsAll(taken.keySet()), "an order that nobody sent");
        assertTrue(taken.values().stream().allMatch(n -> n == 1), "an order recorded twice");
        for (long number : taken.keySet()) {
            assertEquals(
                    answers.contains(number) ? 0 : 1,
                    left.getOrDefault(number, 0),
                    "open orders are marked, once, and no others: " + number);
        }
    }

    @Test
    void whereverThePowerIsCutNoSendIsWithoutItsRecordAndNoneIsThereTwice() throws IOException {
        MemoryDisk whole = new MemoryDisk();
        assertEquals(12, orders(whole, 12, 400).durableAnswers.size());
        assertTrue(SegmentNames.sequences(whole.list()).size() > 4, "segments were ended on the way");
        for (int cut = 0; cut <= whole.operationCount; cut++) {
            for (int unsynced : new int[] {0, 1, 7, 30, 64, 65, 100, 1_000_000}) {
                MemoryDisk disk = new MemoryDisk();
                disk.operationsUntilFailure = cut;
                Run run = orders(disk, 12, 400);
                check(disk.afterPowerCut(unsynced), run);
            }
        }
    }

    @Test
    void aPowerCutInTheMiddleOfARecoveryIsRecoveredFromAsWell() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        disk.operationsUntilFailure = 25;
        Run run = orders(disk, 12, 400);
        for (int cut = 0; cut < 12; cut++) {
            MemoryDisk found = disk.afterPowerCut(50);
            found.operationsUntilFailure = cut;
            try {
                open(found, 400, 9).close();
            } catch (IOException e) {
                // The power went again.
            }
            for (int unsynced : new int[] {0, 3, 20, 1_000_000}) {
                check(found.afterPowerCut(unsynced), run);
            }
        }
    }

    @Test
    void bytesSpoiltInTheMiddleHideNothingBehindThemAndAreNamed() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 5, 1 << 20);
        String name = SegmentNames.of(1);
        byte[] bytes = disk.read(name);
        List<Segment.Placed> before = Segment.read(bytes).entries();
        bytes[before.get(4).offset() + Segment.FRAME + 3] ^= 0x10;
        disk.put(name, bytes);
        open(disk, 1 << 20, 8).close();
        assertTrue(
                lines.stream()
                        .anyMatch(line ->
                                line.contains(name + ", offset " + before.get(4).offset() + ":")
                                        && line.contains("checksum")),
                lines.toString());
        assertEquals(
                before.size() - 1,
                entries(disk).stream().filter(e -> !(e instanceof LeftOpen)).count());
    }

    @Test
    void anOldSegmentsBytesDoNotPassForEntriesOfANewOne() throws IOException {
        Segment.Header first = new Segment.Header(1, 11, 0);
        Segment.Header second = new Segment.Header(2, 22, 0);
        byte[] frame = Segment.frame(first, Segment.HEADER, accepted(1, "o"));
        byte[] bytes = new byte[Segment.HEADER + frame.length];
        System.arraycopy(second.bytes(), 0, bytes, 0, Segment.HEADER);
        System.arraycopy(frame, 0, bytes, Segment.HEADER, frame.length);
        assertTrue(Segment.read(bytes).entries().isEmpty());
        System.arraycopy(first.bytes(), 0, bytes, 0, Segment.HEADER);
        assertEquals(1, Segment.read(bytes).entries().size());
    }

    @Test
    void spoiltBytesNeverFailAReaderNorYieldWhatWasNotWritten() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 8, 1 << 20);
        byte[] sound = disk.read(SegmentNames.of(1));
        Set<Entry> written = new HashSet<>(entries(disk));
        SplittableRandom random = new SplittableRandom(3);
        int yielded = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = sound.clone();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                int at = random.nextInt(bytes.length);
                switch (random.nextInt(3)) {
                    case 0 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                    case 1 -> bytes = java.util.Arrays.copyOf(bytes, Math.max(1, at));
                    default ->
                        System.arraycopy(
                                sound,
                                0,
                                bytes,
                                Math.min(at, bytes.length),
                                Math.min(40, bytes.length - Math.min(at, bytes.length)));
                }
            }
            Segment.Content content = Segment.read(bytes);
            yielded += content.entries().size();
            assertTrue(content.entries().stream().allMatch(p -> written.contains(p.entry())));
        }
        assertTrue(yielded > 20_000, "most of it was still read");
    }

    @Test
    void whatIsNoSegmentIsSetAsideAndNotDeleted() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 2, 1 << 20);
        disk.put(SegmentNames.of(2), "half a head".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        try (Journal journal = open(disk, 1 << 20, 8)) {
            assertEquals(3, journal.header().sequence());
            assertEquals(3, journal.next());
        }
        assertTrue(disk.list().contains(SegmentNames.of(2) + SegmentNames.ASIDE));
        assertFalse(disk.list().contains(SegmentNames.of(2)));
    }

    @Test
    void aSegmentEndsWhenItIsOldToo() throws IOException {
        ageUs = 1_000;
        MemoryDisk disk = new MemoryDisk();
        try (Journal journal = open(disk, 1 << 20, 7)) {
            journal.append(List.of(accepted(1, "a")));
            assertEquals(1, journal.header().sequence());
            clockUs += 1_000;
            journal.append(List.of(accepted(2, "b")));
            assertEquals(2, journal.header().sequence());
            clockUs -= 500_000;
            journal.append(List.of(accepted(3, "c")));
            assertEquals(2, journal.header().sequence(), "a clock that is set back ends nothing");
        }
    }

    @Test
    void oldSegmentsAreTakenAwayButNoneWithAnOpenOrder() throws IOException {
        keepUs = 1;
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 12, 400);
        int kept = SegmentNames.sequences(disk.list()).size();
        assertTrue(kept <= 2, kept + " segments are kept");
        try (Journal journal = open(disk, 400, 8)) {
            long waiting = journal.next();
            journal.append(List.of(accepted(waiting, "waits"), new Intent(waiting, 6, 0, "s", "", 9)));
            for (int i = 1; i < 12; i++) {
                journal.append(List.of(accepted(waiting + i, "o" + i), new Answered(waiting + i, 8, Answer.REFUSED)));
            }
            journal.sync();
            assertTrue(entries(disk).contains(accepted(waiting, "waits")), "open, however old");
            assertEquals(waiting, journal.oldestOpen());
        }
    }

    @Test
    void theOldestGoWhileThereIsTooMuchAndNoneWithAnOpenOrder() throws IOException {
        keepBytes = 2_500;
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 12, 400);
        List<Long> segments = SegmentNames.sequences(disk.list());
        assertTrue(segments.size() > 2 && segments.get(0) > 1, segments + " are kept");
        long bytes = 0;
        for (long segment : segments) {
            bytes += disk.size(SegmentNames.of(segment));
        }
        assertTrue(bytes <= keepBytes + 1_000, bytes + " bytes: at most what one segment holds beyond");
        assertTrue(
                disk.list().stream().noneMatch(name -> name.equals(SegmentNames.index(1))),
                "an index goes with its segment");
        try (Journal journal = open(disk, 400, 8)) {
            long waiting = journal.next();
            journal.append(List.of(accepted(waiting, "waits"), new Intent(waiting, 6, 0, "s", "", 9)));
            for (int i = 1; i < 30; i++) {
                journal.append(List.of(accepted(waiting + i, "o" + i), new Answered(waiting + i, 8, Answer.REFUSED)));
            }
            assertTrue(entries(disk).contains(accepted(waiting, "waits")), "open, however much there is");
        }
    }

    @Test
    void anIdThatComesAgainAfterARestartIsAnOrderOfItsOwn() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        try (Journal journal = open(disk, 1 << 20, 7)) {
            journal.append(List.of(accepted(1, "same"), new Intent(1, 6, 0, "s", "", 9)));
        }
        try (Journal journal = open(disk, 1 << 20, 8)) {
            long number = journal.next();
            journal.append(List.of(accepted(number, "same"), new Answered(number, 8, Answer.REFUSED)));
        }
        assertEquals(List.of("same UNKNOWN", "same REFUSED"), found(disk, "same", new int[1]));
    }

    @Test
    void aLastSegmentWithoutAWholeHeaderIsTornAndNoFault() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 3, 1 << 20);
        byte[] first = disk.read(SegmentNames.of(1));
        for (int length = 0; length < Segment.HEADER; length++) {
            disk.put(SegmentNames.of(2), java.util.Arrays.copyOf(first, length));
            JournalReader.VerificationResult verdict = new JournalReader(disk).verify();
            assertEquals(List.of(), verdict.faults(), "a node died, or is, before " + length + " bytes");
            assertEquals(length, verdict.tornBytes());
        }
        disk.put(SegmentNames.of(2), new byte[Segment.HEADER]);
        assertEquals(1, new JournalReader(disk).verify().faults().size(), "long enough, and no header");
        disk.put(SegmentNames.of(2), new byte[3]);
        disk.put(SegmentNames.of(3), first);
        assertEquals(
                2, new JournalReader(disk).verify().faults().size(), "not the last, and one that says it is another");
    }

    private static List<String> found(MemoryDisk disk, String order, int[] reads) throws IOException {
        List<String> found = new ArrayList<>();
        disk.segmentReadCount = 0;
        new JournalReader(disk)
                .findHistories(
                        Set.of(order),
                        Set.of(),
                        Set.of(),
                        taken -> true,
                        story -> found.add(story.accepted().orderId() + " " + story.state(false)));
        reads[0] = disk.segmentReadCount;
        return found;
    }

    @Test
    void anIndexSparesTheReadingOfSegmentsAndChangesNoAnswer() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 40, 800);
        List<Long> segments = SegmentNames.sequences(disk.list());
        int[] with = new int[1];
        int[] without = new int[1];
        for (int i = 1; i <= 41; i++) {
            List<String> quick = found(disk, "o" + i, with);
            MemoryDisk bare = disk.afterPowerCut(0);
            for (long segment : segments.subList(0, segments.size() - 1)) {
                bare.files().remove(SegmentNames.index(segment));
            }
            assertEquals(found(bare, "o" + i, without), quick);
            assertEquals(i <= 40 ? List.of("o" + i + " ANSWERED") : List.of(), quick);
            assertTrue(with[0] <= 4 && without[0] == segments.size(), with[0] + " of " + without[0]);
            if (i == 41) {
                assertEquals(segments.size() - 1, new JournalReader(bare).rebuildIndexes());
                assertEquals(0, new JournalReader(bare).rebuildIndexes());
                found(bare, "o7", with);
                assertTrue(with[0] <= 4, "made anew, it spares as much");
            }
        }
    }

    @Test
    void anIndexThatIsSpoiltOrOfAnotherTimeCountsAsNone() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        orders(disk, 12, 800);
        String name = SegmentNames.index(1);
        byte[] sound = disk.read(name);
        assertTrue(SegmentIndex.read(sound).isOf(1, disk.size(SegmentNames.of(1))));
        assertFalse(SegmentIndex.read(sound).isOf(2, disk.size(SegmentNames.of(1))));
        assertFalse(SegmentIndex.read(sound).isOf(1, disk.size(SegmentNames.of(1)) + 1));
        for (int i = 0; i < sound.length; i++) {
            byte[] spoilt = sound.clone();
            spoilt[i] ^= 1;
            disk.put(name, spoilt);
            assertEquals(List.of("o1 ANSWERED"), found(disk, "o1", new int[1]), "byte " + i);
        }
        for (int length = 0; length < sound.length; length++) {
            assertEquals(null, SegmentIndex.read(java.util.Arrays.copyOf(sound, length)));
        }
    }
}
