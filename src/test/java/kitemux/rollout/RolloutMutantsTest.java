package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.Objects;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Deliberate defects: each has to break the promise that it is named with. Two need an order that plays
 * seldom draw; {@link OrdersTest} finds them.
 */
class RolloutMutantsTest {
    private static final int SEEDS = 96;
    private static final int AT_ONCE = 8;

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"PROMISE_NOT_SYNCED", "EMPTY_FOLDER_VOTES"})
    void aDeliberateDefectIsFound(Mutant mutant) {
        String found = null;
        for (long first = 1; first <= SEEDS && found == null; first += AT_ONCE) {
            found = LongStream.range(first, first + AT_ONCE)
                    .filter(seed -> !Play.isLong(seed))
                    .parallel()
                    .mapToObj(seed -> {
                        Judge.Breach breach = new Play(seed, mutant).broken();
                        return breach == null || breach.promise() != mutant.promise
                                ? null
                                : "seed " + seed + " " + breach;
                    })
                    .filter(Objects::nonNull)
                    .findFirst()
                    .orElse(null);
        }
        assertNotNull(found, mutant + " breaks " + mutant.promise + " in none of " + SEEDS + " seeds");
        System.out.println(mutant + ": " + found.substring(0, Math.min(200, found.length())));
    }
}
