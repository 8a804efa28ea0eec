package kitemux.world;

import java.util.PriorityQueue;

/** Virtual time: what is to happen, in order of time and then of having been asked for. */
final class Scheduler {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long asked;
    private long steps;

    /** Something that is to happen. */
    static final class Event implements Comparable<Event> {
        private final long at;
        private final long order;
        private Runnable what;

        private Event(long at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        /** It does not happen. */
        void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Nanoseconds since the world began. */
    long now() {
        return now;
    }

    long nowUs() {
        return now / 1_000;
    }

    /** How many events have happened. */
    long steps() {
        return steps;
    }

    /** At this time, or now if it has passed; behind all that was asked for before at the same time. */
    Event at(long nanos, Runnable what) {
        Event event = new Event(Math.max(now, nanos), asked++, what);
        events.add(event);
        return event;
    }

    Event afterUs(long us, Runnable what) {
        return at(now + us * 1_000, what);
    }

    Event afterMs(long ms, Runnable what) {
        return at(now + ms * 1_000_000, what);
    }

    /** Lets the next event happen; false if there is none, or none before this time. */
    boolean step(long untilNanos) {
        Event next = events.peek();
        while (next != null && next.what == null) {
            events.poll();
            next = events.peek();
        }
        if (next == null || next.at > untilNanos) {
            now = Math.max(now, untilNanos);
            return false;
        }
        events.poll();
        now = next.at;
        steps++;
        Runnable what = next.what;
        next.what = null;
        what.run();
        return true;
    }
}
