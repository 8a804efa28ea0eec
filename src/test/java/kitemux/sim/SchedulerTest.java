package kitemux.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the order of events in virtual time. */
class SchedulerTest {

    /** Steps below 60 schedule an event, steps from 60 to 89 cancel one, and the others run the next one. */
    @Property(tries = 300)
    void eventsRunInTheOrderOfASortedList(@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> steps) {
        Scheduler scheduler = new Scheduler();
        List<Scheduler.Event> events = new ArrayList<>();
        List<long[]> model = new ArrayList<>();
        List<Long> executed = new ArrayList<>();
        List<Long> expected = new ArrayList<>();
        for (int step : steps) {
            if (step < 60) {
                long number = events.size();
                model.add(new long[] {scheduler.nowNanos() + step % 7, number});
                events.add(scheduler.scheduleAt(scheduler.nowNanos() + step % 7, () -> executed.add(number)));
            } else if (step < 90 && !events.isEmpty()) {
                int which = step * 31 % events.size();
                events.get(which).cancel();
                model.removeIf(p -> p[1] == which);
            } else {
                model.sort(Comparator.<long[]>comparingLong(p -> p[0]).thenComparingLong(p -> p[1]));
                assertEquals(!model.isEmpty(), scheduler.runNext(scheduler.nowNanos() + 10));
                if (!model.isEmpty()) {
                    long[] next = model.remove(0);
                    expected.add(next[1]);
                    assertEquals(next[0], scheduler.nowNanos());
                }
            }
            assertEquals(model.size(), scheduler.pendingEventCount());
        }
        assertEquals(expected, executed);
    }

    @Test
    void overflowingDelayDoesNotRunImmediately() {
        // Guards against an overflow: a balancer that set a very late wake-up was woken immediately and repeatedly.
        Scheduler scheduler = new Scheduler();
        scheduler.scheduleAt(1_000_000, () -> {});
        scheduler.runNext(Long.MAX_VALUE);
        scheduler.scheduleAfterUs(Long.MAX_VALUE / 4, () -> {});
        assertFalse(scheduler.runNext(60_000_000_000L));
        assertEquals(60_000_000_000L, scheduler.nowNanos());
    }
}
