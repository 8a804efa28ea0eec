package kitemux.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import kitemux.engine.Log;
import org.jctools.queues.MpscArrayQueue;

/**
 * Asynchronous log for the operators, in text or JSON lines. A dedicated thread writes the lines, so that callers
 * never block. Lines that do not fit into the queue are dropped and counted; the count is logged with the next line.
 */
final class LineLog implements Log {
    private static final JsonFactory JSON = new JsonFactory();
    /** Interval at which the writer checks the queue even if nobody has woken it. */
    private static final long WRITER_POLL_NS = 100_000_000;

    /** Time limit of {@link #flush}. */
    private static final long FLUSH_TIMEOUT_NS = 1_000_000_000;
    /** Maximum number of stack frames logged with an error. */
    private static final int MAX_STACK_FRAME_COUNT = 20;

    private final PrintStream out;
    private final boolean json;
    private final Supplier<Instant> clock;
    private final MpscArrayQueue<Entry> pending;
    private final AtomicLong droppedCount = new AtomicLong();
    private final Thread writer;
    /** Whether the queue is empty and all its lines have been written. */
    private volatile boolean idle = true;

    private record Entry(Instant time, String level, String text, String cause) {}

    /**
     * Creates the log and starts its writer thread.
     *
     * @param json whether lines are written as JSON objects
     * @param queueCapacity maximum number of lines that wait to be written
     */
    LineLog(PrintStream out, boolean json, int queueCapacity, Supplier<Instant> clock) {
        this.out = out;
        this.json = json;
        this.clock = clock;
        pending = new MpscArrayQueue<>(queueCapacity);
        writer = new Thread(this::writeLoop, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void info(String text) {
        enqueue("info", text, "");
    }

    @Override
    public void error(String context, Throwable cause) {
        StringBuilder frames = new StringBuilder(String.valueOf(cause));
        StackTraceElement[] stackTrace = cause.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAME_COUNT, stackTrace.length); i++) {
            frames.append(" at ").append(stackTrace[i]);
        }
        enqueue("error", context, frames.toString());
    }

    private void enqueue(String level, String text, String cause) {
        idle = false;
        if (pending.offer(new Entry(clock.get(), level, text, cause))) {
            LockSupport.unpark(writer);
        } else {
            droppedCount.incrementAndGet();
        }
    }

    /** Waits, for at most one second, until all lines have been written, including those added meanwhile. */
    void flush() throws InterruptedException {
        long deadlineNs = System.nanoTime() + FLUSH_TIMEOUT_NS;
        while (!idle && System.nanoTime() < deadlineNs) {
            LockSupport.unpark(writer);
            Thread.sleep(1);
        }
    }

    private void writeLoop() {
        while (true) {
            Entry next = pending.poll();
            if (next == null) {
                out.flush();
                idle = pending.isEmpty();
                LockSupport.parkNanos(this, WRITER_POLL_NS);
                continue;
            }
            long dropped = droppedCount.getAndSet(0);
            if (dropped > 0) {
                out.println(format(new Entry(
                        next.time,
                        "warning",
                        dropped + " lines were dropped because they arrived faster than they" + " could be written",
                        "")));
            }
            out.println(format(next));
        }
    }

    private String format(Entry entry) {
        String time = entry.time.truncatedTo(ChronoUnit.MILLIS).toString();
        if (!json) {
            return time + " " + entry.level + " "
                    + oneLine(entry.text + (entry.cause.isEmpty() ? "" : ": " + entry.cause));
        }
        StringWriter buffer = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(buffer)) {
            generator.writeStartObject();
            generator.writeStringField("time", time);
            generator.writeStringField("level", entry.level);
            generator.writeStringField("text", entry.text);
            if (!entry.cause.isEmpty()) {
                generator.writeStringField("cause", entry.cause);
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return buffer.toString();
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
