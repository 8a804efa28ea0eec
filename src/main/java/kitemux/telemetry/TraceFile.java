package kitemux.telemetry;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jctools.queues.SpscArrayQueue;

/**
 * A text file to which one thread adds lines without blocking; a separate thread writes them. Lines that find the queue
 * full are dropped, and the next write reports their number.
 */
final class TraceFile implements AutoCloseable {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final SpscArrayQueue<String> queuedLines;
    private final AtomicLong droppedLines = new AtomicLong();
    private final Writer file;
    private final Supplier<List<String>> sampler;
    private final Consumer<String> onWarning;
    private final Thread writer = new Thread(this::writeUntilClosed, "trace");
    private volatile boolean isClosing;

    /**
     * Creates a file and starts its writer thread.
     *
     * @param queueCapacity limit of queued lines
     * @param sampler called by the writer thread every half second; returns lines
     * @param onWarning called once if the file cannot be written
     * @throws IOException if the file cannot be created
     */
    TraceFile(Path path, int queueCapacity, Supplier<List<String>> sampler, Consumer<String> onWarning)
            throws IOException {
        queuedLines = new SpscArrayQueue<>(queueCapacity);
        this.sampler = sampler;
        this.onWarning = onWarning;
        file = Files.newBufferedWriter(path);
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a line. Must always be called by the same thread. */
    void add(String line) {
        if (!queuedLines.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    private void writeUntilClosed() {
        try (file) {
            long sampledNanos = System.nanoTime();
            while (true) {
                boolean isLastPass = isClosing;
                writeQueuedLines();
                if (System.nanoTime() - sampledNanos >= SAMPLE_INTERVAL_NANOS) {
                    sampledNanos = System.nanoTime();
                    writeSample();
                }
                if (isLastPass) {
                    return;
                }
                LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            }
        } catch (IOException e) {
            onWarning.accept("trace: nothing more is written: " + e.getMessage());
        }
    }

    private void writeQueuedLines() throws IOException {
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
            file.write(dropped + " lines left out\n");
        }
        String line;
        boolean needsFlush = dropped > 0;
        while ((line = queuedLines.poll()) != null) {
            file.write(line);
            file.write('\n');
            needsFlush = true;
        }
        if (needsFlush) {
            file.flush();
        }
    }

    private void writeSample() throws IOException {
        for (String line : sampler.get()) {
            file.write(line);
            file.write('\n');
        }
        file.flush();
    }

    /** Writes the queued lines and closes the file. */
    @Override
    public void close() {
        isClosing = true;
        LockSupport.unpark(writer);
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
