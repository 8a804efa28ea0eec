package kitemux.node;

import kitemux.engine.Log;

/** Lines for the operators on standard error: few, so that a flood of failures cannot stall the loop. */
public final class StderrLog implements Log {
    private static final int MOST_PER_S = 20;

    private long second;
    private int lines;

    @Override
    public void info(String text) {
        if (hasRoom()) {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    @Override
    public void error(String what, Throwable cause) {
        if (hasRoom()) {
            System.err.println(what + ": " + cause);
            for (StackTraceElement frame : cause.getStackTrace()) {
                System.err.println("    at " + frame);
            }
        }
    }

    private synchronized boolean hasRoom() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            second = now;
            lines = 0;
        }
        return ++lines <= MOST_PER_S;
    }
}
