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
 * What a node is told at its start, by the environment and the configuration file.
 *
 * @param listen where clients connect
 * @param managementAddress where operators call, or null
 * @param discovery where the server list is had
 * @param seed for random numbers, new with each start
 * @param maxSockets how many descriptors the process may hold
 * @param connIdleUs after so long servers close idle connections
 * @param stateFolder where a process of the node leaves word for the next one, {@code $TMPDIR}
 * @param initialServers the server list as this node last had it
 * @param settings the module's
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress managementAddress,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        long connIdleUs,
        Path stateFolder,
        HostList initialServers,
        Settings settings) {

    private static final int LEAST_SOCKETS = 64;
    private static final long DEFAULT_CONN_IDLE_US = 15_000_000;

    /** The environment's addresses hold where they are set; all else is in the file that it names. */
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
        long sockets = json.path("limits").path("sockets").asLong(0);
        if (sockets < LEAST_SOCKETS || sockets > Integer.MAX_VALUE) {
            throw new ConfigException("limits.sockets", "is missing or under " + LEAST_SOCKETS);
        }
        long idle = json.path("settings").path("limits").path("connIdleUs").asLong(DEFAULT_CONN_IDLE_US);
        if (idle <= 0) {
            throw new ConfigException("settings.limits.connIdleUs", "is not above 0");
        }
        String listen = env.getOrDefault("PROXY_LISTEN", json.path("listen").asText());
        String discovery =
                env.getOrDefault("PROXY_DISCOVERY", json.path("discovery").asText());
        String operators = env.getOrDefault("PROXY_MGMT", json.path("mgmt").asText());
        return new NodeConfig(
                Addresses.parse("listen", listen),
                operators.isEmpty() ? null : Addresses.parse("mgmt", operators),
                Addresses.parse("discovery", discovery),
                seed(json.path("seed").asText()),
                (int) sockets,
                idle,
                Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                initialServers(json, settings.zones),
                settings);
    }

    /** Whether discovery is this node itself: its servers are those that the file names, and no others. */
    boolean namesAllServers() {
        return discovery.equals(listen) && !settings.listOnRequest;
    }

    /** As the file has it now: where discovery is, it says since the start, and no longer the environment. */
    static NodeConfig readForReload(Map<String, String> env) throws ConfigException {
        Map<String, String> now = new HashMap<>(env);
        now.remove("PROXY_DISCOVERY");
        return read(now);
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

    /** Dotted names as on the simulator's wire: objects in a list are numbered and counted. */
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

    /** The same for a node that keeps to itself: on any port, with these servers and no discovery. */
    NodeConfig isolatedCopy(HostList servers) {
        Settings apart = new Settings();
        apart.zones.addAll(settings.zones);
        apart.classes.addAll(settings.classes);
        apart.tenants.addAll(settings.tenants);
        apart.maxAttempts = settings.maxAttempts;
        apart.cancellationAllowed = settings.cancellationAllowed;
        // It is its own discovery, so that it calls none: each start would cost the fleet's a call more.
        InetSocketAddress own = new InetSocketAddress(listen.getAddress(), 0);
        return new NodeConfig(own, null, own, seed, maxSockets, connIdleUs, stateFolder, servers, apart);
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
