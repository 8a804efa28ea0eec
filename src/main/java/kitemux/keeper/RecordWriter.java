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
    static final int MOST_QUEUED = 1_024;
    /** From here on there is no room for another call; one event writes 17 records at most. */
    static final int MOST_TAKEN = MOST_QUEUED / 4 * 3;

    /**
     * A record and what follows once it is safe; or, where {@code anew} is not null, all that the file is to
     * hold.
     */
    private record Item(LogRecord kept, Runnable then, List<LogRecord> anew) {}

    private final KeeperFolder folder;
    private final Executor loop;
    private final Consumer<Exception> failed;
    private final MpscArrayQueue<Item> queue = new MpscArrayQueue<>(MOST_QUEUED);
    private final AtomicInteger queued = new AtomicInteger();
    private final Thread thread;
    private volatile boolean closing;
    private volatile boolean isLong;

    /**
     * @param loop runs what follows
     * @param failed told where nothing more will be written, on the writer's thread, or on the loop where
     *     there is no room
     */
    RecordWriter(KeeperFolder folder, Executor loop, Consumer<Exception> failed) {
        this.folder = folder;
        this.loop = loop;
        this.failed = failed;
        thread = new Thread(this::run, "records");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether a call may be taken that writes. */
    boolean hasRoom() {
        return queued.get() < MOST_TAKEN;
    }

    /** Whether the file is to be written anew; true once each time. */
    boolean takeIsLong() {
        boolean is = isLong;
        isLong = false;
        return is;
    }

    /**
     * Writes a record behind all others; {@code then} runs on the loop once it and all before it are safe.
     */
    void write(LogRecord kept, Runnable then) {
        offer(new Item(kept, then, null));
    }

    /** Puts these in the place of all that was written or waits. */
    void renew(List<LogRecord> all) {
        offer(new Item(null, () -> {}, all));
    }

    private void offer(Item item) {
        queued.incrementAndGet();
        if (!queue.offer(item)) {
            failed.accept(new IllegalStateException("more than " + MOST_QUEUED + " records wait to be written"));
        }
        LockSupport.unpark(thread);
    }

    private void run() {
        List<Item> batch = new ArrayList<>();
        try {
            while (true) {
                boolean last = closing;
                queue.drain(batch::add);
                if (!batch.isEmpty()) {
                    write(batch);
                    batch.clear();
                } else if (last) {
                    folder.close();
                    return;
                } else {
                    LockSupport.park(this);
                }
            }
        } catch (IOException | RuntimeException e) {
            failed.accept(e);
        }
    }

    private void write(List<Item> batch) throws IOException {
        List<LogRecord> records = new ArrayList<>();
        for (Item item : batch) {
            if (item.anew == null) {
                records.add(item.kept);
            } else {
                folder.write(records);
                records.clear();
                folder.renew(item.anew);
            }
        }
        folder.write(records);
        folder.sync();
        isLong = folder.isLong();
        queued.addAndGet(-batch.size());
        List<Runnable> then = batch.stream().map(Item::then).toList();
        loop.execute(() -> then.forEach(Runnable::run));
    }

    /** Writes what has come and ends; waits for that. To be called from any thread but the loop's. */
    void close() throws InterruptedException {
        closing = true;
        LockSupport.unpark(thread);
        thread.join();
    }
}
