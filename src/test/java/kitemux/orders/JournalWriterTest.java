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

/** The writer of a journal, on disks that do not do what they should. */
class JournalWriterTest {
    private final MemoryDisk disk = new MemoryDisk();
    private final AtomicBoolean gone = new AtomicBoolean();
    private final AtomicBoolean full = new AtomicBoolean();
    private final AtomicInteger created = new AtomicInteger();
    private final Semaphore syncs = new Semaphore(Integer.MAX_VALUE / 2);
    private final BlockingQueue<Boolean> told = new LinkedBlockingQueue<>();
    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private JournalWriter log;

    /** The same disk, which may be gone, and syncs only when it is let. */
    private final Disk moody = new Disk() {
        private void check() throws IOException {
            if (gone.get()) {
                throw new IOException("no such device");
            }
        }

        private OutputFile out(OutputFile sound) {
            return new OutputFile() {
                @Override
                public void write(byte[] bytes) throws IOException {
                    check();
                    if (full.get()) {
                        throw new IOException("no space left");
                    }
                    sound.write(bytes);
                }

                @Override
                public void sync() throws IOException {
                    syncs.acquireUninterruptibly();
                    check();
                    sound.sync();
                }

                @Override
                public void close() throws IOException {
                    sound.close();
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
            created.incrementAndGet();
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

    private JournalWriter start(JournalWriter.SyncPolicy sync, long syncMs) throws IOException {
        log = JournalWriter.start(
                failed -> failed == null
                        ? Journal.open(
                                moody, new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0), () -> 1, () -> 5, lines::add)
                        : Journal.goOn(failed),
                sync,
                syncMs,
                Runnable::run,
                lines::add);
        return log;
    }

    @AfterEach
    void end() throws InterruptedException {
        gone.set(false);
        full.set(false);
        syncs.release(1_000);
        log.close();
    }

    private static Intent intent(long number) {
        return new Intent(number, 2, 0, "s", "127.0.0.1:1", 9);
    }

    private Boolean next() throws InterruptedException {
        return told.poll(20, TimeUnit.SECONDS);
    }

    private List<Entry> onDisk() throws IOException {
        List<Entry> all = new ArrayList<>();
        for (long sequence : SegmentNames.sequences(disk.list())) {
            Segment.read(disk.read(SegmentNames.of(sequence))).entries().forEach(p -> all.add(p.entry()));
        }
        return all;
    }

    @Test
    void nobodyIsToldBeforeTheDiskHasSynced() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncs.drainPermits();
        log.commit(() -> intent(1), told::add);
        assertNull(told.poll(50, TimeUnit.MILLISECONDS));
        syncs.release();
        assertEquals(true, next());
    }

    @Test
    void whatComesWhileADiskSyncsIsSyncedTogether() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncs.drainPermits();
        log.commit(() -> intent(1), told::add);
        while (!syncs.hasQueuedThreads()) {
            Thread.onSpinWait();
        }
        for (int i = 2; i <= 100; i++) {
            long number = i;
            log.commit(() -> intent(number), told::add);
        }
        syncs.release(2);
        for (int i = 1; i <= 100; i++) {
            assertEquals(true, next());
        }
    }

    @Test
    void whatNobodyWaitsForGoesWithTheNextSyncAndHoldsUpNone() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 60_000);
        syncs.drainPermits();
        log.append(() -> new Answered(1, 4, Answer.SERVED));
        while (!onDisk().contains(new Answered(1, 4, Answer.SERVED))) {
            Thread.onSpinWait();
        }
        log.commit(() -> intent(2), told::add);
        syncs.release();
        assertEquals(true, next(), "one sync is enough for both");
    }

    @Test
    @Timeout(60)
    void whatNobodyWaitsForIsSyncedByItselfIfNothingElseComes() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 5);
        syncs.drainPermits();
        log.append(() -> new Answered(1, 4, Answer.SERVED));
        while (!syncs.hasQueuedThreads()) {
            Thread.onSpinWait();
        }
        assertTrue(onDisk().contains(new Answered(1, 4, Answer.SERVED)));
    }

    @Test
    void aDiskThatIsGoneRefusesAtOnceAndWhatHappenedIsWrittenOnceItIsBack() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        log.append(() -> JournalTest.accepted(1, "first"));
        log.commit(() -> intent(1), told::add);
        assertEquals(true, next());
        gone.set(true);
        log.append(() -> new Answered(1, 4, Answer.SERVED));
        log.commit(() -> intent(2), told::add);
        assertEquals(false, next());
        log.commit(() -> intent(3), told::add);
        assertEquals(false, next());
        assertEquals(2, log.rejectedCommitCount());
        gone.set(false);
        do {
            log.commit(() -> intent(4), told::add);
        } while (!next());
        assertTrue(onDisk().contains(new Answered(1, 4, Answer.SERVED)), "it happened, and is told late");
        assertTrue(onDisk().contains(intent(4)));
        assertEquals(0, log.lostEntryCount());
        assertTrue(lines.stream().anyMatch(line -> line.contains("cannot be written")), lines.toString());
        assertTrue(lines.stream().anyMatch(line -> line.contains("is written again")), lines.toString());
    }

    @Test
    void aDiskThatIsFullIsNotFilledWithBeginnings() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        int files = disk.list().size();
        full.set(true);
        log.commit(() -> intent(1), told::add);
        assertEquals(false, next());
        while (created.get() < 4) {
            Thread.onSpinWait();
        }
        full.set(false);
        do {
            log.commit(() -> intent(2), told::add);
        } while (!next());
        assertEquals(files + 1, disk.list().size(), disk.list().toString());
    }

    @Test
    void aDefectCostsItsEntryAndNotTheWriter() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        log.commit(
                () -> {
                    throw new IllegalStateException("broken for the test");
                },
                told::add);
        assertEquals(false, next());
        do {
            log.commit(() -> intent(2), told::add);
        } while (!next());
        assertTrue(onDisk().contains(intent(2)));
    }

    @Test
    void aFullQueueTurnsAwayWhatIsWaitedForBeforeWhatHasHappened() throws Exception {
        start(JournalWriter.SyncPolicy.EACH, 1);
        syncs.drainPermits();
        int refusedAt = -1;
        for (int i = 0; i < JournalWriter.MAX_QUEUED_COUNT && refusedAt < 0; i++) {
            long number = i + 1;
            log.commit(() -> intent(number), told::add);
            refusedAt = told.contains(false) ? i : -1;
        }
        assertTrue(refusedAt > 0 && refusedAt < JournalWriter.MAX_QUEUED_COUNT, "at " + refusedAt);
        log.append(() -> new Answered(1, 4, Answer.SERVED));
        assertEquals(0, log.lostEntryCount());
        for (int i = 0; i < JournalWriter.MAX_QUEUED_COUNT; i++) {
            log.append(() -> new Answered(1, 4, Answer.SERVED));
        }
        assertNotEquals(0, log.lostEntryCount());
    }

    @Test
    void timedSyncsComeByThemselves() throws Exception {
        start(JournalWriter.SyncPolicy.TIMED, 5);
        syncs.drainPermits();
        log.commit(() -> intent(1), told::add);
        assertEquals(true, next(), "told once it is written");
        CountDownLatch synced = new CountDownLatch(1);
        Thread waiter = new Thread(() -> {
            while (!syncs.hasQueuedThreads()) {
                Thread.onSpinWait();
            }
            synced.countDown();
        });
        waiter.start();
        assertTrue(synced.await(20, TimeUnit.SECONDS), "nothing more came, and it is synced");
    }
}
