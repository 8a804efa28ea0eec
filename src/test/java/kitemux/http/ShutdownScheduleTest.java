package kitemux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the times of a shutdown against the platform's terms, and the order of its phases. */
class ShutdownScheduleTest {
    private static final long SIGNAL_US = 1_000_000;

    @Property
    void allRequestsAreAnsweredBeforeKillDespiteDelays(
            @ForAll @LongRange(min = 1_000, max = 20_000_000) long deadlineUs,
            @ForAll boolean replaced,
            @ForAll @LongRange(min = 0, max = 150_000) long signalDelayUs,
            @ForAll @LongRange(min = 0, max = 150_000) long loopDelayUs) {
        long killUs = SIGNAL_US - signalDelayUs + Math.min(deadlineUs, 3_000_000) + 700_000;
        ShutdownSchedule schedule = ShutdownSchedule.of(SIGNAL_US, deadlineUs, replaced);
        assertTrue(schedule.answerByUs() + loopDelayUs <= killUs);
        assertTrue(SIGNAL_US <= schedule.listenUntilUs());
        assertTrue(schedule.listenUntilUs() <= schedule.idleUntilUs());
        assertTrue(schedule.idleUntilUs() <= schedule.answerByUs());
    }

    @Property
    void requestOnLastNewConnectionKeepsFullDeadline(@ForAll @LongRange(min = 1_000, max = 3_000_000) long deadlineUs) {
        long lastUs = SIGNAL_US + 400_000;
        assertTrue(lastUs + deadlineUs
                <= ShutdownSchedule.of(SIGNAL_US, deadlineUs, false).answerByUs());
    }

    @Test
    void scheduleOfTypicalUpgradeAndRestart() {
        assertEquals(new ShutdownSchedule(0, 1_000_000, 1_400_000), ShutdownSchedule.of(0, 1_000_000, true));
        assertEquals(new ShutdownSchedule(0, 1_500_000, 3_400_000), ShutdownSchedule.of(0, 5_000_000, true));
        assertEquals(new ShutdownSchedule(0, 250_000, 650_000), ShutdownSchedule.of(0, 250_000, true));
        assertEquals(new ShutdownSchedule(500_000, 500_000, 1_400_000), ShutdownSchedule.of(0, 1_000_000, false));
    }

    @Test
    void phasesFollowInOrder() {
        Map<ShutdownPhase, Set<ShutdownPhase>> table = Map.of(
                ShutdownPhase.SERVING, EnumSet.of(ShutdownPhase.LAME_DUCK),
                ShutdownPhase.LAME_DUCK, EnumSet.of(ShutdownPhase.CLOSING_IDLE),
                ShutdownPhase.CLOSING_IDLE, EnumSet.of(ShutdownPhase.ANSWERING_REST, ShutdownPhase.CLOSED),
                ShutdownPhase.ANSWERING_REST, EnumSet.of(ShutdownPhase.CLOSED),
                ShutdownPhase.CLOSED, EnumSet.noneOf(ShutdownPhase.class));
        for (ShutdownPhase phase : ShutdownPhase.values()) {
            assertEquals(table.get(phase), phase.next());
        }
    }
}
