package kitemux.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.net.Addresses;
import kitemux.net.HostList;

/** Decodes server lists in discovery's JSON format. */
public final class HostListReader {
    private HostListReader() {}

    /**
     * Decodes a list; the zones are indexed by their position in the settings.
     *
     * @param path prefix of field names in error messages: empty, or a name and a dot
     * @throws ConfigException if the list is malformed; the message names the field
     */
    public static HostList read(Json list, List<String> zones, String path) throws ConfigException {
        Json targets = list.path("targets");
        if (!list.path("rev").isLong()) {
            throw new ConfigException(path + "rev", "is missing or not a whole number");
        }
        if (!targets.isList()) {
            throw new ConfigException(path + "targets", "is missing or not a list");
        }
        List<HostList.Host> hosts = new ArrayList<>(targets.values().size());
        for (Json target : targets) {
            hosts.add(readHost(target, zones, path + "targets[" + hosts.size() + "]."));
        }
        return new HostList(list.path("rev").asLong(0), list.path("all").asBoolean(), hosts);
    }

    private static HostList.Host readHost(Json target, List<String> zones, String path) throws ConfigException {
        String id = target.path("uid").asText();
        if (id.isEmpty()) {
            throw new ConfigException(path + "uid", "is missing");
        }
        ServerState state =
                switch (target.path("state").asText()) {
                    case "Ready" -> ServerState.READY;
                    case "Terminating" -> ServerState.DRAINING;
                    case "Gone" -> ServerState.GONE;
                    default -> throw new ConfigException(path + "state", "is unknown");
                };
        // A server that is gone needs no address; its removal must not be lost for lack of one.
        InetSocketAddress endpoint = state == ServerState.GONE
                ? null
                : Addresses.parse(path + "endpoint", target.path("endpoint").asText());
        // Boot times may differ from the local clock by some milliseconds; the balancer's clock is Unix time as
        // well.
        ServerEntry entry = new ServerEntry(
                id,
                zones.indexOf(target.path("az").asText()),
                (int) target.path("pod_group").asLong(0),
                state,
                target.path("capacity_hint").asDouble(1),
                target.path("boot_ms").asLong(0) * 1_000);
        return new HostList.Host(entry, endpoint);
    }
}
