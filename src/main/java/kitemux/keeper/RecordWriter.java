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
 * Writes the records of a keeper on its own thread, in batches with one sync each, and runs a callback on the loop
 * once a record is durable. The queue is bounded. The loop accepts no call that could write while the queue is three
 * quarters full, so the records of one event always fit. After a failed write nothing more is written, and the
 * keeper must not respond any more.
 */
final class RecordWriter {
    /** Capacity of the queue; 4 MB with changes of the maximum size. */
    static final int MAX_QUEUED_RECORD_COUNT = 1_024;
    /** Queue length from which no further call is accepted; one event writes at most 17 records. */
    static final int MAX_RECORD_COUNT_FOR_CALLS = MAX_QUEUED_RECORD_COUNT / 4 * 3;

    /**
     * A record with the callback to run once it is durable; or, if {@code replacement} is not null, a rewrite of the
     * whole file with these records.
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
     * Starts the writer thread.
     *
     * @param loop runs the callbacks
     * @param failureHandler called when nothing more will be written: on the writer's thread after a failed write, or
     *     on the loop if the queue is full
     */
    RecordWriter(KeeperFolder folder, Executor loop, Consumer<Exception> failureHandler) {
        this.folder = folder;
        this.loop = loop;
        this.failureHandler = failureHandler;
        thread = new Thread(this::run, "records");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether a call that may write can be accepted. */
    boolean hasRoom() {
        return queuedCount.get() < MAX_RECORD_COUNT_FOR_CALLS;
    }

    /** Whether the file should be rewritten; calling this resets the flag. */
    boolean takeRewriteDue() {
        boolean isDue = isFileOversized;
        isFileOversized = false;
        return isDue;
    }

    /**
     * Queues a record; {@code onDurable} runs on the loop once this record and all earlier ones are durable.
     */
    void write(LogRecord entry, Runnable onDurable) {
        offer(new Task(entry, onDurable, null));
    }

    /** Replaces all records that were written or queued so far. */
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

    /** Writes all queued records, stops the thread and waits for its end. Must not be called on the loop. */
    void close() throws InterruptedException {
        closing = true;
        LockSupport.unpark(thread);
        thread.join();
    }
}
