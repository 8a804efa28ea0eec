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
 * What capturing load costs the loop: nanoseconds for what an observer is told of one request, paired with an
 * observer that does nothing, and how much of it the writer keeps up with.
 */
public final class CaptureBench {
    private static final int ROUNDS = 7;
    private static final int REQUESTS = 1_000_000;
    /** Requests a second of a busy node, and of one far beyond what one thread serves. */
    private static final int[] RATES = {20_000, 100_000};

    private final PrintStream out;

    /** Prints to here. */
    public CaptureBench(PrintStream out) {
        this.out = out;
    }

    /** Runs it; writes some hundred MB to a folder of its own, which goes again. */
    public void run() throws IOException {
        Path folder = Files.createTempDirectory("kitemux-capture");
        double[] off = new double[ROUNDS];
        double[] on = new double[ROUNDS];
        try {
            Clock clock = new WallTime();
            LoadSettings settings = new LoadSettings(folder, 65_536, 4 << 20, 512 << 20);
            for (int round = 0; round < ROUNDS; round++) {
                off[round] = nanosEach(Observer.NONE, clock, 0);
                try (CaptureWriter capture =
                        new CaptureWriter(settings, "n", List.of("page"), List.of(), clock::nowUs, out::println)) {
                    on[round] = nanosEach(capture.recorder(clock), clock, 0);
                }
            }
            Arrays.sort(off);
            Arrays.sort(on);
            out.printf(
                    "ns a request, %d rounds of %d: observer that does nothing %.0f (%.0f to %.0f), "
                            + "capture %.0f (%.0f to %.0f)%n",
                    ROUNDS, REQUESTS, off[ROUNDS / 2], off[0], off[ROUNDS - 1], on[ROUNDS / 2], on[0], on[ROUNDS - 1]);
            LoadSettings standing = new LoadSettings(folder, 8_192, 4 << 20, 512 << 20);
            for (int rate : RATES) {
                try (CaptureWriter capture =
                        new CaptureWriter(standing, "n", List.of("page"), List.of(), clock::nowUs, out::println)) {
                    nanosEach(capture.recorder(clock), clock, 1_000_000_000 / rate);
                    out.printf(
                            "at %d a second, ring of %d: %d of %d were left out%n",
                            rate, standing.ring(), capture.unreportedDropCount(), REQUESTS / 10);
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

    private static double nanosEach(Observer observer, Clock clock, long eachNanos) {
        RequestInfo asked = new Page();
        int requests = eachNanos == 0 ? REQUESTS : REQUESTS / 10;
        long began = System.nanoTime();
        for (long id = 1; id <= requests; id++) {
            while (eachNanos > 0 && System.nanoTime() - began < id * eachNanos) {
                Thread.onSpinWait();
            }
            observer.onRequestAccepted(id, asked);
            observer.onAttemptStarted(id, 0, "b7", clock.nowUs() + 500_000);
            observer.onAttemptEnded(id, 0, Result.OK);
            observer.onRequestAnswered(id, Observer.RequestOutcome.SERVED);
            observer.onRequestReleased(id);
        }
        return (System.nanoTime() - began) / (double) requests;
    }

    private static final class Page implements RequestInfo {
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
