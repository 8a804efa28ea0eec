package kitemux.engine;

/** Lines for the operators; safe to call from any thread, never blocks for long. */
public interface Log {
    /** One line; breaks in it are taken out. */
    void info(String text);

    /** A defect of this program, with its cause. */
    void error(String what, Throwable cause);
}
