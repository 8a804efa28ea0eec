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

class SharedFolderTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress(InetAddress.getLoopbackAddress(), 8000);

    @TempDir
    Path tmp;

    private final BlockingQueue<Map<String, Long>> told = new LinkedBlockingQueue<>();

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "nothing was told");
        return next;
    }

    /** Why it could not be done, or null, and not before the listener has been told. */
    private static String set(SharedFolder folder, String id, boolean out) throws InterruptedException {
        BlockingQueue<Optional<String>> done = new LinkedBlockingQueue<>();
        folder.set(id, out, fault -> done.add(Optional.ofNullable(fault)));
        return next(done).orElse(null);
    }

    @Test
    void whatOneProcessTakesOutTheNextFinds() throws Exception {
        String odd = "../a b/\u00e9%2f";
        try (SharedFolder first = new SharedFolder(tmp, LISTEN, told::add)) {
            assertNull(set(first, odd, true));
            assertEquals(Set.of(odd), told.poll().keySet());
            assertNull(set(first, "s1", true));
            assertNull(set(first, "s1", true));
        }
        try (SharedFolder second = new SharedFolder(tmp, LISTEN, told::add)) {
            assertEquals(Set.of(odd, "s1"), second.atFirst().keySet());
            assertNull(set(second, odd, false));
            assertNull(set(second, odd, false));
        }
        try (SharedFolder third = new SharedFolder(tmp, LISTEN, told::add)) {
            assertEquals(Set.of("s1"), third.atFirst().keySet());
        }
    }

    @Test
    void twoThatOverlapHearOfEachOthersChangesAndTakeNoneBack() throws Exception {
        BlockingQueue<Map<String, Long>> toSecond = new LinkedBlockingQueue<>();
        try (SharedFolder first = new SharedFolder(tmp, LISTEN, told::add);
                SharedFolder second = new SharedFolder(tmp, LISTEN, toSecond::add)) {
            second.watch();
            assertNull(set(first, "a", true));
            assertEquals(Set.of("a"), next(toSecond).keySet());
            assertNull(set(second, "b", true));
            assertNull(set(first, "a", false));
            Map<String, Long> last = next(toSecond);
            while (!last.keySet().equals(Set.of("b"))) {
                last = next(toSecond);
            }
        }
    }

    @Test
    void nodesAtOtherAddressesKeepTheirOwn() throws Exception {
        try (SharedFolder here = new SharedFolder(tmp, LISTEN, told::add);
                SharedFolder there = new SharedFolder(
                        tmp, new InetSocketAddress(InetAddress.getByName("127.0.0.2"), 8000), told::add)) {
            assertNull(set(here, "a", true));
            assertNull(set(there, "b", true));
            assertEquals(Set.of("a"), told.poll().keySet());
            assertEquals(Set.of("b"), told.poll().keySet());
        }
    }

    @Test
    void whoServesLastHasReplacedAllOthers() throws Exception {
        BlockingQueue<IOException> failed = new LinkedBlockingQueue<>();
        try (SharedFolder first = new SharedFolder(tmp, LISTEN, told::add);
                SharedFolder second = new SharedFolder(tmp, LISTEN, told::add)) {
            first.serves(failed::add);
            set(first, "a", true);
            assertFalse(first.isReplaced());
            second.serves(failed::add);
            set(second, "a", false);
            assertTrue(first.isReplaced());
            assertFalse(second.isReplaced());
        }
        assertTrue(failed.isEmpty());
    }

    @Test
    void whatCannotBeKeptIsSaidAndChangesNothing() throws Exception {
        try (SharedFolder folder = new SharedFolder(tmp, LISTEN, told::add)) {
            Path kept;
            try (Stream<Path> all = Files.list(tmp)) {
                kept = all.findFirst().orElseThrow();
            }
            Files.delete(kept);
            assertNotNull(set(folder, "a", true));
            assertTrue(told.isEmpty());
        }
    }
}
