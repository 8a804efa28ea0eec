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
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
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
