package kitemux.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.net.HostList;
import kitemux.net.HostList.Host;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ServerOverridesTest {
    private static Host host(String id, ServerState state, long startedAtUs) {
        return new Host(new ServerEntry(id, 0, 0, state, 1, startedAtUs), new InetSocketAddress(80));
    }

    private static HostList list(boolean all, Host... hosts) {
        return new HostList(1, all, List.of(hosts));
    }

    private final ServerOverrides servers = new ServerOverrides();

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
        assertEquals(
                ServerState.DRAINING,
                only(servers.takeOut(Map.of("a", 100L), 100)).state());
        HostList again = servers.told(list(false, host("a", ServerState.READY, 50)));
        assertEquals(ServerState.DRAINING, only(again.hosts()).state());
        assertEquals(50, only(again.hosts()).startedAtUs());
        HostList gone = servers.told(list(false, host("a", ServerState.GONE, 0)));
        assertEquals(ServerState.GONE, only(gone.hosts()).state());
        assertEquals(1, servers.listed());
        assertTrue(servers.isKnown("a"), "it can still be called back");
        assertEquals(
                ServerState.DRAINING,
                only(servers.told(list(false, host("a", ServerState.READY, 60))).hosts())
                        .state());
    }

    @Test
    void whoComesBackIsTakenForColdUntilDiscoveryTellsOfItsStart() {
        servers.told(list(true, host("a", ServerState.READY, 5), host("b", ServerState.READY, 0)));
        servers.takeOut(Map.of("a", 100L), 100);
        ServerEntry back = only(servers.takeOut(Map.of(), 200));
        assertEquals(ServerState.READY, back.state());
        assertEquals(200, back.startedAtUs(), "full load would come too soon");
        assertEquals(
                200,
                only(servers.told(list(false, host("a", ServerState.READY, 5))).hosts())
                        .startedAtUs());
        assertEquals(
                150,
                only(servers.told(list(false, host("a", ServerState.READY, 150)))
                                .hosts())
                        .startedAtUs(),
                "the start that operators made");
        assertEquals(
                0,
                only(servers.told(list(false, host("b", ServerState.READY, 0))).hosts())
                        .startedAtUs());
    }

    @Test
    void whoseStartDiscoveryHasToldMeanwhileIsTakenAtItsWord() {
        servers.told(list(true, host("a", ServerState.READY, 5)));
        servers.takeOut(Map.of("a", 100L), 100);
        assertEquals(
                ServerState.DRAINING,
                only(servers.told(list(false, host("a", ServerState.READY, 150)))
                                .hosts())
                        .state());
        assertEquals(150, only(servers.takeOut(Map.of(), 200)).startedAtUs());
    }

    @Test
    void aServerThatDiscoveryDrainsStaysSoWhenItIsCalledBack() {
        servers.told(list(true, host("a", ServerState.DRAINING, 0)));
        servers.takeOut(Map.of("a", 1L), 1);
        assertEquals(ServerState.DRAINING, only(servers.takeOut(Map.of(), 2)).state());
    }

    @Test
    void twoCallsOutTakeOneBack() {
        servers.told(list(true, host("a", ServerState.READY, 0)));
        servers.takeOut(Map.of("a", 1L), 1);
        assertEquals(List.of(), servers.takeOut(Map.of("a", 2L), 2));
        assertEquals(ServerState.READY, only(servers.takeOut(Map.of(), 3)).state());
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
        ServerOverrides under = new ServerOverrides();
        Map<String, ServerState> listed = new HashMap<>();
        Map<String, Long> out = new HashMap<>();
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
                    changes.addAll(under.told(list(false, host(id, ServerState.GONE, 0)))
                            .hosts());
                }
                case 3 -> {
                    out.putIfAbsent(id, now);
                    changes.addAll(under.takeOut(Map.copyOf(out), ++now));
                }
                default -> {
                    out.remove(id);
                    changes.addAll(under.takeOut(Map.copyOf(out), ++now));
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
            owed.replaceAll((server, state) -> out.containsKey(server) ? ServerState.DRAINING : state);
            assertEquals(owed, told);
            assertEquals(owed.size(), under.listed());
        }
    }
}
