package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Small runs with processes of real nodes and of hollow ones. What they measure is not looked at as such. */
class ScaleRunTest {
    @TempDir
    private Path folder;

    private static Plan plan(String text) {
        List<String> faults = new ArrayList<>();
        Plan plan = PlanFile.read("test", text, faults);
        assertEquals(List.of(), faults);
        return plan;
    }

    private Map<String, Map<String, Double>> rows(String stage) throws IOException {
        Results kept = Results.read(folder, stage);
        assertNotNull(kept, stage);
        assertEquals("test", kept.facts().get("commit"));
        assertTrue(kept.facts().containsKey(Results.LATE), "it tells whether it was late itself");
        return kept.rows();
    }

    private void run(String text) throws Exception {
        List<ProcessHandle> before = ProcessHandle.current().descendants().toList();
        new ScaleRun(plan(text), new Processes(), folder, "test", Set.of(), line -> {}).run();
        List<ProcessHandle> left = ProcessHandle.current()
                .descendants()
                .filter(p -> !before.contains(p))
                .filter(ProcessHandle::isAlive)
                .toList();
        assertEquals(List.of(), left, "it leaves no process behind");
    }

    @Test
    void aSmallRunMeasuresAllThatItSays() throws Exception {
        run(Files.readString(Path.of("examples", "scale", "small.hcl")));
        Map<String, Map<String, Double>> list = rows("list");
        assertEquals(Set.of("10", "20", "40"), list.keySet());
        assertTrue(
                list.get("40").get("whole_bytes") > 2 * list.get("10").get("whole_bytes"),
                "a list has its servers: " + list);
        assertTrue(list.values().stream().allMatch(row -> row.get("resident_mb") > 10), list.toString());
        Map<String, Map<String, Double>> nodes = rows("nodes");
        assertEquals(Set.of("2", "4", "6"), nodes.keySet());
        nodes.forEach((count, row) -> {
            assertTrue(row.get("return_calls") >= Integer.parseInt(count), "each calls anew: " + nodes);
            assertTrue(row.get("change_ms") > 0, "a change costs something: " + nodes);
        });
        assertTrue(nodes.get("6").get("desk_bytes") > 2 * nodes.get("2").get("desk_bytes"), "each is told: " + nodes);
        Map<String, Map<String, Double>> peers = rows("peers");
        assertEquals(Set.of("2", "4", "6"), peers.keySet());
        peers.forEach((count, row) -> {
            // A ping a second and an answer to one, 43 bytes each where there is nothing else to tell.
            assertTrue(row.get("datagrams") > 0.5 && row.get("datagrams") < 3, "counted once: " + peers);
            assertTrue(row.get("first_bytes") > row.get("bytes"), "lives are told first: " + peers);
            assertTrue(row.get("bytes") >= 43 * row.get("datagrams") - 1, peers.toString());
        });
        Map<String, Map<String, Double>> p99 = rows("p99");
        assertEquals(Set.of("100_quiet", "100_zone"), p99.keySet());
        p99.forEach((way, row) -> {
            assertTrue(row.get("answers") > 10, "some are served: " + p99);
            assertEquals(0, row.get("others"), "and all of them: " + p99);
            assertTrue(row.get("added_least_ms") <= row.get("added_most_ms"), "two turns: " + p99);
        });
        for (String name : List.of("list", "nodes", "peers", "p99", "fit")) {
            assertNotNull(Tables.markdown(name, folder), name);
        }
    }

    @Test
    void eventsBefallBothKindsOfNodes() throws Exception {
        run("""
                settle = "100ms"
                full {
                  servers = 40
                  zones   = 4
                }
                events {
                  nodes      = 3
                  servers    = 40
                  in_process = 2
                  quiet      = "100ms"
                  times      = 1
                }
                event "restart" {
                  servers = 2
                  drains  = true
                }
                event "zone" {
                  servers = 10
                  in_line = 4
                  hollow  = false
                }
                event "end" { watches_end = true }
                """);
        Map<String, Map<String, Double>> rows = rows("events");
        assertEquals(Set.of("quiet-minute", "restart", "restart_return", "zone", "zone_return", "end"), rows.keySet());
        assertEquals(2, rows.get("restart").get("lines"));
        assertEquals(4, rows.get("restart_return").get("lines"), "they have gone, and are back");
        assertEquals(3, rows.get("zone").get("lines"), "four in a line");
        assertFalse(rows.get("zone").containsKey("node_ms"), "hollow nodes did not hear of it");
        assertTrue(rows.get("end").get("bytes") > 4_000, "the whole list is told: " + rows);
        assertTrue(rows.get("end").get("heard_ms") > 0, rows.toString());
        rows.forEach((event, row) -> assertTrue(
                event.equals("quiet-minute") || row.get("alone_stall_ms") > 0, "a node alone hears of all: " + rows));
    }

    /** What a stage that takes too long has measured is kept, and the stages behind it run. */
    @Test
    void aStageThatTakesTooLongIsBrokenOffAndTheOthersRun() throws Exception {
        String text = """
                settle = "1ms"
                limit  = "9s"
                full { zones = 4 }
                peers {
                  counts     = [2, 3]
                  servers    = 10
                  in_process = 2
                  most       = "1ms"
                  quiet      = "%s"
                }
                changes {
                  a_minute = [6000]
                  servers  = 40
                  length   = "200ms"
                }
                """;
        IOException broken = assertThrows(IOException.class, () -> run(text.formatted("60s")));
        assertEquals("peers: it took longer than 9.0 s", broken.getMessage());
        assertEquals(Set.of("2"), rows("peers").keySet(), "what was reached is kept");
        assertEquals("it took longer than 9.0 s", Results.read(folder, "peers").brokeOff());
        assertEquals(Set.of("6000"), rows("changes").keySet(), "the next one ran");
        String table = Tables.markdown("peers", folder);
        assertTrue(table.endsWith("what was not reached is missing: it took longer than 9.0 s.\n"), table);
        // Where there is a whole one, one that broke off does not take its place.
        Results whole = Results.of("peers");
        whole.put("2", "datagrams", 2);
        whole.keep(folder);
        assertThrows(IOException.class, () -> run(text.formatted("60s")));
        assertEquals(whole.rows(), Results.read(folder, "peers").rows());
        assertTrue(Files.exists(folder.resolve("peers.broke-off.json")));
    }

    @Test
    void tenantsAndChangesAreMeasured() throws Exception {
        run("""
                settle = "100ms"
                full {
                  servers = 40
                  zones   = 4
                }
                tenants {
                  counts  = [2, 400]
                  quiet   = "300ms"
                  changes = 4
                  every   = "5ms"
                  rate    = 200
                }
                changes {
                  a_minute = [600, 6000]
                  length   = "500ms"
                }
                """);
        assertEquals(Set.of("2", "400"), rows("tenants").keySet());
        Map<String, Map<String, Double>> changes = rows("changes");
        assertTrue(
                changes.get("6000").get("bytes_s") > 3 * changes.get("600").get("bytes_s"),
                "ten times the changes: " + changes);
    }

    /** Whoever kills the run takes its nodes along: they hear that nobody is there any more. */
    @Test
    void aRunThatIsKilledLeavesNothingBehind() throws Exception {
        Map<String, String> stages =
                Map.of("list", "servers = [10]", "nodes", "counts = [4]\n servers = 20\n in_process = 2");
        for (Map.Entry<String, String> stage : stages.entrySet()) {
            Path file = Files.writeString(
                    folder.resolve(stage.getKey() + ".hcl"),
                    "settle = \"60s\"\n" + stage.getKey() + " {\n " + stage.getValue() + "\n}\n");
            Process run = Processes.run(file.toString(), folder.resolve("to").toString())
                    .redirectErrorStream(true)
                    .start();
            Set<ProcessHandle> nodes = Set.of();
            try (BufferedReader lines = run.inputReader()) {
                String line = lines.readLine();
                assertEquals(stage.getKey() + ": nodes are up", line);
                nodes = run.descendants().collect(Collectors.toSet());
                assertTrue(nodes.size() >= 2, "a shell and a node, or two processes: " + nodes);
                run.destroyForcibly().waitFor();
                for (ProcessHandle node : nodes) {
                    node.onExit().get(20, TimeUnit.SECONDS);
                }
            } finally {
                run.destroyForcibly();
                nodes.forEach(ProcessHandle::destroyForcibly);
            }
        }
    }
}
