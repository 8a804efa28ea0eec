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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the list. */
class DiscoveryTest {
    private static final String KNOWN = Site.list(41, true);
    private static final String ENTRY = "s0=10.0.0.1:80=Ready";

    /** A watch alone; what it tells comes as a line. */
    private static Discovery watch(Site site, long mostSilenceUs, BlockingQueue<String> told) throws Exception {
        Discovery discovery = new Discovery(
                site.loop,
                NioNetwork.SYSTEM,
                Addresses.parse("discovery", site.discovery.endpoint()),
                site.settings.zones,
                41,
                mostSilenceUs,
                7,
                new Discovery.Listener() {
                    @Override
                    public void onList(HostList list) {
                        told.add(list.revision()
                                + (list.isFull() ? " all " : " changes ")
                                + list.hosts().size());
                    }

                    @Override
                    public void onFailure(String reason) {
                        told.add("failed");
                    }
                },
                new StderrLog());
        site.loop.execute(discovery::subscribe);
        return discovery;
    }

    @Test
    void listsComeInPiecesAndTheNextWatchGoesOnFromTheLast() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MAX_SILENCE_US, told);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    ScriptedServer.next(site.discovery.requests).path());
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            String line = Site.list(43, true, ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(Site.chunk(line.substring(0, 20)));
            peer.write(Site.chunk(line.substring(20) + "\n\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("43 all 2", ScriptedServer.next(told));
            assertEquals("44 changes 1", ScriptedServer.next(told));
            peer.socket().close();
            assertEquals("failed", ScriptedServer.next(told));
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    ScriptedServer.next(site.discovery.requests).path());
        }
    }

    @Test
    void anOlderListTakesNothingBackUntilItsPlaceHasCaughtUp() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk(Site.list(45, true, "s0=10.0.0.1:80=Terminating") + "\n"));
            assertEquals("45 all 1", ScriptedServer.next(told));
            peer.socket().close();
            assertEquals("failed", ScriptedServer.next(told));
            site.loop.execute(discovery::subscribe);
            peer = ScriptedServer.next(site.discovery.answeredPeers);
            // It was down and knows less: that the server is ready is what was before it drained.
            peer.write(Site.chunk(Site.list(43, true, ENTRY) + "\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("45 changes 0", ScriptedServer.next(told), "the call has its answer");
            peer.write(Site.chunk(Site.list(46, false, ENTRY, "s1=10.0.0.2:80=Ready") + "\n"));
            assertEquals("46 changes 2", ScriptedServer.next(told));
        }
    }

    @Test
    void aListThatANodeBeganWithMayBeFromAnotherPlace() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.next(site.discovery.answeredPeers).write(Site.chunk(Site.list(7, true, ENTRY) + "\n"));
            assertEquals("7 all 1", ScriptedServer.next(told), "though it began with 41");
        }
    }

    @Test
    void aBeatAsTheFirstWordSaysThatNothingHasChanged() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.next(site.discovery.answeredPeers)
                    .write(Site.chunk("\n") + Site.chunk("\n") + Site.chunk(Site.list(42, false, ENTRY) + "\n"));
            assertEquals("41 changes 0", ScriptedServer.next(told));
            assertEquals("42 changes 1", ScriptedServer.next(told));
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
    void aBadLineBreaksTheWatch(String line) throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MAX_SILENCE_US, told);
            // A beat behind it: what is cut off in the middle may else have more to come.
            ScriptedServer.next(site.discovery.answeredPeers).write(Site.chunk(line + "\n\n"));
            assertEquals("failed", told.poll(2, TimeUnit.SECONDS), "long before it counts as silent");
            ScriptedServer.next(site.discovery.disconnectedPeers);
        }
    }

    @Test
    void bytesThatNeverMakeAListAreSilence() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, 400_000, told);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk("{\"rev\":42,"));
            String word = null;
            for (int i = 0; i < 60 && word == null; i++) {
                peer.write(Site.chunk(" "));
                word = told.poll(50, TimeUnit.MILLISECONDS);
            }
            assertEquals("failed", word);
        }
    }

    @Test
    void beatsThatCameWhileTheLoopStoodStillAreNotTakenForSilence() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, 1_000_000, told);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk(Site.list(42, true, ENTRY) + "\n"));
            assertEquals("42 all 1", ScriptedServer.next(told));
            CountDownLatch standing = new CountDownLatch(1);
            CountDownLatch goOn = new CountDownLatch(1);
            site.loop.execute(() -> {
                standing.countDown();
                await(goOn);
            });
            standing.await();
            peer.write(Site.chunk("\n"));
            CountDownLatch never = new CountDownLatch(1);
            assertFalse(never.await(1_200, TimeUnit.MILLISECONDS), "its silence is over meanwhile");
            goOn.countDown();
            peer.write(Site.chunk(Site.list(43, false, ENTRY) + "\n"));
            assertEquals("43 changes 1", ScriptedServer.next(told));
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a silent watch misses counts as told 6 s after it fell silent; beats come every 2 s. */
    @Test
    void whatASilentWatchMissesIsHeardInTime() throws Exception {
        try (Site site = Site.quiet()) {
            site.startKnowing(Site.list(41, true));
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(Site.chunk("\n"));
            long silentAt = System.nanoTime();
            ScriptedServer.next(site.discovery.requests);
            ScriptedServer.next(site.discovery.requests);
            long ms = (System.nanoTime() - silentAt) / 1_000_000;
            assertTrue(ms < 5_000, "asked anew after " + ms + " ms");
            assertTrue(ms > 2_400, "no sooner than a beat is missed: " + ms + " ms");
        }
    }

    @Test
    void listsMayComeIndentedAndSplitAnywhere() throws Exception {
        String line = Site.list(43, true, ENTRY, "s1=10.0.0.2:80=Terminating").replace("\"s1\"", "\"s}{\\\"[1\"");
        String indented =
                line.replace(",", ",\r\n    ").replace("[{", "[\n  {\n").replace("}]}", "\n}\n]\n}");
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            for (int i = 0; i < indented.length(); i++) {
                peer.write(Site.chunk(indented.substring(i, i + 1)));
            }
            peer.write(Site.chunk("\n\n" + indented.replace("43", "44")));
            assertEquals("43 all 2", ScriptedServer.next(told));
            assertEquals("44 all 2", ScriptedServer.next(told));
        }
    }

    @Test
    void wordOfADrainHoldsInAnOlderListTooUnlessTheServerHasStartedSince() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MAX_SILENCE_US, told);
            String ready = Site.list(45, true, ENTRY, "s1=10.0.0.2:80=Ready");
            ScriptedServer.next(site.discovery.answeredPeers)
                    .write(Site.chunk(ready.replaceFirst("boot_ms\":0", "boot_ms\":7000") + "\n"));
            assertEquals("45 all 2", ScriptedServer.next(told));
            site.loop.execute(discovery::subscribe);
            ScriptedServer.Peer peer = ScriptedServer.next(site.discovery.answeredPeers);
            peer.write(
                    Site.chunk(Site.list(43, true, "s0=10.0.0.1:80=Terminating", "s1=10.0.0.2:80=Terminating") + "\n"));
            assertEquals("45 changes 1", ScriptedServer.next(told), "s0 has started since");
            peer.write(Site.chunk(Site.list(44, false, "s1=10.0.0.2:80=Gone") + "\n"));
            assertEquals("45 changes 1", ScriptedServer.next(told));
        }
    }

    /** What a node has waited for longer and longer was another place. */
    @Test
    void afterAMoveTheWaitsBeginAnew() throws Exception {
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
                    old.connIdleUs(),
                    old.stateFolder(),
                    old.initialServers(),
                    old.settings()));
            ScriptedServer.next(after.requests);
            // After five failures it would wait for 330 ms at least, after the first 75 at most.
            assertNotNull(after.requests.poll(300, TimeUnit.MILLISECONDS), "it waits as for the other place");
        }
    }

    @Test
    void aSilentWatchIsBroken() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, 100_000, told);
            assertEquals("failed", ScriptedServer.next(told));
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aNodeAsksAgainAfterARefusalAndThenUsesTheList() throws Exception {
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
    void aMoveAsksTheNewPlaceForAllThereIsAndTellsOfNoFailure() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer there = new ScriptedServer((request, peer) ->
                        peer.write(Site.watchHead() + Site.chunk(Site.list(7, true, ENTRY) + "\n")))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.next(site.discovery.requests);
            InetSocketAddress to = Addresses.parse("discovery", there.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.next(site.discovery.disconnectedPeers);
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedServer.next(there.requests).path());
            assertEquals("7 all 1", ScriptedServer.next(told));
            // Told of the same place again the watch stays; a later call goes to the new place too.
            site.loop.execute(() -> discovery.setAddress(to));
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    ScriptedServer.next(there.requests).path());
            assertEquals(2, there.connections.get());
            assertEquals(1, site.discovery.connections.get());
        }
    }

    /** What is written to a node counts as told, whether or not it is read. */
    @Test
    void whatTheOldPlaceTellsBeforeTheNewOneHasSpokenIsHeard() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer there = new ScriptedServer((request, peer) -> peer.write(Site.watchHead()))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MAX_SILENCE_US, told);
            ScriptedServer.Peer before = ScriptedServer.next(site.discovery.answeredPeers);
            InetSocketAddress to = Addresses.parse("discovery", there.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.Peer after = ScriptedServer.next(there.answeredPeers);
            before.write(Site.chunk(Site.list(42, true, "s0=10.0.0.1:80=Terminating") + "\n"));
            assertEquals("42 all 1", told.poll(5, TimeUnit.SECONDS), "the answer to a call that was in turn");
            after.write(Site.chunk("\n" + Site.list(7, true, ENTRY) + "\n"));
            assertEquals("7 all 1", ScriptedServer.next(told), "versions of another place tell nothing here");
            ScriptedServer.next(site.discovery.disconnectedPeers);
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedServer.next(there.requests).path());
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    ScriptedServer.next(there.requests).path());
        }
    }

    @Test
    void anOldPlaceIsNotReadForLongWhereTheNewOneSaysNothing() throws Exception {
        try (Site site = Site.quiet();
                ScriptedServer there = new ScriptedServer((request, peer) -> peer.write(Site.watchHead()))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, 60_000_000, told);
            ScriptedServer.next(site.discovery.answeredPeers);
            InetSocketAddress to = Addresses.parse("discovery", there.endpoint());
            site.loop.execute(() -> discovery.setAddress(to));
            ScriptedServer.next(there.answeredPeers);
            assertNotNull(site.discovery.disconnectedPeers.poll(10, TimeUnit.SECONDS), "it is read on without an end");
            assertTrue(told.isEmpty(), "its end is no failure: " + told);
        }
    }

    /** The old place's list is no answer of the new one's. */
    @Test
    void aNodeThatHearsOfTheOldPlaceGoesOnAskingTheNewOne() throws Exception {
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
                    old.connIdleUs(),
                    old.stateFolder(),
                    old.initialServers(),
                    old.settings()));
            ScriptedServer.next(after.disconnectedPeers);
            before.write(Site.chunk(Site.list(2, true, ENTRY) + "\n"));
            ScriptedServer.next(after.requests);
            assertNotNull(after.requests.poll(5, TimeUnit.SECONDS), "it asks no more");
        }
    }
}
