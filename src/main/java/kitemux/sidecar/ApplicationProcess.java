package kitemux.sidecar;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.node.Signals;

/**
 * The application that a sidecar was started with. It begins once clients can connect, and the sidecar ends
 * with it. On
 * SIGTERM it is told first and served until it has ended, as what it still has to ask goes through the
 * sidecar.
 */
final class ApplicationProcess {
    /** After which an application that was told to end is ended. */
    private static final long MOST_END_S = 10;

    private final List<String> command;
    private final LineLog log;
    private Process process;

    ApplicationProcess(List<String> command, LineLog log) {
        this.command = command;
        this.log = log;
    }

    /** Runs it to its end; its exit code, or 127 where it could not be started. */
    int run() throws InterruptedException {
        // Before it is started, so that no SIGTERM ends this process and leaves it behind.
        Signals.handle("TERM", this::end, log);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "application"));
        Process started;
        try {
            started = start();
        } catch (IOException e) {
            log.info("the application cannot be started: " + e.getMessage());
            return 127;
        }
        int code = started.waitFor();
        log.info("the application has ended with exit code " + code);
        return code;
    }

    private synchronized Process start() throws IOException {
        process = new ProcessBuilder(command).inheritIO().start();
        return process;
    }

    private synchronized Process started() {
        return process;
    }

    /** It is told to end, and {@link #run} comes back once it has. */
    private void end() {
        Process told = started();
        if (told == null) {
            System.exit(0);
        }
        told.destroy();
        try {
            if (!told.waitFor(MOST_END_S, TimeUnit.SECONDS)) {
                log.info("the application did not end within " + MOST_END_S + " s and is ended");
                told.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whatever ends this process, the application does not outlive it. */
    private void kill() {
        Process left = started();
        if (left != null) {
            left.destroyForcibly();
        }
    }
}
