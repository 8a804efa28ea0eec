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
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.disk.MemoryDisk;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import org.junit.jupiter.api.Test;

/** Tests which requests are recorded, the memory limit for bodies, and the time-out of commits. */
class OrderRecorderTest {
    private record TestRequest(int classIndex, String txn, List<byte[]> body) implements RequestInfo {
        TestRequest(int classIndex) {
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
    private final BlockingQueue<Runnable> eventLoop = new LinkedBlockingQueue<>();
    private final Queue<Runnable> timers = new ArrayDeque<>();
    private final List<Boolean> decisions = new ArrayList<>();

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

    private JournalWriter writer;

    private OrderRecorder<TestRequest> createRecorder(Set<String> recordedClasses) throws Exception {
        for (RetrySafety repeat : List.of(RetrySafety.SAFE, RetrySafety.KEYED, RetrySafety.UNSAFE)) {
            settings.classes.add(new RequestClass(repeat.name(), 1, 0, 2, 1, 0, repeat, DedupScope.ALL, 1, false));
        }
        writer = JournalWriter.start(
                failedJournal -> Journal.open(
                        disk, new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0), () -> 50, () -> 3, line -> {}),
                JournalWriter.SyncPolicy.EACH,
                1,
                eventLoop::add,
                line -> {});
        return new OrderRecorder<>(
                settings,
                time,
                writer,
                1,
                new OrderSettings(
                        Path.of("x"), JournalWriter.SyncPolicy.EACH, 1, 100, 1 << 20, 1, 0, 0, recordedClasses));
    }

    private List<String> readHistories() throws Exception {
        writer.close();
        List<String> histories = new ArrayList<>();
        new JournalReader(disk)
                .forEachHistory(
                        accepted -> true,
                        history -> histories.add(history.accepted().orderId() + " " + history.state(false)));
        return histories;
    }

    private void processRequest(OrderRecorder<TestRequest> recorder, int classIndex) throws Exception {
        TestRequest request = new TestRequest(classIndex);
        long id = 10 + classIndex;
        recorder.onRequestAccepted(id, request);
        recorder.admit(id, request, 0, "s", () -> "127.0.0.1:1", 99, decisions::add);
        while (decisions.isEmpty()) {
            eventLoop.poll(20, TimeUnit.SECONDS).run();
        }
        assertEquals(List.of(true), decisions);
        decisions.clear();
        recorder.onAttemptEnded(id, 0, Result.OK);
        recorder.onRequestAnswered(id, Observer.RequestOutcome.SERVED);
        recorder.onRequestReleased(id);
    }

    @Test
    void pendingBodiesAreBoundedAndNoOrderIsLost() throws Exception {
        OrderRecorder<TestRequest> recorder = createRecorder(Set.of());
        CountDownLatch writerReleased = new CountDownLatch(1);
        writer.append(() -> {
            try {
                writerReleased.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new Entry.Accepted(0, 50, "first", "UNSAFE", "", "", "", 0, Digest.of(new byte[0]));
        });
        byte[] largeBody = new byte[(int) OrderRecorder.MAX_PENDING_BODY_BYTES + 1];
        recorder.onRequestAccepted(1, new TestRequest(2, "alone", List.of(largeBody)));
        assertEquals(
                largeBody.length, recorder.pendingBodyBytes(), "the event loop does not digest a single pending body");
        for (int i = 0; i < 5; i++) {
            recorder.onRequestAccepted(2 + i, new TestRequest(2, "more" + i, List.of(new byte[1 << 20])));
            assertEquals(largeBody.length, recorder.pendingBodyBytes(), "beyond the limit only digests are held");
        }
        writerReleased.countDown();
        List<String> histories = readHistories();
        for (String orderId : List.of("alone", "more0", "more1", "more2", "more3", "more4")) {
            assertTrue(
                    histories.stream().anyMatch(history -> history.startsWith(orderId + " ")),
                    orderId + " of " + histories);
        }
        assertEquals(0, recorder.pendingBodyBytes());
    }

    @Test
    void onlyUnsafeClassesAreRecordedByDefault() throws Exception {
        OrderRecorder<TestRequest> recorder = createRecorder(Set.of());
        for (int c = 0; c < 3; c++) {
            processRequest(recorder, c);
        }
        assertEquals(List.of("t2 ANSWERED"), readHistories());
        assertTrue(timers.isEmpty(), "a commit in time cancels its timer");
    }

    @Test
    void classesNamedInTheSettingsAreRecorded() throws Exception {
        OrderRecorder<TestRequest> recorder = createRecorder(Set.of("KEYED"));
        for (int c = 0; c < 3; c++) {
            processRequest(recorder, c);
        }
        assertEquals(List.of("t1 ANSWERED", "t2 ANSWERED"), readHistories());
    }

    @Test
    void commitTimeoutRefusesTheSendEvenIfTheEntryBecomesDurable() throws Exception {
        OrderRecorder<TestRequest> recorder = createRecorder(Set.of());
        recorder.onRequestAccepted(7, new TestRequest(2));
        recorder.admit(7, new TestRequest(2), 0, "s", () -> "", 99, decisions::add);
        timers.remove().run();
        assertEquals(List.of(false), decisions);
        eventLoop.poll(20, TimeUnit.SECONDS).run();
        assertEquals(List.of(false), decisions, "the callback runs only once");
        recorder.onAttemptEnded(7, 0, Result.MOOT);
        recorder.onRequestAnswered(7, Observer.RequestOutcome.REFUSED);
        recorder.onRequestReleased(7);
        assertEquals(List.of("t2 REFUSED"), readHistories());
        assertEquals(1, writer.rejectedCommitCount());
    }
}
