package kitemux.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the timeout after which a silent watch counts as broken. */
class SilenceTimeoutTest {

    /**
     * Discovery answers calls in turn. If the watches of all nodes fall silent at once, only a few nodes may
     * reconnect in the same tenth of a second.
     */
    @Test
    void silenceTimeoutsAreSpreadAcrossNodes() {
        int[] countByTenth = new int[100];
        for (int seed = 1; seed <= 200; seed++) {
            long us = Discovery.drawSilenceTimeoutUs(Discovery.MAX_SILENCE_US, new SplittableRandom(seed));
            assertTrue(
                    us >= 2_500_000 && us <= 4_000_000,
                    "allows for one missed heartbeat and leaves time for a call: " + us);
            countByTenth[(int) (us / 100_000)]++;
        }
        for (int count : countByTenth) {
            assertTrue(count <= 40, count + " of 200 timeouts in the same tenth of a second");
        }
    }
}
