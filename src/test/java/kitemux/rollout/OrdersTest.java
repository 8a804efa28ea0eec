package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Every order of what three voters are asked by two proposers, for two versions. */
class OrdersTest {
    /**
     * Proposers that give up a phase, keepers that start anew, steps; nine are the fewest for two versions.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 11", "1, 0, 8", "0, 1, 8"})
    void noOrderMakesTwoHistories(int timeouts, int restarts, int steps) {
        Orders orders = new Orders(timeouts, restarts, steps, Defect.NONE);
        assertNull(orders.broken());
        assertTrue(
                orders.states() > 20_000 && (steps < 9 || orders.whole() > 500),
                orders.states() + " states, both changes chosen in " + orders.whole());
        System.out.println("orders: " + timeouts + " timeouts, " + restarts + " restarts, " + steps + " steps, "
                + orders.states() + " states, both chosen in " + orders.whole());
    }

    @ParameterizedTest
    @EnumSource(names = {"BALLOTS_IGNORED", "PROMISE_NOT_SYNCED", "ACCEPTED_VALUE_NOT_TAKEN_UP", "EMPTY_FOLDER_VOTES"})
    void aDefectOfVotersIsFound(Mutant mutant) {
        Judge.Breach breach = new Orders(0, 1, 9, mutant).broken();
        assertNotNull(breach, mutant + " is not found");
        assertEquals(mutant.promise, breach.promise());
        System.out.println(mutant + ": " + breach);
    }
}
