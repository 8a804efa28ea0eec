package kitemux.rollout;

import java.util.List;
import java.util.SortedMap;

/** What a carrier is to do, in the order in which it was asked for. */
public sealed interface Effect {
    /**
     * Ask another keeper; its answer is told with its number. No answer, no event: the machine has its
     * timers.
     */
    record Send(int to, Request request) implements Effect {}

    /** Answer a keeper's call. */
    record Reply(long call, Response answer) implements Effect {}

    /**
     * Write this behind all that was written, and sync. Only once that and all before it is synced comes
     * {@code then}; what stands behind this effect need not wait.
     */
    record Persist(LogRecord entry, List<Effect> then) implements Effect {}

    /** Answer an operator's call. */
    record CompleteChange(long call, Outcome outcome) implements Effect {}

    /** Write a line to a watch. */
    record SendEvent(long watch, WatchEvent event) implements Effect {}

    /** Answer 503 to a watch that was asked for; it is forgotten. */
    record RejectWatch(long watch, String reason) implements Effect {}

    /** A node: ask this keeper for what comes after a version. */
    record OpenWatch(long watch, int keeper, long afterRev) implements Effect {}

    /** A node: close this watch, or give its dial up; nothing more is told of it. */
    record CloseWatch(long watch) implements Effect {}

    /** A node: have these values in force between two events, whole, then say {@link Subscriber#applied}. */
    record Apply(long rev, SortedMap<String, String> values) implements Effect {}

    /** A node: report to a keeper; it does not matter if it is lost. */
    record SendReport(int keeper, Report report) implements Effect {}
}
