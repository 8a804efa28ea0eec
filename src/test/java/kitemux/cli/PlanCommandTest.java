package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import kitemux.config.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class PlanCommandTest {
    private static final Path EXAMPLE = Path.of("examples/yearbook.hcl");

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return new CommandLine(new PlanCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("fleet.hcl"), text);
    }

    @Test
    void theExampleHoldsAndSaysTheSameEachTime() {
        assertEquals(0, run("--fleet", EXAMPLE.toString(), "--ask", "holds"), err.toString());
        String first = out.toString();
        assertTrue(first.contains("goal 0.950: holds"), first);
        out.getBuffer().setLength(0);
        assertEquals(0, run("--fleet", EXAMPLE.toString(), "--ask", "holds", "--jobs", "1"));
        assertEquals(first, out.toString());
    }

    @Test
    void aFleetThatDoesNotHoldIsFoundAndWhatItNeedsIsTold() throws IOException {
        String more = Files.readString(EXAMPLE)
                .replace("rate   = 220", "rate   = 600")
                .replace("length = \"40s\"", "length = \"10s\"")
                .replace("quota  = 300", "quota  = 900");
        assertEquals(1, run("--fleet", file(more).toString(), "--ask", "holds,boxes"), err.toString());
        assertTrue(out.toString().contains("does not hold"), out.toString());
        assertTrue(out.toString().matches("(?s).*std: \\d+ hold the goal.*"), out.toString());
    }

    @Test
    void theAnswersAsJsonSayWhatTheTextSays() throws IOException {
        String shorter = Files.readString(EXAMPLE).replace("length = \"40s\"", "length = \"8s\"");
        assertEquals(0, run("--fleet", file(shorter).toString(), "--ask", "holds,breaks", "--json"), err.toString());
        Json read = Json.read(out.toString().getBytes(StandardCharsets.UTF_8));
        assertTrue(read.path("today").path("holds").asBoolean());
        assertTrue(read.path("today").path("inTime").path("mean").asDouble(0) > 0.95);
        assertTrue(read.path("breaks").path("breaksAt").asDouble(0) > 1);
        assertEquals(List.of(), read.path("fewest").values());
    }

    @Test
    void allThatIsWrongIsToldAtOnceALineEach() throws IOException {
        String wrong = Files.readString(EXAMPLE)
                .replace("way           = \"200us\"", "way = 5")
                .replace("repeat   = \"safe\"", "repeat = \"often\"")
                .replace("rate   = 220", "colour = 1")
                .replace("count  = 2\n", "count = 2.5\n");
        assertEquals(2, run("--fleet", file(wrong).toString(), "--goal", "1.5"));
        List<String> lines = err.toString().lines().toList();
        for (String field : List.of(
                "--goal", "links.way", "class \"view-page\".repeat", "load.rate", "load.colour", "nodes.count")) {
            assertEquals(
                    1,
                    lines.stream()
                            .filter(line -> line.matches(
                                    "kitemux: (\\S+fleet[.]hcl:\\d+:\\d+: )?" + Pattern.quote(field) + "\\b.*"))
                            .count(),
                    field + " in " + lines);
        }
        assertEquals(6, lines.size(), lines.toString());
    }

    @Test
    void whatIsNoHclOrNotThereIsSaid() throws IOException {
        assertEquals(2, run("--fleet", file("boxes { = }}} \"").toString()));
        assertEquals(2, run("--fleet", folder.resolve("none.hcl").toString()));
        assertTrue(err.toString().contains("cannot be read"), err.toString());
        assertEquals(2, run("--fleet", EXAMPLE.toString(), "--ask", "wisdom"));
    }

    @Test
    void thePageHoldsTheAnswersAndALineForEachLoss() throws IOException {
        String shorter = Files.readString(EXAMPLE).replace("length = \"40s\"", "length = \"8s\"");
        Path page = folder.resolve("plan.html");
        assertEquals(
                0,
                run("--fleet", file(shorter).toString(), "--ask", "losses", "--html", page.toString()),
                err.toString());
        String text = Files.readString(page);
        for (String line : out.toString().lines().toList()) {
            assertTrue(text.contains(line.replace("\"", "&quot;")), line);
        }
        assertTrue(text.contains("{\"what\":\"nothing wrong\",\"values\":[0.9"), "no line of today");
        assertTrue(text.contains("\"what\":\"a rack dies for 15 s\""), "no line of a loss");
        assertTrue(!text.contains("<script src") && !text.contains("<link"), "it asks for another file");
    }
}
