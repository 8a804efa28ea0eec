package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerState;
import kitemux.app.App;
import kitemux.app.AppParser;
import kitemux.app.ConfigWriter;
import kitemux.config.ConfigException;
import kitemux.net.HostList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Mutates descriptions: lines are dropped, duplicated or swapped, values scaled or replaced. A node must read the
 * configuration written from each mutant that is found valid, and the guarantees of the rules must hold for it.
 */
class WrittenConfigTest {
    private static final int MUTANT_COUNT = 4_000;
    private static final String[] VALUES = {
        "0",
        "-1",
        "1",
        "0.5",
        "1e9",
        "\"\"",
        "\"1ms\"",
        "\"9h\"",
        "true",
        "[]",
        "\"safe\"",
        "\"keyed\"",
        "\"never-twice\"",
        "\"all\"",
        "\"rack\"",
        "\"draining\"",
        "\"gone\"",
        "\"127.0.0.1:9001\"",
        "[\"web-1\"]",
        "\"10.0.0.0/8\""
    };

    @TempDir
    private Path folder;

    private static String mutate(List<String> sound, Random random) {
        List<String> lines = new ArrayList<>(sound);
        for (int i = 0; i <= random.nextInt(3); i++) {
            int at = random.nextInt(lines.size());
            int other = random.nextInt(lines.size());
            switch (random.nextInt(5)) {
                case 0 -> lines.remove(at);
                case 1 -> lines.add(other, lines.get(at));
                case 2 -> {
                    String line = lines.get(at);
                    lines.set(at, lines.get(other));
                    lines.set(other, line);
                }
                case 3 -> lines.set(at, lines.get(at).replaceAll("= .*", "= " + VALUES[random.nextInt(VALUES.length)]));
                default -> lines.set(at, lines.get(at).replaceAll("(\\d)", random.nextBoolean() ? "$10" : ""));
            }
        }
        return String.join("\n", lines);
    }

    private void assertInvariants(App app, NodeConfig read, String text) {
        Map<String, RetrySafety> classes = new java.util.HashMap<>();
        for (RequestClass of : read.settings().classes) {
            classes.put(of.name(), of.retrySafety());
            if (of.retrySafety() == RetrySafety.KEYED) {
                assertTrue(
                        of.dedupWindowUs() > 0
                                && of.dedupWindowUs() <= app.keys().keptUs(),
                        text);
            }
            assertTrue(
                    of.targetLatencyUs() <= of.deadlineUs() && read.settings().connectTimeoutUs < of.deadlineUs(),
                    text);
        }
        app.neverTwiceClasses().forEach(name -> assertEquals(RetrySafety.UNSAFE, classes.get(name), text));
        app.classes()
                .forEach(requestClass ->
                        assertEquals(requestClass.retrySafety(), classes.get(requestClass.name()), text));
        boolean ready = false;
        for (HostList.Host host : read.initialServers().hosts()) {
            App.Server described = app.servers().stream()
                    .filter(s -> s.name().equals(host.entry().id()))
                    .findFirst()
                    .orElseThrow();
            assertEquals(described.state() == App.State.READY, host.entry().state() == ServerState.READY, text);
            ready |= described.state() == App.State.READY;
        }
        assertTrue(ready || !app.discoveryAddress().isEmpty(), text);
        double quota =
                read.settings().tenants.stream().mapToDouble(t -> t.quotaPerS()).sum();
        assertTrue(quota <= app.quotaPerS() * (1 + 1e-6), text);
    }

    @Test
    void nodeReadsEveryValidMutantAndItsInvariantsHold() throws IOException, ConfigException {
        List<String> sound = Arrays.asList(Files.readString(Path.of("examples", "app", "ordering-desk.hcl"))
                .split("\n"));
        Random random = new Random(20_261_201);
        Path file = folder.resolve("config.json");
        int passed = 0;
        for (int i = 0; i < MUTANT_COUNT; i++) {
            String text = mutate(sound, random);
            AppParser.Result reading = AppParser.parse(text);
            if (reading.findings().isEmpty()) {
                passed++;
                Files.writeString(file, ConfigWriter.toJson(reading.app(), "1"));
                try {
                    assertInvariants(reading.app(), NodeConfig.read(Map.of("PROXY_CONFIG", file.toString())), text);
                } catch (ConfigException e) {
                    throw new AssertionError(
                            "found valid, but a node does not read it: " + e.getMessage() + "\n" + text, e);
                }
            }
        }
        assertTrue(passed > MUTANT_COUNT / 20, "only " + passed + " were found valid: too few for a meaningful test");
        assertTrue(passed < MUTANT_COUNT, "no mutant was found invalid");
    }
}
