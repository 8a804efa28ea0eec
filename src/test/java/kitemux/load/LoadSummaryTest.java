package kitemux.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kitemux.Balancer.Result;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import org.junit.jupiter.api.Test;

/** Tests recording requests and summarising the capture files of several nodes. */
class LoadSummaryTest {
    private static final long NOW_US = 1_790_000_000_000_000L;

    private static CaptureFile file(long id, String node, List<CapturedRequest> requests) {
        return new CaptureFile(id, node, NOW_US, List.of("page", "order"), List.of("a", "b"), requests, 0, "");
    }

    private static CapturedRequest request(
            long arrivedUs, int classIndex, boolean isRetry, Observer.RequestOutcome answer) {
        return new CapturedRequest(arrivedUs, classIndex, 0, isRetry, 500_000, List.of(), answer, 1_000);
    }

    private static RequestInfo incomingRequest(boolean isRetry, long agoUs) {
        return new RequestInfo() {
            @Override
            public String txn() {
                return "t";
            }

            @Override
            public int classIndex() {
                return 1;
            }

            @Override
            public int tenant() {
                return -1;
            }

            @Override
            public long remainingUs() {
                return 400_000;
            }

            @Override
            public long ageUs() {
                return agoUs;
            }

            @Override
            public boolean isRetry() {
                return isRetry;
            }
        };
    }

    // ---------------------------------------------------------------- recording

    @Test
    void requestIsRecordedOnceNoFurtherEventsFollow() {
        long[] nowUs = {NOW_US};
        List<CapturedRequest> recorded = new ArrayList<>();
        RequestRecorder recorder = new RequestRecorder(
                new Clock() {
                    @Override
                    public long nowUs() {
                        return nowUs[0];
                    }

                    @Override
                    public Timer schedule(long us, Runnable task) {
                        throw new IllegalStateException("a recorder needs no timers");
                    }
                },
                recorded::add);
        recorder.onRequestAccepted(1, incomingRequest(true, 300));
        recorder.onAttemptStarted(1, 0, "s1", NOW_US + 9_000);
        nowUs[0] += 2_000;
        recorder.onAttemptStarted(1, 1, "s2", NOW_US + 9_000);
        nowUs[0] += 1_000;
        recorder.onAttemptEnded(1, 1, Result.OK);
        recorder.onRequestAnswered(1, Observer.RequestOutcome.SERVED);
        assertEquals(List.of(), recorded);
        nowUs[0] += 500;
        recorder.onAttemptEnded(1, 0, Result.CANCELLED);
        recorder.onRequestReleased(1);
        assertEquals(
                List.of(new CapturedRequest(
                        NOW_US - 300,
                        1,
                        -1,
                        true,
                        400_000,
                        List.of(
                                new CapturedRequest.Attempt("s1", 300, 3_500, Result.CANCELLED),
                                new CapturedRequest.Attempt("s2", 2_300, 1_000, Result.OK)),
                        Observer.RequestOutcome.SERVED,
                        3_300)),
                recorded);
        assertEquals(0, recorder.openCount());
        recorder.onRequestReleased(7);
        assertEquals(1, recorded.size(), "a request whose arrival was not seen is not recorded");
    }

    // ---------------------------------------------------------------- summarising

    @Test
    void retriesDoNotCountAsFirstTries() {
        LoadSummary summary = new LoadSummary(1_000_000, Map.of());
        List<CapturedRequest> requests = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            requests.add(request(NOW_US + i * 50_000L, 0, false, Observer.RequestOutcome.REFUSED));
            requests.add(request(NOW_US + i * 50_000L + 10_000, 0, true, Observer.RequestOutcome.SERVED));
        }
        summary.add(file(1, "n0", requests));
        LoadSummary.ClassSummary page = summary.classes().get("page");
        assertEquals(
                List.of(100L, 100L, 100L, 100L),
                List.of(page.firstTries(), page.retries(), page.served(), page.refused()));
        assertEquals(20, summary.steps().get(1).firstTriesPerS(), 1e-9);
        assertEquals(20, summary.steps().get(1).retriesPerS(), 1e-9);
        assertEquals(List.of(), summary.warnings());
    }

    @Test
    void unmarkedRetriesCauseAWarning() {
        LoadSummary summary = new LoadSummary(1_000_000, Map.of());
        summary.add(file(
                1,
                "n0",
                List.of(
                        request(NOW_US, 0, false, Observer.RequestOutcome.REFUSED),
                        request(NOW_US + 5, 0, false, Observer.RequestOutcome.SERVED))));
        assertTrue(
                summary.warnings().get(0).startsWith("of 1 refused tries hardly any was followed by a marked retry"),
                summary.warnings()::toString);
    }

    @Test
    void copiesAreSkippedAndNodesAreSummedWithAlignedClocks() {
        LoadSummary summary = new LoadSummary(1_000_000, Map.of("n1", -5_000_000L));
        CaptureFile file = file(1, "n0", List.of(request(NOW_US, 0, false, Observer.RequestOutcome.SERVED)));
        summary.add(file);
        summary.add(file);
        summary.add(file(2, "n1", List.of(request(NOW_US + 5_000_000, 1, false, Observer.RequestOutcome.SERVED))));
        assertEquals(2, summary.firstTries());
        assertEquals(1, summary.steps().size(), "both requests arrive in the same second by the aligned clocks");
        assertEquals(Map.of("n0", 1, "n1", 1), summary.nodes());
        assertEquals(List.of("a capture file of n0 is skipped as a copy of another one"), summary.warnings());
    }

    @Test
    void missingDataCausesWarnings() {
        LoadSummary summary = new LoadSummary(1_000_000, Map.of());
        summary.add(new CaptureFile(1, "n0", NOW_US, List.of("page"), List.of(), List.of(), 12, "cut off: 3 bytes"));
        assertEquals(
                List.of(
                        "a capture file of n0 is not whole: cut off: 3 bytes",
                        "12 requests were left out as they came: what is told is less than what was"),
                summary.warnings());
        assertEquals(0, summary.durationS());
        assertEquals(List.of(), summary.steps());
    }

    @Test
    void burstsAreDistinguishedFromIndependentArrivals() {
        Random random = new Random(4);
        List<CapturedRequest> independent = new ArrayList<>();
        List<CapturedRequest> bursts = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            independent.add(
                    request(NOW_US + (long) (random.nextDouble() * 100e6), 0, false, Observer.RequestOutcome.SERVED));
            bursts.add(request(
                    NOW_US + random.nextInt(20) * 5_000_000L + random.nextInt(1_000),
                    0,
                    false,
                    Observer.RequestOutcome.SERVED));
        }
        LoadSummary independentSummary = new LoadSummary(1_000_000, Map.of());
        independentSummary.add(file(1, "n0", independent));
        LoadSummary burstSummary = new LoadSummary(1_000_000, Map.of());
        burstSummary.add(file(2, "n0", bursts));
        assertEquals(1, independentSummary.burstiness(), 0.4);
        assertTrue(burstSummary.burstiness() > 20, "burstiness " + burstSummary.burstiness());
    }
}
