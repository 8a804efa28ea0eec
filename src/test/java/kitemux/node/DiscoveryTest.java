package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kitemux.discovery.Discovery;
import kitemux.net.Addresses;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;
import kitemux.net.SocketBuffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watch on discovery's server list. */
class DiscoveryTest {
    private static final String INITIAL_LIST = Site.list(41, true);
    private static final String READY_SERVER = "s0=10.0.0.1:80=Ready";

    /** Opens a watch without a node; its events are recorded as lines. */
    private static Discovery openWatch(Site site, long maxSilenceUs, BlockingQueue<String> events) throws Exception {
        Discovery discovery = new Discovery(
                site.loop,
                NioNetwork.SYSTEM,
                SocketBuffers.full(),
                Addresses.parse("discovery", site.discovery.endpoint()),
                site.settings.zones,
                41,
                maxSilenceUs,
                7,
                new Discovery.Listener() {
                    @Override
                    public void onList(HostList list) {
                        events.add(list.revision()
                                + (list.isFull() ? " all " : " changes ")
                                + list.hosts().size());
                    }

                    @Override
                    public void onFailure(String reason) {
                        events.add("failed");
                    }
                },
                new StderrLog());
        site.loop.execute(discovery::subscribe);
        return discovery;
    }

    @Test
    void splitListsAreReassembledAndNextWatchResumesFromLastRevision() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, Discovery.MAX_SILENCE_US, events);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    ScriptedServer.next(site.discovery.requests).path());
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            String line = Site.list(43, true, READY_SERVER, "s1=10.0.0.2:80=Terminating");
            peer.write(Site.chunk(line.substring(0, 20)));
            peer.write(Site.chunk(line.substring(20) + "\n\n" + Site.list(44, false, READY_SERVER) + "\n"));
            assertEquals("43 all 2", ScriptedServer.next(events));
            assertEquals("44 changes 1", ScriptedServer.next(events));
            peer.socket().close();
            assertEquals("failed", ScriptedServer.next(events));
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    ScriptedServer.next(site.discovery.requests).path());
        }
    }

    @Test
    void staleListChangesNothingUntilDiscoveryCatchesUp() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk(Site.list(45, true, "s0=10.0.0.1:80=Terminating") + "\n"));
            assertEquals("45 all 1", ScriptedServer.next(events));
            peer.socket().close();
            assertEquals("failed", ScriptedServer.next(events));
            site.loop.execute(discovery::subscribe);
            peer = ScriptedServer.next(site.discovery.answeredPeers);
            // Discovery was down and lost revisions: the server's ready state is from before its drain.
            peer.write(
                    Site.chunk(Site.list(43, true, READY_SERVER) + "\n" + Site.list(44, false, READY_SERVER) + "\n"));
            assertEquals("45 changes 0", ScriptedServer.next(events), "the call is answered");
            peer.write(Site.chunk(Site.list(46, false, READY_SERVER, "s1=10.0.0.2:80=Ready") + "\n"));
            assertEquals("46 changes 2", ScriptedServer.next(events));
        }
    }

    @Test
    void initialRevisionMayComeFromAnotherEndpoint() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.next(site.discovery.answeredPeers)
                    .write(Site.chunk(Site.list(7, true, READY_SERVER) + "\n"));
            assertEquals("7 all 1", ScriptedServer.next(events), "although the node started with revision 41");
        }
    }

    @Test
    void heartbeatAsFirstMessageReportsNoChanges() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.next(site.discovery.answeredPeers)
                    .write(Site.chunk("\n") + Site.chunk("\n") + Site.chunk(Site.list(42, false, READY_SERVER) + "\n"));
            assertEquals("41 changes 0", ScriptedServer.next(events));
            assertEquals("42 changes 1", ScriptedServer.next(events));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"rev\":42,\"all\":false,\"targets\":[{}]}",
                "{\"rev\":42,\"all\":false",
                "[]",
                "{\"rev\":42,\"all\":false,\"targets\":[{\"uid\":\"s\",\"endpoint\":\"x\",\"state\":\"Ready\"}]}",
            })
    void malformedLineBreaksWatch(String line) throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, Discovery.MAX_SILENCE_US, events);
            // A heartbeat follows, since a truncated line could otherwise still be continued.
            ScriptedServer.next(site.discovery.answeredPeers).write(Site.chunk(line + "\n\n"));
            assertEquals("failed", events.poll(2, TimeUnit.SECONDS), "long before the silence timeout");
            ScriptedServer.next(site.discovery.disconnectedPeers);
        }
    }

    @Test
    void incompleteListDoesNotPostponeSilenceTimeout() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, 400_000, events);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk("{\"rev\":42,"));
            String event = null;
            for (int i = 0; i < 60 && event == null; i++) {
                peer.write(Site.chunk(" "));
                event = events.poll(50, TimeUnit.MILLISECONDS);
            }
            assertEquals("failed", event);
        }
    }

    @Test
    void heartbeatsReceivedDuringLoopStallPreventTimeout() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, 1_000_000, events);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk(Site.list(42, true, READY_SERVER) + "\n"));
            assertEquals("42 all 1", ScriptedServer.next(events));
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            site.loop.execute(() -> {
                stalled.countDown();
                await(resume);
            });
            stalled.await();
            peer.write(Site.chunk("\n"));
            CountDownLatch never = new CountDownLatch(1);
            assertFalse(never.await(1_200, TimeUnit.MILLISECONDS), "the silence timeout passes meanwhile");
            resume.countDown();
            peer.write(Site.chunk(Site.list(43, false, READY_SERVER) + "\n"));
            assertEquals("43 changes 1", ScriptedServer.next(events));
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a silent watch misses counts as delivered 6 s after it fell silent; heartbeats are sent every 2 s. */
    @Test
    void silentWatchIsReopenedInTime() throws Exception {
        try (Site site = Site.quiet()) {
            site.startKnowing(Site.list(41, true));
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk("\n"));
            long silentAt = System.nanoTime();
            ScriptedServer.next(site.discovery.requests);
            ScriptedServer.next(site.discovery.requests);
            long ms = (System.nanoTime() - silentAt) / 1_000_000;
            assertTrue(ms < 5_000, "reconnected after " + ms + " ms");
            assertTrue(ms > 2_400, "reconnected before a heartbeat was missed: " + ms + " ms");
        }
    }

    @Test
    void indentedListsSplitAnywhereAreParsed() throws Exception {
        String line =
                Site.list(43, true, READY_SERVER, "s1=10.0.0.2:80=Terminating").replace("\"s1\"", "\"s}{\\\"[1\"");
        String indented =
                line.replace(",", ",\r\n    ").replace("[{", "[\n  {\n").replace("}]}", "\n}\n]\n}");
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            for (int i = 0; i < indented.length(); i++) {
                peer.write(Site.chunk(indented.substring(i, i + 1)));
            }
            peer.write(Site.chunk("\n\n" + indented.replace("43", "44")));
            assertEquals("43 all 2", ScriptedServer.next(events));
            assertEquals("44 all 2", ScriptedServer.next(events));
        }
    }

    @Test
    void drainInStaleListAppliesUnlessServerHasRestarted() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, Discovery.MAX_SILENCE_US, events);
            String ready = Site.list(45, true, READY_SERVER, "s1=10.0.0.2:80=Ready");
            ScriptedServer.next(site.discovery.answeredPeers)
                    .write(Site.chunk(ready.replaceFirst("boot_ms\":0", "boot_ms\":7000") + "\n"));
            assertEquals("45 all 2", ScriptedServer.next(events));
            site.loop.execute(discovery::subscribe);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(
                    Site.chunk(Site.list(43, true, "s0=10.0.0.1:80=Terminating", "s1=10.0.0.2:80=Terminating") + "\n"));
            assertEquals("45 changes 1", ScriptedServer.next(events), "s0 has restarted since");
            peer.write(Site.chunk(Site.list(44, false, "s1=10.0.0.2:80=Gone") + "\n"));
            assertEquals("45 changes 1", ScriptedServer.next(events));
        }
    }

    /** The backoff of a node applied to the old address and must not delay calls to the new one. */
    @Test
    void backoffRestartsAfterAddressChange() throws Exception {
        ScriptedServer.Script refusing = (request, peer) -> peer.write(Http.answer("503 Busy", "", ""));
        try (ScriptedServer before = new ScriptedServer(refusing);
                ScriptedServer after = new ScriptedServer(refusing);
                Site site = new Site(before)) {
            String known = Site.list(1, true);
            site.startKnowing(known);
            for (int i = 0; i < 5; i++) {
                ScriptedServer.next(before.requests);
            }
            NodeConfig old = site.config(known);
            site.node.reload(new NodeConfig(
                    old.listen(),
                    old.managementAddress(),
                    Addresses.parse("discovery", after.endpoint()),
                    old.seed(),
                    old.maxSockets(),
                    old.maxMemoryBytes(),
                    old.connIdleUs(),
                    old.stateFolder(),
                    old.initialServers(),
                    old.settings()));
            ScriptedServer.next(after.requests);
            // After five failures the wait would be at least 330 ms; after the first one it is at most 75 ms.
            assertNotNull(
                    after.requests.poll(300, TimeUnit.MILLISECONDS), "the backoff of the old address still applies");
        }
    }

    @Test
    void silentWatchFails() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            openWatch(site, 100_000, events);
            assertEquals("failed", ScriptedServer.next(events));
            assertTrue(events.isEmpty());
        }
    }

    @Test
    void nodeRetriesAfterRejectionAndAppliesList() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedServer server = ScriptedServer.serving("x");
                ScriptedServer discovery = new ScriptedServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0
                                ? Http.answer("503 Busy", "", "")
                                : Site.watchHead()
                                        + Site.chunk(
                                                Site.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                Site site = new Site(discovery).startKnowing(Site.list(1, true))) {
            assertEquals(200, site.ask(Http.page("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void addressChangeRequestsFullListWithoutFailure() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer newServer = new ScriptedServer((request, peer) ->
                        peer.write(Site.watchHead() + Site.chunk(Site.list(7, true, READY_SERVER) + "\n")))) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.next(site.discovery.requests);
            InetSocketAddress to = Addresses.parse("discovery", newServer.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.next(site.discovery.disconnectedPeers);
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedServer.next(newServer.requests).path());
            assertEquals("7 all 1", ScriptedServer.next(events));
            // Setting the same address again keeps the watch; a later call goes to the new address too.
            site.loop.execute(() -> discovery.setAddress(to));
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    ScriptedServer.next(newServer.requests).path());
            assertEquals(2, newServer.connections.get());
            assertEquals(1, site.discovery.connections.get());
        }
    }

    /** Data written to a node counts as delivered, whether or not it was read. */
    @Test
    void previousWatchIsReadUntilNewOneDelivers() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer newServer = new ScriptedServer((request, peer) -> peer.write(Site.watchHead()))) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, Discovery.MAX_SILENCE_US, events);
            ScriptedServer.Peer before = ScriptedServer.next(site.discovery.answeredPeers);
            InetSocketAddress to = Addresses.parse("discovery", newServer.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.Peer after = ScriptedServer.next(newServer.answeredPeers);
            before.write(Site.chunk(Site.list(42, true, "s0=10.0.0.1:80=Terminating") + "\n"));
            assertEquals("42 all 1", events.poll(5, TimeUnit.SECONDS), "the response to the earlier call");
            after.write(Site.chunk("\n" + Site.list(7, true, READY_SERVER) + "\n"));
            assertEquals("7 all 1", ScriptedServer.next(events), "revisions of another endpoint are not comparable");
            ScriptedServer.next(site.discovery.disconnectedPeers);
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedServer.next(newServer.requests).path());
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    ScriptedServer.next(newServer.requests).path());
        }
    }

    @Test
    void previousWatchClosesWhenNewOneStaysSilent() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer newServer = new ScriptedServer((request, peer) -> peer.write(Site.watchHead()))) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            Discovery discovery = openWatch(site, 60_000_000, events);
            ScriptedServer.next(site.discovery.answeredPeers);
            InetSocketAddress to = Addresses.parse("discovery", newServer.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.next(newServer.answeredPeers);
            assertNotNull(
                    site.discovery.disconnectedPeers.poll(10, TimeUnit.SECONDS), "the previous watch is never closed");
            assertTrue(events.isEmpty(), "closing the previous watch is no failure: " + events);
        }
    }

    /** A list from the old address does not answer the call to the new one. */
    @Test
    void listFromOldAddressDoesNotStopRetriesAtNewOne() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedServer after = new ScriptedServer((request, peer) ->
                        peer.write(calls.getAndIncrement() == 0 ? Http.answer("503 Busy", "", "") : Site.watchHead()));
                Site site = Site.quiet()) {
            String known = Site.list(1, true);
            site.startKnowing(known);
            ScriptedServer.Peer before = ScriptedServer.next(site.discovery.answeredPeers);
            NodeConfig old = site.config(known);
            site.node.reload(new NodeConfig(
                    old.listen(),
                    old.managementAddress(),
                    Addresses.parse("discovery", after.endpoint()),
                    old.seed(),
                    old.maxSockets(),
                    old.maxMemoryBytes(),
                    old.connIdleUs(),
                    old.stateFolder(),
                    old.initialServers(),
                    old.settings()));
            ScriptedServer.next(after.disconnectedPeers);
            before.write(Site.chunk(Site.list(2, true, READY_SERVER) + "\n"));
            ScriptedServer.next(after.requests);
            assertNotNull(after.requests.poll(5, TimeUnit.SECONDS), "the node no longer retries");
        }
    }
}
