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
 * Writes a journal on a thread of its own, what has come together in one go. The loop hands entries over and
 * is told, on the loop, of those that it waits for; it never waits itself. The queue is bounded: what
 * somebody waits for is turned away when it is three quarters full, what tells of something that has happened
 * already only when it is full, and is counted then, as what it told will be found unknown.
 */
public final class JournalWriter {
    /** Entries that wait to be written. Guards memory while a disk is slow: some 8 MB at most. */
    static final int MAX_QUEUED_COUNT = 4_096;

    private static final int MAX_QUEUED_FOR_COMMIT_COUNT = MAX_QUEUED_COUNT / 4 * 3;
    /** Between two tries at a disk that failed. */
    static final long RETRY_INTERVAL_MS = 500;

    /** What a commit promises. */
    public enum SyncPolicy {
        /** What is told durable survives a crash of the machine; what nobody waits for, once it is synced. */
        EACH,
        /** It survives the process; a crash of the machine takes what came since the last sync. */
        TIMED,
        /** It survives the process; what a crash of the machine takes is the system's to say. */
        NEVER
    }

    /** One entry, made on the writer's thread, and who waits for it, or null. */
    private record Item(Supplier<Entry> entry, Consumer<Boolean> told) {}

    private final Opener opener;
    private final SyncPolicy sync;
    private final long syncNanos;
    private final Executor loop;
    private final Consumer<String> log;
    private final ConcurrentLinkedQueue<Item> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final Thread writer;
    private volatile boolean closing;

    /** The one that is written to, or null after it failed. */
    private Journal journal;

    private Journal failed;
    private boolean unsynced;
    /** When the oldest entry was written that no sync has followed. */
    private long unsyncedNanos;

    private long failedNanos;

    /** Opens a journal, and again one that failed. */
    interface Opener {
        /** A journal to go on in; the one that failed, or null at first. */
        Journal open(Journal failed) throws IOException;
    }

    private JournalWriter(Opener opener, Journal journal, SyncPolicy sync, long syncMs, Executor loop, Consumer<String> log) {
        this.opener = opener;
        this.journal = journal;
        this.sync = sync;
        syncNanos = TimeUnit.MILLISECONDS.toNanos(syncMs);
        this.loop = loop;
        this.log = log;
        writer = new Thread(this::run, "orders");
        writer.setDaemon(true);
    }

    /**
     * Recovers a journal and starts to write to it.
     *
     * @param sync what a commit promises
     * @param syncMs what nobody waits for is synced so long after it was written, unless it is never synced
     * @param loop runs what is told
     * @param log for the operators, from the writer's thread
     * @throws IOException if it cannot be opened
     */
    static JournalWriter start(Opener opener, SyncPolicy sync, long syncMs, Executor loop, Consumer<String> log)
            throws IOException {
        JournalWriter orders = new JournalWriter(opener, opener.open(null), sync, syncMs, loop, log);
        orders.writer.start();
        return orders;
    }

    /**
     * Asks for an entry to be made durable, as the policy has it.
     *
     * @param entry made on the writer's thread
     * @param told true once it is durable, false if it is not going to be; on the loop, never from inside
     */
    void commit(Supplier<Entry> entry, Consumer<Boolean> told) {
        if (closing || queued.get() >= MAX_QUEUED_FOR_COMMIT_COUNT) {
            refused.incrementAndGet();
            loop.execute(() -> told.accept(false));
            return;
        }
        offer(new Item(entry, told));
    }

    /** Notes something that has happened; nobody waits for it. False if there is no room: it is lost. */
    boolean append(Supplier<Entry> entry) {
        if (queued.get() >= MAX_QUEUED_COUNT) {
            lost.incrementAndGet();
            return false;
        }
        offer(new Item(entry, null));
        return true;
    }

    private void offer(Item item) {
        queued.incrementAndGet();
        queue.add(item);
        LockSupport.unpark(writer);
    }

    /** Somebody would wait no longer: the send is refused, whatever becomes of its record. */
    void countTimedOut() {
        refused.incrementAndGet();
    }

    /** Commits that were turned away, or failed, or came too late. */
    long rejectedCommitCount() {
        return refused.get();
    }

    /** Entries that were never written: what they told will be found unknown. */
    long lostEntryCount() {
        return lost.get();
    }

    // ---------------------------------------------------------------- the writer's thread

    private void run() {
        List<Item> batch = new ArrayList<>();
        while (true) {
            boolean last = closing;
            take(batch);
            if (journal == null && mayRetry()) {
                reopen();
            }
            if (journal == null) {
                turnAway(batch);
            } else if (!batch.isEmpty()) {
                write(batch);
            }
            syncIfDue();
            if (last && (batch.isEmpty() || journal == null)) {
                break;
            }
            if (batch.isEmpty() || journal == null) {
                rest();
            }
        }
        end(batch);
    }

    /** Adds what has come to what could not be written yet. */
    private void take(List<Item> batch) {
        Item item;
        while (batch.size() < MAX_QUEUED_COUNT && (item = queue.poll()) != null) {
            batch.add(item);
        }
    }

    private void write(List<Item> batch) {
        try {
            List<Entry> entries = new ArrayList<>(batch.size());
            batch.forEach(item -> entries.add(item.entry.get()));
            journal.append(entries);
            unsyncedNanos = unsynced ? unsyncedNanos : System.nanoTime();
            unsynced = true;
            // What has happened goes with the next sync: the next order would else wait for it first.
            if (sync == SyncPolicy.EACH && batch.stream().anyMatch(item -> item.told != null)) {
                sync();
            }
        } catch (IOException e) {
            fail(e);
            turnAway(batch);
            return;
        } catch (RuntimeException e) {
            // A defect met by one entry must not end the writer, nor be met again with the same entry.
            fail(e);
            turnAway(batch);
            lost.addAndGet(batch.size());
            queued.addAndGet(-batch.size());
            batch.clear();
            return;
        }
        tell(batch, true);
        queued.addAndGet(-batch.size());
        batch.clear();
    }

    /** What nobody waits for. */
    private void syncIfDue() {
        if (journal == null || sync == SyncPolicy.NEVER || !unsynced || System.nanoTime() - unsyncedNanos < syncNanos) {
            return;
        }
        try {
            sync();
        } catch (IOException e) {
            fail(e);
        }
    }

    private void sync() throws IOException {
        journal.sync();
        unsynced = false;
    }

    private void fail(Exception e) {
        log.accept("orders: the journal cannot be written: " + e + "; orders are refused until it can");
        failedNanos = System.nanoTime();
        failed = journal;
        journal = null;
        try {
            failed.close();
        } catch (IOException again) {
            // It failed already, and is not written to again.
        }
    }

    private boolean mayRetry() {
        return System.nanoTime() - failedNanos >= TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS);
    }

    private void reopen() {
        try {
            journal = opener.open(failed);
            failed = null;
            unsynced = false;
            log.accept("orders: the journal is written again, from "
                    + SegmentNames.of(journal.header().sequence()) + " on");
        } catch (IOException e) {
            failedNanos = System.nanoTime();
        }
    }

    /** What somebody waits for is turned away at once; what has happened is kept until it can be written. */
    private void turnAway(List<Item> batch) {
        List<Item> awaited = batch.stream().filter(item -> item.told != null).toList();
        refused.addAndGet(awaited.size());
        tell(awaited, false);
        batch.removeIf(item -> item.told != null);
        queued.addAndGet(-awaited.size());
    }

    private void tell(List<Item> items, boolean durable) {
        List<Consumer<Boolean>> waiting =
                items.stream().map(Item::told).filter(told -> told != null).toList();
        if (!waiting.isEmpty()) {
            loop.execute(() -> waiting.forEach(told -> told.accept(durable)));
        }
    }

    private void rest() {
        if (closing) {
            return;
        }
        if (journal == null) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS / 10));
        } else if (sync != SyncPolicy.NEVER && unsynced) {
            LockSupport.parkNanos(Math.max(1, syncNanos - (System.nanoTime() - unsyncedNanos)));
        } else if (queue.isEmpty()) {
            LockSupport.park(this);
        }
    }

    private void end(List<Item> batch) {
        lost.addAndGet(batch.size());
        if (journal != null) {
            try {
                journal.sync();
                journal.close();
            } catch (IOException e) {
                log.accept("orders: the journal could not be ended: " + e);
            }
        }
    }

    /** Writes what has come, syncs and ends; waits for that. To be called from any thread but the loop's. */
    void close() throws InterruptedException {
        closing = true;
        LockSupport.unpark(writer);
        writer.join();
    }
}
