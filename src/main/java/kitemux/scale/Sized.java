package kitemux.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/**
 * What nodes are told at some size: the same settings and servers for hollow nodes and real ones.
 *
 * @param services so many services share the servers evenly, each a cell of its own
 */
record Sized(int nodes, int servers, int services, int zones, int tenants) {
    /** What a tenant may ask for, over all nodes: its part of 49,000 a second, and three times that. */
    private static final double QUOTA_TIMES = 3;

    private static final double ALL_PER_S = 49_000;

    /** Zones by name, as lists tell them. */
    List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            names.add("zone-" + z);
        }
        return names;
    }

    /** Where servers listen, by their ids: some share an address, as nobody asks most of them. */
    Map<String, InetSocketAddress> addresses(List<InetSocketAddress> listening) {
        Map<String, InetSocketAddress> at = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            at.put(id(i), listening.get(i % listening.size()));
        }
        return at;
    }

    private static String id(int server) {
        return String.format("s-%08x", server * 0x9e3779b1);
    }

    /** A server in this state. */
    ServerEntry entry(int server, ServerState state, long startedAtUs) {
        return new ServerEntry(id(server), server % zones, server % services, state, 1, startedAtUs);
    }

    /** All servers, ready since long ago. */
    List<ServerEntry> all() {
        List<ServerEntry> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(entry(i, ServerState.READY, 0));
        }
        return all;
    }

    /** The name of a tenant. */
    static String tenant(int number) {
        return "tenant-" + number;
    }

    /** What the node of this number is told, 0 and more. */
    Settings settings(int me) {
        Settings set = new Settings();
        set.nodes = nodes;
        set.nodeIndex = me;
        set.zones.addAll(zoneNames());
        set.myZone = me % zones;
        set.classes.add(new RequestClass("page", 500_000, 0, 2_000_000, 1, 0.2, RetrySafety.SAFE, null, 0, false));
        set.classes.add(new RequestClass(
                "order", 800_000, 0, 3_000_000, 4, 0.2, RetrySafety.KEYED, DedupScope.ALL, 60_000_000, false));
        for (int t = 0; t < tenants; t++) {
            set.tenants.add(new Tenant(tenant(t), QUOTA_TIMES * ALL_PER_S / tenants));
        }
        set.overShareWorth = 0.5;
        set.cancellationAllowed = true;
        set.maxRetryAfterUs = 5_000_000;
        set.listOnRequest = true;
        return set;
    }
}
