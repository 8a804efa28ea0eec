package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of a keeper's settings file. */
class KeeperSettingsParserTest {
    private final List<String> errors = new ArrayList<>();

    private KeeperSettings parse(String text) {
        return KeeperSettingsParser.parse("k.hcl", text, errors);
    }

    @Test
    void validFileIsParsed() {
        KeeperSettings settings = parse("""
                keeper  = 1
                keepers = ["10.9.0.1:8600", "10.9.0.2:8600", "10.9.0.3:8600", "10.9.0.4:8600"]
                voters  = ["0:9f2c", "1:77aa", "2:12ef"]
                folder  = "/var/lib/keeper"
                nodes   = 420
                """);
        assertEquals(List.of(), errors);
        assertEquals("[0:9f2c, 1:77aa, 2:12ef]", settings.initialVoters().toString());
        assertEquals(settings.keeperAddresses().get(1), settings.listenAddress());
        assertEquals("/var/lib/keeper", settings.folder().toString());
        assertEquals(420, settings.nodeCount());
    }

    @Test
    void allErrorsAreReportedWithTheirPositions() {
        assertNull(parse("""
                keeper  = 4
                keepers = ["10.9.0.1:8600", "there", "10.9.0.1:8600"]
                voters  = ["0:9f2c", "x", "7:77aa", "0:12ef"]
                listen  = "nowhere"
                nodes   = 5000
                folders = "/var/lib/keeper"
                """));
        assertEquals(
                String.join(
                        "\n",
                        "k.hcl: folder: must be given",
                        "k.hcl:1:1: keeper: is not from 0 to 2, the last of keepers",
                        "k.hcl:2:1: keepers: is not address:port: there",
                        "k.hcl:2:1: keepers: keepers[2] is there twice: 10.9.0.1:8600",
                        "k.hcl:3:1: voters: \"7:77aa\" is not one of the 3 keepers",
                        "k.hcl:3:1: voters: \"x\" is not a voter of the form \"0:9f2c\", the number of a keeper and "
                                + "the identity of its folder",
                        "k.hcl:3:1: voters: keeper 0 is there twice",
                        "k.hcl:3:1: voters: names 4; 1, 3 or 5 are needed",
                        "k.hcl:4:1: listen: is not address:port: nowhere",
                        "k.hcl:5:1: nodes: is not from 1 to 1024",
                        "k.hcl:6:1: folders: is not known here; known are folder, keeper, keepers, listen, nodes, "
                                + "voters"),
                String.join("\n", errors.stream().sorted().toList()));
    }

    @Test
    void textThatIsNotHclIsReported() {
        assertNull(parse("keeper = = 1"));
        assertEquals(1, errors.size());
        assertEquals("k.hcl: this is not HCL", errors.get(0).substring(0, 22));
    }
}
