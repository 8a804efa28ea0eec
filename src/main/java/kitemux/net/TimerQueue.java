package kitemux.net;

import java.util.PriorityQueue;
import kitemux.engine.Clock;

/**
 * The timers of one thread, in the order in which they are due; those of one moment in the order in which
 * they were set. It knows no clock and sleeps for nobody. Most timers are called off, and rest here until
 * they would have been due or make up half of all: an answer must not cost a search for its request's timer.
 */
final class TimerQueue {
    /** Up to here those called off are not worth clearing out. */
    private static final int FEW = 64;

    private final PriorityQueue<Set> queue = new PriorityQueue<>();
    private long lastNumber;
    private int calledOff;
    private boolean running;

    /** A timer that was set. */
    private final class Set implements Clock.Timer, Comparable<Set> {
        private final long atNanos;
        private final long number = ++lastNumber;
        /** Null once it has run or was called off. */
        private Runnable task;

        Set(long atNanos, Runnable task) {
            this.atNanos = atNanos;
            this.task = task;
        }

        @Override
        public void cancel() {
            if (task != null) {
                task = null;
                calledOff++;
                clearOut();
            }
        }

        @Override
        public int compareTo(Set other) {
            // Clocks of nanoseconds may run over: the difference tells.
            int byTime = Long.signum(atNanos - other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Sets a timer; the clock's nanoseconds must be less than 292 years apart. */
    Clock.Timer set(long atNanos, Runnable task) {
        Set set = new Set(atNanos, task);
        queue.add(set);
        return set;
    }

    private void clearOut() {
        while (!queue.isEmpty() && queue.peek().task == null) {
            queue.poll();
            calledOff--;
        }
        if (calledOff > FEW && 2 * calledOff > queue.size()) {
            queue.removeIf(set -> set.task == null);
            calledOff = 0;
        }
    }

    /** Whether none is set that may still run. */
    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** When the first is due. There must be one. */
    long firstNanos() {
        return queue.element().atNanos;
    }

    /** How many are kept, those called off among them. */
    int size() {
        return queue.size();
    }

    /**
     * Runs all that were due by then and were set before this call, in order. What they set waits for the
     * next call, so that none can hold the thread for good. A call from inside one of them does nothing.
     */
    void run(long dueByNanos) {
        if (running) {
            return;
        }
        running = true;
        long upTo = lastNumber;
        try {
            while (!queue.isEmpty() && queue.peek().atNanos - dueByNanos <= 0 && queue.peek().number <= upTo) {
                Set due = queue.poll();
                Runnable task = due.task;
                due.task = null;
                clearOut();
                task.run();
            }
        } finally {
            running = false;
        }
    }
}
