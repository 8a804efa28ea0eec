package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import kitemux.discovery.Discovery;
import kitemux.net.Addresses;
import kitemux.net.HostList;
import kitemux.net.NioNetwork;

/** The watch on the list. */
class DiscoveryTest {
    private static final String KNOWN = Site.list(41, true);
    private static final String ENTRY = "s0=10.0.0.1:80=Ready";

    /** A watch alone; what it tells comes as a line. */
    private static Discovery watch(Site site, long mostSilenceUs, BlockingQueue<String> told)
            throws Exception {
        Discovery discovery = new Discovery(site.loop, NioNetwork.SYSTEM,
                Addresses.read("discovery", site.discovery.endpoint()), site.settings.zones, 41,
                mostSilenceUs, new Discovery.Listener() {
                    @Override
                    public void listed(HostList list) {
                        told.add(list.rev() + (list.all() ? " all " : " changes ") + list.hosts().size());
                    }

                    @Override
                    public void failed(String reason) {
                        told.add("failed");
                    }
                }, new StderrLog());
        site.loop.execute(discovery::subscribe);
        return discovery;
    }

    @Test
    void listsComeInPiecesAndTheNextWatchGoesOnFromTheLast() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MOST_SILENCE_US, told);
            assertEquals("/discovery/hosts?watch=1&after=41", FarServer.next(site.discovery.requests).path());
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String line = Site.list(43, true, ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(Site.chunk(line.substring(0, 20)));
            peer.write(Site.chunk(line.substring(20) + "\n\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("43 all 2", FarServer.next(told));
            assertEquals("44 changes 1", FarServer.next(told));
            peer.socket().close();
            assertEquals("failed", FarServer.next(told));
            site.loop.execute(discovery::subscribe);
            assertEquals("/discovery/hosts?watch=1&after=44", FarServer.next(site.discovery.requests).path());
        }
    }

    @Test
    void anOlderListTakesNothingBackUntilItsPlaceHasCaughtUp() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MOST_SILENCE_US, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            peer.write(Site.chunk(Site.list(45, true, "s0=10.0.0.1:80=Terminating") + "\n"));
            assertEquals("45 all 1", FarServer.next(told));
            peer.socket().close();
            assertEquals("failed", FarServer.next(told));
            site.loop.execute(discovery::subscribe);
            peer = FarServer.next(site.discovery.peers);
            // It was down and knows less: that the server is ready is what was before it drained.
            peer.write(Site.chunk(Site.list(43, true, ENTRY) + "\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("45 changes 0", FarServer.next(told), "the call has its answer");
            peer.write(Site.chunk(Site.list(46, false, ENTRY, "s1=10.0.0.2:80=Ready") + "\n"));
            assertEquals("46 changes 2", FarServer.next(told));
        }
    }

    @Test
    void aListThatANodeBeganWithMayBeFromAnotherPlace() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MOST_SILENCE_US, told);
            FarServer.next(site.discovery.peers).write(Site.chunk(Site.list(7, true, ENTRY) + "\n"));
            assertEquals("7 all 1", FarServer.next(told), "though it began with 41");
        }
    }

    @Test
    void aBeatAsTheFirstWordSaysThatNothingHasChanged() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MOST_SILENCE_US, told);
            FarServer.next(site.discovery.peers).write(Site.chunk("\n") + Site.chunk("\n")
                    + Site.chunk(Site.list(42, false, ENTRY) + "\n"));
            assertEquals("41 changes 0", FarServer.next(told));
            assertEquals("42 changes 1", FarServer.next(told));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "{\"rev\":42,\"all\":false,\"targets\":[{}]}",
        "{\"rev\":42,\"all\":false",
        "[]",
        "{\"rev\":42,\"all\":false,\"targets\":[{\"uid\":\"s\",\"endpoint\":\"x\",\"state\":\"Ready\"}]}",
    })
    void aBadLineBreaksTheWatch(String line) throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, Discovery.MOST_SILENCE_US, told);
            FarServer.next(site.discovery.peers).write(Site.chunk(line + "\n"));
            assertEquals("failed", FarServer.next(told));
            FarServer.next(site.discovery.ended);
        }
    }

    @Test
    void aSilentWatchIsBroken() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, 100_000, told);
            assertEquals("failed", FarServer.next(told));
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aNodeAsksAgainAfterARefusalAndThenUsesTheList() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FarServer server = FarServer.serving("x");
                FarServer discovery = new FarServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0 ? Http.answer("503 Busy", "", "")
                        : Site.watchHead() + Site.chunk(
                                Site.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                Site site = new Site(discovery).startKnowing(Site.list(1, true))) {
            assertEquals(200, site.ask(Http.page("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void aMoveAsksTheNewPlaceForAllThereIsAndTellsOfNoFailure() throws Exception {
        try (Site site = Site.quiet(); FarServer there = new FarServer((request, peer) -> peer.write(
                Site.watchHead() + Site.chunk(Site.list(7, true, ENTRY) + "\n")))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, Discovery.MOST_SILENCE_US, told);
            FarServer.next(site.discovery.requests);
            InetSocketAddress to = Addresses.read("discovery", there.endpoint());
            site.loop.execute(() -> discovery.moveTo(to));
            FarServer.next(site.discovery.ended);
            assertEquals("/discovery/hosts?watch=1", FarServer.next(there.requests).path());
            assertEquals("7 all 1", FarServer.next(told));
            // Told of the same place again the watch stays; a later call goes to the new place too.
            site.loop.execute(() -> discovery.moveTo(to));
            site.loop.execute(discovery::subscribe);
            assertEquals("/discovery/hosts?watch=1&after=7", FarServer.next(there.requests).path());
            assertEquals(2, there.connections.get());
            assertEquals(1, site.discovery.connections.get());
        }
    }
}
