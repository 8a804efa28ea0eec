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

/** What a journal of many orders costs: to write, to take up after a crash, to ask and to check. */
public final class JournalBench {
    /** Orders that are under way at a time; the last of them stay open. */
    private static final int AT_A_TIME = 500;

    private static final long PATIENCE_MS = 60_000;

    private final int orders;
    private final PrintStream out;

    /**
     * A run.
     *
     * @param orders how many; the last 500 are left open, as a crash leaves them
     */
    public JournalBench(int orders, PrintStream out) {
        this.orders = orders;
        this.out = out;
    }

    /** An order of a few bytes. */
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

    /** Writes a journal in a folder of its own, measures, prints, and takes the folder away. */
    public void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("kitemux-journal");
        try {
            Path journal = folder.resolve("orders");
            OrderSettings how = new OrderSettings(
                    journal, JournalWriter.SyncPolicy.NEVER, 1, PATIENCE_MS, 4 << 20, 24, 0, 0, Set.of());
            out.printf(
                    Locale.ROOT,
                    "%d orders, Java %s, heap of at most %d MB%n",
                    orders,
                    System.getProperty("java.version"),
                    Runtime.getRuntime().maxMemory() >> 20);
            timed("written, four entries each, no sync", () -> fill(how));
            long bytes = 0;
            try (Stream<Path> files = Files.list(journal)) {
                for (Path file : files.toList()) {
                    bytes += Files.size(file);
                }
            }
            out.printf(Locale.ROOT, "%-44s %9.1f MB%n", "on disk", bytes / 1e6);
            timed(
                    "taken up after a crash",
                    () -> OrderJournal.open(how, new WallTime(), Runnable::run, line -> out.println("  " + line))
                            .close());
            JournalReader reader = OrderJournal.reader(journal);
            String one = "order-" + orders / 2;
            timed("asked for one by its id", () -> {
                int[] found = new int[1];
                reader.findHistories(Set.of(one), Set.of(), Set.of(), taken -> true, story -> found[0]++);
                if (found[0] != 1) {
                    throw new IOException(one + " is found " + found[0] + " times");
                }
            });
            timed("all read", () -> {
                int[] found = new int[1];
                reader.forEachHistory(taken -> true, story -> found[0]++);
                if (found[0] != orders) {
                    throw new IOException(found[0] + " of " + orders + " are found");
                }
            });
            timed("every byte checked", () -> {
                List<String> faults = reader.verify().faults();
                if (!faults.isEmpty()) {
                    throw new IOException(faults.get(0));
                }
            });
        } finally {
            Processes.deleteAll(folder);
        }
    }

    private void fill(OrderSettings how) throws IOException, InterruptedException {
        Settings settings = new Settings();
        settings.classes.add(new RequestClass("order", 1, 0, 2, 1, 0, RetrySafety.UNSAFE, null, 0, false));
        WallTime time = new WallTime();
        // What is told is told on the writer's thread: it only counts, and nothing here has a loop.
        OrderJournal open = OrderJournal.open(how, time, Runnable::run, line -> {});
        OrderRecorder<Order> keeper = open.recorder(how, settings, time);
        for (int at = 0; at < orders; at += AT_A_TIME) {
            int until = Math.min(orders, at + AT_A_TIME);
            CountDownLatch written = new CountDownLatch(until - at);
            for (int i = at; i < until; i++) {
                byte[] body = ("body " + i).getBytes(StandardCharsets.US_ASCII);
                Order order = new Order("order-" + i, List.of(body));
                keeper.onRequestAccepted(i, order);
                keeper.admit(
                        i, order, 0, "box-1", () -> "127.0.0.1:8080", time.nowUs(), durable -> written.countDown());
            }
            written.await();
            for (int i = at; i < until; i++) {
                if (until < orders) {
                    keeper.onAttemptEnded(i, 0, Result.OK);
                    keeper.onRequestAnswered(i, Observer.RequestOutcome.SERVED);
                }
                keeper.onRequestReleased(i);
            }
        }
        open.close();
    }

    /** A step of a run. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void timed(String what, Step step) throws IOException, InterruptedException {
        long began = System.nanoTime();
        step.run();
        out.printf(Locale.ROOT, "%-44s %9.3f s%n", what, (System.nanoTime() - began) / 1e9);
    }
}
