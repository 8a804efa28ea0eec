package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;

/** Which zones hear nothing from the others, and what waits until they do. */
final class Cuts {
    /** How many cuts of each zone last: two of one zone may overlap. */
    private final int[] cut;

    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(int a, int b, Runnable what) {}

    Cuts(int zones) {
        cut = new int[zones];
    }

    /** Nothing passes between this zone and the others from now on. */
    void cut(int zone) {
        cut[zone]++;
    }

    /**
     * One cut of this zone is over; what waited for that happens now, in the order in which it was asked
     * for.
     */
    void mend(int zone) {
        cut[zone]--;
        List<Waiting> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(one -> whenWhole(one.a, one.b, one.what));
    }

    /** Whether what is sent between two zones is lost. */
    boolean isCut(int a, int b) {
        return a != b && (cut[a] > 0 || cut[b] > 0);
    }

    /** Does it now, or once something passes between the two. */
    void whenWhole(int a, int b, Runnable what) {
        if (isCut(a, b)) {
            waiting.add(new Waiting(a, b, what));
        } else {
            what.run();
        }
    }
}
