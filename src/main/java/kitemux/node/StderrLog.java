package kitemux.node;

import kitemux.engine.Log;

/**
 * A log on standard error. The number of entries per second is limited, so that a flood of failures cannot stall the
 * event loop.
 */
public final class StderrLog implements Log {
    private static final int MAX_LINES_PER_SECOND = 20;

    private long currentSecond;
    private int entriesThisSecond;

    @Override
    public void info(String text) {
        if (tryAcquire()) {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    @Override
    public void error(String what, Throwable cause) {
        if (tryAcquire()) {
            System.err.println(what + ": " + cause);
            for (StackTraceElement frame : cause.getStackTrace()) {
                System.err.println("    at " + frame);
            }
        }
    }

    private synchronized boolean tryAcquire() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            entriesThisSecond = 0;
        }
        return ++entriesThisSecond <= MAX_LINES_PER_SECOND;
    }
}
