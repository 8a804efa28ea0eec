package kitemux.sidecar;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.node.Signals;

/**
 * The application as a child process of the sidecar. It is started once clients can connect, and the sidecar ends
 * when it exits. SIGTERM is passed on to the application first. The sidecar keeps serving until the application has
 * exited, because the application's remaining requests go through the sidecar.
 */
final class ApplicationProcess {
    /** Time that the application has to exit after SIGTERM before it is killed. */
    private static final long STOP_TIMEOUT_S = 10;

    private final List<String> command;
    private final LineLog log;
    private Process process;

    ApplicationProcess(List<String> command, LineLog log) {
        this.command = command;
        this.log = log;
    }

    /** Starts the application, waits until it exits and returns its exit code, or 127 if it could not be started. */
    int run() throws InterruptedException {
        // Installed before the start, so that a SIGTERM cannot end this process and leave the application running.
        Signals.handle("TERM", this::stop, log);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "application"));
        Process child;
        try {
            child = start();
        } catch (IOException e) {
            log.info("cannot start the application: " + e.getMessage());
            return 127;
        }
        int exitCode = child.waitFor();
        log.info("the application has ended with exit code " + exitCode);
        return exitCode;
    }

    private synchronized Process start() throws IOException {
        process = new ProcessBuilder(command).inheritIO().start();
        return process;
    }

    private synchronized Process process() {
        return process;
    }

    /**
     * Asks the application to exit, which lets {@link #run} return, and kills it after {@link #STOP_TIMEOUT_S}. If the
     * application has not been started yet, this process exits at once.
     */
    private void stop() {
        Process child = process();
        if (child == null) {
            System.exit(0);
        }
        child.destroy();
        try {
            if (!child.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
                log.info("the application did not exit within " + STOP_TIMEOUT_S + " s of SIGTERM; killing it");
                child.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the application when this process exits, so that it never outlives the sidecar. */
    private void kill() {
        Process child = process();
        if (child != null) {
            child.destroyForcibly();
        }
    }
}
