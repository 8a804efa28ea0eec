package kitemux.engine;

/** The operators' log. Implementations are thread-safe and never block for long. */
public interface Log {
    /** Logs one line; line breaks in the text are removed. */
    void info(String text);

    /** Logs an internal error, with the operation that met it and its cause. */
    void error(String context, Throwable cause);
}
