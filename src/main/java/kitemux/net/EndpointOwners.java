package kitemux.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;

/**
 * Which server each address belongs to. An address serves one process: once a change names a new server at the address
 * of another one, the other one's process is gone, whether or not the list says so already. What is sent there for it
 * would reach the new process. The class does no I/O and is confined to one thread.
 */
public final class EndpointOwners {
    private static final int MAX_SUPERSEDED_COUNT = 1_024;

    /** The last entry of the server that each address belongs to. */
    private final Map<InetSocketAddress, ServerEntry> owners = new HashMap<>();
    /** Servers whose address belongs to another one now, oldest first; the list may never name them again. */
    private final Set<String> superseded = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> oldest) {
            return size() > MAX_SUPERSEDED_COUNT;
        }
    });

    /**
     * Returns a list from discovery with an entry of state {@link ServerState#GONE} for each server whose address has
     * come to belong to another one. Servers that the same list names are taken as it says.
     */
    public HostList withSuperseded(HostList list) {
        if (list.isFull()) {
            owners.clear();
            superseded.clear();
        }
        Set<String> named = list.hosts().stream().map(host -> host.entry().id()).collect(Collectors.toSet());
        superseded.removeAll(named);
        owners.values().removeIf(owner -> named.contains(owner.id()));
        List<HostList.Host> hosts = new ArrayList<>(list.hosts());
        for (HostList.Host host : list.hosts()) {
            ServerEntry previous = host.endpoint() == null ? null : owners.get(host.endpoint());
            if (previous == null || named.contains(previous.id())) {
                setOwner(host);
            } else if (isNewer(host.entry(), previous)) {
                setOwner(host);
                superseded.add(previous.id());
                hosts.add(goneEntry(previous));
            }
        }
        return new HostList(list.revision(), list.isFull(), hosts);
    }

    private void setOwner(HostList.Host host) {
        if (host.endpoint() != null && host.entry().state() != ServerState.GONE) {
            owners.put(host.endpoint(), host.entry());
        }
    }

    /** Returns whether an entry can be of a process that came after another one at the same address. */
    private static boolean isNewer(ServerEntry entry, ServerEntry previous) {
        return entry.state() == ServerState.READY && entry.startedAtUs() >= previous.startedAtUs();
    }

    private static HostList.Host goneEntry(ServerEntry entry) {
        return new HostList.Host(
                new ServerEntry(
                        entry.id(), entry.zone(), entry.cell(), ServerState.GONE, entry.weight(), entry.startedAtUs()),
                null);
    }

    /** Returns the entries of servers whose address is still theirs. */
    public List<HostList.Host> withoutSuperseded(List<HostList.Host> hosts) {
        return hosts.stream()
                .filter(host -> !superseded.contains(host.entry().id()))
                .toList();
    }
}
