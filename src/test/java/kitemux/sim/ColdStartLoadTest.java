package kitemux.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import kitemux.sim.ColdStartLoad.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the load limit of servers in slow start. */
class ColdStartLoadTest {
    private static final double MEAN_WORK_US = 20_000;
    private static final long WINDOW_US = 2_000_000;
    /** The settings allow 36 requests, so the server is overloaded beyond 36 + 2 * 6 + 2 = 50. */
    private static final double ALLOWED_WORK_US = 36 * MEAN_WORK_US;

    private final ColdStartLoad load = new ColdStartLoad(MEAN_WORK_US, WINDOW_US);

    private Verdict recordArrivals(int count, long atUs, boolean fromInformedNode) {
        Verdict last = Verdict.WITHIN_LIMIT;
        for (int i = 0; i < count; i++) {
            last = load.recordArrival(atUs, MEAN_WORK_US, fromInformedNode, ALLOWED_WORK_US);
        }
        return last;
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "1, 5", "36, 50", "100, 122", "400, 442"})
    void toleranceIsTwiceTheSquareRootPlusTwo(double allowedRequests, double expected) {
        assertEquals(expected, ColdStartLoad.maxRequests(allowedRequests));
    }

    @Test
    void serverIsOverloadedBeyondTheTolerance() {
        assertEquals(Verdict.WITHIN_LIMIT, recordArrivals(50, 1, true));
        assertEquals(Verdict.OVERLOADED_BY_NODES, recordArrivals(1, 2, true));
        assertEquals(51, load.recentRequests(), 1e-9);
        assertEquals(51 / 50.0, load.peakRatio(), 1e-9);
    }

    /** The limit applies to the total work of all nodes, in requests of mean work. */
    @Test
    void limitAppliesToWorkNotRequestCount() {
        assertEquals(Verdict.WITHIN_LIMIT, load.recordArrival(1, 49.9 * MEAN_WORK_US, true, ALLOWED_WORK_US));
        assertEquals(Verdict.OVERLOADED_BY_NODES, load.recordArrival(1, 0.2 * MEAN_WORK_US, true, ALLOWED_WORK_US));
    }

    @Test
    void onlyArrivalsWithinTheWindowCount() {
        assertEquals(Verdict.WITHIN_LIMIT, recordArrivals(40, 0, true));
        assertEquals(Verdict.WITHIN_LIMIT, recordArrivals(10, WINDOW_US - 1, true));
        assertEquals(Verdict.WITHIN_LIMIT, recordArrivals(40, WINDOW_US, true));
        assertEquals(50, load.recentRequests(), 1e-9);
        assertEquals(Verdict.OVERLOADED_BY_NODES, recordArrivals(1, WINDOW_US, true));
    }

    @Test
    void nodesAreResponsibleAboveTwoThirdsOfInformedWork() {
        recordArrivals(17, 1, false);
        assertEquals(Verdict.OVERLOADED, recordArrivals(34, 1, true), "exactly two thirds do not exceed two thirds");
        load.reset();
        recordArrivals(16, 2, false);
        assertEquals(Verdict.OVERLOADED_BY_NODES, recordArrivals(35, 2, true));
    }

    @Test
    void resetForgetsEarlierArrivals() {
        recordArrivals(50, 1, true);
        load.reset();
        assertEquals(Verdict.WITHIN_LIMIT, recordArrivals(50, 2, true));
    }
}
