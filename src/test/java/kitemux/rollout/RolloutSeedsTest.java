package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The promises over many seeds: {@code -Drollout.seeds=2000} for as many as are asked for. */
class RolloutSeedsTest {
    private static final int SEEDS = Integer.getInteger("rollout.seeds", 48);
    private static final long FIRST = Long.getLong("rollout.first", 1);

    @Test
    void noSeedBreaksAPromise() {
        Map<String, Long> counts = new TreeMap<>();
        List<String> broken = LongStream.range(FIRST, FIRST + SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    Play play = new Play(seed, Defect.NONE);
                    Judge.Breach breach = play.broken();
                    synchronized (counts) {
                        play.fleet.counts.forEach((what, n) -> counts.merge(what, n, Long::sum));
                    }
                    return breach == null ? null : "seed " + seed + ": " + breach;
                })
                .filter(Objects::nonNull)
                .limit(20)
                .toList();
        System.out.println("rollout: " + SEEDS + " seeds from " + FIRST + ", " + counts);
        assertEquals(List.of(), broken);
        for (String each : List.of(
                "Committed",
                "Invalid",
                "Conflict",
                "Unavailable",
                "status IN_FORCE",
                "status SILENT",
                "status REFUSED",
                "status WAITS_RESTART",
                "refused watch")) {
            assertTrue(counts.getOrDefault(each, 0L) > 0, "it was no idle run: no " + each);
        }
    }
}
