package kitemux.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kitemux.Balancer.Result;
import kitemux.engine.RequestInfo;
import kitemux.engine.Observer;
import kitemux.engine.Clock;
import org.junit.jupiter.api.Test;

/** What is gathered of requests, and what files of several nodes say together. */
class LoadSummaryTest {
    private static final long NOW = 1_790_000_000_000_000L;

    private static CaptureFile file(long id, String node, List<CapturedRequest> seen) {
        return new CaptureFile(id, node, NOW, List.of("page", "order"), List.of("a", "b"), seen, 0, "");
    }

    private static CapturedRequest seen(long atUs, int classIndex, boolean repeat, Observer.RequestOutcome end) {
        return new CapturedRequest(atUs, classIndex, 0, repeat, 500_000, List.of(), end, 1_000);
    }

    private static RequestInfo asked(boolean retry, long agoUs) {
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
                return retry;
            }
        };
    }

    // ---------------------------------------------------------------- gathering

    @Test
    void aRequestIsHandedOnOnceNothingMoreIsHeardOfIt() {
        long[] now = {NOW};
        List<CapturedRequest> got = new ArrayList<>();
        RequestRecorder recorder = new RequestRecorder(
                new Clock() {
                    @Override
                    public long nowUs() {
                        return now[0];
                    }

                    @Override
                    public Timer schedule(long us, Runnable task) {
                        throw new IllegalStateException("a recorder waits for nothing");
                    }
                },
                got::add);
        recorder.onRequestAccepted(1, asked(true, 300));
        recorder.onAttemptStarted(1, 0, "s1", NOW + 9_000);
        now[0] += 2_000;
        recorder.onAttemptStarted(1, 1, "s2", NOW + 9_000);
        now[0] += 1_000;
        recorder.onAttemptEnded(1, 1, Result.OK);
        recorder.onRequestAnswered(1, Observer.RequestOutcome.SERVED);
        assertEquals(List.of(), got);
        now[0] += 500;
        recorder.onAttemptEnded(1, 0, Result.CANCELLED);
        recorder.onRequestReleased(1);
        assertEquals(
                List.of(new CapturedRequest(
                        NOW - 300,
                        1,
                        -1,
                        true,
                        400_000,
                        List.of(
                                new CapturedRequest.Attempt("s1", 300, 3_500, Result.CANCELLED),
                                new CapturedRequest.Attempt("s2", 2_300, 1_000, Result.OK)),
                        Observer.RequestOutcome.SERVED,
                        3_300)),
                got);
        assertEquals(0, recorder.openCount());
        recorder.onRequestReleased(7);
        assertEquals(1, got.size(), "of one that was not seen coming nothing is handed on");
    }

    // ---------------------------------------------------------------- adding up

    @Test
    void whatIsAskedAgainIsNotWanted() {
        LoadSummary all = new LoadSummary(1_000_000, Map.of());
        List<CapturedRequest> seen = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            seen.add(seen(NOW + i * 50_000L, 0, false, Observer.RequestOutcome.REFUSED));
            seen.add(seen(NOW + i * 50_000L + 10_000, 0, true, Observer.RequestOutcome.SERVED));
        }
        all.add(file(1, "n0", seen));
        LoadSummary.ClassSummary page = all.classes().get("page");
        assertEquals(
                List.of(100L, 100L, 100L, 100L), List.of(page.firstTries(), page.retries(), page.served(), page.refused()));
        assertEquals(20, all.steps().get(1).firstTriesPerS(), 1e-9);
        assertEquals(20, all.steps().get(1).retriesPerS(), 1e-9);
        assertEquals(List.of(), all.warnings());
    }

    @Test
    void repeatsThatAreNotMarkedAreWarnedOf() {
        LoadSummary all = new LoadSummary(1_000_000, Map.of());
        all.add(file(
                1,
                "n0",
                List.of(
                        seen(NOW, 0, false, Observer.RequestOutcome.REFUSED),
                        seen(NOW + 5, 0, false, Observer.RequestOutcome.SERVED))));
        assertTrue(
                all.warnings().get(0).startsWith("of 1 refused tries hardly any was marked"), all.warnings()::toString);
    }

    @Test
    void aCopyIsLeftOutAndNodesAddUpOverClocksThatDiffer() {
        LoadSummary all = new LoadSummary(1_000_000, Map.of("n1", -5_000_000L));
        CaptureFile first = file(1, "n0", List.of(seen(NOW, 0, false, Observer.RequestOutcome.SERVED)));
        all.add(first);
        all.add(first);
        all.add(file(2, "n1", List.of(seen(NOW + 5_000_000, 1, false, Observer.RequestOutcome.SERVED))));
        assertEquals(2, all.firstTries());
        assertEquals(1, all.steps().size(), "the same second by both clocks");
        assertEquals(Map.of("n0", 1, "n1", 1), all.nodes());
        assertEquals(List.of("a copy of a file of n0 is left out"), all.warnings());
    }

    @Test
    void whatIsMissingIsSaid() {
        LoadSummary all = new LoadSummary(1_000_000, Map.of());
        all.add(new CaptureFile(1, "n0", NOW, List.of("page"), List.of(), List.of(), 12, "cut off: 3 bytes"));
        assertEquals(
                List.of(
                        "a file of n0 is not whole: cut off: 3 bytes",
                        "12 requests were left out as they came: what is told is less than what was"),
                all.warnings());
        assertEquals(0, all.durationS());
        assertEquals(List.of(), all.steps());
    }

    @Test
    void clientsThatComeInBurstsAreToldFromThoseThatComeByThemselves() {
        Random random = new Random(4);
        List<CapturedRequest> alone = new ArrayList<>();
        List<CapturedRequest> bursts = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            alone.add(seen(NOW + (long) (random.nextDouble() * 100e6), 0, false, Observer.RequestOutcome.SERVED));
            bursts.add(seen(
                    NOW + random.nextInt(20) * 5_000_000L + random.nextInt(1_000), 0, false, Observer.RequestOutcome.SERVED));
        }
        LoadSummary one = new LoadSummary(1_000_000, Map.of());
        one.add(file(1, "n0", alone));
        LoadSummary many = new LoadSummary(1_000_000, Map.of());
        many.add(file(2, "n0", bursts));
        assertEquals(1, one.burstiness(), 0.4);
        assertTrue(many.burstiness() > 20, "burstiness " + many.burstiness());
    }
}
