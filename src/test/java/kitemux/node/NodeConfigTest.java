package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerState;
import kitemux.cli.Main;
import kitemux.config.ConfigException;
import kitemux.net.HostList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how a node reads its configuration at its start. */
class NodeConfigTest {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8000","az":"b",
              "model":"m","pod_group":3,"state":"Terminating","capacity_hint":1.5,"boot_ms":1234}]},
             "settings":{"balancers":2,"me":1,"zones":["a","b"],"myZone":"b","membershipMode":"on_request",
              "limits":{"attemptsCap":4,"connIdleUs":60000000,"dialTimeoutUs":50000,"cancelling":true,
               "retryAfter":true,"maxRetryAfterUs":1000000},
              "rules":{"coldFrom":0.12},"realms":[{"name":"school-a","quotaPerS":85.0}],
              "classes":[{"name":"photo","onTimeUs":200000,"giveUpUs":600000,"repeat":"keyed","group":"cell",
               "windowUs":1200000,"importance":5.0}]}}
            """;

    @TempDir
    private Path folder;

    private NodeConfig read(String config, Map<String, String> more) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        Map<String, String> env = new HashMap<>(more);
        env.put("PROXY_CONFIG", file.toString());
        return NodeConfig.read(env);
    }

    @Test
    void fileIsReadWithTheProtocolsNames() throws Exception {
        NodeConfig config = read(CONFIG, Map.of());
        assertEquals(8000, config.listen().getPort());
        assertEquals(8500, config.discovery().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxSockets());
        assertEquals(60_000_000, config.connIdleUs());
        assertEquals(2, config.settings().nodes);
        assertEquals(1, config.settings().nodeIndex);
        assertEquals(List.of("a", "b"), config.settings().zones);
        assertEquals(1, config.settings().myZone);
        assertEquals(50_000, config.settings().connectTimeoutUs);
        assertEquals(1_000_000, config.settings().maxRetryAfterUs);
        assertEquals(0.12, config.settings().coldCapacityRatio);
        assertTrue(config.settings().listOnRequest);
        assertEquals(RetrySafety.KEYED, config.settings().classes.get(0).retrySafety());
        assertEquals(DedupScope.CELL, config.settings().classes.get(0).dedupScope());
        assertEquals(85.0, config.settings().tenants.get(0).quotaPerS());
        HostList.Host host = config.initialServers().hosts().get(0);
        assertEquals(
                "10.1.0.18:8000",
                host.endpoint().getHostString() + ":" + host.endpoint().getPort());
        assertEquals(1, host.entry().zone());
        assertEquals(3, host.entry().cell());
        assertEquals(ServerState.DRAINING, host.entry().state());
        assertEquals(1_234_000, host.entry().startedAtUs());
    }

    @Test
    void environmentOverridesTheFilesAddresses() throws Exception {
        NodeConfig config = read(CONFIG, Map.of("PROXY_LISTEN", "127.0.0.7:81", "PROXY_DISCOVERY", "127.0.0.8:82"));
        assertEquals("127.0.0.7", config.listen().getHostString());
        assertEquals(82, config.discovery().getPort());
    }

    @Test
    void managementAddressIsOptionalAndComesFromFileOrEnvironment() throws Exception {
        assertEquals(null, read(CONFIG, Map.of()).managementAddress());
        String named = CONFIG.replace("\"listen\"", "\"mgmt\":\"127.0.0.1:9100\",\"listen\"");
        assertEquals(9100, read(named, Map.of()).managementAddress().getPort());
        assertEquals(
                9200,
                read(named, Map.of("PROXY_MGMT", "127.0.0.1:9200"))
                        .managementAddress()
                        .getPort());
        ConfigException e = assertThrows(ConfigException.class, () -> read(CONFIG, Map.of("PROXY_MGMT", "here")));
        assertTrue(e.getMessage().startsWith("mgmt "), e.getMessage());
        assertEquals(folder, read(CONFIG, Map.of("TMPDIR", folder.toString())).stateFolder());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "127.0.0.1:8000 | nowhere | listen",
                "127.0.0.1:8500 | host.example:8500 | discovery",
                "8c1f30d27a5be964 | xyz | seed",
                "\"sockets\":1024 | \"sockets\":\"many\" | limits.sockets",
                "\"onTimeUs\":200000, | '' | settings.classes.0.onTimeUs",
                "\"keyed\" | \"never\" | settings.classes.0.repeat",
                "\"me\":1 | \"me\":2 | settings: me",
                "\"rev\":41 | \"rev\":\"x\" | known.rev",
                "Terminating | Asleep | known.targets[0].state",
                "\"settings\":{ | \"sittings\":{ | settings",
            })
    void invalidFieldIsNamed(String good, String bad, String field) {
        ConfigException e = assertThrows(ConfigException.class, () -> read(CONFIG.replace(good, bad), Map.of()));
        assertTrue(e.getMessage().startsWith(field + " "), e.getMessage());
    }

    @Test
    void missingFileEndsTheProcessWithOneLineAndExitCode2() throws Exception {
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder =
                new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Main.class.getName(), "node");
        builder.environment().put("PROXY_CONFIG", folder.resolve("none.json").toString());
        Process process = builder.start();
        String output = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(1, output.lines().count(), output);
        assertTrue(output.contains("PROXY_CONFIG"), output);
    }
}
