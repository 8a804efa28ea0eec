package kitemux.hcl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import kitemux.plan.FleetFile;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against fault messages that point to a wrong place in an HCL file. */
class SourceLocationsTest {

    private static String locate(String text, String fault) {
        return SourceLocations.of(text).withLocation("f", fault);
    }

    @Test
    void faultIsLocatedAtItsField() throws IOException {
        String text = Files.readString(Path.of("examples", "yearbook.hcl"))
                .replace("cores  = 0.5", "cores  = \"half\"")
                .replace("work     = \"22ms\"", "work     = \"22\"")
                .replace("quota  = 300", "quotas = 300")
                .replace("racks = 2", "racks = 2.5");
        List<String> faults = new ArrayList<>();
        FleetFile.read(text, faults);
        List<String> lines = text.lines().toList();
        assertEquals(4, faults.size(), faults::toString);
        for (String fault : faults) {
            String[] locatedFault = locate(text, fault).split(":", 4);
            String line = lines.get(Integer.parseInt(locatedFault[1]) - 1);
            String field = fault.substring(0, fault.indexOf(':')).replaceAll(".*[.]", "");
            assertEquals(
                    field, line.substring(Integer.parseInt(locatedFault[2]) - 1).split(" ")[0], fault);
        }
    }

    @Test
    void blocksAreLocatedByLabelAndIndex() {
        String text = """
                # a comment { with a bracket
                scenario "a" {
                  fault {
                    at = "1s"
                  }
                  fault { /* two
                    lines { */
                    at    = "2s"
                    names = ["x", "y}"]
                  }
                }
                load {
                  point {
                    times = 1
                  }
                  point {
                    times = 2
                  }
                }
                counts = { std = 3 }
                """;
        assertEquals(List.of(), SourceLocations.of(text).faults());
        assertEquals("f:4:5: scenario \"a\".fault[0].at: late", locate(text, "scenario \"a\".fault[0].at: late"));
        assertEquals("f:8:5: scenario \"a\".fault[1].at: late", locate(text, "scenario \"a\".fault[1].at: late"));
        assertEquals("f:9:5: scenario \"a\".fault[1].names: odd", locate(text, "scenario \"a\".fault[1].names: odd"));
        assertEquals("f:17:5: load.point[1].times: low", locate(text, "load.point[1].times: low"));
        assertEquals("f:12:1: load: is odd", locate(text, "load: is odd"));
        assertEquals("f:20:12: counts.std: low", locate(text, "counts.std: low"));
    }

    @Test
    void missingFieldIsLocatedAtItsEnclosingBlock() {
        String text = "nodes {\n  event = \"60us\"\n}\n";
        assertEquals("f:1:1: nodes.count: must be given", locate(text, "nodes.count: must be given"));
        assertEquals("f: load: must be given", locate(text, "load: must be given"));
    }

    @Test
    void unbalancedBracketsAreReported() {
        assertEquals(
                List.of("2:9: the bracket { is never closed"),
                SourceLocations.of("a = 1\nbox \"b\" {\n  c = 2\n").faults());
        assertEquals(
                List.of("1:7: the bracket ] closes nothing"),
                SourceLocations.of("a = 1 ]").faults());
        assertEquals(
                List.of(),
                SourceLocations.of("a = \"}\" # }\nb = <<END\n }}} {\nEND\n").faults());
    }

    @Property(tries = 500)
    void anyTextIsScannedWithoutException(
            @ForAll @StringLength(max = 60) @CharRange(from = ' ', to = '~') String line) {
        String text = line.chars()
                .mapToObj(c -> c % 7 == 0 ? "\n" : String.valueOf((char) c))
                .collect(Collectors.joining());
        assertTrue(SourceLocations.of(text).withLocation("f", "a.b: c").endsWith("a.b: c"));
    }
}
