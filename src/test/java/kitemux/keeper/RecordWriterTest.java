package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kitemux.disk.MemoryDisk;
import kitemux.rollout.LogRecord;
import kitemux.rollout.Vote;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Order and durability of queued records, failed writes and the queue limit. */
@Timeout(60)
class RecordWriterTest {
    private final MemoryDisk disk = new MemoryDisk();
    /** Tasks of the loop, in order. */
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();

    private final LinkedBlockingQueue<Exception> failures = new LinkedBlockingQueue<>();

    private static LogRecord voteRecord(int rev) {
        return new LogRecord.Voted(Vote.empty(rev));
    }

    private KeeperFolder folder(kitemux.disk.Disk on) throws IOException {
        return KeeperFolder.open(on, 0, () -> 1, line -> {});
    }

    @Test
    void callbackRunsOnLoopOnceRecordIsDurable() throws Exception {
        RecordWriter writer = new RecordWriter(folder(disk), loop::add, failures::add);
        int[] durableCount = {0};
        for (int i = 1; i <= 5; i++) {
            int rev = i;
            writer.write(voteRecord(rev), () -> {
                assertEquals(rev - 1, durableCount[0]++);
                assertTrue(isDurable(rev), "record " + rev + " is durable");
            });
        }
        while (durableCount[0] < 5) {
            loop.take().run();
        }
        writer.rewrite(List.of(voteRecord(9)));
        writer.close();
        assertEquals(List.of(voteRecord(9)), folder(disk.afterPowerCut(0)).recoveredRecords());
        assertTrue(failures.isEmpty());
    }

    private boolean isDurable(int rev) {
        try {
            return folder(disk.afterPowerCut(0)).recoveredRecords().contains(voteRecord(rev));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void failedWriteIsReportedAndRunsNoCallback() throws Exception {
        KeeperFolder folder = folder(disk);
        disk.operationsUntilFailure = 1;
        RecordWriter writer = new RecordWriter(folder, loop::add, failures::add);
        writer.write(voteRecord(1), () -> {});
        assertEquals("the power is off", failures.poll(30, TimeUnit.SECONDS).getMessage());
        writer.close();
        assertTrue(loop.isEmpty(), "no callback runs");
    }

    @Test
    void callsAreRefusedBeforeQueueIsFull() throws Exception {
        CountDownLatch syncStarted = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        MemoryDisk other = new MemoryDisk();
        boolean[] blocking = {false};
        KeeperFolder slow = folder(new HookedDisk(other, bytes -> {}, () -> {
            if (blocking[0]) {
                syncStarted.countDown();
                release.await();
            }
        }));
        blocking[0] = true;
        RecordWriter writer = new RecordWriter(slow, loop::add, failures::add);
        writer.write(voteRecord(1), () -> {});
        syncStarted.await();
        for (int i = 2; i <= RecordWriter.MAX_RECORD_COUNT_FOR_CALLS; i++) {
            assertTrue(writer.hasRoom(), "with " + (i - 1) + " queued records");
            writer.write(voteRecord(i), () -> {});
        }
        assertFalse(writer.hasRoom());
        // The first record has already left the queue and is being written.
        for (int i = RecordWriter.MAX_RECORD_COUNT_FOR_CALLS + 1; i <= RecordWriter.MAX_QUEUED_RECORD_COUNT + 1; i++) {
            writer.write(voteRecord(i), () -> {});
        }
        assertTrue(failures.isEmpty());
        writer.write(voteRecord(9_999), () -> {});
        assertEquals(
                "more than 1024 records wait to be written", failures.take().getMessage());
        release.countDown();
        writer.close();
        assertEquals(
                RecordWriter.MAX_QUEUED_RECORD_COUNT + 1,
                folder(other).recoveredRecords().size());
    }
}
