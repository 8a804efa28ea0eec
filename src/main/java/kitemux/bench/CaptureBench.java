package kitemux.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import kitemux.Balancer.Result;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.load.CaptureWriter;
import kitemux.load.LoadSettings;

/**
 * Measures what capturing load costs the event loop: the time that an observer takes for the events of a request, compared
 * with one that does nothing, and the share of requests that the writer drops at fixed rates.
 */
public final class CaptureBench {
    private static final int ROUNDS = 7;
    private static final int REQUEST_COUNT = 1_000_000;
    private static final int PACED_REQUEST_COUNT = REQUEST_COUNT / 10;
    /** Rates of a busy node, and of more than one thread can serve, in requests per second. */
    private static final int[] RATES_PER_S = {20_000, 100_000};

    private static final int LARGE_RING_SIZE = 65_536;
    private static final int DEFAULT_RING_SIZE = 8_192;
    private static final int FILE_BYTES = 4 << 20;
    private static final int MAX_TOTAL_BYTES = 512 << 20;

    private final PrintStream out;

    /** Creates a benchmark that prints to this stream. */
    public CaptureBench(PrintStream out) {
        this.out = out;
    }

    /** Measures and prints the figures. It writes some hundred MB to a temporary folder and deletes it. */
    public void run() throws IOException {
        Path folder = Files.createTempDirectory("kitemux-capture");
        double[] idleNanos = new double[ROUNDS];
        double[] captureNanos = new double[ROUNDS];
        try {
            Clock clock = new SystemClock();
            LoadSettings settings = new LoadSettings(folder, LARGE_RING_SIZE, FILE_BYTES, MAX_TOTAL_BYTES);
            for (int round = 0; round < ROUNDS; round++) {
                idleNanos[round] = nanosPerRequest(Observer.NONE, clock, 0);
                try (CaptureWriter capture =
                        new CaptureWriter(settings, "n", List.of("page"), List.of(), clock::nowUs, out::println)) {
                    captureNanos[round] = nanosPerRequest(capture.recorder(clock), clock, 0);
                }
            }
            Arrays.sort(idleNanos);
            Arrays.sort(captureNanos);
            out.printf(
                    "ns a request, %d rounds of %d: observer that does nothing %.0f (%.0f to %.0f), "
                            + "capture %.0f (%.0f to %.0f)%n",
                    ROUNDS,
                    REQUEST_COUNT,
                    idleNanos[ROUNDS / 2],
                    idleNanos[0],
                    idleNanos[ROUNDS - 1],
                    captureNanos[ROUNDS / 2],
                    captureNanos[0],
                    captureNanos[ROUNDS - 1]);
            LoadSettings defaults = new LoadSettings(folder, DEFAULT_RING_SIZE, FILE_BYTES, MAX_TOTAL_BYTES);
            for (int rate : RATES_PER_S) {
                try (CaptureWriter capture =
                        new CaptureWriter(defaults, "n", List.of("page"), List.of(), clock::nowUs, out::println)) {
                    nanosPerRequest(capture.recorder(clock), clock, 1_000_000_000 / rate);
                    out.printf(
                            "at %d a second, ring of %d: %d of %d were left out%n",
                            rate, defaults.ring(), capture.unreportedDropCount(), PACED_REQUEST_COUNT);
                }
            }
        } finally {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    /** Returns the mean time for the events of a request, which are reported at this interval, or at once if it is 0. */
    private static double nanosPerRequest(Observer observer, Clock clock, long intervalNanos) {
        RequestInfo request = new PageRequest();
        int requestCount = intervalNanos == 0 ? REQUEST_COUNT : PACED_REQUEST_COUNT;
        long startNanos = System.nanoTime();
        for (long id = 1; id <= requestCount; id++) {
            while (intervalNanos > 0 && System.nanoTime() - startNanos < id * intervalNanos) {
                Thread.onSpinWait();
            }
            observer.onRequestAccepted(id, request);
            observer.onAttemptStarted(id, 0, "b7", clock.nowUs() + 500_000);
            observer.onAttemptEnded(id, 0, Result.OK);
            observer.onRequestAnswered(id, Observer.RequestOutcome.SERVED);
            observer.onRequestReleased(id);
        }
        return (System.nanoTime() - startNanos) / (double) requestCount;
    }

    private static final class PageRequest implements RequestInfo {
        @Override
        public String txn() {
            return "t";
        }

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
            return 500_000;
        }
    }
}
