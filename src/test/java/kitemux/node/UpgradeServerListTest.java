package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import kitemux.engine.Log;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a new process of an upgrade that knows less than the old one: during an outage of discovery it sent requests
 * to servers that the old one had been told drain or are gone.
 */
@Timeout(60)
class UpgradeServerListTest {
    private static final int REQUEST_COUNT = 20;
    private static final long POLL_INTERVAL_MS = 20;

    @TempDir
    Path folder;

    private final AtomicBoolean isDown = new AtomicBoolean();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private ScriptedServer discovery;
    private ScriptedServer changed;
    private ScriptedServer other;

    @BeforeEach
    void open() throws IOException {
        discovery = new ScriptedServer((request, peer) ->
                peer.write(isDown.get() ? "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n" : Site.watchHead()));
        changed = ScriptedServer.serving("changed");
        other = ScriptedServer.serving("other");
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        changed.close();
        other.close();
    }

    private Site process() {
        Site site = new Site(discovery);
        site.operators = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        site.folder = folder;
        site.log = new Log() {
            @Override
            public void info(String text) {
                lines.add(text);
            }

            @Override
            public void error(String context, Throwable cause) {
                lines.add(context + ": " + cause);
            }
        };
        return site;
    }

    private String list(int revision, boolean all, String state) {
        return Site.list(revision, all, "s0=" + changed.endpoint() + "=" + state, "s1=" + other.endpoint() + "=Ready");
    }

    private Path sharedList() {
        return folder.resolve("kitemux-127.0.0.1-0").resolve("servers");
    }

    private static void await(Callable<Boolean> condition) {
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            while (!condition.call()) {
                // Each look may take a connection.
                Site.parkFor(POLL_INTERVAL_MS);
            }
        });
    }

    private void tellAndAwaitShared(ScriptedServer.Peer watch, String list) throws IOException {
        watch.write(Site.chunk(list + "\n"));
        String revision = list.substring(0, list.indexOf(",\"all\"")).replace("{", "");
        await(() -> Files.exists(sharedList()) && Files.readString(sharedList()).contains(revision + ","));
    }

    /** Tells the first process, and has discovery go down; returns the process. */
    private Site toldBeforeOutage(String... lists) throws Exception {
        Site first = process().start(changed, other);
        ScriptedServer.Peer watch = ScriptedServer.next(discovery.answeredPeers);
        for (String list : lists) {
            tellAndAwaitShared(watch, list);
        }
        isDown.set(true);
        watch.reset();
        return first;
    }

    /** Sends requests to a process and returns how many of them the changed server gets. */
    private int requestsToChanged(Site site) throws IOException {
        changed.requests.clear();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals(200, site.ask(Http.page("/api/page", "t" + i, "4000m")).status());
        }
        return changed.requests.size();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone", "left out"})
    void newProcessUsesNoServerThatTheOldOneWasToldEnds(String change) throws Exception {
        String list = change.equals("left out")
                ? Site.list(2, true, "s1=" + other.endpoint() + "=Ready")
                : list(2, false, change);
        try (Site first = toldBeforeOutage(list);
                Site second = process().start(changed, other);
                Site third = process().start(changed, other)) {
            assertEquals(0, requestsToChanged(first));
            assertEquals(0, requestsToChanged(second));
            assertEquals(0, requestsToChanged(third));
        }
    }

    @Test
    void newProcessUsesServerThatCameBackBeforeTheOutage() throws Exception {
        try (Site first = toldBeforeOutage(list(2, false, "Terminating"), list(3, false, "Ready"));
                Site second = process().start(changed, other)) {
            assertTrue(requestsToChanged(first) > 0);
            assertTrue(requestsToChanged(second) > 0);
        }
    }

    @Test
    void newerListOfTheConfigurationWins() throws Exception {
        try (Site first = toldBeforeOutage(list(2, false, "Terminating"));
                Site second = process().startKnowing(list(3, true, "Ready"))) {
            assertEquals(0, requestsToChanged(first));
            assertTrue(requestsToChanged(second) > 0);
        }
    }

    /** In an overlap each process hears what the other one is told, and the answers that are due stay due. */
    @Test
    void newsReachesTheOtherProcessDuringTheOverlap() throws Exception {
        try (Site first = process().start(changed, other);
                Site second = process().start(changed, other)) {
            ScriptedServer.Peer oneWatch = ScriptedServer.next(discovery.answeredPeers);
            ScriptedServer.Peer otherWatch = ScriptedServer.next(discovery.answeredPeers);
            tellAndAwaitShared(oneWatch, list(2, false, "Terminating"));
            for (Site site : new Site[] {first, second}) {
                await(() -> site.call("GET", "/ops/stats").body().contains("node.targets_disabled=1\n"));
                assertEquals(0, requestsToChanged(site));
            }
            // What the other watch brings later is as old as its revision says.
            otherWatch.write(Site.chunk(list(3, false, "Ready") + "\n"));
            for (Site site : new Site[] {first, second}) {
                await(() -> site.call("GET", "/ops/stats").body().contains("node.targets_disabled=0\n"));
                assertTrue(requestsToChanged(site) > 0);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "kitemux-shared 0 2 3\n{}", "{\"rev\":2}", "torn", "not JSON", "folder"})
    void unusableFileCostsALogLineAndNoStart(String content) throws Exception {
        String list = list(2, false, "Terminating");
        try (Site first = toldBeforeOutage(list)) {
            first.node.close();
            byte[] whole = Files.readAllBytes(sharedList());
            Files.delete(sharedList());
            if (content.equals("folder")) {
                Files.createDirectory(sharedList());
            } else if (content.equals("torn")) {
                Files.write(sharedList(), Arrays.copyOf(whole, whole.length - 1));
            } else {
                Files.write(sharedList(), content.getBytes(StandardCharsets.UTF_8));
            }
            lines.clear();
            try (Site second = process().start(changed, other)) {
                assertTrue(requestsToChanged(second) > 0, "the list of the configuration is used");
                assertEquals(
                        1,
                        lines.stream()
                                .filter(line -> line.startsWith("shared state: "))
                                .count(),
                        lines::toString);
            }
        }
    }
}
