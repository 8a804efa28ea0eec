package kitemux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kitemux.fleet.Fleet;
import org.junit.jupiter.api.Test;

class ExperimentFileTest {

    private static Experiment read(String text, List<String> errors) {
        return ExperimentFile.read(
                "e",
                text,
                path -> {
                    if (!path.equals("small.hcl")) {
                        throw new IOException("no such file");
                    }
                    return TestFleets.SMALL_FLEET_HCL;
                },
                errors);
    }

    @Test
    void scenariosBecomeVariantsOfTheFleet() {
        List<String> errors = new ArrayList<>();
        Experiment experiment = read("""
                fleet  = "small.hcl"
                goal   = 0.9
                seeds  = 2
                length = "5s"
                where  = ["emulator"]
                scenario "as it is" { }
                scenario "rack lost" {
                  load  = 0.5
                  nodes = 1
                  fault {
                    trouble = "die"
                    among   = "rack"
                    which   = 1
                    at      = "1s"
                    for     = "2s"
                  }
                }
                scenario "load" { loads = [1, 1.5] }
                scenario "servers" {
                  of    = "std"
                  boxes = [2, 3]
                }
                """, errors);
        assertEquals(List.of(), errors);
        assertEquals(
                List.of(
                        "as it is",
                        "rack lost",
                        "load, load 1.0",
                        "load, load 1.5",
                        "servers, std 2",
                        "servers, std 3"),
                experiment.variants().stream().map(Experiment.Variant::name).toList());
        Fleet asItIs = experiment.variants().get(0).fleet();
        assertEquals(5_000_000, asItIs.load().durationUs());
        assertEquals(150, asItIs.load().ratePerS());
        Fleet lost = experiment.variants().get(1).fleet();
        assertEquals(75, lost.load().ratePerS());
        assertEquals(1, lost.nodes().count());
        assertEquals(Fleet.FaultKind.DIE, lost.faults().get(0).kind());
        assertEquals(225, experiment.variants().get(3).fleet().load().ratePerS());
        assertEquals(3, experiment.variants().get(5).fleet().serverCount());
        assertTrue(experiment.variants().get(5).higherIsBetter());
        assertEquals(12, experiment.runs().size());
    }

    @Test
    void eachErrorNamesItsField() {
        List<String> errors = new ArrayList<>();
        read("""
                fleet  = "small.hcl"
                goal   = 1.5
                seeds  = 0
                length = "1s"
                where  = ["moon"]
                colour = "red"
                scenario "a" {
                  load  = "much"
                  boxes = [1]
                  of    = "vast"
                }
                scenario "b" {
                  fault {
                    trouble = "vanish"
                    at      = "1s"
                    for     = "soon"
                  }
                }
                """, errors);
        String all = String.join("\n", errors);
        for (String each : List.of(
                "goal: is not above 0 and under 1",
                "seeds: is not from 1 to",
                "length: is not from 2s to 10m",
                "where: must hold emulator, loopback or both, not \"moon\"",
                "colour: is not known here",
                "scenario \"a\".load: must be a number, not \"much\"",
                "there is no kind \"vast\"",
                "fault[0].for: must be a time with its unit")) {
            assertTrue(all.contains(each), each + " is not among:\n" + all);
        }
    }

    @Test
    void unsupportedLoopbackSettingsAreRejected() {
        List<String> errors = new ArrayList<>();
        read("""
                fleet = "small.hcl"
                scenario "b" {
                  nodes = 17
                  fault {
                    trouble = "vanish"
                    at      = "1s"
                    for     = "1s"
                  }
                }
                """, errors);
        assertEquals(2, errors.size(), errors::toString);
        assertTrue(errors.get(0).contains("at most 16 nodes"), errors::toString);
        assertTrue(errors.get(1).contains("cannot be played over loopback"), errors::toString);
    }

    @Test
    void missingOrInvalidFleetIsRejected() {
        List<String> errors = new ArrayList<>();
        read("fleet = \"other.hcl\"\nscenario \"a\" { }", errors);
        assertEquals(List.of("e:1:1: fleet: other.hcl cannot be read: no such file"), errors);
        errors.clear();
        ExperimentFile.read("e", "fleet = \"f\"\nscenario \"a\" { }", path -> "racks = 0", errors);
        assertFalse(errors.isEmpty());
        assertTrue(errors.stream().allMatch(error -> error.startsWith("f:")), errors::toString);
    }

    @Test
    void exampleExperimentIsValid() throws IOException {
        List<String> errors = new ArrayList<>();
        Path examples = Path.of("examples", "lab");
        Experiment experiment = ExperimentFile.read(
                "e",
                Files.readString(examples.resolve("validation.hcl")),
                path -> Files.readString(examples.resolve(path)),
                errors);
        assertEquals(List.of(), errors);
        assertTrue(experiment.variants().size() >= 24);
    }
}
