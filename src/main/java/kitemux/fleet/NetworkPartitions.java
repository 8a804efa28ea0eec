package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;

/** Tracks which zones are partitioned from the others, and defers actions until zones are connected again. */
final class NetworkPartitions {
    /** Number of partitions in effect for each zone; several may overlap. */
    private final int[] isolationCounts;

    private final List<PendingAction> pendingActions = new ArrayList<>();

    private record PendingAction(int firstZone, int secondZone, Runnable action) {}

    NetworkPartitions(int zones) {
        isolationCounts = new int[zones];
    }

    /** Isolates a zone from all others. */
    void isolate(int zone) {
        isolationCounts[zone]++;
    }

    /**
     * Ends one partition of a zone and runs the actions that waited for it, in the order in which they were
     * requested.
     */
    void heal(int zone) {
        isolationCounts[zone]--;
        List<PendingAction> pending = new ArrayList<>(pendingActions);
        pendingActions.clear();
        pending.forEach(one -> whenConnected(one.firstZone, one.secondZone, one.action));
    }

    /** Returns whether messages between two zones are lost. */
    boolean isPartitioned(int firstZone, int secondZone) {
        return firstZone != secondZone && (isolationCounts[firstZone] > 0 || isolationCounts[secondZone] > 0);
    }

    /** Runs an action now, or as soon as the two zones are connected. */
    void whenConnected(int firstZone, int secondZone, Runnable action) {
        if (isPartitioned(firstZone, secondZone)) {
            pendingActions.add(new PendingAction(firstZone, secondZone, action));
        } else {
            action.run();
        }
    }
}
