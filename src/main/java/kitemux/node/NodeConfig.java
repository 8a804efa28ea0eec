package kitemux.node;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import kitemux.Balancer.Settings;
import kitemux.config.ConfigException;
import kitemux.config.SettingsReader;
import kitemux.discovery.HostListReader;
import kitemux.net.Addresses;
import kitemux.net.HostList;

/**
 * What a node is told at its start, by the environment and the configuration file.
 *
 * @param listen where clients connect
 * @param discovery where the server list is had
 * @param seed for random numbers, new with each start
 * @param sockets how many descriptors the process may hold
 * @param connIdleUs after so long servers close idle connections
 * @param known the server list as this node last had it
 * @param settings the module's
 */
public record NodeConfig(InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
        long connIdleUs, HostList known, Settings settings) {

    private static final int LEAST_SOCKETS = 64;
    private static final long DEFAULT_CONN_IDLE_US = 15_000_000;

    /** The environment's addresses hold where they are set; all else is in the file that it names. */
    static NodeConfig read(Map<String, String> env) throws ConfigException {
        String path = env.getOrDefault("PROXY_CONFIG", "");
        if (path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG", "is not set");
        }
        JsonNode json;
        try {
            json = new ObjectMapper().readTree(new File(path));
        } catch (JsonProcessingException e) {
            throw new ConfigException("PROXY_CONFIG", "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException("PROXY_CONFIG", "cannot be read: " + e.getMessage());
        }
        if (!json.isObject() || !json.path("settings").isObject()) {
            throw new ConfigException("settings", "is missing or not an object");
        }
        Settings settings = settings(json.get("settings"));
        JsonNode sockets = json.path("limits").path("sockets");
        if (!sockets.canConvertToInt() || sockets.asInt() < LEAST_SOCKETS) {
            throw new ConfigException("limits.sockets", "is missing or under " + LEAST_SOCKETS);
        }
        long idle = json.path("settings").path("limits").path("connIdleUs").asLong(DEFAULT_CONN_IDLE_US);
        if (idle <= 0) {
            throw new ConfigException("settings.limits.connIdleUs", "is not above 0");
        }
        String listen = env.getOrDefault("PROXY_LISTEN", json.path("listen").asText());
        String discovery = env.getOrDefault("PROXY_DISCOVERY", json.path("discovery").asText());
        return new NodeConfig(Addresses.read("listen", listen), Addresses.read("discovery", discovery),
                seed(json.path("seed").asText()), sockets.asInt(), idle, known(json, settings.zones),
                settings);
    }

    /** As the file has it now: where discovery is, it says since the start, and no longer the environment. */
    static NodeConfig reread(Map<String, String> env) throws ConfigException {
        Map<String, String> now = new HashMap<>(env);
        now.remove("PROXY_DISCOVERY");
        return read(now);
    }

    private static Settings settings(JsonNode json) throws ConfigException {
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
    private static void flatten(String path, JsonNode json, Map<String, String> flat) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (json.isObject()) {
            json.properties().forEach(field -> flatten(prefix + field.getKey(), field.getValue(), flat));
        } else if (json.isArray() && json.path(0).isObject()) {
            flat.put(prefix + "count", Integer.toString(json.size()));
            for (int i = 0; i < json.size(); i++) {
                flatten(prefix + i, json.get(i), flat);
            }
        } else if (json.isArray()) {
            StringBuilder values = new StringBuilder();
            json.forEach(value -> values.append(values.isEmpty() ? "" : ",").append(value.asText()));
            flat.put(path, values.toString());
        } else if (!json.isNull()) {
            flat.put(path, json.asText());
        }
    }

    /** The same for a node that keeps to itself: on any port, with these servers and no discovery. */
    NodeConfig apart(HostList servers) {
        Settings apart = new Settings();
        apart.zones.addAll(settings.zones);
        apart.classes.addAll(settings.classes);
        apart.tenants.addAll(settings.tenants);
        apart.maxAttempts = settings.maxAttempts;
        apart.cancel = settings.cancel;
        return new NodeConfig(new InetSocketAddress(listen.getAddress(), 0), discovery, seed, sockets,
                connIdleUs, servers, apart);
    }

    private static HostList known(JsonNode json, List<String> zones) throws ConfigException {
        if (!json.hasNonNull("known")) {
            return new HostList(0, true, List.of());
        }
        return HostListReader.read(json.get("known"), zones, "known.");
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "is not 1 to 16 hex digits");
        }
    }
}
