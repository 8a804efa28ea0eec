package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class TryCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return new CommandLine(new TryCommand(() -> new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "node")))
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    /** What the example does to servers and node is done, seen and told, and the four rules are kept. */
    @Test
    void theExampleIsPlayedToItsEnd() {
        assertEquals(0, run("--for", "7s", "--script", "examples/try.txt"), () -> err + "\n" + out);
        String told = out.toString();
        for (String deed : new String[] {"kill old-0", "slow std-0", "back old-0", "restart", "drain std-1"}) {
            assertTrue(told.contains("s  " + deed), told);
        }
        assertTrue(told.contains("1 dead") && told.contains("1 slow") && told.contains("node down"), told);
        for (String rule :
                new String[] {"no request lost", "no effect twice", "drains kept", "no cold server pushed over"}) {
            assertTrue(told.contains(rule + ": kept"), told);
        }
    }

    @Test
    void whatIsWrongIsToldAtOnceAndNothingIsStarted(@TempDir Path folder) throws IOException {
        Path script = Files.writeString(folder.resolve("script"), "1s burn old-0\n2s kill\n");
        assertEquals(2, run("--for", "1h", "--script", script.toString()));
        assertEquals(3, err.toString().lines().count(), err.toString());
        assertTrue(
                err.toString().contains("--for is not from 2s")
                        && err.toString().contains("line 2: "),
                err.toString());
        assertEquals("", out.toString());
    }
}
