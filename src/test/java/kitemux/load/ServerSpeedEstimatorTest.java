package kitemux.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers of known speeds with a queue each: work and waiting are seen as one. */
class ServerSpeedEstimatorTest {
    private static final double[] TRUE = {0.5, 0.8, 1, 1.6};

    /** One server's answers: clients come by themselves and wait in turn, so that it is busy so much. */
    private static void serve(
            List<CapturedRequest> seen, String server, double speed, double busy, int classes, int count, long seed) {
        Random random = new Random(seed);
        double free = 0;
        double now = 0;
        for (int i = 0; i < count; i++) {
            int of = random.nextInt(classes);
            double work = (of == 0 ? 20_000 : 50_000) * -Math.log(1 - random.nextDouble()) / speed;
            double mean = (classes == 1 ? 20_000 : 35_000) / speed;
            now += mean / busy * -Math.log(1 - random.nextDouble());
            free = Math.max(free, now) + work;
            seen.add(new CapturedRequest(
                    (long) now,
                    of,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt(server, 0, (long) Math.max(1, free - now), Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
        }
    }

    private static List<ServerSpeedEstimator.ServerSpeed> estimate(List<CapturedRequest> seen) {
        ServerSpeedEstimator speeds = new ServerSpeedEstimator(Map.of());
        speeds.add(new CaptureFile(1, "n", 0, List.of("page", "photo"), List.of(), seen, 0, ""));
        return speeds.estimateSpeeds();
    }

    private static double mean() {
        double sum = 0;
        for (double speed : TRUE) {
            sum += Math.log(speed);
        }
        return Math.exp(sum / TRUE.length);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.5, 0.7})
    void speedsAreFoundThoughRequestsWait(double busy) {
        List<CapturedRequest> seen = new ArrayList<>();
        for (int s = 0; s < TRUE.length; s++) {
            serve(seen, "s" + s, TRUE[s], busy, 2, 6_000, 40 + s);
        }
        List<ServerSpeedEstimator.ServerSpeed> found = estimate(seen);
        assertEquals(TRUE.length, found.size());
        for (int s = 0; s < TRUE.length; s++) {
            double speed = TRUE[s] / mean();
            assertEquals(speed, found.get(s).speed(), 0.1 * speed, found::toString);
            assertTrue(
                    found.get(s).low() < found.get(s).speed()
                            && found.get(s).speed() < found.get(s).high(),
                    found::toString);
        }
    }

    @Test
    void serversThatHadOtherClassesAreComparedAllTheSame() {
        List<CapturedRequest> seen = new ArrayList<>();
        serve(seen, "s0", 1, 0.3, 1, 4_000, 1);
        serve(seen, "s1", 0.5, 0.3, 2, 8_000, 2);
        List<ServerSpeedEstimator.ServerSpeed> found = estimate(seen);
        assertEquals(2, found.get(0).speed() / found.get(1).speed(), 0.25, found::toString);
    }

    /** 20 and 50 ms on a server of speed 1; speeds are told against their mean, and work with them. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.7, 0.9})
    void theWorkOfEachClassIsFoundThoughRequestsWait(double busy) {
        List<CapturedRequest> seen = new ArrayList<>();
        for (int s = 0; s < TRUE.length; s++) {
            serve(seen, "s" + s, TRUE[s], busy, 2, 8_000, 70 + s);
        }
        ServerSpeedEstimator speeds = new ServerSpeedEstimator(Map.of());
        speeds.add(new CaptureFile(1, "n", 0, List.of("page", "photo"), List.of(), seen, 0, ""));
        List<ServerSpeedEstimator.ClassWork> found = speeds.estimateWork();
        assertEquals(
                List.of("page", "photo"), found.stream().map(ServerSpeedEstimator.ClassWork::className).toList());
        assertEquals(20_000 / mean(), found.get(0).meanUs(), 0.1 * 20_000 / mean(), found::toString);
        assertEquals(50_000 / mean(), found.get(1).meanUs(), 0.1 * 50_000 / mean(), found::toString);
        found.forEach(work -> assertEquals(1, work.cv(), 0.15, work.toString()));
    }

    @Test
    void ofFewAnswersNothingIsTold() {
        List<CapturedRequest> seen = new ArrayList<>();
        serve(seen, "s0", 1, 0.3, 1, 39, 1);
        assertEquals(List.of(), estimate(seen));
    }

    /** A low quantile of all times made the busy one three to eight times slower than it was. */
    @ParameterizedTest
    @ValueSource(doubles = {0.7, 0.9})
    void aServerThatMostlyHasOthersWaitingIsAsQuickAsItIs(double busy) {
        List<CapturedRequest> seen = new ArrayList<>();
        serve(seen, "s0", 1, 0.1, 1, 20_000, 5);
        serve(seen, "s1", 1, busy, 1, 20_000, 6);
        List<ServerSpeedEstimator.ServerSpeed> found = estimate(seen);
        assertEquals(1, found.get(1).speed() / found.get(0).speed(), 0.1, found::toString);
    }

    @Test
    void whatTwoNodesSentIsSeenTogetherOnceTheirClocksAgree() {
        List<CapturedRequest> all = new ArrayList<>();
        serve(all, "s0", 1, 0.2, 1, 8_000, 7);
        serve(all, "s1", 1, 0.7, 1, 8_000, 8);
        List<CapturedRequest> here = new ArrayList<>();
        List<CapturedRequest> there = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            CapturedRequest one = all.get(i);
            // The clock of one of the nodes is 5 s ahead.
            (i % 2 == 0 ? here : there)
                    .add(new CapturedRequest(
                            one.arrivedUs() + (i % 2) * 5_000_000L,
                            one.classIndex(),
                            one.tenantIndex(),
                            false,
                            0,
                            one.attempts(),
                            one.answer(),
                            0));
        }
        ServerSpeedEstimator speeds = new ServerSpeedEstimator(Map.of("there", -5_000_000L));
        speeds.add(new CaptureFile(1, "here", 0, List.of("page"), List.of(), here, 0, ""));
        speeds.add(new CaptureFile(2, "there", 0, List.of("page"), List.of(), there, 0, ""));
        List<ServerSpeedEstimator.ServerSpeed> found = speeds.estimateSpeeds();
        assertEquals(1, found.get(1).speed() / found.get(0).speed(), 0.1, found::toString);
    }

    @Test
    void whatWasCalledOffMayHoldItsServerStill() {
        List<CapturedRequest> seen = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            long at = i * 10_000_000L;
            seen.add(new CapturedRequest(
                    at,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 10_000, Result.CANCELLED)),
                    Observer.RequestOutcome.LEFT,
                    0));
            // Sent while the other may run still: its time is no measure.
            seen.add(new CapturedRequest(
                    at + 500_000,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 900_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
            seen.add(new CapturedRequest(
                    at + 5_000_000,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 20_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
            seen.add(new CapturedRequest(
                    at,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s1", 0, 20_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
        }
        List<ServerSpeedEstimator.ServerSpeed> found = estimate(seen);
        assertEquals(1, found.get(0).speed(), 1e-9, found::toString);
        assertEquals(200, found.get(0).sampleCount());
    }
}
