package kitemux.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.net.HostList;
import kitemux.net.HostList.Host;

class ServersByHandTest {
    private static Host host(String id, ServerState state, long startedAtUs) {
        return new Host(new ServerEntry(id, 0, 0, state, 1, startedAtUs), new InetSocketAddress(80));
    }

    private static HostList list(boolean all, Host... hosts) {
        return new HostList(1, all, List.of(hosts));
    }

    private final ServersByHand servers = new ServersByHand();

    private ServerEntry only(List<Host> hosts) {
        assertEquals(1, hosts.size());
        return hosts.get(0).entry();
    }

    @Test
    void aListPassesAsItIsWhileNoneIsOut() {
        HostList list = list(true, host("a", ServerState.READY, 0), host("b", ServerState.DRAINING, 0));
        assertSame(list, servers.told(list));
        assertEquals(2, servers.listed());
        assertEquals(1, servers.drained());
    }

    @Test
    void whatIsOutDrainsWhateverTheListSays() {
        servers.told(list(true, host("a", ServerState.READY, 0), host("b", ServerState.READY, 0)));
        assertEquals(ServerState.DRAINING, only(servers.takeOut(Set.of("a"), 100)).state());
        HostList again = servers.told(list(false, host("a", ServerState.READY, 50)));
        assertEquals(ServerState.DRAINING, only(again.hosts()).state());
        assertEquals(50, only(again.hosts()).startedAtUs());
        HostList gone = servers.told(list(false, host("a", ServerState.GONE, 0)));
        assertEquals(ServerState.GONE, only(gone.hosts()).state());
        assertEquals(1, servers.listed());
        assertTrue(servers.isKnown("a"), "it can still be called back");
        assertEquals(ServerState.DRAINING,
                only(servers.told(list(false, host("a", ServerState.READY, 60))).hosts()).state());
    }

    @Test
    void whoComesBackIsTakenForColdWhateverTheListSaysLater() {
        servers.told(list(true, host("a", ServerState.READY, 5), host("b", ServerState.READY, 0)));
        servers.takeOut(Set.of("a"), 100);
        ServerEntry back = only(servers.takeOut(Set.of(), 200));
        assertEquals(ServerState.READY, back.state());
        assertEquals(200, back.startedAtUs());
        // Discovery tells late of the start that operators made meanwhile: full load would come too soon.
        assertEquals(200, servers.told(list(false, host("a", ServerState.READY, 150))).hosts().get(0).entry()
                .startedAtUs());
        assertEquals(300, servers.told(list(false, host("a", ServerState.READY, 300))).hosts().get(0).entry()
                .startedAtUs(), "it has started once more");
        assertEquals(0, servers.told(list(false, host("b", ServerState.READY, 0))).hosts().get(0).entry()
                .startedAtUs());
    }

    @Test
    void aServerThatDiscoveryDrainsStaysSoWhenItIsCalledBack() {
        servers.told(list(true, host("a", ServerState.DRAINING, 0)));
        servers.takeOut(Set.of("a"), 1);
        assertEquals(ServerState.DRAINING, only(servers.takeOut(Set.of(), 2)).state());
    }

    @Test
    void twoCallsOutTakeOneBack() {
        servers.told(list(true, host("a", ServerState.READY, 0)));
        servers.takeOut(Set.of("a"), 1);
        assertEquals(List.of(), servers.takeOut(Set.of("a"), 2));
        assertEquals(ServerState.READY, only(servers.takeOut(Set.of(), 3)).state());
        assertEquals(0, servers.drained());
    }

    @Test
    void aServerNobodyListsIsNotKnown() {
        servers.told(list(true, host("a", ServerState.READY, 0)));
        assertFalse(servers.isKnown("b"));
        servers.told(list(true));
        assertFalse(servers.isKnown("a"));
    }

    /** Whatever comes in whatever order: what the changes add up to is what a plain account says. */
    @Property(tries = 500)
    void changesAddUpToWhatHolds(@ForAll @Size(max = 60) List<@IntRange(max = 39) Integer> steps) {
        ServersByHand under = new ServersByHand();
        Map<String, ServerState> listed = new HashMap<>();
        Set<String> out = new HashSet<>();
        Map<String, ServerState> told = new HashMap<>();
        long now = 0;
        for (int step : steps) {
            String id = "s" + step % 4;
            List<Host> changes = new ArrayList<>();
            switch (step / 4 % 5) {
                case 0, 1 -> {
                    ServerState state = step / 4 % 5 == 0 ? ServerState.READY : ServerState.DRAINING;
                    listed.put(id, state);
                    changes.addAll(under.told(list(false, host(id, state, 0))).hosts());
                }
                case 2 -> {
                    listed.remove(id);
                    changes.addAll(under.told(list(false, host(id, ServerState.GONE, 0))).hosts());
                }
                case 3 -> {
                    out.add(id);
                    changes.addAll(under.takeOut(Set.copyOf(out), ++now));
                }
                default -> {
                    out.remove(id);
                    changes.addAll(under.takeOut(Set.copyOf(out), ++now));
                }
            }
            for (Host change : changes) {
                if (change.entry().state() == ServerState.GONE) {
                    told.remove(change.entry().id());
                } else {
                    told.put(change.entry().id(), change.entry().state());
                }
            }
            Map<String, ServerState> owed = new HashMap<>(listed);
            owed.replaceAll((server, state) -> out.contains(server) ? ServerState.DRAINING : state);
            assertEquals(owed, told);
            assertEquals(owed.size(), under.listed());
        }
    }
}
