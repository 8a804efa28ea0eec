package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import kitemux.discovery.PushedListWatcher;
import kitemux.engine.Clock;
import org.junit.jupiter.api.Test;

/** Tests the watch on an agent on the node's own machine, to which lists are pushed. */
class PushedListWatcherTest {

    /** A clock whose timer runs when the test says so. */
    private static final class ManualClock implements Clock {
        final List<Long> waits = new ArrayList<>();
        Runnable task;

        @Override
        public long nowUs() {
            return 0;
        }

        @Override
        public Timer schedule(long us, Runnable scheduled) {
            waits.add(us);
            task = scheduled;
            return () -> task = null;
        }

        void runTimer() {
            Runnable due = task;
            task = null;
            due.run();
        }
    }

    @Test
    void watchIsReopenedWithGrowingWaits() {
        ManualClock clock = new ManualClock();
        int[] openCount = new int[1];
        PushedListWatcher watcher = new PushedListWatcher(clock, () -> openCount[0]++, 7);
        watcher.start();
        for (int i = 0; i < 12; i++) {
            watcher.onFailure();
            // Reporting the same failure twice opens no second watch.
            watcher.onFailure();
            clock.runTimer();
            assertEquals(i + 2, openCount[0]);
        }
        assertEquals(12, clock.waits.size());
        for (int i = 0; i < 12; i++) {
            long wait = Math.min(150_000, 50_000L << i);
            assertTrue(clock.waits.get(i) >= wait / 2 && clock.waits.get(i) < wait * 3 / 2, clock.waits::toString);
        }
        watcher.onUpdate();
        watcher.onFailure();
        assertTrue(clock.waits.get(12) < 75_000, clock.waits::toString);
        watcher.stop();
        assertEquals(null, clock.task);
        watcher.onFailure();
        assertEquals(13, clock.waits.size(), "a stopped watcher schedules no retry");
    }

    @Test
    void nodeReconnectsToRestartedAgent() throws Exception {
        try (ScriptedServer first = ScriptedServer.serving("first");
                ScriptedServer second = ScriptedServer.serving("second");
                Site site = Site.quiet()) {
            site.settings.listOnRequest = false;
            site.startKnowing(Site.list(1, true));
            ScriptedServer.Peer agent = ScriptedServer.next(site.discovery.answeredPeers);
            agent.write(Site.chunk(Site.list(2, true, "s0=" + first.endpoint() + "=Ready") + "\n"));
            assertEquals(200, site.ask(Http.page("one")).status());
            agent.socket().close();
            agent = ScriptedServer.next(site.discovery.answeredPeers);
            agent.write(Site.chunk(Site.list(3, true, "s1=" + second.endpoint() + "=Ready") + "\n"));
            Socket client = site.connect();
            String body = "";
            for (int i = 0; !body.equals("second"); i++) {
                assertTrue(i < 1_000, "the node never uses the list of the restarted agent");
                body = Site.ask(client, Http.page("t" + i)).body();
            }
        }
    }
}
