package kitemux.keeper;

import java.util.ArrayList;
import java.util.List;
import kitemux.engine.Log;

/** Log that records its lines and lets a test wait for them. */
final class RecordingLog implements Log {
    private static final long TIMEOUT_MS = 30_000;

    private final List<String> lines = new ArrayList<>();

    @Override
    public synchronized void info(String text) {
        lines.add(text);
        notifyAll();
    }

    @Override
    public void error(String what, Throwable cause) {
        cause.printStackTrace();
        info("ERROR " + what + ": " + cause);
    }

    synchronized int count() {
        return lines.size();
    }

    /**
     * Waits for a line that contains the text, starting at an index; returns the index after that line.
     */
    synchronized int awaitLine(int from, String part) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        int next = from;
        while (true) {
            for (; next < lines.size(); next++) {
                if (lines.get(next).contains(part)) {
                    return next + 1;
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                throw new AssertionError("no line has \"" + part + "\": " + lines);
            }
            wait(leftMs);
        }
    }

    synchronized List<String> all() {
        return List.copyOf(lines);
    }
}
