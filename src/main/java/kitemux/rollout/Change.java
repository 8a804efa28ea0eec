package kitemux.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What an operator wants changed. Two calls with one id are one change.
 *
 * @param id 16 hex digits, drawn by whoever calls
 * @param base the version that it was made against, from 0
 * @param set new values by path, each as JSON without spaces
 * @param drop paths that go; none of them is in {@code set}
 */
public record Change(String id, long base, SortedMap<String, String> set, SortedSet<String> drop) {
    /** Keeps copies. */
    public Change {
        set = Collections.unmodifiableSortedMap(new TreeMap<>(set));
        drop = Collections.unmodifiableSortedSet(new TreeSet<>(drop));
    }

    /** From any map and set. */
    public static Change of(String id, long base, Map<String, String> set, Iterable<String> drop) {
        SortedSet<String> gone = new TreeSet<>();
        drop.forEach(gone::add);
        return new Change(id, base, new TreeMap<>(set), gone);
    }

    /** What these values become by it. */
    public SortedMap<String, String> applyTo(Map<String, String> values) {
        SortedMap<String, String> now = new TreeMap<>(values);
        now.keySet().removeAll(drop);
        now.putAll(set);
        return now;
    }
}
