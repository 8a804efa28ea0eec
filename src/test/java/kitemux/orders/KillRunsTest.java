package kitemux.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import kitemux.bench.KillRuns;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Kills a real node repeatedly while it accepts orders, and compares its journal with what clients saw. */
class KillRunsTest {
    @Test
    void journalIsCorrectAfterRepeatedKillsOfItsNode(@TempDir Path folder) throws Exception {
        ProcessBuilder node = new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
        assertEquals(List.of(), new KillRuns(node, 30, 1, folder).run(System.out));
    }
}
