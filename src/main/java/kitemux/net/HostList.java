package kitemux.net;

import java.net.InetSocketAddress;
import java.util.List;
import kitemux.Balancer.ServerEntry;

/**
 * A list of servers, or of changes to one.
 *
 * @param revision version of the list
 * @param isFull whether it contains all servers rather than only those that changed
 * @param hosts the entries, in order
 */
public record HostList(long revision, boolean isFull, List<Host> hosts) {

    /**
     * A server in the list.
     *
     * @param entry the entry for the balancer
     * @param endpoint the server's address, which the balancer does not receive; null for a server that is gone
     */
    public record Host(ServerEntry entry, InetSocketAddress endpoint) {}

    /** Returns the entries for the balancer. */
    public List<ServerEntry> entries() {
        return hosts.stream().map(Host::entry).toList();
    }
}
