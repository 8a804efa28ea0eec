package kitemux.telemetry;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.SpscArrayQueue;

/**
 * A text file that one thread adds lines to without waiting: a thread of its own writes them. What finds the
 * queue full, and what cannot be written, is left out; the next line that is written says how many were.
 */
final class TraceFile implements AutoCloseable {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final SpscArrayQueue<String> lines;
    private final AtomicLong leftOut = new AtomicLong();
    private final Writer file;
    private final Consumer<String> say;
    private final Thread writer = new Thread(this::run, "trace");
    private volatile boolean closing;

    /**
     * Begins a file and the thread that writes it.
     *
     * @param most lines that may wait to be written
     * @param say told once that the file cannot be written
     * @throws IOException if the file cannot be made
     */
    TraceFile(Path path, int most, Consumer<String> say) throws IOException {
        lines = new SpscArrayQueue<>(most);
        this.say = say;
        file = Files.newBufferedWriter(path);
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds a line, from one thread only. */
    void add(String line) {
        if (!lines.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    private void run() {
        try (file) {
            while (true) {
                boolean last = closing;
                writeAll();
                if (last) {
                    return;
                }
                LockSupport.parkNanos(POLL_NANOS);
            }
        } catch (IOException e) {
            say.accept("trace: nothing more is written: " + e.getMessage());
        }
    }

    private void writeAll() throws IOException {
        long missing = leftOut.getAndSet(0);
        if (missing > 0) {
            file.write(missing + " lines left out\n");
        }
        String line;
        boolean any = missing > 0;
        while ((line = lines.poll()) != null) {
            file.write(line);
            file.write('\n');
            any = true;
        }
        if (any) {
            file.flush();
        }
    }

    /** Writes what waits and ends the file. */
    @Override
    public void close() {
        closing = true;
        LockSupport.unpark(writer);
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
