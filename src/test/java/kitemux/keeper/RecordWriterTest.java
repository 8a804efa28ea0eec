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

@Timeout(60)
class RecordWriterTest {
    private final MemoryDisk disk = new MemoryDisk();
    /** What runs on the loop, in order; each entry is one turn of it. */
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();

    private final LinkedBlockingQueue<Exception> failed = new LinkedBlockingQueue<>();

    private static LogRecord kept(int rev) {
        return new LogRecord.Voted(Vote.empty(rev));
    }

    private KeeperFolder folder(kitemux.disk.Disk on) throws IOException {
        return KeeperFolder.open(on, 0, () -> 1, line -> {});
    }

    @Test
    void whatFollowsRunsOnTheLoopOnceItIsSafe() throws Exception {
        RecordWriter writer = new RecordWriter(folder(disk), loop::add, failed::add);
        int[] safe = {0};
        for (int i = 1; i <= 5; i++) {
            int rev = i;
            writer.write(kept(rev), () -> {
                assertEquals(rev - 1, safe[0]++);
                assertTrue(synced(rev), "record " + rev + " is safe");
            });
        }
        while (safe[0] < 5) {
            loop.take().run();
        }
        writer.renew(List.of(kept(9)));
        writer.close();
        assertEquals(List.of(kept(9)), folder(disk.afterPowerCut(0)).found());
        assertTrue(failed.isEmpty());
    }

    private boolean synced(int rev) {
        try {
            return folder(disk.afterPowerCut(0)).found().contains(kept(rev));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aWriteThatFailsIsTheEndAndNothingFollows() throws Exception {
        KeeperFolder folder = folder(disk);
        disk.operationsUntilFailure = 1;
        RecordWriter writer = new RecordWriter(folder, loop::add, failed::add);
        writer.write(kept(1), () -> {});
        assertEquals("the power is off", failed.poll(30, TimeUnit.SECONDS).getMessage());
        writer.close();
        assertTrue(loop.isEmpty(), "nobody is answered");
    }

    @Test
    void noRoomIsLeftForCallsLongBeforeTheQueueIsFull() throws Exception {
        CountDownLatch again = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        MemoryDisk other = new MemoryDisk();
        boolean[] holds = {false};
        KeeperFolder slow = folder(new HookedDisk(other, bytes -> {}, () -> {
            if (holds[0]) {
                again.countDown();
                release.await();
            }
        }));
        holds[0] = true;
        RecordWriter writer = new RecordWriter(slow, loop::add, failed::add);
        writer.write(kept(1), () -> {});
        again.await();
        for (int i = 2; i <= RecordWriter.MOST_TAKEN; i++) {
            assertTrue(writer.hasRoom(), "with " + (i - 1) + " that wait");
            writer.write(kept(i), () -> {});
        }
        assertFalse(writer.hasRoom());
        // The first is out of the queue already, being written.
        for (int i = RecordWriter.MOST_TAKEN + 1; i <= RecordWriter.MOST_QUEUED + 1; i++) {
            writer.write(kept(i), () -> {});
        }
        assertTrue(failed.isEmpty());
        writer.write(kept(9_999), () -> {});
        assertEquals("more than 1024 records wait to be written", failed.take().getMessage());
        release.countDown();
        writer.close();
        assertEquals(RecordWriter.MOST_QUEUED + 1, folder(other).found().size());
    }
}
