package kitemux.ops;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.net.HostList;

/**
 * The servers that operators have drained by hand, applied on top of discovery's list: such a server drains whatever
 * discovery reports. The class does no I/O and has no clock; it is confined to one thread.
 */
final class ServerOverrides {
    /** The last entry from discovery for each listed server. */
    private final Map<String, HostList.Host> listed = new HashMap<>();
    /** The start of each current drain, in microseconds of Unix time. */
    private final Map<String, Long> drainedSinceUs = new HashMap<>();
    /** Finished drains, by server; an entry is removed when its server leaves the list. */
    private final Map<String, DrainPeriod> pastDrains = new HashMap<>();

    /** Applies the overrides to a list from discovery and keeps its order. */
    HostList apply(HostList list) {
        if (list.isFull()) {
            listed.clear();
        }
        for (HostList.Host host : list.hosts()) {
            String id = host.entry().id();
            if (host.entry().state() == ServerState.GONE) {
                listed.remove(id);
                pastDrains.remove(id);
            } else {
                listed.put(id, host);
            }
        }
        if (list.isFull()) {
            pastDrains.keySet().retainAll(listed.keySet());
        }
        return drainedSinceUs.isEmpty() && pastDrains.isEmpty()
                ? list
                : new HostList(
                        list.revision(),
                        list.isFull(),
                        list.hosts().stream().map(this::withOverride).toList());
    }

    /**
     * Replaces the set of drained servers. Servers that were drained before and are not in the new set are restored.
     *
     * @param ids the start of each drain by server, in microseconds of Unix time
     * @param nowUs current time, in microseconds of Unix time
     * @return changed entries of servers on the list
     */
    List<HostList.Host> setDrained(Map<String, Long> ids, long nowUs) {
        Set<String> changed = new HashSet<>(drainedSinceUs.keySet());
        changed.removeAll(ids.keySet());
        changed.forEach(id -> pastDrains.put(id, new DrainPeriod(drainedSinceUs.get(id), nowUs)));
        for (String id : ids.keySet()) {
            if (!drainedSinceUs.containsKey(id)) {
                changed.add(id);
            }
        }
        drainedSinceUs.clear();
        drainedSinceUs.putAll(ids);
        pastDrains.keySet().retainAll(listed.keySet());
        List<HostList.Host> changes = new ArrayList<>();
        for (String id : changed) {
            if (listed.containsKey(id)) {
                changes.add(withOverride(listed.get(id)));
            }
        }
        return changes;
    }

    /** Adds drains that had ended before this process started; those of servers that the next list does not have are dropped. */
    void addPastDrains(Map<String, DrainPeriod> drains) {
        pastDrains.putAll(drains);
    }

    private HostList.Host withOverride(HostList.Host host) {
        ServerEntry entry = host.entry();
        boolean isDrained = entry.state() == ServerState.READY && drainedSinceUs.containsKey(entry.id());
        long startedAtUs = entry.startedAtUs();
        DrainPeriod drainPeriod = pastDrains.get(entry.id());
        if (drainPeriod != null && startedAtUs < drainPeriod.sinceUs()) {
            // Operators restart servers that they drain. Discovery may report the restart seconds later, or never if
            // only the machine was serviced. Until then a restored server counts as just started, as full load could
            // overload a cold server. The cost is that a server that was not restarted gets less than its share for a
            // while.
            startedAtUs = drainPeriod.untilUs();
        }
        return new HostList.Host(
                new ServerEntry(
                        entry.id(),
                        entry.zone(),
                        entry.cell(),
                        isDrained ? ServerState.DRAINING : entry.state(),
                        entry.weight(),
                        startedAtUs),
                host.endpoint());
    }

    /** Returns whether discovery lists the server or operators have drained it. */
    boolean isKnown(String id) {
        return listed.containsKey(id) || drainedSinceUs.containsKey(id);
    }

    /** Returns the number of servers on the list. */
    int listed() {
        return listed.size();
    }

    /** Returns the number of listed servers that accept no new requests, by an override or by discovery's state. */
    int unavailableCount() {
        return (int) listed.values().stream()
                .filter(h -> withOverride(h).entry().state() != ServerState.READY)
                .count();
    }
}
