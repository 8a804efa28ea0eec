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

class SchedulerTest {

    /** Steps: below 60 sets something for then, 60 to 89 calls one off, the rest lets one happen. */
    @Property(tries = 300)
    void whatHappensIsWhatAPlainSortedListWouldTell(
            @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 99) Integer> steps) {
        Scheduler time = new Scheduler();
        List<Scheduler.Event> events = new ArrayList<>();
        List<long[]> plain = new ArrayList<>();
        List<Long> happened = new ArrayList<>();
        List<Long> expected = new ArrayList<>();
        for (int step : steps) {
            if (step < 60) {
                long number = events.size();
                plain.add(new long[] {time.nowNanos() + step % 7, number});
                events.add(time.scheduleAt(time.nowNanos() + step % 7, () -> happened.add(number)));
            } else if (step < 90 && !events.isEmpty()) {
                int which = step * 31 % events.size();
                events.get(which).cancel();
                plain.removeIf(p -> p[1] == which);
            } else {
                plain.sort(Comparator.<long[]>comparingLong(p -> p[0]).thenComparingLong(p -> p[1]));
                assertEquals(!plain.isEmpty(), time.runNext(time.nowNanos() + 10));
                if (!plain.isEmpty()) {
                    long[] next = plain.remove(0);
                    expected.add(next[1]);
                    assertEquals(next[0], time.nowNanos());
                }
            }
            assertEquals(plain.size(), time.pendingEventCount());
        }
        assertEquals(expected, happened);
    }

    @Test
    void whatIsTooFarOffForTheClockDoesNotHappenAtOnce() {
        // A module asked to be woken so late that the sum overflowed, and was woken at once, again and again.
        Scheduler time = new Scheduler();
        time.scheduleAt(1_000_000, () -> {});
        time.runNext(Long.MAX_VALUE);
        time.scheduleAfterUs(Long.MAX_VALUE / 4, () -> {});
        assertFalse(time.runNext(60_000_000_000L));
        assertEquals(60_000_000_000L, time.nowNanos());
    }
}
