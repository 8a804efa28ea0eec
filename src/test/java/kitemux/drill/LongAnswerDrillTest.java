package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import kitemux.cli.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Real processes whose servers give long answers past their clients' time, sound ones and mutants. */
class LongAnswerDrillTest {
    /** A machine that is busy with something else may be too late to tell. */
    private static final int TRIES = 3;

    private static final String DRILL = """
            fleet  = "small-fleet.hcl"
            nodes  = 2
            length = "5s"
            long_answers {
              share = 0.2
              lasts = "2s"
              stops = 0.3
            }
            """;
    private static final String SOUND = "if (lookedUs - lastReadUs > Limits.STALL_TIMEOUT_US) {";

    @TempDir
    Path folder;

    private Verdict judged(Path before) throws Exception {
        Verdict verdict = null;
        for (int i = 0; i < TRIES && (verdict == null || !verdict.judged()); i++) {
            Drill.play(Played.read(DRILL), () -> node(before), folder.resolve("t.jsonl"));
            verdict = Judge.of(folder.resolve("t.jsonl"));
        }
        return verdict;
    }

    /** With the classes of a folder in the place of those under test. */
    private static ProcessBuilder node(Path before) throws IOException {
        ProcessBuilder node = Played.node();
        List<String> command = node.command();
        int at = command.indexOf("-cp") + 1;
        command.set(at, before + File.pathSeparator + command.get(at));
        return node;
    }

    @Test
    void aSoundNodePassesThemOnAndEndsThoseThatStop() throws Exception {
        Verdict verdict = judged(folder);
        assertEquals(List.of(), verdict.broken());
        assertTrue(verdict.isKept(), verdict.lines().toString());
        List<String> seen;
        try (Stream<String> lines = Files.lines(folder.resolve("t.jsonl"))) {
            seen = lines.toList();
        }
        assertTrue(
                count(seen, "\"how\":\"WHOLE\"") > 20
                        && count(seen, "\"how\":\"STOPPED\"") > 5
                        && count(seen, "\"e\":\"cut-off\"") > 5,
                "it was no idle drill");
    }

    private static long count(List<String> lines, String part) {
        return lines.stream().filter(line -> line.contains(part)).count();
    }

    /** The program with one line changed, as a node's process. */
    @ParameterizedTest
    @CsvSource({"if (lookedUs > exchange().deadlineUs()) {, was cut off though", "if (false) {, had no end"})
    void aMutantIsFoundByName(String unsound, String told) throws Exception {
        Path source = folder.resolve("src/kitemux/http/HttpServers.java");
        Files.createDirectories(source.getParent());
        String text = Files.readString(Path.of("src/main/java/kitemux/http/HttpServers.java"));
        assertTrue(text.contains(SOUND));
        Files.writeString(source, text.replace(SOUND, unsound));
        Path mutant = Files.createDirectories(folder.resolve("mutant"));
        assertEquals(
                0,
                ToolProvider.getSystemJavaCompiler()
                        .run(
                                null,
                                null,
                                null,
                                "-proc:none",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-d",
                                mutant.toString(),
                                source.toString()));
        Verdict verdict = judged(mutant);
        assertTrue(
                verdict.broken().stream()
                        .anyMatch(line -> line.contains("long answers passed on") && line.contains(told)),
                verdict.lines().toString());
        System.out.println(Main.class.getSimpleName() + " with \"" + unsound + "\": "
                + verdict.broken().get(0));
    }
}
