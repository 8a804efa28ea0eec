package kitemux.world;

import java.util.Locale;

/**
 * Something that goes wrong.
 *
 * @param kind what
 * @param atMs when it begins
 * @param forMs how long it lasts
 * @param share how much of what it befalls, or how bad it is, in [0, 1)
 * @param pick which, in [0, 1)
 */
record Fault(Kind kind, long atMs, long forMs, double share, double pick) {

    /** What can go wrong; the figures are the brief's. */
    enum Kind {
        /** A share of the servers dies at once and comes back cold. */
        BOXES_DIE,
        /** A share goes silent and comes back cold. */
        BOXES_SILENT,
        /** A share quickly fails most requests. */
        BOXES_FAIL,
        /** A share spoils answers. */
        BOXES_SPOIL,
        /** A share resets connections as a request has come whole, before any answer. */
        BOXES_RESET,
        /** A share is slow. */
        BOXES_SLOW,
        /** All servers are silent, then all are cold. */
        ALL_SILENT,
        /** A server drains, goes, and comes back. */
        BOX_DRAINS,
        /** A node is killed and started again. */
        NODE_KILLED,
        /** A node is told to end and started again. */
        NODE_TERMINATED,
        /** A node stands still, again and again. */
        NODE_STALLS,
        /** Discovery is down, at times silently, and comes back knowing less. */
        LIST_DOWN,
        /** Discovery learns very late. */
        LIST_LATE,
        /** Discovery moves, and the nodes are told. */
        LIST_MOVES,
        /** Connections break. */
        NET_BREAKS,
        /** Connections do not come up. */
        NET_HANGS,
        /** All ways are slow. */
        NET_SLOW,
        /** More is asked. */
        BURST,
        /**
         * A node has no processor for a while, and little of one from then on: time passes within its
         * turns.
         */
        NODE_SLOW,
        /** A share gives long answers in pieces, often past their clients' time, and some stop amid them. */
        BOXES_GIVE_LONG
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%s at %d ms for %d ms (share %.2f, pick %.2f)", kind, atMs, forMs, share, pick);
    }
}
