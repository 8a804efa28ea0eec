package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Drills as they are described, and what is said of those that cannot be played. */
class ScenarioFileTest {
    private static final Path EXAMPLES = Path.of("examples", "drill");
    private static final String GOOD = """
            fleet = "small-fleet.hcl"
            nodes = 3
            fault "f" {
              what = "cut"
              at   = "1s"
              for  = "1s"
              from = ["node-1"]
              to   = ["web-2", "list"]
            }
            """;

    private static Scenario read(String text, List<String> faults) {
        return ScenarioFile.read("d.hcl", text, null, path -> Files.readString(EXAMPLES.resolve(path)), faults);
    }

    private static Scenario good(String text) {
        List<String> faults = new ArrayList<>();
        Scenario read = read(text, faults);
        assertEquals(List.of(), faults);
        return read;
    }

    @ParameterizedTest
    @ValueSource(strings = {"storm.hcl", "bad-day.hcl", "long-day.hcl"})
    void theExamplesCanBePlayed(String name) throws IOException {
        Scenario read = good(Files.readString(EXAMPLES.resolve(name)));
        assertTrue(read.fleet().nodes().count() > 1);
    }

    @Test
    void aFaultBefallsWaysAsTheyAreDialled() {
        Fault both = good(GOOD).faults().get(0);
        assertEquals("[node-1>web-2, node-1>list]", both.links().toString());
        assertTrue(both.there() && both.back());
        // From the servers to a node is what comes back on the node's connections.
        Fault turned = good(GOOD.replace("from = [\"node-1\"]", "from = [\"web-2\"]")
                        .replace("to   = [\"web-2\", \"list\"]", "to = [\"node-1\"]\n ways = \"there\""))
                .faults()
                .get(0);
        assertEquals("[node-1>web-2]", turned.links().toString());
        assertTrue(!turned.there() && turned.back());
        assertEquals(
                3,
                good(GOOD.replace("[\"web-2\", \"list\"]", "[\"rack-0\"]"))
                        .faults()
                        .get(0)
                        .links()
                        .size());
    }

    @Test
    void whoIsDrawnFollowsFromTheSeed() {
        String drawn = GOOD.replace("[\"web-2\", \"list\"]", "[\"boxes\"]\n count = 2");
        List<Fault.Way> one = good(drawn).faults().get(0).links();
        assertEquals(2, one.size());
        assertEquals(one, good(drawn).faults().get(0).links());
        List<List<Fault.Way>> others = new ArrayList<>();
        for (int seed = 2; seed < 12; seed++) {
            others.add(good("seed = " + seed + "\n" + drawn).faults().get(0).links());
        }
        assertTrue(others.stream().anyMatch(links -> !links.equals(one)), "all seeds draw the same");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "nodes = 3 | nodes = 17 | d.hcl:2:1: nodes: is not from 1 to 16",
                "for  = \"1s\" | for  = \"later\" | d.hcl:6:3: fault \"f\".for: must be a time",
                "\"cut\" | \"bang\" | must be one of cut, slow, flap, reset, kill, stop, crash",
                "\"cut\" | \"kill\" | fault \"f\".on: must name parties",
                "\"cut\" | \"flap\" | fault \"f\".every: must be given",
                "\"cut\" | \"slow\" | fault \"f\".delay: must be given, or spread or bytes_per_s",
                "[\"node-1\"] | [\"node-7\"] | there is no \"node-7\"",
                "[\"node-1\"] | [\"web-1\"] | there is no way between",
                "at   = \"1s\" | at   = \"99s\" | fault \"f\".at: is not within the drill's length",
                "small-fleet | no-fleet | d.hcl:1:1: fleet: no-fleet.hcl cannot be read",
                "nodes = 3 | long_answers { share = 2 } | long_answers: share or stops is not from 0 to 1",
                "nodes = 3 | long_answers { lasts = \"9m\" } | long_answers.lasts: is not from 100ms to 60s",
                "nodes = 3 | long_answers { last = \"1s\" } | long_answers.last: is not known here",
                "nodes = 3 | nodse = 3 | d.hcl:2:1: nodse: is not known here"
            })
    void whatCannotBePlayedIsToldWithItsPlace(String good, String bad, String told) {
        List<String> faults = new ArrayList<>();
        read(GOOD.replace(good, bad), faults);
        assertTrue(faults.stream().anyMatch(fault -> fault.contains(told)), faults.toString());
    }

    @Test
    void allFaultsAreToldAtOnce() {
        List<String> faults = new ArrayList<>();
        read(GOOD.replace("[\"node-1\"]", "[\"x\"]").replace("at   = \"1s\"", "at = 3"), faults);
        assertTrue(faults.size() >= 2, faults.toString());
    }
}
