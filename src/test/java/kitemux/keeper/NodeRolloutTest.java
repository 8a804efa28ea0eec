package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import kitemux.cli.Main;
import kitemux.config.Json;
import kitemux.rollout.ProtocolParameters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node process with and without the settings section that names keepers. */
@Timeout(120)
class NodeRolloutTest {
    @TempDir
    private Path root;

    private Path loadedClasses;

    private Process startNode(String operator) throws Exception {
        loadedClasses = root.resolve("loaded.txt");
        Path config = Files.writeString(root.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":1},"balancers":2,"me":1,
                  "realms":[{"name":"acme","quotaPerS":5}],
                  "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + loadedClasses,
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment()
                .put(
                        "KITEMUX_SETTINGS",
                        Files.writeString(root.resolve("operator.json"), operator)
                                .toString());
        return builder.redirectErrorStream(true).start();
    }

    private static void awaitLine(BufferedReader lines, String part) throws Exception {
        String line = lines.readLine();
        while (line != null && !line.contains(part)) {
            line = lines.readLine();
        }
        assertNotNull(line, "no line contains " + part);
    }

    @Test
    void withoutRolloutSectionNoRolloutClassIsLoaded() throws Exception {
        Process node = startNode("{}");
        try (BufferedReader lines = node.inputReader()) {
            awaitLine(lines, "listening on");
            node.destroy();
            node.waitFor();
            String all = Files.readString(loadedClasses);
            assertTrue(all.contains("kitemux.node.Node "), "the log lists the loaded classes");
            assertFalse(all.contains("kitemux.rollout."), "state machines");
            assertFalse(all.contains("kitemux.keeper."), "sockets of the state machines");
            assertFalse(all.contains("kitemux.node.RolloutLink"), "link to the keepers");
        } finally {
            node.destroyForcibly();
        }
    }

    @Test
    void nodeWithRolloutSectionAppliesChangesAndReports() throws Exception {
        try (KeeperCluster cluster =
                new KeeperCluster(root.resolve("keepers"), 1, 1, 2, ProtocolParameters.defaults()).startAll()) {
            Process node = startNode("{\"rollout\":{\"keepers\":[\"127.0.0.1:"
                    + cluster.addresses(0).getPort() + "\"]}}");
            try (BufferedReader lines = node.inputReader()) {
                awaitLine(lines, "rollout: told all that its keeper knows");
                assertEquals(
                        "200 {\"rev\":1}",
                        describe(cluster.change(0, "0000000000000001", 0, "{\"realms/acme\":{\"quotaPerS\":12.0}}")));
                awaitLine(lines, "rollout: version 1 is taken in");
                assertEquals(
                        "1",
                        cluster.awaitInForce(0, 1, 1)
                                .path("in_force")
                                .path("nodes")
                                .values()
                                .get(0)
                                .asText());
                // A realm that the node's file lacks waits for a restart and is never reported as in force.
                assertEquals(
                        "200 {\"rev\":2}",
                        describe(cluster.change(0, "0000000000000002", 1, "{\"realms/new\":{\"quotaPerS\":1}}")));
                awaitLine(lines, "rollout: version 2 is taken in");
                long until = System.nanoTime() + 30_000_000_000L;
                Json status = cluster.status(0, "?rev=2");
                while (status.path("waits_restart").path("count").asLong(0) == 0) {
                    assertTrue(System.nanoTime() < until, "the node never reported the pending restart");
                    status = cluster.status(0, "?rev=2");
                }
                assertEquals(0, status.path("in_force").path("count").asLong(-1));
                String all = Files.readString(loadedClasses);
                assertTrue(all.contains("kitemux.rollout.Subscriber "), "state machines");
                assertTrue(all.contains("kitemux.keeper.RolloutWatch "), "sockets of the state machines");
                node.destroy();
                node.waitFor();
            } finally {
                node.destroyForcibly();
            }
        }
    }

    private static String describe(CompletableFuture<HttpResponse<String>> call) {
        return KeeperCluster.join(call).statusCode() + " "
                + KeeperCluster.join(call).body();
    }

    @Test
    void invalidRolloutSectionIsReportedByField() throws Exception {
        Process node = startNode("{\"rollout\":{\"keepers\":[\"here\"],\"more\":1}}");
        List<String> lines = node.inputReader().lines().toList();
        assertEquals(2, node.waitFor());
        assertEquals(
                List.of(
                        "kitemux: rollout.more is not known; known are keepers",
                        "kitemux: rollout.keepers[0] is not address:port: here"),
                lines);
        Process empty = startNode("{\"rollout\":{}}");
        assertEquals(
                List.of("kitemux: rollout.keepers is not a list of 1 to 32 addresses"),
                empty.inputReader().lines().toList());
        assertEquals(2, empty.waitFor());
    }
}
