package kitemux.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import kitemux.sim.ColdStartLoad.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rule on cold servers, by itself. */
class ColdStartLoadTest {
    private static final double MEAN_US = 20_000;
    private static final long WITHIN_US = 2_000_000;
    /** What the settings allow: 36 requests, so that 36 + 2 x 6 + 2 = 50 are stood. */
    private static final double ALLOWED_US = 36 * MEAN_US;

    private final ColdStartLoad cold = new ColdStartLoad(MEAN_US, WITHIN_US);

    private Verdict come(int count, long atUs, boolean told) {
        Verdict last = Verdict.WITHIN_LIMIT;
        for (int i = 0; i < count; i++) {
            last = cold.recordArrival(atUs, MEAN_US, told, ALLOWED_US);
        }
        return last;
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "1, 5", "36, 50", "100, 122", "400, 442"})
    void chanceIsTwiceTheRootAndTwo(double n, double most) {
        assertEquals(most, ColdStartLoad.maxRequests(n));
    }

    @Test
    void itStandsUpToTheLastThatIsChanceAndFallsWithTheNext() {
        assertEquals(Verdict.WITHIN_LIMIT, come(50, 1, true));
        assertEquals(Verdict.OVERLOADED_BY_NODES, come(1, 2, true));
        assertEquals(51, cold.recentRequests(), 1e-9);
        assertEquals(51 / 50.0, cold.peakRatio(), 1e-9);
    }

    /** Whoever sends: it is the sum that counts, in requests of mean work. */
    @Test
    void workCountsAndNotNumber() {
        assertEquals(Verdict.WITHIN_LIMIT, cold.recordArrival(1, 49.9 * MEAN_US, true, ALLOWED_US));
        assertEquals(Verdict.OVERLOADED_BY_NODES, cold.recordArrival(1, 0.2 * MEAN_US, true, ALLOWED_US));
    }

    @Test
    void onlyWhatCameWithinTheTimeCounts() {
        assertEquals(Verdict.WITHIN_LIMIT, come(40, 0, true));
        assertEquals(Verdict.WITHIN_LIMIT, come(10, WITHIN_US - 1, true));
        assertEquals(Verdict.WITHIN_LIMIT, come(40, WITHIN_US, true));
        assertEquals(50, cold.recentRequests(), 1e-9);
        assertEquals(Verdict.OVERLOADED_BY_NODES, come(1, WITHIN_US, true));
    }

    @Test
    void theNodesAreToBlameWhereOverTwoThirdsCameFromWhoKnew() {
        come(17, 1, false);
        assertEquals(Verdict.OVERLOADED, come(34, 1, true), "two thirds are not over two thirds");
        cold.reset();
        come(16, 2, false);
        assertEquals(Verdict.OVERLOADED_BY_NODES, come(35, 2, true));
    }

    @Test
    void aNewProcessBeginsAnew() {
        come(50, 1, true);
        cold.reset();
        assertEquals(Verdict.WITHIN_LIMIT, come(50, 2, true));
    }
}
