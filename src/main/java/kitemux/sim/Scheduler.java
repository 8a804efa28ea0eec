package kitemux.sim;

import java.util.Arrays;

/**
 * A scheduler of events in virtual time. Events run in the order of their time and, for equal times, in the order
 * in which they were scheduled. This class is not thread-safe.
 *
 * <p>The events are kept in a four-ary heap in which each event knows its index, so that a cancelled event is
 * removed immediately: nodes cancel most of their timers, and a plain priority queue would keep them until they
 * are due.
 */
public final class Scheduler {
    private static final int CHILD_COUNT = 4;
    private static final int INITIAL_CAPACITY = 64;

    private Event[] heap = new Event[INITIAL_CAPACITY];
    private int size;
    private long nowNanos;
    private long scheduledEventCount;
    private long executedEventCount;

    /** A scheduled event. */
    public static final class Event {
        private final long timeNanos;
        private final long order;
        private Runnable action;
        /** Index of the event in the heap. */
        private int heapIndex;

        private final Scheduler scheduler;

        private Event(Scheduler scheduler, long timeNanos, long order, Runnable action) {
            this.scheduler = scheduler;
            this.timeNanos = timeNanos;
            this.order = order;
            this.action = action;
        }

        /** Cancels the event; has no effect once it has run. */
        public void cancel() {
            if (action != null) {
                action = null;
                scheduler.remove(heapIndex);
            }
        }

        private boolean isBefore(Event other) {
            return timeNanos < other.timeNanos || timeNanos == other.timeNanos && order < other.order;
        }
    }

    /** Returns the virtual time in nanoseconds since the start of the simulation. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Returns the virtual time in microseconds since the start of the simulation. */
    public long nowUs() {
        return nowNanos / 1_000;
    }

    /** Returns the number of events that have run. */
    public long executedEventCount() {
        return executedEventCount;
    }

    /** Returns the number of events that are scheduled. */
    public int pendingEventCount() {
        return size;
    }

    /** Returns the time of the next event in nanoseconds, or {@link Long#MAX_VALUE} if there is none. */
    public long nextEventNanos() {
        return size == 0 ? Long.MAX_VALUE : heap[0].timeNanos;
    }

    /** Schedules an action at the given time in nanoseconds, or now if that time has passed. */
    public Event scheduleAt(long timeNanos, Runnable action) {
        Event event = new Event(this, Math.max(nowNanos, timeNanos), scheduledEventCount++, action);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        siftUp(size++, event);
        return event;
    }

    /** Schedules an action after a delay in microseconds; a time beyond the clock's range is set to its end. */
    public Event scheduleAfterUs(long delayUs, Runnable action) {
        return scheduleAt(
                delayUs > (Long.MAX_VALUE - nowNanos) / 1_000 ? Long.MAX_VALUE : nowNanos + delayUs * 1_000, action);
    }

    /** Schedules an action after a delay in milliseconds. */
    public Event scheduleAfterMs(long delayMs, Runnable action) {
        return scheduleAt(nowNanos + delayMs * 1_000_000, action);
    }

    /**
     * Runs the next event and advances the time to it.
     *
     * @param untilNanos the latest time of an event to run; without such an event the time advances to it
     * @return false if no event is due by that time
     */
    public boolean runNext(long untilNanos) {
        if (size == 0 || heap[0].timeNanos > untilNanos) {
            nowNanos = Math.max(nowNanos, untilNanos);
            return false;
        }
        Event next = heap[0];
        remove(0);
        nowNanos = next.timeNanos;
        executedEventCount++;
        Runnable action = next.action;
        next.action = null;
        action.run();
        return true;
    }

    private void remove(int index) {
        Event last = heap[--size];
        heap[size] = null;
        if (index < size) {
            if (index > 0 && last.isBefore(heap[(index - 1) / CHILD_COUNT])) {
                siftUp(index, last);
            } else {
                siftDown(index, last);
            }
        }
    }

    private void siftUp(int from, Event event) {
        int index = from;
        while (index > 0) {
            int parent = (index - 1) / CHILD_COUNT;
            if (!event.isBefore(heap[parent])) {
                break;
            }
            put(index, heap[parent]);
            index = parent;
        }
        put(index, event);
    }

    private void siftDown(int from, Event event) {
        int index = from;
        while (true) {
            int firstChild = index * CHILD_COUNT + 1;
            if (firstChild >= size) {
                break;
            }
            int earliestChild = firstChild;
            for (int child = firstChild + 1; child < Math.min(firstChild + CHILD_COUNT, size); child++) {
                earliestChild = heap[child].isBefore(heap[earliestChild]) ? child : earliestChild;
            }
            if (!heap[earliestChild].isBefore(event)) {
                break;
            }
            put(index, heap[earliestChild]);
            index = earliestChild;
        }
        put(index, event);
    }

    private void put(int index, Event event) {
        heap[index] = event;
        event.heapIndex = index;
    }
}
