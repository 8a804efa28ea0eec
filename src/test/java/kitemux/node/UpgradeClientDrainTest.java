package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a drain of clients that ends with the process at which it was called: the new process of an upgrade took
 * clients although nobody had ended the drain.
 */
@Timeout(60)
class UpgradeClientDrainTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    /** Time in which the drain's end has to be told to the front. */
    private static final Duration END_TIMEOUT = Duration.ofSeconds(2);
    /** Time in which a drain that another process was told has to be in force. */
    private static final Duration START_TIMEOUT = Duration.ofSeconds(4);

    private static final long POLL_INTERVAL_MS = 20;

    @TempDir
    Path folder;

    private ScriptedServer server;

    @BeforeEach
    void open() throws IOException {
        server = ScriptedServer.serving("x");
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    private Site process() throws Exception {
        Site site = Site.quiet();
        site.operators = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        site.folder = folder;
        return site.start(server);
    }

    private static void call(Site site, String call) throws IOException {
        assertEquals(200, site.call("POST", "/ops/drain/" + call).status());
    }

    private static int up(Site site) throws IOException {
        return site.ask(UP).status();
    }

    private static int readiness(Site site) throws IOException {
        return site.call("GET", "/ops/readiness").status();
    }

    private static void awaitUp(int status, Duration timeout, Site... processes) {
        assertTimeoutPreemptively(timeout, () -> {
            for (Site process : processes) {
                while (up(process) != status) {
                    // Each look takes a connection.
                    Site.parkFor(POLL_INTERVAL_MS);
                }
            }
        });
    }

    @Test
    void drainOutlivesUpgradesUntilEitherProcessEndsIt() throws Exception {
        try (Site first = process()) {
            assertEquals(200, readiness(first));
            call(first, "start");
            assertEquals(503, up(first));
            assertEquals(503, readiness(first));
            try (Site second = process();
                    Site third = process()) {
                assertEquals(503, up(second));
                assertEquals(503, up(third));
                assertEquals(200, readiness(second), "who replaces a process waits for its successor's yes");
                assertEquals(200, readiness(third));
                assertEquals(200, third.ask(Http.page("stray")).status(), "who comes all the same is served");
                call(second, "stop");
                assertEquals(200, up(second));
                awaitUp(200, END_TIMEOUT, first, third);
                assertEquals(200, readiness(first));
            }
        }
    }

    @Test
    void drainAndItsEndReachTheOtherProcessOfAnOverlap() throws Exception {
        try (Site first = process();
                Site second = process()) {
            call(second, "start");
            assertEquals(503, up(second));
            awaitUp(503, START_TIMEOUT, first);
            assertEquals(200, readiness(second), "nobody has heard its yes before");
            call(first, "stop");
            awaitUp(200, END_TIMEOUT, first, second);
            call(first, "start");
            awaitUp(503, START_TIMEOUT, second);
            assertEquals(200, readiness(second));
        }
    }

    @Test
    void drainThatEndedBeforeTheUpgradeIsForgotten() throws Exception {
        try (Site first = process()) {
            call(first, "start");
            call(first, "start");
            call(first, "stop");
            try (Site second = process()) {
                assertEquals(200, up(second));
            }
        }
    }

    @Test
    void drainThatCannotBeKeptIsNotBegun() throws Exception {
        try (Site site = process()) {
            Path shared = folder.resolve("kitemux-127.0.0.1-0");
            assertTimeoutPreemptively(START_TIMEOUT, () -> {
                // The last file that a process writes by itself.
                while (!Files.exists(shared.resolve("serving"))) {
                    Site.parkFor(POLL_INTERVAL_MS);
                }
            });
            try (var files = Files.list(shared)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(shared);
            assertEquals(500, site.call("POST", "/ops/drain/start").status());
            assertEquals(200, up(site));
        }
    }
}
