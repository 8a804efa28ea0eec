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

/** Records of a keeper across restarts, torn writes, corruption and power cuts. */
class KeeperFolderTest {
    private final AtomicLong nextIdentity = new AtomicLong(0x9f2c);
    private final List<String> messages = new ArrayList<>();

    private KeeperFolder open(Disk disk) throws IOException {
        return KeeperFolder.open(disk, 3, nextIdentity::incrementAndGet, messages::add);
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

    private MemoryDisk diskWithRecords() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        KeeperFolder folder = open(disk);
        folder.append(RECORDS);
        folder.sync();
        return disk;
    }

    private static byte[] recordsFile(MemoryDisk disk) {
        return disk.files().get(KeeperFolder.RECORDS_FILE).toByteArray();
    }

    private static MemoryDisk diskWithFile(byte[] file) {
        MemoryDisk disk = new MemoryDisk();
        disk.put(KeeperFolder.RECORDS_FILE, file);
        return disk;
    }

    @Test
    void writtenRecordsAreRecoveredUnderSameIdentity() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        KeeperFolder first = open(disk);
        assertEquals(List.of(), first.recoveredRecords());
        first.append(RECORDS.subList(0, 4));
        first.sync();
        first.append(RECORDS.subList(4, 6));
        first.sync();
        KeeperFolder next = open(disk);
        assertEquals(first.identity(), next.identity());
        assertEquals(RECORDS, next.recoveredRecords());
        assertEquals(List.of(), messages);
        next.append(List.of(chosen(10)));
        assertEquals(7, open(disk).recoveredRecords().size(), "new records are appended");
    }

    @Test
    void emptyFolderGetsNewIdentity() throws IOException {
        assertNotEquals(
                open(new MemoryDisk()).identity(), open(new MemoryDisk()).identity());
    }

    @Test
    void folderOfAnotherKeeperIsRejected() throws IOException {
        MemoryDisk disk = diskWithRecords();
        IOException error = assertThrows(
                IOException.class, () -> KeeperFolder.open(disk, 2, nextIdentity::incrementAndGet, messages::add));
        assertEquals("records is of keeper 3, and this is keeper 2", error.getMessage());
        assertEquals(RECORDS, open(disk).recoveredRecords());
    }

    /** A crash may cut the last record at any byte; the earlier records and the identity must survive. */
    @Test
    void tornRecordIsLoggedAndCutOff() throws IOException {
        MemoryDisk whole = diskWithRecords();
        byte[] file = recordsFile(whole);
        String identity = open(whole).identity();
        int last = file.length - 1;
        while (file[last - 1] != '\n') {
            last--;
        }
        for (int length = last + 1; length < file.length; length++) {
            messages.clear();
            MemoryDisk disk = diskWithFile(java.util.Arrays.copyOf(file, length));
            KeeperFolder folder = open(disk);
            assertEquals(identity, folder.identity());
            assertEquals(RECORDS.subList(0, 5), folder.recoveredRecords());
            assertEquals(
                    List.of("folder: records, offset " + last + ": " + (length - last)
                            + " bytes of a record that was not written to its end are cut off"),
                    messages);
            assertEquals(last, recordsFile(disk).length);
        }
    }

    /** Corrupts each byte but the last of the file, which cannot be distinguished from a torn record. */
    @Test
    void corruptRecordTurnsVoterIntoLearner() throws IOException {
        MemoryDisk whole = diskWithRecords();
        byte[] file = recordsFile(whole);
        String identity = open(whole).identity();
        int headerBytes = new String(file, java.nio.charset.StandardCharsets.UTF_8).indexOf('\n') + 1;
        for (int at = 0; at < file.length - 1; at++) {
            messages.clear();
            byte[] corrupt = file.clone();
            corrupt[at] ^= 0x11;
            MemoryDisk disk = diskWithFile(corrupt);
            KeeperFolder folder = open(disk);
            assertNotEquals(identity, folder.identity(), "byte " + at);
            assertTrue(
                    folder.recoveredRecords().stream().noneMatch(entry -> entry instanceof LogRecord.Voted),
                    "byte " + at);
            if (at >= headerBytes) {
                List<LogRecord> versions = RECORDS.stream()
                        .filter(entry -> !(entry instanceof LogRecord.Voted))
                        .toList();
                assertEquals(versions.subList(0, folder.recoveredRecords().size()), folder.recoveredRecords());
            }
            assertEquals(1, messages.size(), "byte " + at);
            assertTrue(
                    messages.get(0)
                            .matches("folder: records, offset \\d+: .*; it is set aside as "
                                    + "records\\.spoilt-1, and this keeper starts again without a vote"),
                    messages.get(0));
            assertEquals(corrupt.length, disk.files().get("records.spoilt-1").size(), "the corrupt file is kept");
            assertEquals(folder.identity(), open(disk).identity(), "the new identity is kept");
        }
    }

    /** Cuts the power at each disk operation in turn; synced records must survive under one identity. */
    @Test
    void syncedRecordsSurvivePowerCut() throws IOException {
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
                    folder.append(List.of(RECORDS.get(synced)));
                    folder.sync();
                }
                folder.rewrite(RECORDS);
                done = true;
            } catch (IOException e) {
                operations++;
            }
            for (int unsynced : new int[] {0, 1, 40, 1 << 20}) {
                KeeperFolder found = open(disk.afterPowerCut(unsynced));
                if (identity != null) {
                    assertEquals(identity, found.identity(), failAfter + " " + unsynced);
                }
                assertTrue(found.recoveredRecords().size() >= synced, failAfter + " " + unsynced);
                assertEquals(RECORDS.subList(0, found.recoveredRecords().size()), found.recoveredRecords());
            }
            if (done) {
                break;
            }
        }
        assertTrue(operations > 20, "power cuts at " + operations + " operations");
    }

    @Test
    void rewriteReplacesAllRecords() throws IOException {
        MemoryDisk disk = diskWithRecords();
        KeeperFolder folder = open(disk);
        folder.rewrite(List.of(chosen(1)));
        folder.append(List.of(chosen(2)));
        folder.sync();
        KeeperFolder next = open(disk);
        assertEquals(folder.identity(), next.identity());
        assertEquals(List.of(chosen(1), chosen(2)), next.recoveredRecords());
        assertEquals(List.of(KeeperFolder.RECORDS_FILE), disk.list());
    }
}
