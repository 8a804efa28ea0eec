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
 * Lines for the operators, as text or as JSON, written by a thread of its own. Whoever has something to say
 * never
 * waits: what a full queue does not take is left out, counted, and told with the next line that is written.
 */
final class LineLog implements Log {
    private static final JsonFactory JSON = new JsonFactory();
    /** The writer looks again after so long though nobody woke it. */
    private static final long LOOK_NS = 100_000_000;

    private static final long MOST_FLUSH_NS = 1_000_000_000;
    /** Frames of a defect that are told. */
    private static final int MOST_FRAMES = 20;

    private final PrintStream out;
    private final boolean json;
    private final Supplier<Instant> clock;
    private final MpscArrayQueue<Entry> waiting;
    private final AtomicLong leftOut = new AtomicLong();
    private final Thread writer;
    /** Whether nothing waits and nothing is being written. */
    private volatile boolean written = true;

    private record Entry(Instant at, String level, String text, String cause) {}

    /**
     * @param queue lines that wait to be written, at most
     */
    LineLog(PrintStream out, boolean json, int queue, Supplier<Instant> clock) {
        this.out = out;
        this.json = json;
        this.clock = clock;
        waiting = new MpscArrayQueue<>(queue);
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void info(String text) {
        say("info", text, "");
    }

    @Override
    public void error(String what, Throwable cause) {
        StringBuilder frames = new StringBuilder(String.valueOf(cause));
        StackTraceElement[] all = cause.getStackTrace();
        for (int i = 0; i < Math.min(MOST_FRAMES, all.length); i++) {
            frames.append(" at ").append(all[i]);
        }
        say("error", what, frames.toString());
    }

    private void say(String level, String text, String cause) {
        written = false;
        if (waiting.offer(new Entry(clock.get(), level, text, cause))) {
            LockSupport.unpark(writer);
        } else {
            leftOut.incrementAndGet();
        }
    }

    /**
     * Waits until all that was said is written, a second at most; what others say meanwhile is written as
     * well.
     */
    void flush() throws InterruptedException {
        long until = System.nanoTime() + MOST_FLUSH_NS;
        while (!written && System.nanoTime() < until) {
            LockSupport.unpark(writer);
            Thread.sleep(1);
        }
    }

    private void write() {
        while (true) {
            Entry next = waiting.poll();
            if (next == null) {
                out.flush();
                written = waiting.isEmpty();
                LockSupport.parkNanos(this, LOOK_NS);
                continue;
            }
            long lost = leftOut.getAndSet(0);
            if (lost > 0) {
                out.println(shown(new Entry(
                        next.at,
                        "warning",
                        lost + " lines were left out: they came faster than they" + " could be written",
                        "")));
            }
            out.println(shown(next));
        }
    }

    private String shown(Entry entry) {
        String at = entry.at.truncatedTo(ChronoUnit.MILLIS).toString();
        if (!json) {
            return at + " " + entry.level + " "
                    + oneLine(entry.text + (entry.cause.isEmpty() ? "" : ": " + entry.cause));
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator to = JSON.createGenerator(text)) {
            to.writeStartObject();
            to.writeStringField("time", at);
            to.writeStringField("level", entry.level);
            to.writeStringField("text", entry.text);
            if (!entry.cause.isEmpty()) {
                to.writeStringField("cause", entry.cause);
            }
            to.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
