package kitemux.rollout;

/**
 * The places at which a simulation lets a defect modify the behaviour of keepers and nodes. The default
 * methods change nothing.
 */
interface Defect {
    /** No defect. */
    Defect NONE = new Defect() {};

    /** Returns the protocol parameters of all keepers and nodes. */
    default ProtocolParameters parameters(ProtocolParameters parameters) {
        return parameters;
    }

    /** Returns the rules by which a keeper validates changes. */
    default Rules keeperRules(Rules rules) {
        return rules;
    }

    /** Returns the request that a keeper handles in place of the received one. */
    default Request request(Request request, long turn) {
        return request;
    }

    /** Returns the response that is sent in place of the actual one. */
    default Response response(Request request, Response response) {
        return response;
    }

    /** Returns another keeper from which the response is counted as well, or -1. */
    default int duplicateSender(int from, Response response) {
        return -1;
    }

    /** Returns whether a log record is synced. */
    default boolean syncs(LogRecord entry) {
        return true;
    }

    /** Returns whether effects that have to wait for a sync do so. */
    default boolean waitsForSync() {
        return true;
    }

    /** Returns whether a keeper with an empty folder keeps the identity of the lost one. */
    default boolean keepsIdentityOfEmptyFolder() {
        return false;
    }

    /** Returns whether a keeper serves nodes before it has caught up, whatever version they ask for. */
    default boolean servesBeforeCaughtUp() {
        return false;
    }

    /** Returns the event that a node handles in place of the received one, or null if it is dropped. */
    default WatchEvent event(WatchEvent event, Rules rules, Subscriber subscriber) {
        return event;
    }

    /** Returns whether a keeper sends an event. */
    default boolean sendsEvent(WatchEvent event, boolean snapshotInProgress) {
        return true;
    }

    /** Returns the keeper that a node connects to in place of the chosen one. */
    default int watchedKeeper(int node, int drawn) {
        return drawn;
    }

    /** Returns whether a node forgets its version when it reconnects. */
    default boolean forgetsVersionOnReconnect() {
        return false;
    }

    /** Returns whether a node reports a version before it is applied. */
    default boolean reportsBeforeApplied() {
        return false;
    }

    /** Returns the report that a keeper handles in place of the received one. */
    default Report report(Report report) {
        return report;
    }
}
