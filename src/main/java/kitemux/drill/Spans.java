package kitemux.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When something was the case, for each of many: stretches of time with a beginning and, once known, an
 * end.
 */
final class Spans {
    private final Map<String, List<long[]>> of = new HashMap<>();

    void begins(String what, long atUs) {
        of.computeIfAbsent(what, w -> new ArrayList<>()).add(new long[] {atUs, Long.MAX_VALUE});
    }

    /** The latest that is open ends. */
    void ends(String what, long atUs) {
        List<long[]> all = of.getOrDefault(what, List.of());
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i)[1] == Long.MAX_VALUE) {
                all.get(i)[1] = atUs;
                return;
            }
        }
    }

    /** Whether it was the case at any time from one to another, or ended so little before. */
    boolean touches(String what, long fromUs, long toUs, long afterUs) {
        return of.getOrDefault(what, List.of()).stream()
                .anyMatch(span -> span[0] <= toUs && (span[1] == Long.MAX_VALUE || span[1] + afterUs >= fromUs));
    }

    /** When the stretch that holds this time ends; the time itself where none does. */
    long endOf(String what, long atUs) {
        long end = atUs;
        for (long[] span : of.getOrDefault(what, List.of())) {
            end = span[0] <= atUs && span[1] > end ? span[1] : end;
        }
        return end;
    }
}
