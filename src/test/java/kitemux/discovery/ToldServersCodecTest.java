package kitemux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigException;
import kitemux.net.HostList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.NotEmpty;
import net.jqwik.api.constraints.Size;

/** Tests that a process reads what another one has been told as it was told. */
class ToldServersCodecTest {
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 8500);

    private final ToldServersCodec codec = new ToldServersCodec(List.of("a", "b"));

    @Property
    void serversAreReadAsTheyWereTold(
            @ForAll @Size(max = 20) List<@NotEmpty String> ids,
            @ForAll @LongRange(min = 0) long revision,
            @ForAll @IntRange(min = -1, max = 1) int zone,
            @ForAll @LongRange(min = 0, max = 1L << 50) long startedAtMs,
            @ForAll boolean isReady)
            throws Exception {
        List<HostList.Host> hosts = new ArrayList<>();
        for (String id : ids) {
            ServerState state = isReady ? ServerState.READY : ServerState.DRAINING;
            hosts.add(new HostList.Host(
                    new ServerEntry(id, zone, hosts.size(), state, 0.75, startedAtMs * 1_000),
                    new InetSocketAddress("10.1.0." + hosts.size(), 8000)));
        }
        ToldServers told = new ToldServers(DISCOVERY, revision, 41, 1_700_000_000_000_000L, hosts);
        assertEquals(told, codec.decode(codec.encode(told)));
    }

    @Example
    void malformedServersAreRejected() {
        byte[] noRevision = "{\"known_rev\":1,\"told_us\":1,\"targets\":[]}".getBytes(StandardCharsets.UTF_8);
        byte[] gone = ("{\"known_rev\":1,\"told_us\":1,\"rev\":1,\"discovery\":\"127.0.0.1:1\","
                        + "\"targets\":[{\"uid\":\"s\",\"state\":\"Gone\"}]}")
                .getBytes(StandardCharsets.UTF_8);
        assertThrows(ConfigException.class, () -> codec.decode(noRevision));
        assertThrows(ConfigException.class, () -> codec.decode(gone));
        assertThrows(IOException.class, () -> codec.decode(new byte[0]));
    }

    @Example
    void changesLeadFromOneListToTheOther() {
        HostList.Host kept = host("kept", ServerState.READY);
        HostList.Host gone = host("gone", ServerState.READY);
        HostList.Host drained = host("drained", ServerState.DRAINING);
        ToldServers told = new ToldServers(DISCOVERY, 2, 1, 0, List.of(kept, drained));
        HostList changes = told.changesFrom(List.of(kept, gone, host("drained", ServerState.READY)));
        assertEquals(
                List.of("drained DRAINING", "gone GONE"),
                changes.hosts().stream()
                        .map(host -> host.entry().id() + " " + host.entry().state())
                        .toList());
    }

    private static HostList.Host host(String id, ServerState state) {
        return new HostList.Host(new ServerEntry(id, 0, 0, state, 1, 0), new InetSocketAddress("127.0.0.1", 1));
    }
}
