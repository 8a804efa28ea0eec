package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * No order of the messages between three voters and two proposers yields two histories, and defects of
 * voters are detected.
 */
class MessageInterleavingsTest {
    /**
     * The parameters are the numbers of timeouts, restarts and steps. At least nine steps are needed for
     * two versions.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 11", "1, 0, 8", "0, 1, 8"})
    void noInterleavingYieldsTwoHistories(int timeouts, int restarts, int steps) {
        MessageInterleavings interleavings = new MessageInterleavings(timeouts, restarts, steps, Defect.NONE);
        assertNull(interleavings.firstViolation());
        assertTrue(
                interleavings.stateCount() > 20_000 && (steps < 9 || interleavings.completedStates() > 500),
                interleavings.stateCount() + " states, both changes chosen in " + interleavings.completedStates());
        System.out.println("orders: " + timeouts + " timeouts, " + restarts + " restarts, " + steps + " steps, "
                + interleavings.stateCount() + " states, both chosen in " + interleavings.completedStates());
    }

    @ParameterizedTest
    @EnumSource(names = {"BALLOTS_IGNORED", "PROMISE_NOT_SYNCED", "ACCEPTED_VALUE_IGNORED", "EMPTY_FOLDER_VOTES"})
    void voterDefectIsFound(Mutant mutant) {
        InvariantChecker.Violation violation = new MessageInterleavings(0, 1, 9, mutant).firstViolation();
        assertNotNull(violation, mutant + " was not detected");
        assertEquals(mutant.invariant, violation.invariant());
        System.out.println(mutant + ": " + violation);
    }
}
