package kitemux.net;

import java.net.InetSocketAddress;
import java.util.List;
import kitemux.Balancer.ServerEntry;

/**
 * A server list.
 *
 * @param revision its version
 * @param isFull whether it holds all servers or only those that changed
 * @param hosts its entries, in order
 */
public record HostList(long revision, boolean isFull, List<Host> hosts) {

    /**
     * One entry.
     *
     * @param entry what the module is told
     * @param endpoint the address, which it is not told; null for a server that has gone
     */
    public record Host(ServerEntry entry, InetSocketAddress endpoint) {}

    /** What the module is told. */
    public List<ServerEntry> entries() {
        return hosts.stream().map(Host::entry).toList();
    }
}
