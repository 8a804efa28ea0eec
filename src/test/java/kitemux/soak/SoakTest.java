package kitemux.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import kitemux.cli.Main;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A short soak of this build's node. */
class SoakTest {
    private static final int CHANGES = 3;

    @TempDir
    private Path folder;

    private static ProcessBuilder node() {
        return new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
    }

    /** Guards against requests that an ending process has read and leaves with no answer. */
    @ParameterizedTest
    @CsvSource({"2,true", "3,true", "5,true", "6,true", "2,false", "4,false"})
    void noRuleIsBrokenWhileProcessesAreChanged(long seed, boolean upgradesOnly) throws Exception {
        Soak.Result result = Soak.run(SoakTest::node, true, seed, upgradesOnly, CHANGES, folder);
        assertTrue(result.requests() > 0, "nobody asked");
        assertEquals(List.of(), result.violations(), () -> "the player was late by " + result.maxLatenessMs() + " ms");
    }
}
