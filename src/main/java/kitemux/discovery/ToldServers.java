package kitemux.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.net.HostList;

/**
 * All servers as discovery has told them to one process of a node, for the others of that node.
 *
 * @param discovery the address that told them; revisions of two addresses cannot be compared
 * @param revision the revision of the list
 * @param knownRevision the revision of the list in the configuration that the process started with
 * @param toldUs when the list was told last, in microseconds of Unix time
 * @param hosts the servers that are not gone
 */
public record ToldServers(
        InetSocketAddress discovery, long revision, long knownRevision, long toldUs, List<HostList.Host> hosts) {

    /** Returns the servers as a full list. */
    public HostList asList() {
        return new HostList(revision, true, hosts);
    }

    /**
     * Returns whether these servers are at least as new as the list in a configuration. A configuration that has not changed
     * since is older, whatever its revision: discovery may have begun to count anew.
     */
    public boolean isNewerThanKnown(HostList known) {
        return known.revision() == knownRevision || revision >= known.revision();
    }

    /** Returns the changes that lead from the servers that are known to these. */
    public HostList changesFrom(Collection<HostList.Host> known) {
        List<HostList.Host> changes = new ArrayList<>(hosts);
        changes.removeAll(new HashSet<>(known));
        Set<String> listed = new HashSet<>();
        hosts.forEach(host -> listed.add(host.entry().id()));
        for (HostList.Host host : known) {
            if (!listed.contains(host.entry().id())) {
                changes.add(goneEntry(host.entry()));
            }
        }
        return new HostList(revision, false, changes);
    }

    private static HostList.Host goneEntry(ServerEntry entry) {
        return new HostList.Host(
                new ServerEntry(
                        entry.id(), entry.zone(), entry.cell(), ServerState.GONE, entry.weight(), entry.startedAtUs()),
                null);
    }
}
