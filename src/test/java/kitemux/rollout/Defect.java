package kitemux.rollout;

/** What a defect does to the parts of a fleet, each at its boundary; nothing of it here. */
interface Defect {
    /** A fleet without one. */
    Defect NONE = new Defect() {};

    /** Where in a version lines go that a keeper asks of itself and its like. */
    default ProtocolParameters terms(ProtocolParameters terms) {
        return terms;
    }

    /** By which a keeper checks. */
    default Rules keeperRules(Rules rules) {
        return rules;
    }

    /** What a keeper takes a request for. */
    default Request asked(Request request, long turn) {
        return request;
    }

    /** What goes out for an answer to a request. */
    default Response answer(Request request, Response answer) {
        return answer;
    }

    /** Another keeper that an answer is taken for as well, or -1. */
    default int alsoFrom(int from, Response answer) {
        return -1;
    }

    /** Whether a record is synced. */
    default boolean syncs(LogRecord kept) {
        return true;
    }

    /** Whether what is to wait for a sync waits. */
    default boolean waitsForSync() {
        return true;
    }

    /** Whether a keeper with an empty folder says that it is who it was. */
    default boolean keepsIdentity() {
        return false;
    }

    /** Whether a keeper takes itself for caught up, and has what nodes ask it for. */
    default boolean servesAtOnce() {
        return false;
    }

    /** What a node takes a line for, and null for one that was not written. */
    default WatchEvent line(WatchEvent line, Rules rules, Subscriber subscriber) {
        return line;
    }

    /** Whether a line is written. */
    default boolean writes(WatchEvent line, boolean wholeUnderWay) {
        return true;
    }

    /** Which keeper a node dials for the one that it drew. */
    default int dialed(int node, int drawn) {
        return drawn;
    }

    /** Whether a node forgets what it has when it dials. */
    default boolean forgets() {
        return false;
    }

    /** Whether a node says that something is in force when it was told to put it there. */
    default boolean reportsEarly() {
        return false;
    }

    /** What a report is taken for. */
    default Report report(Report report) {
        return report;
    }
}
