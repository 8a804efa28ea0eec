package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import kitemux.disk.Disk;
import kitemux.disk.MemoryDisk;
import kitemux.rollout.Ballot;
import kitemux.rollout.Change;
import kitemux.rollout.LogRecord;
import kitemux.rollout.Version;
import kitemux.rollout.Vote;
import org.junit.jupiter.api.Test;

class KeeperFolderTest {
    private final AtomicLong draws = new AtomicLong(0x9f2c);
    private final List<String> said = new ArrayList<>();

    private KeeperFolder open(Disk disk) throws IOException {
        return KeeperFolder.open(disk, 3, draws::incrementAndGet, said::add);
    }

    private static Change change(long rev) {
        return Change.of(
                String.format("%016x", rev), rev - 1, Map.of("realms/a", "{\"quotaPerS\":" + rev + "}"), List.of());
    }

    private static LogRecord chosen(long rev) {
        return new LogRecord.Chosen(new Version(rev, change(rev)));
    }

    private static LogRecord voted(long rev) {
        return new LogRecord.Voted(new Vote(rev, new Ballot(4, 1), new Ballot(2, 0), change(rev)));
    }

    private static final List<LogRecord> RECORDS = List.of(
            new LogRecord.Snapshot(7, new TreeMap<>(Map.of("realms/b", "{\"quotaPerS\":2}"))),
            voted(8),
            chosen(8),
            voted(9),
            chosen(9),
            voted(10));

    private MemoryDisk written() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        KeeperFolder folder = open(disk);
        folder.write(RECORDS);
        folder.sync();
        return disk;
    }

    private static byte[] bytes(MemoryDisk disk) {
        return disk.files().get(KeeperFolder.FILE).toByteArray();
    }

    private static MemoryDisk holding(byte[] file) {
        MemoryDisk disk = new MemoryDisk();
        disk.put(KeeperFolder.FILE, file);
        return disk;
    }

    @Test
    void whatWasWrittenIsFoundUnderTheSameIdentity() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        KeeperFolder first = open(disk);
        assertEquals(List.of(), first.found());
        first.write(RECORDS.subList(0, 4));
        first.sync();
        first.write(RECORDS.subList(4, 6));
        first.sync();
        KeeperFolder next = open(disk);
        assertEquals(first.identity(), next.identity());
        assertEquals(RECORDS, next.found());
        assertEquals(List.of(), said);
        next.write(List.of(chosen(10)));
        assertEquals(7, open(disk).found().size(), "it goes on behind what was there");
    }

    @Test
    void anEmptyFolderHasANewIdentity() throws IOException {
        assertNotEquals(
                open(new MemoryDisk()).identity(), open(new MemoryDisk()).identity());
    }

    @Test
    void anotherKeepersFolderIsNotTaken() throws IOException {
        MemoryDisk disk = written();
        IOException told =
                assertThrows(IOException.class, () -> KeeperFolder.open(disk, 2, draws::incrementAndGet, said::add));
        assertEquals("records is of keeper 3, and this is keeper 2", told.getMessage());
        assertEquals(RECORDS, open(disk).found());
    }

    /** Wherever a crash cuts the last record, the others stand, and so does the identity. */
    @Test
    void aTornRecordIsToldAndCutOff() throws IOException {
        MemoryDisk whole = written();
        byte[] file = bytes(whole);
        String identity = open(whole).identity();
        int last = file.length - 1;
        while (file[last - 1] != '\n') {
            last--;
        }
        for (int length = last + 1; length < file.length; length++) {
            said.clear();
            MemoryDisk disk = holding(java.util.Arrays.copyOf(file, length));
            KeeperFolder folder = open(disk);
            assertEquals(identity, folder.identity());
            assertEquals(RECORDS.subList(0, 5), folder.found());
            assertEquals(
                    List.of("folder: records, offset " + last + ": " + (length - last)
                            + " bytes of a record that was not written to its end are cut off"),
                    said);
            assertEquals(last, bytes(disk).length);
        }
    }

    /** Each byte of each record but the file's last, which alone cannot be told from a torn record's. */
    @Test
    void aSpoiltRecordMakesALearnerOfAVoter() throws IOException {
        MemoryDisk whole = written();
        byte[] file = bytes(whole);
        String identity = open(whole).identity();
        int head = new String(file, java.nio.charset.StandardCharsets.UTF_8).indexOf('\n') + 1;
        for (int at = 0; at < file.length - 1; at++) {
            said.clear();
            byte[] spoilt = file.clone();
            spoilt[at] ^= 0x11;
            MemoryDisk disk = holding(spoilt);
            KeeperFolder folder = open(disk);
            assertNotEquals(identity, folder.identity(), "byte " + at);
            assertTrue(folder.found().stream().noneMatch(kept -> kept instanceof LogRecord.Voted), "byte " + at);
            if (at >= head) {
                List<LogRecord> versions = RECORDS.stream()
                        .filter(kept -> !(kept instanceof LogRecord.Voted))
                        .toList();
                assertEquals(versions.subList(0, folder.found().size()), folder.found());
            }
            assertEquals(1, said.size(), "byte " + at);
            assertTrue(
                    said.get(0)
                            .matches("folder: records, offset \\d+: .*; it is set aside as "
                                    + "records\\.spoilt-1, and this keeper begins anew without a vote"),
                    said.get(0));
            assertEquals(spoilt.length, disk.files().get("records.spoilt-1").size(), "nothing is deleted");
            assertEquals(folder.identity(), open(disk).identity(), "and it stays that one");
        }
    }

    /** The power goes at each operation in turn: what was synced is there, under one identity. */
    @Test
    void whatWasSyncedIsThereAfterAPowerCut() throws IOException {
        int operations = 0;
        for (int failAfter = 0; ; failAfter++) {
            MemoryDisk disk = new MemoryDisk();
            disk.operationsUntilFailure = failAfter;
            int synced = 0;
            String identity = null;
            boolean done = false;
            try {
                KeeperFolder folder = open(disk);
                identity = folder.identity();
                for (; synced < RECORDS.size(); synced++) {
                    folder.write(List.of(RECORDS.get(synced)));
                    folder.sync();
                }
                folder.renew(RECORDS);
                done = true;
            } catch (IOException e) {
                operations++;
            }
            for (int unsynced : new int[] {0, 1, 40, 1 << 20}) {
                KeeperFolder found = open(disk.afterPowerCut(unsynced));
                if (identity != null) {
                    assertEquals(identity, found.identity(), failAfter + " " + unsynced);
                }
                assertTrue(found.found().size() >= synced, failAfter + " " + unsynced);
                assertEquals(RECORDS.subList(0, found.found().size()), found.found());
            }
            if (done) {
                break;
            }
        }
        assertTrue(operations > 20, "the power went at " + operations + " operations");
    }

    @Test
    void whatIsWrittenAnewStandsAlone() throws IOException {
        MemoryDisk disk = written();
        KeeperFolder folder = open(disk);
        folder.renew(List.of(chosen(1)));
        folder.write(List.of(chosen(2)));
        folder.sync();
        KeeperFolder next = open(disk);
        assertEquals(folder.identity(), next.identity());
        assertEquals(List.of(chosen(1), chosen(2)), next.found());
        assertEquals(List.of(KeeperFolder.FILE), disk.list());
    }
}
