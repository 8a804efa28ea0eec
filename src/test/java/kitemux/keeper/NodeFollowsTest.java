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

/** A node as a process, with the section that names keepers and without it. */
@Timeout(120)
class NodeFollowsTest {
    @TempDir
    private Path root;

    private Path loaded;

    private Process node(String operator) throws Exception {
        loaded = root.resolve("loaded.txt");
        Path config = Files.writeString(root.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "settings":{"membershipMode":"on_request","limits":{"attemptsCap":1},"balancers":2,"me":1,
                  "realms":[{"name":"acme","quotaPerS":5}],
                  "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + loaded,
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
        assertNotNull(line, "no line says " + part);
    }

    @Test
    void withoutTheSectionNoClassOfItIsLoaded() throws Exception {
        Process node = node("{}");
        try (BufferedReader lines = node.inputReader()) {
            awaitLine(lines, "listening on");
            node.destroy();
            node.waitFor();
            String all = Files.readString(loaded);
            assertTrue(all.contains("kitemux.node.Node "), "the log tells what was loaded");
            assertFalse(all.contains("kitemux.rollout."), "of the machines");
            assertFalse(all.contains("kitemux.keeper."), "of what carries them");
            assertFalse(all.contains("kitemux.node.RolloutLink"), "of the tie to them");
        } finally {
            node.destroyForcibly();
        }
    }

    @Test
    void withTheSectionItFollowsAndReports() throws Exception {
        try (Keepers keepers = new Keepers(root.resolve("keepers"), 1, 1, 2, ProtocolParameters.defaults()).serving()) {
            Process node = node(
                    "{\"rollout\":{\"keepers\":[\"127.0.0.1:" + keepers.at(0).getPort() + "\"]}}");
            try (BufferedReader lines = node.inputReader()) {
                awaitLine(lines, "rollout: told all that its keeper knows");
                assertEquals(
                        "200 {\"rev\":1}",
                        told(keepers.change(0, "0000000000000001", 0, "{\"realms/acme\":{\"quotaPerS\":12.0}}")));
                awaitLine(lines, "rollout: version 1 is taken in");
                assertEquals(
                        "1",
                        keepers.awaitInForce(0, 1, 1)
                                .path("in_force")
                                .path("nodes")
                                .values()
                                .get(0)
                                .asText());
                // What its file does not have waits for one that has, and is never said to be in force.
                assertEquals(
                        "200 {\"rev\":2}",
                        told(keepers.change(0, "0000000000000002", 1, "{\"realms/new\":{\"quotaPerS\":1}}")));
                awaitLine(lines, "rollout: version 2 is taken in");
                long until = System.nanoTime() + 30_000_000_000L;
                Json status = keepers.status(0, "?rev=2");
                while (status.path("waits_restart").path("count").asLong(0) == 0) {
                    assertTrue(System.nanoTime() < until, "it never said so");
                    status = keepers.status(0, "?rev=2");
                }
                assertEquals(0, status.path("in_force").path("count").asLong(-1));
                String all = Files.readString(loaded);
                assertTrue(all.contains("kitemux.rollout.Subscriber "), "of the machines");
                assertTrue(all.contains("kitemux.keeper.RolloutWatch "), "of what carries them");
                node.destroy();
                node.waitFor();
            } finally {
                node.destroyForcibly();
            }
        }
    }

    private static String told(CompletableFuture<HttpResponse<String>> call) {
        return Keepers.of(call).statusCode() + " " + Keepers.of(call).body();
    }

    @Test
    void aBadSectionIsToldFieldByField() throws Exception {
        Process node = node("{\"rollout\":{\"keepers\":[\"here\"],\"more\":1}}");
        List<String> lines = node.inputReader().lines().toList();
        assertEquals(2, node.waitFor());
        assertEquals(
                List.of(
                        "kitemux: rollout.more is not known; known are keepers",
                        "kitemux: rollout.keepers[0] is not address:port: here"),
                lines);
        Process empty = node("{\"rollout\":{}}");
        assertEquals(
                List.of("kitemux: rollout.keepers is not a list of 1 to 32 addresses"),
                empty.inputReader().lines().toList());
        assertEquals(2, empty.waitFor());
    }
}
