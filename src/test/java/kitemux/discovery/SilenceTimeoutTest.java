package kitemux.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How long a watch may be silent. */
class SilenceTimeoutTest {

    /** Discovery takes calls in turn: of nodes whose watches fall silent at once few call together. */
    @Test
    void nodesDoNotLosePatienceTogether() {
        int[] inTenth = new int[100];
        for (int seed = 1; seed <= 200; seed++) {
            long us = Discovery.patienceUs(Discovery.MAX_SILENCE_US, new SplittableRandom(seed));
            assertTrue(us >= 2_500_000 && us <= 4_000_000, "one beat missed, and time for a call: " + us);
            inTenth[(int) (us / 100_000)]++;
        }
        for (int tenth : inTenth) {
            assertTrue(tenth <= 40, tenth + " of 200");
        }
    }
}
