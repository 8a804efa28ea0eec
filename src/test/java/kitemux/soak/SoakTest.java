package kitemux.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import kitemux.cli.Main;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short soak runs of this build's node. */
class SoakTest {
    private static final int CHANGE_COUNT = 3;

    @TempDir
    private Path folder;

    private static ProcessBuilder newNodeProcess() {
        return new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
    }

    /** Guards against requests that a terminating process has read and never answers. */
    @ParameterizedTest
    @CsvSource({"2,true", "3,true", "5,true", "6,true", "2,false", "4,false"})
    void processChangesBreakNoRule(long seed, boolean upgradesOnly) throws Exception {
        Soak.Result result = Soak.run(SoakTest::newNodeProcess, true, seed, upgradesOnly, CHANGE_COUNT, folder);
        assertTrue(result.requests() > 0, "no requests were sent");
        assertEquals(
                List.of(),
                result.violations(),
                () -> "the run was behind its schedule by " + result.maxLatenessMs() + " ms");
    }
}
