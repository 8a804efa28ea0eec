package kitemux.rollout;

import java.util.List;
import java.util.SortedMap;

/**
 * An action that a state machine asks its host to carry out. The host carries effects out in the order in
 * which it received them.
 */
public sealed interface Effect {
    /**
     * Sends a request to a keeper. Its response, if there is one, is passed to {@code handleResponse} with
     * the number of that keeper. The host reports no failure: the state machine has its own timeouts.
     */
    record Send(int to, Request request) implements Effect {}

    /** Sends the response to a request of a keeper. */
    record Reply(long call, Response answer) implements Effect {}

    /**
     * Appends a record to the log and syncs it. The effects in {@code then} are carried out only once this
     * record and all records before it are on disk. Effects that follow this one do not wait for the sync.
     */
    record Persist(LogRecord entry, List<Effect> then) implements Effect {}

    /** Answers an operator's call for a change. */
    record CompleteChange(long call, Outcome outcome) implements Effect {}

    /** Sends an event on a watch. */
    record SendEvent(long watch, WatchEvent event) implements Effect {}

    /** Rejects a requested watch with status 503. The state machine keeps nothing about it. */
    record RejectWatch(long watch, String reason) implements Effect {}

    /** At a node: opens a watch at a keeper for all versions after {@code afterRev}. */
    record OpenWatch(long watch, int keeper, long afterRev) implements Effect {}

    /**
     * At a node: closes a watch or cancels its connection attempt. The host reports nothing more about it.
     */
    record CloseWatch(long watch) implements Effect {}

    /**
     * At a node: applies the complete set of values between two events of the loop and then calls {@link
     * Subscriber#applied}.
     */
    record Apply(long rev, SortedMap<String, String> values) implements Effect {}

    /** At a node: sends a report to a keeper. A lost report does no harm, as reports are repeated. */
    record SendReport(int keeper, Report report) implements Effect {}
}
