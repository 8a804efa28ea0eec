package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessGuardTest {
    private static Process guarded(String script) throws Exception {
        return ProcessGuard.wrap(new ProcessBuilder("sh", "-c", script))
                .redirectErrorStream(true)
                .start();
    }

    /** Else whoever waits for a node that does not start waits for good. */
    @Test
    void theOutputOfAProcessThatEndsEndsToo() throws Exception {
        Process guard = guarded("echo no such thing; exit 3");
        try {
            // On a thread of its own: a read of what never ends cannot be broken off.
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
    void aProcessEndsOnceNobodyHoldsItsGuard() throws Exception {
        Process guard = guarded("echo up; exec sleep 600");
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
