package kitemux.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.Settings;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.config.SettingsReader;
import kitemux.discovery.HostListReader;
import kitemux.net.Addresses;
import kitemux.net.HostList;

/**
 * The configuration of a node at its start, from the environment and the configuration file.
 *
 * @param listen the address for clients
 * @param managementAddress the address for operators, or null
 * @param discovery the address of discovery
 * @param seed seed of the random number generators, new with each start
 * @param maxSockets the number of descriptors that the process may hold
 * @param maxMemoryBytes the memory that the process may take; {@link Long#MAX_VALUE} if no limit is given
 * @param connIdleUs idle time after which servers close connections, in microseconds
 * @param stateFolder folder in which a process of the node leaves state for the next one, {@code $TMPDIR}
 * @param initialServers the last server list that this node had
 * @param settings the balancer's settings
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress managementAddress,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        long maxMemoryBytes,
        long connIdleUs,
        Path stateFolder,
        HostList initialServers,
        Settings settings) {

    private static final int MIN_SOCKET_COUNT = 64;
    private static final long BYTES_PER_MEGABYTE = 1_000_000;
    private static final long DEFAULT_CONN_IDLE_US = 15_000_000;

    /** Reads the configuration file that the environment names. Addresses in the environment override the file's. */
    static NodeConfig read(Map<String, String> env) throws ConfigException {
        String path = env.getOrDefault("PROXY_CONFIG", "");
        if (path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG", "is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("PROXY_CONFIG", "cannot be read: " + e.getMessage());
        }
        Json json;
        try {
            json = Json.read(text);
        } catch (IOException e) {
            throw new ConfigException("PROXY_CONFIG", "is not JSON: " + e.getMessage());
        }
        if (!json.path("settings").isObject()) {
            throw new ConfigException("settings", "is missing or not an object");
        }
        Settings settings = settings(json.path("settings"));
        long maxSockets = json.path("limits").path("sockets").asLong(0);
        if (maxSockets < MIN_SOCKET_COUNT || maxSockets > Integer.MAX_VALUE) {
            throw new ConfigException("limits.sockets", "is missing or under " + MIN_SOCKET_COUNT);
        }
        long connIdleUs =
                json.path("settings").path("limits").path("connIdleUs").asLong(DEFAULT_CONN_IDLE_US);
        if (connIdleUs <= 0) {
            throw new ConfigException("settings.limits.connIdleUs", "is not above 0");
        }
        String listen = env.getOrDefault("PROXY_LISTEN", json.path("listen").asText());
        String discovery =
                env.getOrDefault("PROXY_DISCOVERY", json.path("discovery").asText());
        String managementAddress =
                env.getOrDefault("PROXY_MGMT", json.path("mgmt").asText());
        return new NodeConfig(
                Addresses.parse("listen", listen),
                managementAddress.isEmpty() ? null : Addresses.parse("mgmt", managementAddress),
                Addresses.parse("discovery", discovery),
                seed(json.path("seed").asText()),
                (int) maxSockets,
                maxMemoryBytes(json.path("limits").path("memory_mb")),
                connIdleUs,
                Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                initialServers(json, settings.zones),
                settings);
    }

    private static long maxMemoryBytes(Json megabytes) throws ConfigException {
        if (megabytes.isMissing()) {
            return Long.MAX_VALUE;
        }
        long value = megabytes.asLong(0);
        if (value <= 0 || value > Integer.MAX_VALUE) {
            throw new ConfigException("limits.memory_mb", "is not a number of megabytes above 0");
        }
        return value * BYTES_PER_MEGABYTE;
    }

    /**
     * Returns whether the node has no discovery: it names itself as discovery, and its servers are those of the file.
     */
    boolean namesAllServers() {
        return discovery.equals(listen) && !settings.listOnRequest;
    }

    /**
     * Reads the configuration for a reload. The address of discovery comes from the file, as the environment's is from
     * the start of the process.
     */
    static NodeConfig readForReload(Map<String, String> env) throws ConfigException {
        Map<String, String> environment = new HashMap<>(env);
        environment.remove("PROXY_DISCOVERY");
        return read(environment);
    }

    private static Settings settings(Json json) throws ConfigException {
        Map<String, String> flat = new HashMap<>();
        flatten("", json, flat);
        try {
            Settings settings = SettingsReader.read(flat);
            settings.validate();
            return settings;
        } catch (SettingsReader.BadSettingException e) {
            throw new ConfigException("settings." + e.field, e.reason);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings:", e.getMessage());
        }
    }

    /**
     * Flattens a JSON value into dotted names as in the simulator's protocol: objects in a list are numbered and
     * counted.
     */
    private static void flatten(String path, Json json, Map<String, String> flat) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (json.isObject()) {
            for (Map.Entry<String, Json> field : json.fields().entrySet()) {
                flatten(prefix + field.getKey(), field.getValue(), flat);
            }
        } else if (json.isList()
                && !json.values().isEmpty()
                && json.values().get(0).isObject()) {
            flat.put(prefix + "count", Integer.toString(json.values().size()));
            for (int i = 0; i < json.values().size(); i++) {
                flatten(prefix + i, json.values().get(i), flat);
            }
        } else if (json.isList()) {
            StringBuilder values = new StringBuilder();
            for (Json value : json) {
                values.append(values.isEmpty() ? "" : ",").append(value.asText());
            }
            flat.put(path, values.toString());
        } else if (!json.isMissing()) {
            flat.put(path, json.asText());
        }
    }

    /**
     * Returns a copy for a node that is isolated from the fleet: it listens on any free port, uses these servers and
     * calls no discovery.
     */
    NodeConfig isolatedCopy(HostList servers) {
        Settings isolatedSettings = new Settings();
        isolatedSettings.zones.addAll(settings.zones);
        isolatedSettings.classes.addAll(settings.classes);
        isolatedSettings.tenants.addAll(settings.tenants);
        isolatedSettings.maxAttempts = settings.maxAttempts;
        isolatedSettings.cancellationAllowed = settings.cancellationAllowed;
        // The node is its own discovery, so that a start costs the fleet's discovery no additional call.
        InetSocketAddress anyPort = new InetSocketAddress(listen.getAddress(), 0);
        return new NodeConfig(
                anyPort,
                null,
                anyPort,
                seed,
                maxSockets,
                Long.MAX_VALUE,
                connIdleUs,
                stateFolder,
                servers,
                isolatedSettings);
    }

    private static HostList initialServers(Json json, List<String> zones) throws ConfigException {
        Json known = json.path("known");
        return known.isMissing() ? new HostList(0, true, List.of()) : HostListReader.read(known, zones, "known.");
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "is not 1 to 16 hex digits");
        }
    }
}
