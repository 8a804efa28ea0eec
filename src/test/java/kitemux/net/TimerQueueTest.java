package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import kitemux.engine.Clock;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TimerQueueTest {

    /** Steps: below 50 sets one, 50 to 89 calls one off, the rest lets time pass. */
    @Property(tries = 300)
    void whatRunsIsWhatAPlainSortedListWouldTell(
            @ForAll @Size(max = 600) List<@IntRange(min = 0, max = 99) Integer> steps) {
        TimerQueue timers = new TimerQueue();
        // The clock runs over on its way.
        long now = Long.MAX_VALUE - 40;
        long passed = 0;
        List<Clock.Timer> set = new ArrayList<>();
        List<long[]> plain = new ArrayList<>();
        List<Integer> ran = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        for (int step : steps) {
            if (step < 50) {
                int number = set.size();
                plain.add(new long[] {passed + step % 9, number});
                set.add(timers.set(now + step % 9, () -> ran.add(number)));
            } else if (step < 90 && !set.isEmpty()) {
                int which = step * 31 % set.size();
                set.get(which).cancel();
                plain.removeIf(p -> p[1] == which);
            } else {
                now += step % 5;
                passed += step % 5;
                plain.sort(Comparator.<long[]>comparingLong(p -> p[0]).thenComparingLong(p -> p[1]));
                while (!plain.isEmpty() && plain.get(0)[0] <= passed) {
                    expected.add((int) plain.remove(0)[1]);
                }
                timers.run(now);
            }
            assertEquals(expected, ran);
            assertEquals(plain.isEmpty(), timers.isEmpty());
            if (!plain.isEmpty()) {
                long first = plain.stream().mapToLong(p -> p[0]).min().getAsLong();
                assertEquals(first - passed, timers.firstNanos() - now);
            }
        }
    }

    @Test
    void whatIsCalledOffDoesNotPileUp() {
        TimerQueue timers = new TimerQueue();
        timers.set(0, () -> {});
        for (int i = 1; i <= 100_000; i++) {
            timers.set(i, () -> {}).cancel();
            assertTrue(timers.size() <= 130, "kept " + timers.size());
        }
    }

    @Test
    void whatATimerSetsWaitsForTheNextCall() {
        TimerQueue timers = new TimerQueue();
        List<String> ran = new ArrayList<>();
        timers.set(1, () -> {
            ran.add("first");
            timers.set(1, () -> ran.add("set by it"));
            timers.run(9);
        });
        timers.run(1);
        assertEquals(List.of("first"), ran);
        timers.run(1);
        assertEquals(List.of("first", "set by it"), ran);
    }
}
