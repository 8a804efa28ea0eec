package kitemux.keeper;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import kitemux.rollout.LogRecord;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes a keeper's records on a thread of its own, what has come together in one go, and says on the loop
 * what is safe. The queue is bounded: the loop takes no call that could write while it is three quarters
 * full, so that what one event writes always finds room. A write that fails is the end of it: the keeper
 * must not answer any more.
 */
final class RecordWriter {
    /** Records that wait to be written; with the largest changes 4 MB. */
    static final int MAX_QUEUED_RECORD_COUNT = 1_024;
    /** From here on there is no room for another call; one event writes 17 records at most. */
    static final int CALL_ADMISSION_RECORD_COUNT = MAX_QUEUED_RECORD_COUNT / 4 * 3;

    /**
     * A record and what follows once it is safe; or, where {@code anew} is not null, all that the file is to
     * hold.
     */
    private record Task(LogRecord entry, Runnable onDurable, List<LogRecord> replacement) {}

    private final KeeperFolder folder;
    private final Executor loop;
    private final Consumer<Exception> failureHandler;
    private final MpscArrayQueue<Task> queue = new MpscArrayQueue<>(MAX_QUEUED_RECORD_COUNT);
    private final AtomicInteger queuedCount = new AtomicInteger();
    private final Thread thread;
    private volatile boolean closing;
    private volatile boolean isFileOversized;

    /**
     * @param loop runs what follows
     * @param failed told where nothing more will be written, on the writer's thread, or on the loop where
     *     there is no room
     */
    RecordWriter(KeeperFolder folder, Executor loop, Consumer<Exception> failureHandler) {
        this.folder = folder;
        this.loop = loop;
        this.failureHandler = failureHandler;
        thread = new Thread(this::run, "records");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether a call may be taken that writes. */
    boolean hasRoom() {
        return queuedCount.get() < CALL_ADMISSION_RECORD_COUNT;
    }

    /** Whether the file is to be written anew; true once each time. */
    boolean takeRewriteDue() {
        boolean isDue = isFileOversized;
        isFileOversized = false;
        return isDue;
    }

    /**
     * Writes a record behind all others; {@code then} runs on the loop once it and all before it are safe.
     */
    void write(LogRecord entry, Runnable onDurable) {
        offer(new Task(entry, onDurable, null));
    }

    /** Puts these in the place of all that was written or waits. */
    void rewrite(List<LogRecord> records) {
        offer(new Task(null, () -> {}, records));
    }

    private void offer(Task task) {
        queuedCount.incrementAndGet();
        if (!queue.offer(task)) {
            failureHandler.accept(
                    new IllegalStateException("more than " + MAX_QUEUED_RECORD_COUNT + " records wait to be written"));
        }
        LockSupport.unpark(thread);
    }

    private void run() {
        List<Task> batch = new ArrayList<>();
        try {
            while (true) {
                boolean isLast = closing;
                queue.drain(batch::add);
                if (!batch.isEmpty()) {
                    write(batch);
                    batch.clear();
                } else if (isLast) {
                    folder.close();
                    return;
                } else {
                    LockSupport.park(this);
                }
            }
        } catch (IOException | RuntimeException e) {
            failureHandler.accept(e);
        }
    }

    private void write(List<Task> batch) throws IOException {
        List<LogRecord> records = new ArrayList<>();
        for (Task task : batch) {
            if (task.replacement == null) {
                records.add(task.entry);
            } else {
                folder.append(records);
                records.clear();
                folder.rewrite(task.replacement);
            }
        }
        folder.append(records);
        folder.sync();
        isFileOversized = folder.isOversized();
        queuedCount.addAndGet(-batch.size());
        List<Runnable> onDurable = batch.stream().map(Task::onDurable).toList();
        loop.execute(() -> onDurable.forEach(Runnable::run));
    }

    /** Writes what has come and ends; waits for that. To be called from any thread but the loop's. */
    void close() throws InterruptedException {
        closing = true;
        LockSupport.unpark(thread);
        thread.join();
    }
}
