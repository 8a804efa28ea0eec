package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the operators' calls to a node's management address. */
class OperatorsTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

    @TempDir
    Path folder;

    private Site site() throws IOException {
        return sharingFolder(Site.quiet());
    }

    private Site sharingFolder(Site site) {
        site.operators = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        site.folder = folder;
        return site;
    }

    private static Map<String, Long> metrics(Site site) throws IOException {
        Map<String, Long> metrics = new HashMap<>();
        for (String line : site.call("GET", "/ops/stats").body().split("\n")) {
            assertNull(
                    metrics.put(
                            line.substring(0, line.indexOf('=')),
                            Long.parseLong(line.substring(line.indexOf('=') + 1))),
                    line);
        }
        return metrics;
    }

    private static void awaitDisabledServers(long count, Site site) {
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            while (metrics(site).get("node.targets_disabled") != count) {
                Thread.onSpinWait();
            }
        });
    }

    /** What a client does not take shows in the figures, and only while it is held. */
    @Test
    void metricsReportWhatBuffersHold() throws Exception {
        String body = "y".repeat(16 << 20);
        try (ScriptedServer server = ScriptedServer.serving(body);
                Site site = site().start(server)) {
            assertEquals(0, metrics(site).get("node.buffers.unsent_bytes"));
            Socket client = site.connect();
            Site.write(client, Http.page("/api/long", "t", "4000m"));
            assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
                while (metrics(site).get("node.buffers.unsent_bytes") == 0) {
                    Thread.onSpinWait();
                }
            });
            assertTrue(metrics(site).get("node.buffers.direct_bytes") > 0);
            assertEquals(body, Http.read(client.getInputStream()).body());
            assertEquals(0, metrics(site).get("node.buffers.unsent_bytes"));
            assertEquals(0, metrics(site).get("node.buffers.response_bytes"));
            assertEquals(0, metrics(site).get("node.buffers.request_bytes"));
        }
    }

    // ---------------------------------------------------------------- servers drained by hand

    @Test
    void drainedServerReceivesNoNewRequestsUntilRestored() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            assertEquals(200, site.ask(Http.page("before")).status());
            assertEquals(200, site.call("POST", "/ops/servers/down/s0").status());
            assertEquals(200, site.call("POST", "/ops/servers/down/s0").status());
            assertEquals(503, site.ask(Http.page("out")).status());
            assertEquals(1, server.requests.size());
            assertEquals(1, metrics(site).get("node.targets_disabled"));
            assertEquals(200, site.call("POST", "/ops/servers/up/s0").status());
            assertEquals(0, metrics(site).get("node.targets_disabled"));
            // The restored server counts as cold, so the request waits a little.
            assertEquals(200, site.ask(Http.page("/api/back", "back", "4000m")).status());
            assertEquals(2, server.requests.size());
        }
    }

    @Test
    void drainedServerAnswersInFlightRequestsAndNewOnesGoElsewhere() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer first = ScriptedServer.servingFrom(answer, "late");
                ScriptedServer second = ScriptedServer.serving("other");
                Site site = site().start(first, second)) {
            assertEquals(200, site.call("POST", "/ops/servers/down/s1").status());
            Socket client = site.connect();
            Site.write(client, Http.page("/api/held", "held", "4000m"));
            ScriptedServer.next(first.requests);
            assertEquals(200, site.call("POST", "/ops/servers/down/s0").status());
            answer.countDown();
            // Requests in flight are still answered: a drained server only receives no new ones.
            assertEquals("late", Http.read(client.getInputStream()).body());
            assertEquals(200, site.call("POST", "/ops/servers/up/s1").status());
            assertEquals(
                    "other", site.ask(Http.page("/api/new", "new", "4000m")).body());
        }
    }

    @Test
    void nextProcessKeepsServersDrained() throws Exception {
        try (ScriptedServer out = ScriptedServer.serving("out");
                ScriptedServer in = ScriptedServer.serving("in")) {
            try (Site first = site().start(out, in)) {
                assertEquals(200, first.call("POST", "/ops/servers/down/s0").status());
                first.node.close();
            }
            try (Site second = site()) {
                second.start(out, in);
                for (int i = 0; i < 20; i++) {
                    assertEquals("in", second.ask(Http.page("t" + i)).body());
                }
                second.node.close();
            }
        }
    }

    // Guards against an operators' change that ends the calls of discovery: one that came between a failed call and the
    // next was taken for discovery's answer, no call was due any more, and the node heard of no drain again.
    @ParameterizedTest
    @CsvSource({"down,false", "up,false", "down,true"})
    void operatorsChangeDuringAnOutageOfDiscoveryLeavesItsCallsDue(String call, boolean heardFromAnotherProcess)
            throws Exception {
        AtomicBoolean outage = new AtomicBoolean();
        ScriptedServer discovery = new ScriptedServer((request, peer) -> {
            if (outage.get()) {
                peer.reset();
            } else {
                peer.write(Site.watchHead());
            }
        });
        try (ScriptedServer draining = ScriptedServer.serving("draining");
                ScriptedServer ready = ScriptedServer.serving("ready");
                ScriptedServer other = ScriptedServer.serving("other");
                Site site = sharingFolder(new Site(discovery)).start(draining, ready, other);
                Site anotherProcess = site().start(draining, ready, other)) {
            if (call.equals("up")) {
                assertEquals(200, site.call("POST", "/ops/servers/down/s2").status());
            }
            ScriptedServer.next(discovery.requests);
            ScriptedServer.Peer watch = ScriptedServer.next(discovery.answeredPeers);
            outage.set(true);
            watch.reset();
            // The waits between failed calls grow, so that the change comes within one.
            for (int failures = 0; failures < 4; failures++) {
                ScriptedServer.next(discovery.requests);
            }
            Site called = heardFromAnotherProcess ? anotherProcess : site;
            assertEquals(
                    200, called.call("POST", "/ops/servers/" + call + "/s2").status());
            awaitDisabledServers(call.equals("down") ? 1 : 0, site);
            discovery.answeredPeers.clear();
            outage.set(false);
            ScriptedServer.next(discovery.answeredPeers)
                    .write(Site.chunk(Site.list(2, false, "s0=" + draining.endpoint() + "=Terminating") + "\n"));
            awaitDisabledServers(call.equals("down") ? 2 : 1, site);
            draining.requests.clear();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200, site.ask(Http.page("/api/page", "t" + i, "4000m")).status());
            }
            assertEquals(0, draining.requests.size(), "requests to a server that drains");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST,/ops/servers/down/nobody,404",
        "POST,/ops/servers/up/nobody,404",
        "POST,/ops/servers/down/%zz,400",
        "GET,/ops/servers/down/s0,405",
        "POST,/ops/stats,405",
        "GET,/ops,404",
        "POST,/ops/drain/pause,404",
        "GET,/up,404"
    })
    void invalidCallIsRejected(String method, String path, int status) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            assertEquals(status, site.call(method, path).status());
            assertEquals(200, site.ask(Http.page("t")).status(), "the call must change nothing");
        }
    }

    // ---------------------------------------------------------------- clients drained

    @Test
    void clientsAreDrainedAndAcceptedAgain() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "late");
                Site site = site().start(server)) {
            Socket held = site.connect();
            Site.write(held, Http.page("/api/held", "held", "5000m"));
            ScriptedServer.next(server.requests);
            Socket idle = site.connect();
            assertEquals(200, Site.ask(idle, UP).status());
            Socket silent = site.connect();
            assertEquals(200, site.call("GET", "/ops/readiness").status());
            assertEquals(200, site.call("POST", "/ops/drain/start").status());
            assertEquals(503, site.call("GET", "/ops/readiness").status());
            Http.Message up = site.ask(UP);
            assertEquals(503, up.status());
            assertEquals("close", up.headers().get("connection"));
            assertEquals(-1, idle.getInputStream().read(), "idle connections are closed");
            assertEquals(-1, silent.getInputStream().read(), "also connections without any request");
            answer.countDown();
            Http.Message last = Http.read(held.getInputStream());
            assertEquals("late", last.body());
            assertEquals("close", last.headers().get("connection"));
            // Requests that still arrive are served.
            assertEquals("late", site.ask(Http.page("stray")).body());
            assertEquals(200, site.call("POST", "/ops/drain/stop").status());
            Socket client = site.connect();
            Http.Message back = Site.ask(client, UP);
            assertEquals(200, back.status());
            assertFalse(back.headers().containsKey("connection"));
            assertEquals("late", Site.ask(client, Http.page("after")).body());
        }
    }

    // ---------------------------------------------------------------- metrics

    @Test
    void metricsCountRequestsByClassAndOutcome() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    if (request.path().contains("held")) {
                        try {
                            answer.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                    }
                    peer.write(request.path().contains("order") ? Http.answer("500 No", "", "") : Http.ok("x"));
                });
                Site site = site().start(server)) {
            assertEquals(200, site.ask(Http.page("a")).status());
            assertEquals(200, site.ask(Http.page("b")).status());
            assertEquals(502, site.ask(Http.order("c", "4000m")).status());
            Socket held = site.connect();
            Site.write(held, Http.page("/api/held", "d", "5000m"));
            for (int i = 0; i < 4; i++) {
                ScriptedServer.next(server.requests);
            }
            Map<String, Long> metrics = metrics(site);
            assertEquals(2, metrics.get("node.replies.page.success"));
            assertEquals(0, metrics.get("node.replies.page.overload"));
            assertEquals(1, metrics.get("node.replies.order.error"));
            assertEquals(0, metrics.get("node.replies.photo.success"));
            assertEquals(4, metrics.get("node.dispatches"));
            assertEquals(1, metrics.get("node.concurrent"));
            assertEquals(1, metrics.get("node.targets"));
            assertEquals(0, metrics.get("node.targets_disabled"));
            answer.countDown();
            assertEquals("x", Http.read(held.getInputStream()).body());
            assertEquals(200, site.call("POST", "/ops/servers/down/s0").status());
            assertEquals(503, site.ask(Http.page("e")).status());
            metrics = metrics(site);
            assertEquals(1, metrics.get("node.replies.page.overload"));
            assertEquals(3, metrics.get("node.replies.page.success"));
            assertEquals(0, metrics.get("node.concurrent"));
        }
    }

    @Test
    void requestsRejectedForLackOfDescriptorsCountAsOverload() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.servingFrom(answer, "x");
                Site site = site()) {
            site.sockets = 128;
            site.start(server);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                clients.add(site.connect());
                Site.write(clients.get(i), Http.page("/api/p", "t" + i, "5000m"));
            }
            answer.countDown();
            long refused = 0;
            for (Socket client : clients) {
                refused += Http.read(client.getInputStream()).status() == 503 ? 1 : 0;
            }
            assertTrue(refused > 0, "some requests must be rejected");
            assertEquals(refused, metrics(site).get("node.replies.page.overload"));
        }
    }

    // ---------------------------------------------------------------- callers

    @Test
    void incompleteCallsDoNotBlockOtherCallers() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                silent.add(site.callers());
                Site.write(silent.get(i), "POST /ops/drain/start HTTP/1.1\r\nHost: ops\r\n");
            }
            assertEquals(200, site.call("GET", "/ops/readiness").status());
            assertEquals(-1, silent.get(0).getInputStream().read(), "the oldest connection is closed");
            assertEquals(200, site.ask(UP).status(), "an incomplete call has no effect");
        }
    }

    @Test
    void fragmentedCallWithBodyGetsOneResponse() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            Socket caller = site.callers();
            for (String piece : List.of(
                    "PO",
                    "ST /ops/dra",
                    "in/start?x=1 HTTP/1.1\r",
                    "\nHost: o\r\n",
                    "Content-Length: 3\r\n\r\n",
                    "ab")) {
                Site.write(caller, piece);
            }
            assertEquals(200, site.ask(UP).status(), "the call must not run before its last byte");
            Site.write(caller, "cPOST /ops/drain/stop HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
            assertEquals(200, Http.read(caller.getInputStream()).status());
            assertEquals(-1, caller.getInputStream().read(), "a connection serves one call");
            assertEquals(503, site.ask(UP).status());
        }
    }

    @Test
    void invalidHttpIsRejected() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            Socket caller = site.callers();
            Site.write(caller, "\u0000\u0001 what\r\n\r\n");
            assertEquals(400, Http.read(caller.getInputStream()).status());
            assertTrue(site.call("GET", "/ops/stats").body().contains("node.targets=1\n"));
        }
    }

    @Test
    void stalledLoopAnswersOnceItResumes() throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                Site site = site().start(server)) {
            CountDownLatch resume = new CountDownLatch(1);
            CountDownLatch stalled = new CountDownLatch(1);
            site.loop.execute(() -> {
                stalled.countDown();
                try {
                    resume.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            assertTrue(stalled.await(20, TimeUnit.SECONDS));
            Socket caller = site.callers();
            Site.write(caller, "POST /ops/servers/down/s0 HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
            resume.countDown();
            assertEquals(200, Http.read(caller.getInputStream()).status());
        }
    }
}
