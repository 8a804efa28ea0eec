package kitemux.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.net.HostList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the state that processes of one node share through files. */
class SharedFolderTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress(InetAddress.getLoopbackAddress(), 8000);

    @TempDir
    Path stateFolder;

    private final BlockingQueue<Map<String, Long>> notifications = new LinkedBlockingQueue<>();

    private static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "no notification arrived");
        return next;
    }

    /** Drains or restores a server and returns the failure, or null. Returns after the listener has been notified. */
    private static String setDrained(SharedFolder folder, String id, boolean drained) throws InterruptedException {
        BlockingQueue<Optional<String>> results = new LinkedBlockingQueue<>();
        folder.setDrained(id, drained, error -> results.add(Optional.ofNullable(error)));
        return awaitNext(results).orElse(null);
    }

    @Test
    void nextProcessFindsDrainedServers() throws Exception {
        String unusualId = "../a b/\u00e9%2f";
        try (SharedFolder first = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            assertNull(setDrained(first, unusualId, true));
            assertEquals(Set.of(unusualId), notifications.poll().keySet());
            assertNull(setDrained(first, "s1", true));
            assertNull(setDrained(first, "s1", true));
        }
        try (SharedFolder second = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            assertEquals(Set.of(unusualId, "s1"), second.initiallyDrained().keySet());
            assertNull(setDrained(second, unusualId, false));
            assertNull(setDrained(second, unusualId, false));
        }
        try (SharedFolder third = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            assertEquals(Set.of("s1"), third.initiallyDrained().keySet());
        }
    }

    /** Guards against full load on a server that was restarted by hand right before an upgrade and is still cold. */
    @Test
    void nextProcessFindsWhenServersWereRestored() throws Exception {
        String longestId = "x".repeat(SharedFolder.MAX_ID_BYTES);
        long beforeUs = System.currentTimeMillis() * 1_000;
        try (SharedFolder first = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            assertNull(setDrained(first, longestId, true));
            assertNull(setDrained(first, longestId, false));
            assertNull(setDrained(first, "never out", false));
        }
        try (SharedFolder second = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            assertEquals(Set.of(longestId), second.initialPastDrains().keySet());
            DrainPeriod period = second.initialPastDrains().get(longestId);
            assertTrue(beforeUs <= period.sinceUs() + 1_000_000 && period.sinceUs() <= period.untilUs());
            ServerOverrides overrides = new ServerOverrides();
            overrides.addPastDrains(second.initialPastDrains());
            HostList list = overrides.apply(new HostList(
                    1,
                    true,
                    List.of(new HostList.Host(new ServerEntry(longestId, 0, 0, ServerState.READY, 1, 0), null))));
            assertEquals(period.untilUs(), list.hosts().get(0).entry().startedAtUs());
        }
    }

    @Test
    void foreignFilesAreReportedAndPassedOver() throws Exception {
        List<String> problems = new ArrayList<>();
        Path shared = stateFolder.resolve("kitemux-127.0.0.1-8000");
        Files.createDirectories(shared);
        Files.writeString(shared.resolve("out-%"), "");
        Files.writeString(shared.resolve("back-YQ"), "yesterday");
        Files.createDirectory(shared.resolve("back-YWE"));
        Files.writeString(shared.resolve("serving"), "nobody");
        Path abandoned = Files.writeString(shared.resolve("servers-x.new"), "half");
        Files.setLastModifiedTime(abandoned, FileTime.fromMillis(0));
        SharedFolder.Listener listener = new SharedFolder.Listener() {
            @Override
            public void onServersDrained(Map<String, Long> drainedSinceUs) {
                notifications.add(drainedSinceUs);
            }

            @Override
            public void onProblem(String problem) {
                problems.add(problem);
            }
        };
        try (SharedFolder folder = new SharedFolder(stateFolder, LISTEN, listener)) {
            assertEquals(Map.of(), folder.initiallyDrained());
            assertEquals(Map.of(), folder.initialPastDrains());
            assertFalse(folder.isReplaced());
            assertFalse(Files.exists(abandoned));
            assertNull(setDrained(folder, "a", true));
            assertEquals(Set.of("a"), notifications.poll().keySet());
        }
        assertTrue(problems.size() >= 3, problems::toString);
    }

    @Test
    void overlappingProcessesSeeAndKeepEachOthersChanges() throws Exception {
        BlockingQueue<Map<String, Long>> toSecond = new LinkedBlockingQueue<>();
        try (SharedFolder first = new SharedFolder(stateFolder, LISTEN, notifications::add);
                SharedFolder second = new SharedFolder(stateFolder, LISTEN, toSecond::add)) {
            second.startPolling();
            assertNull(setDrained(first, "a", true));
            assertEquals(Set.of("a"), awaitNext(toSecond).keySet());
            assertNull(setDrained(second, "b", true));
            assertNull(setDrained(first, "a", false));
            Map<String, Long> last = awaitNext(toSecond);
            while (!last.keySet().equals(Set.of("b"))) {
                last = awaitNext(toSecond);
            }
        }
    }

    @Test
    void nodesAtDifferentAddressesHaveSeparateState() throws Exception {
        try (SharedFolder here = new SharedFolder(stateFolder, LISTEN, notifications::add);
                SharedFolder there = new SharedFolder(
                        stateFolder,
                        new InetSocketAddress(InetAddress.getByName("127.0.0.2"), 8000),
                        notifications::add)) {
            assertNull(setDrained(here, "a", true));
            assertNull(setDrained(there, "b", true));
            assertEquals(Set.of("a"), notifications.poll().keySet());
            assertEquals(Set.of("b"), notifications.poll().keySet());
        }
    }

    @Test
    void lastServingProcessReplacesTheOthers() throws Exception {
        BlockingQueue<IOException> failed = new LinkedBlockingQueue<>();
        try (SharedFolder first = new SharedFolder(stateFolder, LISTEN, notifications::add);
                SharedFolder second = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            first.markServing(failed::add);
            setDrained(first, "a", true);
            assertFalse(first.isReplaced());
            second.markServing(failed::add);
            setDrained(second, "a", false);
            assertTrue(first.isReplaced());
            assertFalse(second.isReplaced());
        }
        assertTrue(failed.isEmpty());
    }

    @Test
    void failedWriteIsReportedAndChangesNothing() throws Exception {
        try (SharedFolder folder = new SharedFolder(stateFolder, LISTEN, notifications::add)) {
            Path kept;
            try (Stream<Path> all = Files.list(stateFolder)) {
                kept = all.findFirst().orElseThrow();
            }
            Files.delete(kept);
            assertNotNull(setDrained(folder, "a", true));
            assertTrue(notifications.isEmpty());
        }
    }
}
