package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessGuardTest {
    private static Process startGuarded(String script) throws Exception {
        return ProcessGuard.wrap(new ProcessBuilder("sh", "-c", script))
                .redirectErrorStream(true)
                .start();
    }

    /** Otherwise the parent of a node that fails to start would wait for its output forever. */
    @Test
    void outputEndsWithGuardedProcess() throws Exception {
        Process guard = startGuarded("echo no such thing; exit 3");
        try {
            // Reads on a separate thread, as a read that never ends cannot be interrupted.
            assertEquals(
                    List.of("no such thing"),
                    CompletableFuture.supplyAsync(
                                    () -> guard.inputReader().lines().toList())
                            .get(20, TimeUnit.SECONDS));
        } finally {
            guard.destroyForcibly();
        }
    }

    @Test
    void guardedProcessEndsWhenGuardInputIsClosed() throws Exception {
        Process guard = startGuarded("echo up; exec sleep 600");
        try (BufferedReader lines = guard.inputReader()) {
            assertEquals("up", lines.readLine());
            ProcessHandle process = guard.children().findFirst().orElseThrow();
            guard.getOutputStream().close();
            process.onExit().get(20, TimeUnit.SECONDS);
            guard.waitFor(20, TimeUnit.SECONDS);
        } finally {
            guard.children().forEach(ProcessHandle::destroyForcibly);
            guard.destroyForcibly();
        }
    }
}
