package kitemux.net;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Reads how long a thread of this process ran and how long it was ready and waited for a processor, so that a trace can tell
 * an event loop that has too much to do from one that the machine holds up.
 *
 * <p>Reading takes a few system calls; it is not for the event loop's thread.
 */
public final class ProcessorWaitSampler {
    /** Waits shorter than this between two samples are not told. */
    private static final long MIN_WAIT_MS = 20;
    /** The system keeps so many characters of a thread's name. */
    private static final int SYSTEM_NAME_LENGTH = 15;

    private final Path tasks;
    private final String systemName;
    private Path schedulerFigures;
    private long lastRunNanos;
    private long lastWaitNanos;

    /**
     * Creates a sampler.
     *
     * @param proc the folder of the process file system, {@code /proc} on Linux
     * @param threadName name of the thread, the first of that name
     */
    public ProcessorWaitSampler(Path proc, String threadName) {
        tasks = proc.resolve("self/task");
        systemName = threadName.substring(0, Math.min(SYSTEM_NAME_LENGTH, threadName.length()));
    }

    /**
     * Returns a line on how long the thread ran and waited since the last call, or null if it hardly waited, or if the
     * system does not tell.
     */
    public String sample() {
        try {
            if (schedulerFigures == null) {
                schedulerFigures = findThread();
            }
            String[] figures =
                    Files.readAllLines(schedulerFigures).get(0).strip().split(" ");
            long runNanos = Long.parseLong(figures[0]);
            long waitNanos = Long.parseLong(figures[1]);
            long runMs = TimeUnit.NANOSECONDS.toMillis(runNanos - lastRunNanos);
            long waitMs = TimeUnit.NANOSECONDS.toMillis(waitNanos - lastWaitNanos);
            lastRunNanos = runNanos;
            lastWaitNanos = waitNanos;
            return waitMs < MIN_WAIT_MS ? null : "loop ran for " + runMs + " ms, waited for a processor for " + waitMs;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    private Path findThread() throws IOException {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                String name = Files.readAllLines(thread.resolve("comm")).get(0);
                if (name.equals(systemName)) {
                    return thread.resolve("schedstat");
                }
            }
        }
        throw new IOException("no thread is named " + systemName);
    }
}
