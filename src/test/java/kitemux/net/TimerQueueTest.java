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

/** Tests the order, the cancellation and the bounded size of the timer queue. */
class TimerQueueTest {

    /** Steps below 50 schedule a timer, steps from 50 to 89 cancel one, and the others advance the time. */
    @Property(tries = 300)
    void timersRunInTheOrderOfASortedList(@ForAll @Size(max = 600) List<@IntRange(min = 0, max = 99) Integer> steps) {
        TimerQueue timers = new TimerQueue();
        // The clock overflows during the test.
        long now = Long.MAX_VALUE - 40;
        long passed = 0;
        List<Clock.Timer> scheduled = new ArrayList<>();
        List<long[]> model = new ArrayList<>();
        List<Integer> ran = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        for (int step : steps) {
            if (step < 50) {
                int number = scheduled.size();
                model.add(new long[] {passed + step % 9, number});
                scheduled.add(timers.schedule(now + step % 9, () -> ran.add(number)));
            } else if (step < 90 && !scheduled.isEmpty()) {
                int which = step * 31 % scheduled.size();
                scheduled.get(which).cancel();
                model.removeIf(p -> p[1] == which);
            } else {
                now += step % 5;
                passed += step % 5;
                model.sort(Comparator.<long[]>comparingLong(p -> p[0]).thenComparingLong(p -> p[1]));
                while (!model.isEmpty() && model.get(0)[0] <= passed) {
                    expected.add((int) model.remove(0)[1]);
                }
                timers.runDue(now);
            }
            assertEquals(expected, ran);
            assertEquals(model.isEmpty(), timers.isEmpty());
            if (!model.isEmpty()) {
                long first = model.stream().mapToLong(p -> p[0]).min().getAsLong();
                assertEquals(first - passed, timers.nextDeadlineNanos() - now);
            }
        }
    }

    @Test
    void cancelledTimersDoNotAccumulate() {
        TimerQueue timers = new TimerQueue();
        timers.schedule(0, () -> {});
        for (int i = 1; i <= 100_000; i++) {
            timers.schedule(i, () -> {}).cancel();
            assertTrue(timers.size() <= 130, "kept " + timers.size());
        }
    }

    @Test
    void timerSetByATimerWaitsForTheNextRun() {
        TimerQueue timers = new TimerQueue();
        List<String> ran = new ArrayList<>();
        timers.schedule(1, () -> {
            ran.add("first");
            timers.schedule(1, () -> ran.add("second"));
            timers.runDue(9);
        });
        timers.runDue(1);
        assertEquals(List.of("first"), ran);
        timers.runDue(1);
        assertEquals(List.of("first", "second"), ran);
    }
}
