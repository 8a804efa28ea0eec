package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a start whose system calls fail ends the process with a message and an exit code. */
class FailedStartTest {
    private static final int TIMEOUT_S = 25;

    @TempDir
    private Path folder;

    /**
     * Guards against a process that stays alive without listening because binding its address fails during the warm-up
     * (EADDRNOTAVAIL).
     */
    @Test
    void failedWarmUpEndsTheProcessWithMessageAndExitCode() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), """
                {"listen":"192.0.2.1:8000","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "known":{"rev":1,"all":true,"targets":[]},
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":5000000,"repeat":"safe"}]}}
                """);
        ProcessBuilder builder = new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        Process process = builder.redirectErrorStream(true).start();
        try {
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process is alive and does not listen");
            List<String> lines = process.inputReader().lines().toList();
            assertEquals(1, process.exitValue(), () -> "output: " + lines);
            assertTrue(
                    lines.stream().anyMatch(line -> line.startsWith("kitemux: the start failed: ")),
                    () -> "output: " + lines);
        } finally {
            process.destroyForcibly();
        }
    }
}
