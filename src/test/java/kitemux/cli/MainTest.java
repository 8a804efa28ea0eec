package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command line as a whole. */
class MainTest {

    /** What a command printed, and its exit code behind it. */
    private static String run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        try (PrintStream both = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
            System.setOut(both);
            System.setErr(both);
            int code = Main.execute(args);
            return printed.toString(StandardCharsets.UTF_8) + "exit " + code;
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void theVersionIsTheBuilds() throws Exception {
        String build = Files.readString(Path.of("pom.xml"));
        assertTrue(build.contains("<version>" + Version.TEXT + "</version>"), Version.TEXT);
        assertEquals("kitemux " + Version.TEXT + System.lineSeparator() + "exit 0", run("--version"));
    }

    @Test
    void theHelpNamesAllCommands() {
        String help = run("--help");
        assertTrue(help.contains("node") && help.contains("adapter"), help);
        assertTrue(run("node", "--help").contains("PROXY_CONFIG"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "nodes",
                "node --fast",
                "--nothing",
                "adapter x y",
                "faults --seeds 3",
                "faults --seeds 9-1",
                "faults --jobs 0",
                "faults --only nothing",
                "faults --shrink",
                "faults --seed x",
                "bench --connections 0",
                "bench --jar no-such-file",
                "bench --rounds 0",
                "bench --half"
            })
    void badArgumentsAreSaidInOneLine(String line) {
        String printed = run(line.isEmpty() ? new String[0] : line.split(" "));
        assertTrue(printed.startsWith("kitemux: "), printed);
        assertEquals(2, printed.split(System.lineSeparator()).length, printed);
        assertTrue(printed.endsWith("exit 2"), printed);
    }

    @Test
    @Timeout(60)
    void theModesThatAreStartedOftenDoNotLoadTheReaderOfArguments() throws Exception {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Process process = new ProcessBuilder(
                        java.toString(),
                        "-Xlog:class+load",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "adapter")
                .redirectErrorStream(true)
                .start();
        process.getOutputStream().close();
        String loaded = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertTrue(loaded.contains("kitemux.adapter.Link"), "the adapter ran");
        assertFalse(loaded.contains("picocli"));
    }
}
