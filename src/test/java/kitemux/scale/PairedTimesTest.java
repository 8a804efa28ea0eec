package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

class PairedTimesTest {
    /** So many requests of a time, and as many others of another. */
    private static Asker.Slice slice(int count, long us, int slow, long slowUs, long others) {
        Histogram times = Asker.times();
        times.recordValueWithCount(us, count);
        if (slow > 0) {
            times.recordValueWithCount(slowUs, slow);
        }
        return new Asker.Slice(times, others, 0);
    }

    @Test
    void aWayIsHeldAgainstNoNodeOverAllTurnsAndTurnByTurn() {
        PairedTimes times = new PairedTimes(List.of(PairedTimes.DIRECT, "quiet", "zone"));
        times.add("quiet", slice(100, 500, 0, 0, 0));
        times.add(PairedTimes.DIRECT, slice(100, 100, 0, 0, 0));
        times.add(PairedTimes.DIRECT, slice(100, 200, 0, 0, 0));
        times.add("quiet", slice(100, 900, 0, 0, 0));
        Results into = Results.of("p99");
        times.put(into, "117_");
        Map<String, Double> row = into.rows().get("117_quiet");
        assertEquals(1, into.rows().size(), "what is without a node has no row: " + into.rows());
        assertEquals(0.2, row.get("direct_ms"), 0.001);
        assertEquals(0.9, row.get("node_ms"), 0.001);
        assertEquals(0.7, row.get("added_ms"), 0.001);
        assertEquals(0.4, row.get("added_least_ms"), 0.001, "500 less 100");
        assertEquals(0.7, row.get("added_most_ms"), 0.001, "900 less 200");
        assertEquals(200, row.get("answers"));
        assertEquals(0, row.get("over_percent"));
    }

    @Test
    void rowsStandInTheOrderOfTheWaysWhateverWasDrawn() {
        PairedTimes times = new PairedTimes(List.of(PairedTimes.DIRECT, "quiet", "zone"));
        for (String way : List.of("zone", PairedTimes.DIRECT, "quiet")) {
            times.add(way, slice(10, 100, 0, 0, 0));
        }
        Results into = Results.of("p99");
        times.put(into, "");
        assertEquals(List.of("quiet", "zone"), List.copyOf(into.rows().keySet()));
    }

    /** 2.1 ms more than the 99th percentile without a node, and what had no answer that counts. */
    @Test
    void whatIsOverTheBudgetIsCounted() {
        PairedTimes times = new PairedTimes(List.of(PairedTimes.DIRECT, "quiet", "zone"));
        times.add(PairedTimes.DIRECT, slice(100, 100, 0, 0, 0));
        times.add("zone", slice(95, 2_190, 3, 2_300, 2));
        Results into = Results.of("p99");
        times.put(into, "");
        assertEquals(5, into.rows().get("zone").get("over_percent"), 1e-9, "3 late, 2 not answered of 100");
        assertEquals(2, into.rows().get("zone").get("others"));
    }
}
