package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.Objects;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each deliberate defect must violate the invariant that it is declared with. Two defects need message
 * orders that random scenarios seldom produce; {@link MessageInterleavingsTest} covers them.
 */
class RolloutMutantsTest {
    private static final int SEED_COUNT = 96;
    private static final int PARALLEL_COUNT = 8;

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"PROMISE_NOT_SYNCED", "EMPTY_FOLDER_VOTES"})
    void defectViolatesItsInvariant(Mutant mutant) {
        String found = null;
        for (long first = 1; first <= SEED_COUNT && found == null; first += PARALLEL_COUNT) {
            found = LongStream.range(first, first + PARALLEL_COUNT)
                    .filter(seed -> !RandomScenario.isLong(seed))
                    .parallel()
                    .mapToObj(seed -> {
                        InvariantChecker.Violation violation = new RandomScenario(seed, mutant).run();
                        return violation == null || violation.invariant() != mutant.invariant
                                ? null
                                : "seed " + seed + " " + violation;
                    })
                    .filter(Objects::nonNull)
                    .findFirst()
                    .orElse(null);
        }
        assertNotNull(found, mutant + " does not violate " + mutant.invariant + " in any of " + SEED_COUNT + " seeds");
        System.out.println(mutant + ": " + found.substring(0, Math.min(200, found.length())));
    }
}
