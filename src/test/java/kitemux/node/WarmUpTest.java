package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Tests the warm-up of a starting process. */
class WarmUpTest {

    @Test
    void requestsAreServedWithoutCallingDiscovery() throws Exception {
        try (Site site = Site.quiet()) {
            assertTrue(WarmUp.run(site.config(Site.list(1, true)), site.loop, new StderrLog()) > 0);
            assertEquals(0, site.discovery.connections.get());
        }
    }

    @Test
    void slowLoopStillServesAllRequests() throws Exception {
        try (Site site = Site.quiet()) {
            // Slows each iteration of the event loop, as on a fraction of a core.
            AtomicBoolean over = new AtomicBoolean();
            site.loop.execute(new Runnable() {
                @Override
                public void run() {
                    LockSupport.parkNanos(3_000_000);
                    if (!over.get()) {
                        site.loop.schedule(this, 1, TimeUnit.NANOSECONDS);
                    }
                }
            });
            long served = WarmUp.run(site.config(Site.list(1, true)), site.loop, new StderrLog());
            over.set(true);
            assertEquals(WarmUp.REQUEST_COUNT, served);
        }
    }

    @Test
    void closedNodeLeavesNoConnectionOpen() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            assertEquals(200, Site.ask(client, Http.page("t")).status());
            site.node.close();
            assertEquals(-1, client.getInputStream().read());
            ScriptedServer.next(server.disconnectedPeers);
            site.awaitNoneTaken();
        }
    }
}
