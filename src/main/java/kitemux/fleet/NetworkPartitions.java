package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;

/** Which zones hear nothing from the others, and what waits until they do. */
final class NetworkPartitions {
    /** How many cuts of each zone last: two of one zone may overlap. */
    private final int[] isolate;

    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(int a, int b, Runnable what) {}

    NetworkPartitions(int zones) {
        isolate = new int[zones];
    }

    /** Nothing passes between this zone and the others from now on. */
    void isolate(int zone) {
        isolate[zone]++;
    }

    /**
     * One cut of this zone is over; what waited for that happens now, in the order in which it was asked
     * for.
     */
    void heal(int zone) {
        isolate[zone]--;
        List<Waiting> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(one -> whenConnected(one.a, one.b, one.what));
    }

    /** Whether what is sent between two zones is lost. */
    boolean isPartitioned(int a, int b) {
        return a != b && (isolate[a] > 0 || isolate[b] > 0);
    }

    /** Does it now, or once something passes between the two. */
    void whenConnected(int a, int b, Runnable what) {
        if (isPartitioned(a, b)) {
            waiting.add(new Waiting(a, b, what));
        } else {
            what.run();
        }
    }
}
