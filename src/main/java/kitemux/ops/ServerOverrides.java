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
 * Which servers operators have taken out by hand, laid over what discovery says of them: one that is out
 * drains, whatever the list says. It does no input or output and has no clock; one thread calls it.
 */
final class ServerOverrides {
    /** What discovery last told of each server that it lists. */
    private final Map<String, HostList.Host> listed = new HashMap<>();
    /** Since when each is out, in microseconds of Unix time. */
    private final Map<String, Long> out = new HashMap<>();
    /** What is known of those that were out and came back; forgotten as they leave the list. */
    private final Map<String, Away> back = new HashMap<>();

    /** A time without work, in microseconds of Unix time. */
    private record Away(long sinceUs, long untilUs) {}

    /** The list that holds, given one of discovery's, in its order. */
    HostList told(HostList list) {
        if (list.isFull()) {
            listed.clear();
        }
        for (HostList.Host host : list.hosts()) {
            String id = host.entry().id();
            if (host.entry().state() == ServerState.GONE) {
                listed.remove(id);
                back.remove(id);
            } else {
                listed.put(id, host);
            }
        }
        if (list.isFull()) {
            back.keySet().retainAll(listed.keySet());
        }
        return out.isEmpty() && back.isEmpty()
                ? list
                : new HostList(
                        list.revision(),
                        list.isFull(),
                        list.hosts().stream().map(this::holds).toList());
    }

    /**
     * Takes out just these servers; those that were out before and are not among them come back.
     *
     * @param ids each with the time since when it is out, in microseconds of Unix time
     * @return what changes by it for servers on the list
     */
    List<HostList.Host> takeOut(Map<String, Long> ids, long nowUs) {
        Set<String> changed = new HashSet<>(out.keySet());
        changed.removeAll(ids.keySet());
        changed.forEach(id -> back.put(id, new Away(out.get(id), nowUs)));
        for (String id : ids.keySet()) {
            if (!out.containsKey(id)) {
                changed.add(id);
            }
        }
        out.clear();
        out.putAll(ids);
        back.keySet().retainAll(listed.keySet());
        List<HostList.Host> changes = new ArrayList<>();
        for (String id : changed) {
            if (listed.containsKey(id)) {
                changes.add(holds(listed.get(id)));
            }
        }
        return changes;
    }

    private HostList.Host holds(HostList.Host host) {
        ServerEntry entry = host.entry();
        boolean drains = entry.state() == ServerState.READY && out.containsKey(entry.id());
        long startedAtUs = entry.startedAtUs();
        Away away = back.get(entry.id());
        if (away != null && startedAtUs < away.sinceUs) {
            // Operators restart what they take out, and discovery may tell of it seconds later, or never
            // where only the machine was worked on. Until it does, who comes back is taken for just started:
            // full load would push it over. Harm: one that was not restarted has less than its share.
            startedAtUs = away.untilUs;
        }
        return new HostList.Host(
                new ServerEntry(
                        entry.id(),
                        entry.zone(),
                        entry.cell(),
                        drains ? ServerState.DRAINING : entry.state(),
                        entry.weight(),
                        startedAtUs),
                host.endpoint());
    }

    /** Whether discovery lists it, or operators have taken it out. */
    boolean isKnown(String id) {
        return listed.containsKey(id) || out.containsKey(id);
    }

    /** How many servers the list holds. */
    int listed() {
        return listed.size();
    }

    /** How many of these take nothing new, by hand or by discovery's word. */
    int drained() {
        return (int) listed.values().stream()
                .filter(h -> holds(h).entry().state() != ServerState.READY)
                .count();
    }
}
