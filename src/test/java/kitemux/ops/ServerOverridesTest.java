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

/** Tests how drains by operators combine with discovery's server list. */
class ServerOverridesTest {
    private static Host host(String id, ServerState state, long startedAtUs) {
        return new Host(new ServerEntry(id, 0, 0, state, 1, startedAtUs), new InetSocketAddress(80));
    }

    private static HostList list(boolean full, Host... hosts) {
        return new HostList(1, full, List.of(hosts));
    }

    private final ServerOverrides overrides = new ServerOverrides();

    private ServerEntry onlyEntry(List<Host> hosts) {
        assertEquals(1, hosts.size());
        return hosts.get(0).entry();
    }

    @Test
    void listIsUnchangedWhileNoServerIsDrained() {
        HostList list = list(true, host("a", ServerState.READY, 0), host("b", ServerState.DRAINING, 0));
        assertSame(list, overrides.apply(list));
        assertEquals(2, overrides.listed());
        assertEquals(1, overrides.unavailableCount());
    }

    @Test
    void drainedServerStaysDrainingWhateverDiscoveryReports() {
        overrides.apply(list(true, host("a", ServerState.READY, 0), host("b", ServerState.READY, 0)));
        assertEquals(
                ServerState.DRAINING,
                onlyEntry(overrides.setDrained(Map.of("a", 100L), 100)).state());
        HostList again = overrides.apply(list(false, host("a", ServerState.READY, 50)));
        assertEquals(ServerState.DRAINING, onlyEntry(again.hosts()).state());
        assertEquals(50, onlyEntry(again.hosts()).startedAtUs());
        HostList gone = overrides.apply(list(false, host("a", ServerState.GONE, 0)));
        assertEquals(ServerState.GONE, onlyEntry(gone.hosts()).state());
        assertEquals(1, overrides.listed());
        assertTrue(overrides.isKnown("a"), "it can still be restored");
        assertEquals(
                ServerState.DRAINING,
                onlyEntry(overrides
                                .apply(list(false, host("a", ServerState.READY, 60)))
                                .hosts())
                        .state());
    }

    @Test
    void restoredServerCountsAsJustStartedUntilDiscoveryReportsItsStart() {
        overrides.apply(list(true, host("a", ServerState.READY, 5), host("b", ServerState.READY, 0)));
        overrides.setDrained(Map.of("a", 100L), 100);
        ServerEntry back = onlyEntry(overrides.setDrained(Map.of(), 200));
        assertEquals(ServerState.READY, back.state());
        assertEquals(200, back.startedAtUs(), "a cold server must not receive full load");
        assertEquals(
                200,
                onlyEntry(overrides
                                .apply(list(false, host("a", ServerState.READY, 5)))
                                .hosts())
                        .startedAtUs());
        assertEquals(
                150,
                onlyEntry(overrides
                                .apply(list(false, host("a", ServerState.READY, 150)))
                                .hosts())
                        .startedAtUs(),
                "the restart during the drain");
        assertEquals(
                0,
                onlyEntry(overrides
                                .apply(list(false, host("b", ServerState.READY, 0)))
                                .hosts())
                        .startedAtUs());
    }

    @Test
    void restartReportedDuringTheDrainIsUsed() {
        overrides.apply(list(true, host("a", ServerState.READY, 5)));
        overrides.setDrained(Map.of("a", 100L), 100);
        assertEquals(
                ServerState.DRAINING,
                onlyEntry(overrides
                                .apply(list(false, host("a", ServerState.READY, 150)))
                                .hosts())
                        .state());
        assertEquals(150, onlyEntry(overrides.setDrained(Map.of(), 200)).startedAtUs());
    }

    @Test
    void serverThatDiscoveryDrainsKeepsDrainingWhenRestored() {
        overrides.apply(list(true, host("a", ServerState.DRAINING, 0)));
        overrides.setDrained(Map.of("a", 1L), 1);
        assertEquals(
                ServerState.DRAINING,
                onlyEntry(overrides.setDrained(Map.of(), 2)).state());
    }

    @Test
    void oneRestoreEndsARepeatedDrain() {
        overrides.apply(list(true, host("a", ServerState.READY, 0)));
        overrides.setDrained(Map.of("a", 1L), 1);
        assertEquals(List.of(), overrides.setDrained(Map.of("a", 2L), 2));
        assertEquals(
                ServerState.READY, onlyEntry(overrides.setDrained(Map.of(), 3)).state());
        assertEquals(0, overrides.unavailableCount());
    }

    @Test
    void unlistedServerIsUnknown() {
        overrides.apply(list(true, host("a", ServerState.READY, 0)));
        assertFalse(overrides.isKnown("b"));
        overrides.apply(list(true));
        assertFalse(overrides.isKnown("a"));
    }

    /** For any order of updates and drains, the reported changes add up to the states that a simple model expects. */
    @Property(tries = 500)
    void changesAddUpToTheExpectedStates(@ForAll @Size(max = 60) List<@IntRange(max = 39) Integer> steps) {
        ServerOverrides overrides = new ServerOverrides();
        Map<String, ServerState> listed = new HashMap<>();
        Map<String, Long> drained = new HashMap<>();
        Map<String, ServerState> reported = new HashMap<>();
        long now = 0;
        for (int step : steps) {
            String id = "s" + step % 4;
            List<Host> changes = new ArrayList<>();
            switch (step / 4 % 5) {
                case 0, 1 -> {
                    ServerState state = step / 4 % 5 == 0 ? ServerState.READY : ServerState.DRAINING;
                    listed.put(id, state);
                    changes.addAll(
                            overrides.apply(list(false, host(id, state, 0))).hosts());
                }
                case 2 -> {
                    listed.remove(id);
                    changes.addAll(overrides
                            .apply(list(false, host(id, ServerState.GONE, 0)))
                            .hosts());
                }
                case 3 -> {
                    drained.putIfAbsent(id, now);
                    changes.addAll(overrides.setDrained(Map.copyOf(drained), ++now));
                }
                default -> {
                    drained.remove(id);
                    changes.addAll(overrides.setDrained(Map.copyOf(drained), ++now));
                }
            }
            for (Host change : changes) {
                if (change.entry().state() == ServerState.GONE) {
                    reported.remove(change.entry().id());
                } else {
                    reported.put(change.entry().id(), change.entry().state());
                }
            }
            Map<String, ServerState> expected = new HashMap<>(listed);
            expected.replaceAll((server, state) -> drained.containsKey(server) ? ServerState.DRAINING : state);
            assertEquals(expected, reported);
            assertEquals(expected.size(), overrides.listed());
        }
    }
}
