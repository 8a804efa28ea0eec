package kitemux;

import kitemux.Balancer.DedupScope;

/**
 * The process that a server's id stood for when an attempt was sent. The id, like its address, may stand for another
 * process later, which remembers nothing of the attempt and may belong to another group.
 *
 * @param zone index of its zone
 * @param cell number of its group of servers that share the keys they have seen
 * @param startedAtUs when it started, in microseconds; 0 means long ago
 */
record ServerProcess(int zone, int cell, long startedAtUs) {

    /** Returns whether this process and another one drop each other's repeats of a keyed request. */
    boolean sharesKeysWith(ServerProcess other, DedupScope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone == other.zone;
            case CELL -> cell == other.cell;
        };
    }
}
