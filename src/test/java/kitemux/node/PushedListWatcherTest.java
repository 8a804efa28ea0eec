package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import kitemux.discovery.PushedListWatcher;
import kitemux.engine.Clock;
import org.junit.jupiter.api.Test;

/** Lists that are pushed to an agent on the node's own machine, which only the node asks. */
class PushedListWatcherTest {

    /** Timers that run when the test says so. */
    private static final class HandTime implements Clock {
        final List<Long> waits = new ArrayList<>();
        Runnable task;

        @Override
        public long nowUs() {
            return 0;
        }

        @Override
        public Timer schedule(long us, Runnable what) {
            waits.add(us);
            task = what;
            return () -> task = null;
        }

        void pass() {
            Runnable now = task;
            task = null;
            now.run();
        }
    }

    @Test
    void theWatchIsOpenedAgainEachTimeItEndsAfterWaitsThatGrow() {
        HandTime time = new HandTime();
        int[] opened = new int[1];
        PushedListWatcher list = new PushedListWatcher(time, () -> opened[0]++, 7);
        list.start();
        for (int i = 0; i < 12; i++) {
            list.onFailure();
            // The same end told twice opens no second watch.
            list.onFailure();
            time.pass();
            assertEquals(i + 2, opened[0]);
        }
        assertEquals(12, time.waits.size());
        for (int i = 0; i < 12; i++) {
            long wait = Math.min(150_000, 50_000L << i);
            assertTrue(time.waits.get(i) >= wait / 2 && time.waits.get(i) < wait * 3 / 2, time.waits::toString);
        }
        list.onUpdate();
        list.onFailure();
        assertTrue(time.waits.get(12) < 75_000, time.waits::toString);
        list.stop();
        assertEquals(null, time.task);
        list.onFailure();
        assertEquals(13, time.waits.size(), "it goes on after its end");
    }

    @Test
    void aNodeFollowsTheAgentAlsoAfterItWasGone() throws Exception {
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
                assertTrue(i < 1_000, "it never hears of the other server");
                body = Site.ask(client, Http.page("t" + i)).body();
            }
        }
    }
}
