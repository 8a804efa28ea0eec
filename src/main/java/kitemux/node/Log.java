package kitemux.node;

/** Lines for the operators on standard error: few, so that a flood of failures cannot stall the loop. */
final class Log {
    private static final int MOST_PER_S = 20;

    private static long second;
    private static int lines;

    private Log() { }

    static void line(String text) {
        if (hasRoom()) {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    static void error(String what, Throwable cause) {
        if (hasRoom()) {
            System.err.println(what + ": " + cause);
            for (StackTraceElement frame : cause.getStackTrace()) {
                System.err.println("    at " + frame);
            }
        }
    }

    private static synchronized boolean hasRoom() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            second = now;
            lines = 0;
        }
        return ++lines <= MOST_PER_S;
    }
}
