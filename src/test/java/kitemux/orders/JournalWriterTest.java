package kitemux.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import kitemux.disk.Disk;
import kitemux.disk.MemoryDisk;
import kitemux.orders.Entry.Answer;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Intent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the journal writer with slow, full and failing disks. */
class JournalWriterTest {
    private final MemoryDisk disk = new MemoryDisk();
    private final AtomicBoolean diskIsGone = new AtomicBoolean();
    private final AtomicBoolean diskIsFull = new AtomicBoolean();
    private final AtomicInteger createdFiles = new AtomicInteger();
    private final Semaphore syncPermits = new Semaphore(Integer.MAX_VALUE / 2);
    private final BlockingQueue<Boolean> callbackResults = new LinkedBlockingQueue<>();
    private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());
    private JournalWriter writer;

    /** Wraps {@link #disk}: it fails if the disk is gone or full, and each sync needs a permit. */
    private final Disk failingDisk = new Disk() {
        private void check() throws IOException {
            if (diskIsGone.get()) {
                throw new IOException("no such device");
            }
        }

        private OutputFile out(OutputFile delegate) {
            return new OutputFile() {
                @Override
                public void write(byte[] bytes) throws IOException {
                    check();
                    if (diskIsFull.get()) {
                        throw new IOException("no space left");
                    }
                    delegate.write(bytes);
                }

                @Override
                public void sync() throws IOException {
                    syncPermits.acquireUninterruptibly();
                    check();
                    delegate.sync();
                }

                @Override
                public void close() throws IOException {
                    delegate.close();
                }
            };
        }

        @Override
        public List<String> list() throws IOException {
            check();
            return disk.list();
        }

        @Override
        public byte[] read(String name) throws IOException {
            return disk.read(name);
        }

        @Override
        public long size(String name) throws IOException {
            return disk.size(name);
        }

        @Override
        public OutputFile create(String name) throws IOException {
            check();
            createdFiles.incrementAndGet();
            return out(disk.create(name));
        }

        @Override
        public OutputFile append(String name, long from) throws IOException {
            return out(disk.append(name, from));
        }

        @Override
        public void rename(String from, String to) throws IOException {
            disk.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void syncDirectory() throws IOException {
            check();
            disk.syncDirectory();
        }
    };

    private JournalWriter start(JournalWriter.SyncPolicy sync, long syncDelayMs) throws IOException {
        writer = JournalWriter.start(
                failedJournal -> failedJournal == null
                        ? Journal.open(
                                failingDisk,
                                new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0),
                                () -> 1,
                                () -> 5,
                                logLines::add)
                        : Journal.reopen(failedJournal),
                sync,
                syncDelayMs,
                Runnable::run,
                logLines::add);
        return writer;
    }

    @AfterEach
    void closeWriter() throws InterruptedException {
        diskIsGone.set(false);
        diskIsFull.set(false);
        syncPermits.release(1_000);
        writer.close();
    }

    private static Intent intent(long number) {
        return new Intent(number, 2, 0, "s", "127.0.0.1:1", 9);
    }

    private Boolean awaitCallback() throws InterruptedException {
        return callbackResults.poll(20, TimeUnit.SECONDS);
    }

    private List<Entry> entriesOnDisk() throws IOException {
        List<Entry> all = new ArrayList<>();
        for (long sequence : SegmentNames.sequences(disk.list())) {
            Segment.read(disk.read(SegmentNames.segmentName(sequence)))
                    .entries()
                    .forEach(p -> all.add(p.entry()));
        }
        return all;
    }

    @Test
    void callbackRunsOnlyAfterTheSync() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncPermits.drainPermits();
        writer.commit(() -> intent(1), callbackResults::add);
        assertNull(callbackResults.poll(50, TimeUnit.MILLISECONDS));
        syncPermits.release();
        assertEquals(true, awaitCallback());
    }

    @Test
    void entriesQueuedDuringASyncShareTheNextSync() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncPermits.drainPermits();
        writer.commit(() -> intent(1), callbackResults::add);
        while (!syncPermits.hasQueuedThreads()) {
            Thread.onSpinWait();
        }
        for (int i = 2; i <= 100; i++) {
            long number = i;
            writer.commit(() -> intent(number), callbackResults::add);
        }
        syncPermits.release(2);
        for (int i = 1; i <= 100; i++) {
            assertEquals(true, awaitCallback());
        }
    }

    @Test
    void unawaitedEntriesShareTheNextSyncWithoutDelayingCommits() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 60_000);
        syncPermits.drainPermits();
        writer.append(() -> new Answered(1, 4, Answer.SERVED));
        while (!entriesOnDisk().contains(new Answered(1, 4, Answer.SERVED))) {
            Thread.onSpinWait();
        }
        writer.commit(() -> intent(2), callbackResults::add);
        syncPermits.release();
        assertEquals(true, awaitCallback(), "one sync covers both entries");
    }

    @Test
    @Timeout(60)
    void unawaitedEntriesAreSyncedAfterTheDelay() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 5);
        syncPermits.drainPermits();
        writer.append(() -> new Answered(1, 4, Answer.SERVED));
        while (!syncPermits.hasQueuedThreads()) {
            Thread.onSpinWait();
        }
        assertTrue(entriesOnDisk().contains(new Answered(1, 4, Answer.SERVED)));
    }

    @Test
    void diskFailureRejectsCommitsAndKeepsUnawaitedEntries() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        writer.append(() -> JournalTest.accepted(1, "first"));
        writer.commit(() -> intent(1), callbackResults::add);
        assertEquals(true, awaitCallback());
        diskIsGone.set(true);
        writer.append(() -> new Answered(1, 4, Answer.SERVED));
        writer.commit(() -> intent(2), callbackResults::add);
        assertEquals(false, awaitCallback());
        writer.commit(() -> intent(3), callbackResults::add);
        assertEquals(false, awaitCallback());
        assertEquals(2, writer.rejectedCommitCount());
        diskIsGone.set(false);
        do {
            writer.commit(() -> intent(4), callbackResults::add);
        } while (!awaitCallback());
        assertTrue(
                entriesOnDisk().contains(new Answered(1, 4, Answer.SERVED)),
                "the past event is written once the disk is back");
        assertTrue(entriesOnDisk().contains(intent(4)));
        assertEquals(0, writer.lostEntryCount());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("cannot be written")), logLines.toString());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("is written again")), logLines.toString());
    }

    @Test
    void retriesOnAFullDiskLeaveNoIncompleteSegments() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        int fileCount = disk.list().size();
        diskIsFull.set(true);
        writer.commit(() -> intent(1), callbackResults::add);
        assertEquals(false, awaitCallback());
        while (createdFiles.get() < 4) {
            Thread.onSpinWait();
        }
        diskIsFull.set(false);
        do {
            writer.commit(() -> intent(2), callbackResults::add);
        } while (!awaitCallback());
        assertEquals(fileCount + 1, disk.list().size(), disk.list().toString());
    }

    @Test
    void exceptionInAnEntryLosesOnlyThatEntry() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        writer.commit(
                () -> {
                    throw new IllegalStateException("broken for the test");
                },
                callbackResults::add);
        assertEquals(false, awaitCallback());
        do {
            writer.commit(() -> intent(2), callbackResults::add);
        } while (!awaitCallback());
        assertTrue(entriesOnDisk().contains(intent(2)));
    }

    @Test
    void fullQueueRejectsCommitsBeforeUnawaitedEntries() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncPermits.drainPermits();
        int rejectedAt = -1;
        for (int i = 0; i < JournalWriter.MAX_QUEUED_COUNT && rejectedAt < 0; i++) {
            long number = i + 1;
            writer.commit(() -> intent(number), callbackResults::add);
            rejectedAt = callbackResults.contains(false) ? i : -1;
        }
        assertTrue(rejectedAt > 0 && rejectedAt < JournalWriter.MAX_QUEUED_COUNT, "at " + rejectedAt);
        writer.append(() -> new Answered(1, 4, Answer.SERVED));
        assertEquals(0, writer.lostEntryCount());
        for (int i = 0; i < JournalWriter.MAX_QUEUED_COUNT; i++) {
            writer.append(() -> new Answered(1, 4, Answer.SERVED));
        }
        assertNotEquals(0, writer.lostEntryCount());
    }

    @Test
    void timedPolicySyncsWithoutFurtherEntries() throws Exception {
        start(JournalWriter.SyncPolicy.TIMED, 5);
        syncPermits.drainPermits();
        writer.commit(() -> intent(1), callbackResults::add);
        assertEquals(true, awaitCallback(), "the callback runs once the entry is written");
        CountDownLatch synced = new CountDownLatch(1);
        Thread waiter = new Thread(() -> {
            while (!syncPermits.hasQueuedThreads()) {
                Thread.onSpinWait();
            }
            synced.countDown();
        });
        waiter.start();
        assertTrue(synced.await(20, TimeUnit.SECONDS), "the entry is synced although no other follows");
    }
}
