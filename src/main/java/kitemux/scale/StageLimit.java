package kitemux.scale;

import java.util.concurrent.TimeUnit;

/**
 * The most time that a stage may take, with all that it starts: once it is over, a thread ends what the stage
 * waits for, and interrupts it. What was measured until then is kept by whoever ran the stage.
 */
final class StageLimit implements AutoCloseable {
    private final Thread stage = Thread.currentThread();
    private final Thread watcher;
    private boolean over;
    private boolean reached;

    /**
     * Counts from now on, for the thread that calls.
     *
     * @param ends ends what the stage may wait for without hearing of an interruption; called once, from
     *     another thread
     */
    StageLimit(long us, Runnable ends) {
        watcher = new Thread(
                () -> {
                    long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(us);
                    synchronized (this) {
                        while (!over) {
                            long leftMs = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                            if (leftMs <= 0) {
                                reached = true;
                                ends.run();
                                stage.interrupt();
                                return;
                            }
                            try {
                                wait(leftMs);
                            } catch (InterruptedException e) {
                                return;
                            }
                        }
                    }
                },
                "limit of a stage");
        watcher.setDaemon(true);
        watcher.start();
    }

    /** Whether the stage was ended for the time that it took. */
    synchronized boolean reached() {
        return reached;
    }

    /** Counts no more; an interruption that came too late to be heard is taken back. */
    @Override
    public synchronized void close() {
        over = true;
        notifyAll();
        if (reached) {
            Thread.interrupted();
        }
    }
}
