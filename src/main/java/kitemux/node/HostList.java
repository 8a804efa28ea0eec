package kitemux.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;

/**
 * A server list in discovery's form.
 *
 * @param rev its version
 * @param all whether it holds all servers or only those that changed
 * @param hosts its entries, in order
 */
record HostList(long rev, boolean all, List<Host> hosts) {

    /** One entry: what the module is told, and the address, which it is not. */
    record Host(ServerEntry entry, InetSocketAddress endpoint) { }

    /**
     * Decodes a list; zones are named as in the settings.
     *
     * @param at where it stands, for the message: empty, or a name and a dot
     * @throws ConfigException if it is not in discovery's form; the message names the field
     */
    static HostList decode(JsonNode list, List<String> zones, String at) throws ConfigException {
        JsonNode targets = list.path("targets");
        if (!list.path("rev").isIntegralNumber()) {
            throw new ConfigException(at + "rev", "is missing or not a whole number");
        }
        if (!targets.isArray()) {
            throw new ConfigException(at + "targets", "is missing or not a list");
        }
        List<Host> hosts = new ArrayList<>(targets.size());
        for (JsonNode target : targets) {
            hosts.add(host(target, zones, at + "targets[" + hosts.size() + "]."));
        }
        return new HostList(list.path("rev").asLong(), list.path("all").asBoolean(), hosts);
    }

    private static Host host(JsonNode target, List<String> zones, String at) throws ConfigException {
        String id = target.path("uid").asText();
        if (id.isEmpty()) {
            throw new ConfigException(at + "uid", "is missing");
        }
        ServerState state = switch (target.path("state").asText()) {
            case "Ready" -> ServerState.READY;
            case "Terminating" -> ServerState.DRAINING;
            case "Gone" -> ServerState.GONE;
            default -> throw new ConfigException(at + "state", "is unknown");
        };
        // A server that has gone needs no address; word of it must not be lost for want of one.
        InetSocketAddress endpoint = state == ServerState.GONE ? null
                : NodeConfig.address(at + "endpoint", target.path("endpoint").asText());
        // Boot times may lie some milliseconds off ours; the module's clock is Unix time too.
        ServerEntry entry = new ServerEntry(id, zones.indexOf(target.path("az").asText()),
                target.path("pod_group").asInt(0), state, target.path("capacity_hint").asDouble(1),
                target.path("boot_ms").asLong(0) * 1_000);
        return new Host(entry, endpoint);
    }
}
