package kitemux.sim;

import java.util.Arrays;

/**
 * Virtual time: what is to happen, in order of time and then of having been asked for. One thread calls it.
 *
 * <p>A heap of four children a place that knows where each event stands, so that what is called off leaves it
 * at once: of the timers that a node sets, all but few are called off, and a plain priority queue would hold
 * them until their time.
 */
public final class Scheduler {
    private static final int CHILDREN = 4;
    private static final int FIRST_ROOM = 64;

    private Event[] heap = new Event[FIRST_ROOM];
    private int size;
    private long nowNanos;
    private long asked;
    private long executedEventCount;

    /** Something that is to happen. */
    public static final class Event {
        private final long at;
        private final long order;
        private Runnable what;
        /** Where it stands in the heap. */
        private int place;

        private final Scheduler of;

        private Event(Scheduler of, long at, long order, Runnable what) {
            this.of = of;
            this.at = at;
            this.order = order;
            this.what = what;
        }

        /** It does not happen; without effect once it has. */
        public void cancel() {
            if (what != null) {
                what = null;
                of.remove(place);
            }
        }

        private boolean isBefore(Event other) {
            return at < other.at || at == other.at && order < other.order;
        }
    }

    /** Nanoseconds since the world began. */
    public long nowNanos() {
        return nowNanos;
    }

    /** The same in microseconds. */
    public long nowUs() {
        return nowNanos / 1_000;
    }

    /** How many events have happened. */
    public long executedEventCount() {
        return executedEventCount;
    }

    /** How many are to happen. */
    public int pendingEventCount() {
        return size;
    }

    /** When the next event happens, in nanoseconds; the clock's end if there is none. */
    public long nextEventNanos() {
        return size == 0 ? Long.MAX_VALUE : heap[0].at;
    }

    /** At this time, or now if it has passed; behind all that was asked for before at the same time. */
    public Event scheduleAt(long nanos, Runnable what) {
        Event event = new Event(this, Math.max(nowNanos, nanos), asked++, what);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        raise(size++, event);
        return event;
    }

    /** So many microseconds from now; what is too far off for the clock is at its end. */
    public Event scheduleAfterUs(long us, Runnable what) {
        return scheduleAt(us > (Long.MAX_VALUE - nowNanos) / 1_000 ? Long.MAX_VALUE : nowNanos + us * 1_000, what);
    }

    /** So many milliseconds from now. */
    public Event scheduleAfterMs(long ms, Runnable what) {
        return scheduleAt(nowNanos + ms * 1_000_000, what);
    }

    /** Lets the next event happen; false if there is none, or none up to this time. */
    public boolean runNext(long untilNanos) {
        if (size == 0 || heap[0].at > untilNanos) {
            nowNanos = Math.max(nowNanos, untilNanos);
            return false;
        }
        Event next = heap[0];
        remove(0);
        nowNanos = next.at;
        executedEventCount++;
        Runnable what = next.what;
        next.what = null;
        what.run();
        return true;
    }

    private void remove(int place) {
        Event last = heap[--size];
        heap[size] = null;
        if (place < size) {
            if (place > 0 && last.isBefore(heap[(place - 1) / CHILDREN])) {
                raise(place, last);
            } else {
                lower(place, last);
            }
        }
    }

    private void raise(int from, Event event) {
        int place = from;
        while (place > 0) {
            int parent = (place - 1) / CHILDREN;
            if (!event.isBefore(heap[parent])) {
                break;
            }
            put(place, heap[parent]);
            place = parent;
        }
        put(place, event);
    }

    private void lower(int from, Event event) {
        int place = from;
        while (true) {
            int first = place * CHILDREN + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            for (int child = first + 1; child < Math.min(first + CHILDREN, size); child++) {
                least = heap[child].isBefore(heap[least]) ? child : least;
            }
            if (!heap[least].isBefore(event)) {
                break;
            }
            put(place, heap[least]);
            place = least;
        }
        put(place, event);
    }

    private void put(int place, Event event) {
        heap[place] = event;
        event.place = place;
    }
}
