package kitemux.orders;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes a journal on a dedicated thread, in batches. The event loop hands entries over without waiting and is
 * notified, on the event loop, of those that it wants to be durable. The queue is bounded. Commits are rejected
 * when it is three quarters full. Entries about past events are dropped only when it is full; they are counted,
 * since the outcome that they record will be reported as unknown.
 */
public final class JournalWriter {
    /** Entries that wait to be written. Limits the memory in use while a disk is slow to some 8 MB. */
    static final int MAX_QUEUED_COUNT = 4_096;

    /** Queue length from which commits are rejected; the rest of the queue is left to past events. */
    private static final int MAX_QUEUED_FOR_COMMIT_COUNT = MAX_QUEUED_COUNT / 4 * 3;
    /** Interval between attempts to reopen the journal after a disk failure. */
    static final long RETRY_INTERVAL_MS = 500;

    /** When entries are synced to the disk, and so what a commit guarantees. */
    public enum SyncPolicy {
        /** Committed entries survive a crash of the machine; other entries do once a later sync has run. */
        EACH,
        /** Committed entries survive the process; a crash of the machine loses those since the last sync. */
        TIMED,
        /** Committed entries survive the process; what a crash of the machine loses is up to the system. */
        NEVER
    }

    /**
     * An entry in the queue.
     *
     * @param entry creates the entry, on the writer's thread
     * @param callback is called with whether the entry is durable; null if nobody waits for it
     */
    private record PendingEntry(Supplier<Entry> entry, Consumer<Boolean> callback) {}

    private final Opener opener;
    private final SyncPolicy sync;
    private final long syncDelayNanos;
    private final Executor eventLoop;
    private final Consumer<String> log;
    private final ConcurrentLinkedQueue<PendingEntry> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedCount = new AtomicInteger();
    private final AtomicLong rejectedCommits = new AtomicLong();
    private final AtomicLong lostEntries = new AtomicLong();
    private final Thread writerThread;
    private volatile boolean isClosing;

    /** The open journal, or null after a failure. */
    private Journal journal;

    private Journal failedJournal;
    private boolean hasUnsyncedEntries;
    /** When the oldest unsynced entry was written, by {@link System#nanoTime}. */
    private long oldestUnsyncedNanos;

    private long lastFailureNanos;

    /** Opens the journal, at the start and after a failure. */
    interface Opener {
        /**
         * Opens the journal.
         *
         * @param failedJournal the journal that failed, or null at the start
         * @throws IOException if the journal cannot be opened
         */
        Journal open(Journal failedJournal) throws IOException;
    }

    private JournalWriter(
            Opener opener,
            Journal journal,
            SyncPolicy sync,
            long syncDelayMs,
            Executor eventLoop,
            Consumer<String> log) {
        this.opener = opener;
        this.journal = journal;
        this.sync = sync;
        syncDelayNanos = TimeUnit.MILLISECONDS.toNanos(syncDelayMs);
        this.eventLoop = eventLoop;
        this.log = log;
        writerThread = new Thread(this::run, "orders");
        writerThread.setDaemon(true);
    }

    /**
     * Opens a journal and starts its writer thread.
     *
     * @param sync when entries are synced
     * @param syncDelayMs how long after they were written entries are synced for which nobody waits, unless the
     *     policy is {@link SyncPolicy#NEVER}
     * @param eventLoop runs the callbacks
     * @param log receives lines for the operators, on the writer's thread
     * @throws IOException if the journal cannot be opened
     */
    static JournalWriter start(
            Opener opener, SyncPolicy sync, long syncDelayMs, Executor eventLoop, Consumer<String> log)
            throws IOException {
        JournalWriter journalWriter = new JournalWriter(opener, opener.open(null), sync, syncDelayMs, eventLoop, log);
        journalWriter.writerThread.start();
        return journalWriter;
    }

    /**
     * Requests that an entry becomes durable, as the sync policy defines it.
     *
     * @param entry creates the entry, on the writer's thread
     * @param callback is called with true once the entry is durable, or with false if the commit was rejected or
     *     failed; it runs as a separate task on the event loop, never within this call
     */
    void commit(Supplier<Entry> entry, Consumer<Boolean> callback) {
        if (isClosing || queuedCount.get() >= MAX_QUEUED_FOR_COMMIT_COUNT) {
            rejectedCommits.incrementAndGet();
            eventLoop.execute(() -> callback.accept(false));
            return;
        }
        enqueue(new PendingEntry(entry, callback));
    }

    /**
     * Appends an entry about a past event, for which nobody waits.
     *
     * @param entry creates the entry, on the writer's thread
     * @return false if the queue is full and the entry is lost
     */
    boolean append(Supplier<Entry> entry) {
        if (queuedCount.get() >= MAX_QUEUED_COUNT) {
            lostEntries.incrementAndGet();
            return false;
        }
        enqueue(new PendingEntry(entry, null));
        return true;
    }

    private void enqueue(PendingEntry pending) {
        queuedCount.incrementAndGet();
        queue.add(pending);
        LockSupport.unpark(writerThread);
    }

    /** Counts a commit whose caller timed out: the send is refused even if the entry becomes durable later. */
    void countTimedOut() {
        rejectedCommits.incrementAndGet();
    }

    /** Returns the number of commits that were rejected, failed or timed out. */
    long rejectedCommitCount() {
        return rejectedCommits.get();
    }

    /** Returns the number of entries that were never written; the outcomes that they recorded are unknown. */
    long lostEntryCount() {
        return lostEntries.get();
    }

    // ---------------------------------------------------------------- the writer's thread

    private void run() {
        List<PendingEntry> batch = new ArrayList<>();
        while (true) {
            boolean isLastPass = isClosing;
            drainQueue(batch);
            if (journal == null && mayRetry()) {
                reopen();
            }
            if (journal == null) {
                rejectAwaited(batch);
            } else if (!batch.isEmpty()) {
                write(batch);
            }
            syncIfDue();
            if (isLastPass && (batch.isEmpty() || journal == null)) {
                break;
            }
            if (batch.isEmpty() || journal == null) {
                awaitWork();
            }
        }
        finish(batch);
    }

    /** Adds the queued entries to those that could not be written yet. */
    private void drainQueue(List<PendingEntry> batch) {
        PendingEntry pending;
        while (batch.size() < MAX_QUEUED_COUNT && (pending = queue.poll()) != null) {
            batch.add(pending);
        }
    }

    private void write(List<PendingEntry> batch) {
        try {
            List<Entry> entries = new ArrayList<>(batch.size());
            batch.forEach(pending -> entries.add(pending.entry.get()));
            journal.append(entries);
            oldestUnsyncedNanos = hasUnsyncedEntries ? oldestUnsyncedNanos : System.nanoTime();
            hasUnsyncedEntries = true;
            // Past events wait for the next sync; a sync of their own would delay the next order.
            if (sync == SyncPolicy.EACH && batch.stream().anyMatch(pending -> pending.callback != null)) {
                sync();
            }
        } catch (IOException e) {
            handleFailure(e);
            rejectAwaited(batch);
            return;
        } catch (RuntimeException e) {
            // A defect in one entry must not end the writer thread, and the entry must not be tried again.
            handleFailure(e);
            rejectAwaited(batch);
            lostEntries.addAndGet(batch.size());
            queuedCount.addAndGet(-batch.size());
            batch.clear();
            return;
        }
        notifyCallers(batch, true);
        queuedCount.addAndGet(-batch.size());
        batch.clear();
    }

    /** Syncs the entries for which nobody waits once their delay has passed. */
    private void syncIfDue() {
        if (journal == null
                || sync == SyncPolicy.NEVER
                || !hasUnsyncedEntries
                || System.nanoTime() - oldestUnsyncedNanos < syncDelayNanos) {
            return;
        }
        try {
            sync();
        } catch (IOException e) {
            handleFailure(e);
        }
    }

    private void sync() throws IOException {
        journal.sync();
        hasUnsyncedEntries = false;
    }

    private void handleFailure(Exception e) {
        log.accept("orders: the journal cannot be written: " + e + "; orders are refused until it can");
        lastFailureNanos = System.nanoTime();
        failedJournal = journal;
        journal = null;
        try {
            failedJournal.close();
        } catch (IOException closeFailure) {
            // The journal has failed already and is not written to again.
        }
    }

    private boolean mayRetry() {
        return System.nanoTime() - lastFailureNanos >= TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS);
    }

    private void reopen() {
        try {
            journal = opener.open(failedJournal);
            failedJournal = null;
            hasUnsyncedEntries = false;
            log.accept("orders: the journal is written again, from "
                    + SegmentNames.segmentName(journal.header().sequence()) + " on");
        } catch (IOException e) {
            lastFailureNanos = System.nanoTime();
        }
    }

    /** Rejects the commits of a batch at once; entries about past events stay until they can be written. */
    private void rejectAwaited(List<PendingEntry> batch) {
        List<PendingEntry> awaited =
                batch.stream().filter(pending -> pending.callback != null).toList();
        rejectedCommits.addAndGet(awaited.size());
        notifyCallers(awaited, false);
        batch.removeIf(pending -> pending.callback != null);
        queuedCount.addAndGet(-awaited.size());
    }

    private void notifyCallers(List<PendingEntry> entries, boolean durable) {
        List<Consumer<Boolean>> callbacks = entries.stream()
                .map(PendingEntry::callback)
                .filter(callback -> callback != null)
                .toList();
        if (!callbacks.isEmpty()) {
            eventLoop.execute(() -> callbacks.forEach(callback -> callback.accept(durable)));
        }
    }

    private void awaitWork() {
        if (isClosing) {
            return;
        }
        if (journal == null) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS / 10));
        } else if (sync != SyncPolicy.NEVER && hasUnsyncedEntries) {
            LockSupport.parkNanos(Math.max(1, syncDelayNanos - (System.nanoTime() - oldestUnsyncedNanos)));
        } else if (queue.isEmpty()) {
            LockSupport.park(this);
        }
    }

    private void finish(List<PendingEntry> batch) {
        lostEntries.addAndGet(batch.size());
        if (journal != null) {
            try {
                journal.sync();
                journal.close();
            } catch (IOException e) {
                log.accept("orders: the journal could not be ended: " + e);
            }
        }
    }

    /**
     * Writes the queued entries, syncs, ends the writer thread and waits for its end. Must not be called on the
     * event loop.
     */
    void close() throws InterruptedException {
        isClosing = true;
        LockSupport.unpark(writerThread);
        writerThread.join();
    }
}
