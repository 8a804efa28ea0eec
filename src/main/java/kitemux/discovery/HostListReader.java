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

/** Reads server lists in discovery's form. */
public final class HostListReader {
    private HostListReader() {}

    /**
     * Decodes a list; zones are named as in the settings.
     *
     * @param at where it stands, for the message: empty, or a name and a dot
     * @throws ConfigException if it is not in discovery's form; the message names the field
     */
    public static HostList read(Json list, List<String> zones, String at) throws ConfigException {
        Json targets = list.path("targets");
        if (!list.path("rev").isLong()) {
            throw new ConfigException(at + "rev", "is missing or not a whole number");
        }
        if (!targets.isList()) {
            throw new ConfigException(at + "targets", "is missing or not a list");
        }
        List<HostList.Host> hosts = new ArrayList<>(targets.values().size());
        for (Json target : targets) {
            hosts.add(host(target, zones, at + "targets[" + hosts.size() + "]."));
        }
        return new HostList(list.path("rev").asLong(0), list.path("all").asBoolean(), hosts);
    }

    private static HostList.Host host(Json target, List<String> zones, String at) throws ConfigException {
        String id = target.path("uid").asText();
        if (id.isEmpty()) {
            throw new ConfigException(at + "uid", "is missing");
        }
        ServerState state =
                switch (target.path("state").asText()) {
                    case "Ready" -> ServerState.READY;
                    case "Terminating" -> ServerState.DRAINING;
                    case "Gone" -> ServerState.GONE;
                    default -> throw new ConfigException(at + "state", "is unknown");
                };
        // A server that has gone needs no address; word of it must not be lost for want of one.
        InetSocketAddress endpoint = state == ServerState.GONE
                ? null
                : Addresses.parse(at + "endpoint", target.path("endpoint").asText());
        // Boot times may lie some milliseconds off ours; the module's clock is Unix time too.
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
