package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.config.ConfigException;
import kitemux.config.ConfigFormatter;
import kitemux.config.ConfigFormatter.Server;
import kitemux.net.HostList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a node reads a formatted configuration back with the same values. */
class ConfigFormatterTest {
    /** Fields that only the simulator uses, which are not written. */
    private static final Set<String> SIMULATOR_ONLY_FIELDS =
            Set.of("worthByWork", "probes", "tickUs", "askWithinUs", "crossZonePrice", "warmKeys", "reportFields");

    @TempDir
    private Path folder;

    /** Returns settings in which every written field differs from its default. */
    private static Settings settings() {
        Settings set = new Settings();
        set.nodes = 7;
        set.nodeIndex = 3;
        set.zones = List.of("a", "b \"quoted\"");
        set.myZone = 1;
        set.classes = List.of(
                new RequestClass("page", 40_000, 0, 500_000, 1.5, 0.25, RetrySafety.SAFE, DedupScope.ALL, 0, false),
                new RequestClass("cart", 50_000, 0, 600_000, 3, 0.5, RetrySafety.KEYED, DedupScope.CELL, 70_000, false),
                new RequestClass("note", 50_000, 0, 600_000, 3, 0.5, RetrySafety.KEYED, DedupScope.ZONE, 80_000, false),
                new RequestClass("pay", 60_000, 0, 700_000, 9, 0, RetrySafety.UNSAFE, DedupScope.ALL, 0, false));
        set.tenants = List.of(new Tenant("north", 12.5), new Tenant("south", 0));
        set.overShareWorth = 0.125;
        set.maxAttempts = 5;
        set.hedgingAllowed = true;
        set.cancellationAllowed = true;
        set.maxRetryAfterUs = 9_000_001;
        set.connectTimeoutUs = 123_457;
        set.listOnRequest = true;
        set.drainGraceUs = 1_234_567;
        set.coldCapacityRatio = 0.35;
        set.warmUpUs = 11_000_003;
        set.overloadRatio = 2.25;
        set.overloadWindowUs = 3_000_007;
        return set;
    }

    private NodeConfig read(ConfigFormatter.NodeDescription node, Settings set, List<Server> servers)
            throws IOException, ConfigException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, ConfigFormatter.formatNode(node, set, servers));
        return NodeConfig.read(Map.of("PROXY_CONFIG", file.toString()));
    }

    private static ConfigFormatter.NodeDescription node(int memoryMiB) {
        return new ConfigFormatter.NodeDescription(
                "n", "127.0.0.1:8080", "[::1]:9090", "c0ffee", 512, memoryMiB, 4_000_001);
    }

    @Test
    void nodeReadsAllSettingsAsWritten() throws IOException, ConfigException, IllegalAccessException {
        Settings written = settings();
        Settings read = read(node(64), written, List.of()).settings();
        Settings defaults = new Settings();
        for (Field field : Settings.class.getFields()) {
            if (!SIMULATOR_ONLY_FIELDS.contains(field.getName())) {
                assertEquals(field.get(written), field.get(read), field.getName());
                assertNotEquals(
                        field.get(defaults), field.get(written), field.getName() + " would pass without being written");
            }
        }
    }

    @Test
    void nodeReadsAddressesSeedAndLimits() throws IOException, ConfigException {
        NodeConfig read = read(node(0), settings(), List.of());
        assertEquals(new InetSocketAddress("127.0.0.1", 8080), read.listen());
        assertEquals(new InetSocketAddress("::1", 9090), read.discovery());
        assertEquals(0xc0ffee, read.seed());
        assertEquals(512, read.maxSockets());
        assertEquals(4_000_001, read.connIdleUs());
    }

    @Test
    void nodeReadsServersInEachState() throws IOException, ConfigException {
        List<ServerEntry> entries = List.of(
                new ServerEntry("b1", 0, 4, ServerState.READY, 2.5, 17_000),
                new ServerEntry("b2", 1, 0, ServerState.DRAINING, 1, 0),
                new ServerEntry("b3", 1, 9, ServerState.READY, 0.5, 1_764_000_000_123_000L));
        HostList known = read(
                        node(64),
                        settings(),
                        entries.stream()
                                .map(each -> new Server(
                                        each, "127.0.0.1:70" + each.id().charAt(1)))
                                .toList())
                .initialServers();
        assertEquals(entries, known.entries());
        assertEquals(
                new InetSocketAddress("127.0.0.1", 703), known.hosts().get(2).endpoint());
    }
}
