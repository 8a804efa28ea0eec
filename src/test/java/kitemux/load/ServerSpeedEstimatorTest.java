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

/** Tests the estimates on simulated servers of known speeds, whose answer times include queueing. */
class ServerSpeedEstimatorTest {
    private static final double[] TRUE_SPEEDS = {0.5, 0.8, 1, 1.6};

    /**
     * Adds the attempts of a simulated server with a FIFO queue and Poisson arrivals.
     *
     * @param utilisation the fraction of time in which the server is busy
     */
    private static void addAttempts(
            List<CapturedRequest> requests,
            String server,
            double speed,
            double utilisation,
            int classCount,
            int count,
            long seed) {
        Random random = new Random(seed);
        double idleFromUs = 0;
        double nowUs = 0;
        for (int i = 0; i < count; i++) {
            int classIndex = random.nextInt(classCount);
            double workUs = (classIndex == 0 ? 20_000 : 50_000) * -Math.log(1 - random.nextDouble()) / speed;
            double meanUs = (classCount == 1 ? 20_000 : 35_000) / speed;
            nowUs += meanUs / utilisation * -Math.log(1 - random.nextDouble());
            idleFromUs = Math.max(idleFromUs, nowUs) + workUs;
            requests.add(new CapturedRequest(
                    (long) nowUs,
                    classIndex,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt(server, 0, (long) Math.max(1, idleFromUs - nowUs), Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
        }
    }

    private static List<ServerSpeedEstimator.ServerSpeed> estimate(List<CapturedRequest> requests) {
        ServerSpeedEstimator estimator = new ServerSpeedEstimator(Map.of());
        estimator.add(new CaptureFile(1, "n", 0, List.of("page", "photo"), List.of(), requests, 0, ""));
        return estimator.estimateSpeeds();
    }

    private static double geometricMean() {
        double sum = 0;
        for (double speed : TRUE_SPEEDS) {
            sum += Math.log(speed);
        }
        return Math.exp(sum / TRUE_SPEEDS.length);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.5, 0.7})
    void speedsAreEstimatedDespiteQueueing(double utilisation) {
        List<CapturedRequest> requests = new ArrayList<>();
        for (int s = 0; s < TRUE_SPEEDS.length; s++) {
            addAttempts(requests, "s" + s, TRUE_SPEEDS[s], utilisation, 2, 6_000, 40 + s);
        }
        List<ServerSpeedEstimator.ServerSpeed> estimates = estimate(requests);
        assertEquals(TRUE_SPEEDS.length, estimates.size());
        for (int s = 0; s < TRUE_SPEEDS.length; s++) {
            double speed = TRUE_SPEEDS[s] / geometricMean();
            assertEquals(speed, estimates.get(s).speed(), 0.1 * speed, estimates::toString);
            assertTrue(
                    estimates.get(s).low() < estimates.get(s).speed()
                            && estimates.get(s).speed() < estimates.get(s).high(),
                    estimates::toString);
        }
    }

    @Test
    void serversWithDifferentClassesAreComparable() {
        List<CapturedRequest> requests = new ArrayList<>();
        addAttempts(requests, "s0", 1, 0.3, 1, 4_000, 1);
        addAttempts(requests, "s1", 0.5, 0.3, 2, 8_000, 2);
        List<ServerSpeedEstimator.ServerSpeed> estimates = estimate(requests);
        assertEquals(2, estimates.get(0).speed() / estimates.get(1).speed(), 0.25, estimates::toString);
    }

    /**
     * The classes are 20 and 50 ms of work on a server of speed 1. Speeds are relative to their geometric mean, so
     * the estimated work is relative to a server of mean speed.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.7, 0.9})
    void workOfEachClassIsEstimatedDespiteQueueing(double utilisation) {
        List<CapturedRequest> requests = new ArrayList<>();
        for (int s = 0; s < TRUE_SPEEDS.length; s++) {
            addAttempts(requests, "s" + s, TRUE_SPEEDS[s], utilisation, 2, 8_000, 70 + s);
        }
        ServerSpeedEstimator estimator = new ServerSpeedEstimator(Map.of());
        estimator.add(new CaptureFile(1, "n", 0, List.of("page", "photo"), List.of(), requests, 0, ""));
        List<ServerSpeedEstimator.ClassWork> estimates = estimator.estimateWork();
        assertEquals(
                List.of("page", "photo"),
                estimates.stream()
                        .map(ServerSpeedEstimator.ClassWork::className)
                        .toList());
        assertEquals(
                20_000 / geometricMean(),
                estimates.get(0).meanUs(),
                0.1 * 20_000 / geometricMean(),
                estimates::toString);
        assertEquals(
                50_000 / geometricMean(),
                estimates.get(1).meanUs(),
                0.1 * 50_000 / geometricMean(),
                estimates::toString);
        estimates.forEach(estimate -> assertEquals(1, estimate.cv(), 0.15, estimate.toString()));
    }

    @Test
    void tooFewAnswersGiveNoEstimate() {
        List<CapturedRequest> requests = new ArrayList<>();
        addAttempts(requests, "s0", 1, 0.3, 1, 39, 1);
        assertEquals(List.of(), estimate(requests));
    }

    /** Guards against an estimate by a low quantile, which made a busy server look three to eight times slower. */
    @ParameterizedTest
    @ValueSource(doubles = {0.7, 0.9})
    void busyServerIsNotEstimatedAsSlow(double utilisation) {
        List<CapturedRequest> requests = new ArrayList<>();
        addAttempts(requests, "s0", 1, 0.1, 1, 20_000, 5);
        addAttempts(requests, "s1", 1, utilisation, 1, 20_000, 6);
        List<ServerSpeedEstimator.ServerSpeed> estimates = estimate(requests);
        assertEquals(1, estimates.get(1).speed() / estimates.get(0).speed(), 0.1, estimates::toString);
    }

    @Test
    void attemptsOfTwoNodesAreCombinedWithAlignedClocks() {
        List<CapturedRequest> all = new ArrayList<>();
        addAttempts(all, "s0", 1, 0.2, 1, 8_000, 7);
        addAttempts(all, "s1", 1, 0.7, 1, 8_000, 8);
        List<CapturedRequest> requestsOfHere = new ArrayList<>();
        List<CapturedRequest> requestsOfThere = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            CapturedRequest request = all.get(i);
            // The clock of the node "there" is 5 s ahead.
            (i % 2 == 0 ? requestsOfHere : requestsOfThere)
                    .add(new CapturedRequest(
                            request.arrivedUs() + (i % 2) * 5_000_000L,
                            request.classIndex(),
                            request.tenantIndex(),
                            false,
                            0,
                            request.attempts(),
                            request.answer(),
                            0));
        }
        ServerSpeedEstimator estimator = new ServerSpeedEstimator(Map.of("there", -5_000_000L));
        estimator.add(new CaptureFile(1, "here", 0, List.of("page"), List.of(), requestsOfHere, 0, ""));
        estimator.add(new CaptureFile(2, "there", 0, List.of("page"), List.of(), requestsOfThere, 0, ""));
        List<ServerSpeedEstimator.ServerSpeed> estimates = estimator.estimateSpeeds();
        assertEquals(1, estimates.get(1).speed() / estimates.get(0).speed(), 0.1, estimates::toString);
    }

    @Test
    void cancelledAttemptKeepsItsServerBusy() {
        List<CapturedRequest> requests = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            long startUs = i * 10_000_000L;
            requests.add(new CapturedRequest(
                    startUs,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 10_000, Result.CANCELLED)),
                    Observer.RequestOutcome.LEFT,
                    0));
            // The server may still work on the cancelled attempt, so this duration does not count.
            requests.add(new CapturedRequest(
                    startUs + 500_000,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 900_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
            requests.add(new CapturedRequest(
                    startUs + 5_000_000,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s0", 0, 20_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
            requests.add(new CapturedRequest(
                    startUs,
                    0,
                    -1,
                    false,
                    0,
                    List.of(new CapturedRequest.Attempt("s1", 0, 20_000, Result.OK)),
                    Observer.RequestOutcome.SERVED,
                    0));
        }
        List<ServerSpeedEstimator.ServerSpeed> estimates = estimate(requests);
        assertEquals(1, estimates.get(0).speed(), 1e-9, estimates::toString);
        assertEquals(200, estimates.get(0).sampleCount());
    }
}
