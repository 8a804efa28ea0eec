package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import org.junit.jupiter.api.Test;

/** Guards against a new process at an old address that is taken for the one before. */
class EndpointOwnersTest {
    private final EndpointOwners owners = new EndpointOwners();

    private static HostList.Host host(String id, int port, ServerState state, long startedAtUs) {
        return new HostList.Host(
                new ServerEntry(id, 0, 0, state, 1, startedAtUs),
                state == ServerState.GONE ? null : InetSocketAddress.createUnresolved("h", port));
    }

    private static HostList.Host ready(String id, int port) {
        return host(id, port, ServerState.READY, 0);
    }

    private List<String> apply(boolean isFull, HostList.Host... hosts) {
        return owners.withSuperseded(new HostList(1, isFull, List.of(hosts))).hosts().stream()
                .map(host -> host.entry().id() + " " + host.entry().state())
                .toList();
    }

    @Test
    void newServerAtAnAddressReplacesTheOneBefore() {
        apply(true, ready("a", 1), ready("b", 2));
        assertEquals(List.of("c READY", "a GONE"), apply(false, ready("c", 1)));
        assertEquals(List.of("d READY"), apply(false, ready("d", 3)));
        assertEquals(
                List.of("b"),
                owners.withoutSuperseded(List.of(ready("a", 1), ready("b", 2))).stream()
                        .map(host -> host.entry().id())
                        .toList());
    }

    @Test
    void serversThatOneListNamesAreTakenAsItSays() {
        assertEquals(List.of("a READY", "b READY"), apply(true, ready("a", 1), ready("b", 1)));
        assertEquals(List.of("c READY", "b GONE"), apply(false, ready("c", 1), host("b", 1, ServerState.GONE, 0)));
    }

    @Test
    void lateNewsOfAnOlderProcessReplacesNothing() {
        apply(true, host("new", 1, ServerState.READY, 1_000));
        assertEquals(List.of("old DRAINING"), apply(false, host("old", 1, ServerState.DRAINING, 2_000)));
        assertEquals(List.of("older READY"), apply(false, host("older", 1, ServerState.READY, 999)));
    }

    @Test
    void serverThatMovesOrReturnsIsTakenAgain() {
        apply(true, ready("a", 1));
        apply(false, ready("b", 1));
        assertEquals(List.of("a READY"), apply(false, ready("a", 2)));
        assertEquals(
                2,
                owners.withoutSuperseded(
                                Stream.of("a", "b").map(id -> ready(id, 1)).toList())
                        .size());
        assertEquals(List.of("c READY", "b GONE"), apply(false, ready("c", 1)));
    }
}
