package kitemux.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import kitemux.disk.MemoryDisk;
import kitemux.engine.RequestInfo;
import kitemux.engine.Observer;
import kitemux.engine.Clock;
import org.junit.jupiter.api.Test;

/** Which requests a journal holds, and what becomes of a send whose record is late. */
class OrderRecorderTest {
    /** Asked for by a test. */
    private record Ask(int classIndex, String txn, List<byte[]> body) implements RequestInfo {
        Ask(int classIndex) {
            this(classIndex, "t" + classIndex, List.of(new byte[] {4}, new byte[] {5}));
        }

        @Override
        public int tenant() {
            return -1;
        }

        @Override
        public long remainingUs() {
            return 1_000_000;
        }

        @Override
        public long workUs() {
            return 0;
        }

        @Override
        public boolean isRetry() {
            return false;
        }

        @Override
        public String key() {
            return "cart";
        }

        @Override
        public String idempotencyKey() {
            return classIndex == 1 ? "k" : null;
        }
    }

    private final Settings settings = new Settings();
    private final MemoryDisk disk = new MemoryDisk();
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final Queue<Runnable> timers = new ArrayDeque<>();
    private final List<Boolean> gate = new ArrayList<>();

    private final Clock time = new Clock() {
        @Override
        public long nowUs() {
            return 50;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            timers.add(task);
            return () -> timers.remove(task);
        }
    };

    private JournalWriter log;

    private OrderRecorder<Ask> keeper(Set<String> more) throws Exception {
        for (RetrySafety repeat : List.of(RetrySafety.SAFE, RetrySafety.KEYED, RetrySafety.UNSAFE)) {
            settings.classes.add(new RequestClass(repeat.name(), 1, 0, 2, 1, 0, repeat, DedupScope.ALL, 1, false));
        }
        log = JournalWriter.start(
                failed -> Journal.open(
                        disk, new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0), () -> 50, () -> 3, line -> {}),
                JournalWriter.SyncPolicy.EACH,
                1,
                loop::add,
                line -> {});
        return new OrderRecorder<>(
                settings,
                time,
                log,
                1,
                new OrderSettings(Path.of("x"), JournalWriter.SyncPolicy.EACH, 1, 100, 1 << 20, 1, 0, 0, more));
    }

    private List<String> kept() throws Exception {
        log.close();
        List<String> kept = new ArrayList<>();
        new JournalReader(disk)
                .forEachHistory(taken -> true, story -> kept.add(story.accepted().orderId() + " " + story.state(false)));
        return kept;
    }

    private void play(OrderRecorder<Ask> keeper, int classIndex) throws Exception {
        Ask ask = new Ask(classIndex);
        long id = 10 + classIndex;
        keeper.onRequestAccepted(id, ask);
        keeper.admit(id, ask, 0, "s", () -> "127.0.0.1:1", 99, gate::add);
        while (gate.isEmpty()) {
            loop.poll(20, TimeUnit.SECONDS).run();
        }
        assertEquals(List.of(true), gate);
        gate.clear();
        keeper.onAttemptEnded(id, 0, Result.OK);
        keeper.onRequestAnswered(id, Observer.RequestOutcome.SERVED);
        keeper.onRequestReleased(id);
    }

    @Test
    void bodiesThatWaitForALateWriterAreBoundedAndNoneIsLostForIt() throws Exception {
        OrderRecorder<Ask> keeper = keeper(Set.of());
        CountDownLatch stands = new CountDownLatch(1);
        log.append(() -> {
            try {
                stands.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new Entry.Accepted(0, 50, "first", "UNSAFE", "", "", "", 0, Digest.of(new byte[0]));
        });
        byte[] alone = new byte[(int) OrderRecorder.MAX_PENDING_BODY_BYTES + 1];
        keeper.onRequestAccepted(1, new Ask(2, "alone", List.of(alone)));
        assertEquals(alone.length, keeper.pendingBodyBytes(), "one by itself is never the loop's work");
        for (int i = 0; i < 5; i++) {
            keeper.onRequestAccepted(2 + i, new Ask(2, "more" + i, List.of(new byte[1 << 20])));
            assertEquals(alone.length, keeper.pendingBodyBytes(), "beyond it only digests are held");
        }
        stands.countDown();
        List<String> kept = kept();
        for (String order : List.of("alone", "more0", "more1", "more2", "more3", "more4")) {
            assertTrue(kept.stream().anyMatch(story -> story.startsWith(order + " ")), order + " of " + kept);
        }
        assertEquals(0, keeper.pendingBodyBytes());
    }

    @Test
    void onlyWhatMustNeverRunTwiceIsKept() throws Exception {
        OrderRecorder<Ask> keeper = keeper(Set.of());
        for (int c = 0; c < 3; c++) {
            play(keeper, c);
        }
        assertEquals(List.of("t2 ANSWERED"), kept());
        assertTrue(timers.isEmpty(), "a record that came in time leaves no timer");
    }

    @Test
    void otherClassesAreKeptWhereTheSettingsNameThem() throws Exception {
        OrderRecorder<Ask> keeper = keeper(Set.of("KEYED"));
        for (int c = 0; c < 3; c++) {
            play(keeper, c);
        }
        assertEquals(List.of("t1 ANSWERED", "t2 ANSWERED"), kept());
    }

    @Test
    void aRecordThatIsLateSendsNothingHoweverItEnds() throws Exception {
        OrderRecorder<Ask> keeper = keeper(Set.of());
        keeper.onRequestAccepted(7, new Ask(2));
        keeper.admit(7, new Ask(2), 0, "s", () -> "", 99, gate::add);
        timers.remove().run();
        assertEquals(List.of(false), gate);
        loop.poll(20, TimeUnit.SECONDS).run();
        assertEquals(List.of(false), gate, "told once");
        keeper.onAttemptEnded(7, 0, Result.MOOT);
        keeper.onRequestAnswered(7, Observer.RequestOutcome.REFUSED);
        keeper.onRequestReleased(7);
        assertEquals(List.of("t2 REFUSED"), kept());
        assertEquals(1, log.rejectedCommitCount());
    }
}
