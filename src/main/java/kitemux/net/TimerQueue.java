package kitemux.net;

import java.util.PriorityQueue;
import kitemux.engine.Clock;

/**
 * The timers of one thread, ordered by deadline and, for equal deadlines, by the order in which they were
 * scheduled. The queue has no clock of its own and does not wait. Most timers are cancelled; they stay in the
 * queue until their deadline or until they make up half of the queue, so that a response does not cost a search
 * for the timer of its request.
 */
final class TimerQueue {
    /** Up to this many cancelled timers the queue is not compacted. */
    private static final int MIN_CANCELLED_TO_COMPACT_COUNT = 64;

    private final PriorityQueue<ScheduledTimer> queue = new PriorityQueue<>();
    private long lastSequence;
    private int cancelledCount;
    private boolean running;

    /** A timer in the queue. */
    private final class ScheduledTimer implements Clock.Timer, Comparable<ScheduledTimer> {
        private final long deadlineNanos;
        private final long sequence = ++lastSequence;
        /** Null once the timer has run or was cancelled. */
        private Runnable task;

        ScheduledTimer(long deadlineNanos, Runnable task) {
            this.deadlineNanos = deadlineNanos;
            this.task = task;
        }

        @Override
        public void cancel() {
            if (task != null) {
                task = null;
                cancelledCount++;
                removeCancelled();
            }
        }

        @Override
        public int compareTo(ScheduledTimer other) {
            // Nanosecond clocks may overflow, so the difference is compared.
            int byTime = Long.signum(deadlineNanos - other.deadlineNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Schedules a task; all deadlines in the queue must be less than 292 years apart. */
    Clock.Timer schedule(long deadlineNanos, Runnable task) {
        ScheduledTimer timer = new ScheduledTimer(deadlineNanos, task);
        queue.add(timer);
        return timer;
    }

    private void removeCancelled() {
        while (!queue.isEmpty() && queue.peek().task == null) {
            queue.poll();
            cancelledCount--;
        }
        if (cancelledCount > MIN_CANCELLED_TO_COMPACT_COUNT && 2 * cancelledCount > queue.size()) {
            queue.removeIf(timer -> timer.task == null);
            cancelledCount = 0;
        }
    }

    /** Whether no timer is left to run. */
    boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Returns the earliest deadline.
     *
     * @throws java.util.NoSuchElementException if the queue is empty
     */
    long nextDeadlineNanos() {
        return queue.element().deadlineNanos;
    }

    /** Returns the number of timers in the queue, including cancelled ones. */
    int size() {
        return queue.size();
    }

    /**
     * Runs the timers, in order, that are due at the given time and were scheduled before this call. Timers that
     * they schedule wait for the next call, so that timers cannot block the thread forever. A call from inside
     * a timer does nothing.
     */
    void runDue(long dueByNanos) {
        if (running) {
            return;
        }
        running = true;
        long lastRunnableSequence = lastSequence;
        try {
            while (!queue.isEmpty()
                    && queue.peek().deadlineNanos - dueByNanos <= 0
                    && queue.peek().sequence <= lastRunnableSequence) {
                ScheduledTimer due = queue.poll();
                Runnable task = due.task;
                due.task = null;
                removeCancelled();
                task.run();
            }
        } finally {
            running = false;
        }
    }
}
