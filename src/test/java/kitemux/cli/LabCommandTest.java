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

class LabCommandTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int lab(String... arguments) {
        return new CommandLine(new LabCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
    }

    private Path experiment(String where) throws IOException {
        Files.copy(Path.of("examples", "lab", "fleet.hcl"), folder.resolve("fleet.hcl"));
        return Files.writeString(
                folder.resolve("e.hcl"),
                "fleet = \"fleet.hcl\"\nlength = \"2s\"\nwhere = [\"" + where
                        + "\"]\nscenario \"one\" { load = 0.5 }\n");
    }

    @Test
    void anExperimentIsPlayedKeptToldAndCharted() throws IOException {
        Path file = experiment("emulator");
        Path results = folder.resolve("results");
        // Any file is a build where no node is started.
        assertEquals(0, lab("run", file.toString(), "--to", results.toString(), "--jar", file.toString()));
        assertTrue(out.toString().contains("| one | 0.9"), out.toString());
        assertTrue(err.toString().contains("1 of 1: one, EMULATOR, seed 1"), err.toString());
        assertEquals(0, lab("table", results.toString()));
        assertEquals(0, lab("chart", results.toString()));
        assertTrue(Files.readString(results.resolve("results.html")).contains("<h1>results</h1>"));
        assertEquals(0, lab("compare", results.toString(), results.toString()));
        assertTrue(out.toString().contains("not to be told apart"), out.toString());
    }

    @Test
    void whatCannotBeUsedIsToldLineByLine() throws IOException {
        Path file = experiment("moon");
        assertEquals(
                2,
                lab(
                        "run",
                        file.toString(),
                        "--to",
                        folder.resolve("r").toString(),
                        "--at-once",
                        "0",
                        "--jar",
                        folder.resolve("none.jar").toString()));
        assertEquals(3, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().lines().allMatch(line -> line.startsWith("kitemux: ")), err.toString());
        assertEquals(2, lab("table", folder.toString()));
        assertTrue(err.toString().contains("holds no results"), err.toString());
    }
}
