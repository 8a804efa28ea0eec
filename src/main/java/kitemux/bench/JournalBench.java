package kitemux.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.orders.JournalReader;
import kitemux.orders.JournalWriter;
import kitemux.orders.OrderJournal;
import kitemux.orders.OrderRecorder;
import kitemux.orders.OrderSettings;

/** Measures an order journal: writing it, recovering it after a crash, querying and verifying it. */
public final class JournalBench {
    /** Number of orders that are in flight together; the last batch stays open. */
    private static final int BATCH_SIZE = 500;

    private static final long COMMIT_TIMEOUT_MS = 60_000;

    private final int orderCount;
    private final PrintStream out;

    /**
     * Creates a benchmark.
     *
     * @param orderCount number of orders; the last 500 stay open, as after a crash
     */
    public JournalBench(int orderCount, PrintStream out) {
        this.orderCount = orderCount;
        this.out = out;
    }

    /** An order with a short body. */
    private record Order(String txn, List<byte[]> body) implements RequestInfo {
        @Override
        public int classIndex() {
            return 0;
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
            return "cart-" + txn;
        }

        @Override
        public String idempotencyKey() {
            return null;
        }
    }

    /** Writes a journal in a temporary folder, measures, prints the figures, and deletes the folder. */
    public void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("kitemux-journal");
        try {
            Path journal = folder.resolve("orders");
            OrderSettings settings = new OrderSettings(
                    journal, JournalWriter.SyncPolicy.NEVER, 1, COMMIT_TIMEOUT_MS, 4 << 20, 24, 0, 0, Set.of());
            out.printf(
                    Locale.ROOT,
                    "%d orders, Java %s, heap of at most %d MB%n",
                    orderCount,
                    System.getProperty("java.version"),
                    Runtime.getRuntime().maxMemory() >> 20);
            measure("written, four entries each, no sync", () -> fill(settings));
            long bytes = 0;
            try (Stream<Path> files = Files.list(journal)) {
                for (Path file : files.toList()) {
                    bytes += Files.size(file);
                }
            }
            out.printf(Locale.ROOT, "%-44s %9.1f MB%n", "on disk", bytes / 1e6);
            measure(
                    "taken up after a crash",
                    () -> OrderJournal.open(
                                    settings, new SystemClock(), Runnable::run, line -> out.println("  " + line))
                            .close());
            JournalReader reader = OrderJournal.reader(journal);
            String wanted = "order-" + orderCount / 2;
            measure("asked for one by its id", () -> {
                int[] found = new int[1];
                reader.findHistories(Set.of(wanted), Set.of(), Set.of(), accepted -> true, history -> found[0]++);
                if (found[0] != 1) {
                    throw new IOException(wanted + " is found " + found[0] + " times");
                }
            });
            measure("all read", () -> {
                int[] found = new int[1];
                reader.forEachHistory(accepted -> true, history -> found[0]++);
                if (found[0] != orderCount) {
                    throw new IOException(found[0] + " of " + orderCount + " are found");
                }
            });
            measure("every byte checked", () -> {
                List<String> faults = reader.verify().faults();
                if (!faults.isEmpty()) {
                    throw new IOException(faults.get(0));
                }
            });
        } finally {
            ProcessStarter.deleteRecursively(folder);
        }
    }

    private void fill(OrderSettings orderSettings) throws IOException, InterruptedException {
        Settings settings = new Settings();
        settings.classes.add(new RequestClass("order", 1, 0, 2, 1, 0, RetrySafety.UNSAFE, null, 0, false));
        SystemClock clock = new SystemClock();
        // Callbacks run on the writer's thread, as there is no event loop.
        OrderJournal journal = OrderJournal.open(orderSettings, clock, Runnable::run, line -> {});
        OrderRecorder<Order> recorder = journal.recorder(orderSettings, settings, clock);
        for (int start = 0; start < orderCount; start += BATCH_SIZE) {
            int end = Math.min(orderCount, start + BATCH_SIZE);
            CountDownLatch written = new CountDownLatch(end - start);
            for (int i = start; i < end; i++) {
                byte[] body = ("body " + i).getBytes(StandardCharsets.US_ASCII);
                Order order = new Order("order-" + i, List.of(body));
                recorder.onRequestAccepted(i, order);
                recorder.admit(
                        i, order, 0, "box-1", () -> "127.0.0.1:8080", clock.nowUs(), durable -> written.countDown());
            }
            written.await();
            for (int i = start; i < end; i++) {
                if (end < orderCount) {
                    recorder.onAttemptEnded(i, 0, Result.OK);
                    recorder.onRequestAnswered(i, Observer.RequestOutcome.SERVED);
                }
                recorder.onRequestReleased(i);
            }
        }
        journal.close();
    }

    /** A measured step. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void measure(String description, Step step) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        step.run();
        out.printf(Locale.ROOT, "%-44s %9.3f s%n", description, (System.nanoTime() - startNanos) / 1e9);
    }
}
