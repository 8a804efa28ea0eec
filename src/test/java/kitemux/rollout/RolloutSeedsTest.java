package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * No invariant is violated in random scenarios. The number of seeds is set with {@code
 * -Drollout.seeds=2000}, the first one with {@code -Drollout.first}.
 */
class RolloutSeedsTest {
    private static final int SEED_COUNT = Integer.getInteger("rollout.seeds", 48);
    private static final long FIRST_SEED = Long.getLong("rollout.first", 1);

    @Test
    void noSeedViolatesAnInvariant() {
        Map<String, Long> counts = new TreeMap<>();
        List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .parallel()
                .mapToObj(seed -> {
                    RandomScenario scenario = new RandomScenario(seed, Defect.NONE);
                    InvariantChecker.Violation violation = scenario.run();
                    synchronized (counts) {
                        scenario.fleet.counts.forEach((what, n) -> counts.merge(what, n, Long::sum));
                    }
                    return violation == null ? null : "seed " + seed + ": " + violation;
                })
                .filter(Objects::nonNull)
                .limit(20)
                .toList();
        System.out.println("rollout: " + SEED_COUNT + " seeds from " + FIRST_SEED + ", " + counts);
        assertEquals(List.of(), violations);
        for (String each : List.of(
                "Committed",
                "Invalid",
                "Conflict",
                "Unavailable",
                "status IN_FORCE",
                "status SILENT",
                "status REFUSED",
                "status WAITS_RESTART",
                "rejected watch")) {
            assertTrue(counts.getOrDefault(each, 0L) > 0, "the scenarios never produced: " + each);
        }
    }
}
