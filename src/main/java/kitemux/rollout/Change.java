package kitemux.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A change to the configuration that an operator requests. Two calls with the same id are the same change.
 *
 * @param id 16 hexadecimal digits, drawn at random by the caller
 * @param base version on which the change is based, from 0
 * @param set new values by path, each as JSON without spaces
 * @param drop paths to remove; none of them is in {@code set}
 */
public record Change(String id, long base, SortedMap<String, String> set, SortedSet<String> drop) {
    /** Copies the collections, so that the change is immutable. */
    public Change {
        set = Collections.unmodifiableSortedMap(new TreeMap<>(set));
        drop = Collections.unmodifiableSortedSet(new TreeSet<>(drop));
    }

    /** Creates a change from unsorted collections. */
    public static Change of(String id, long base, Map<String, String> set, Iterable<String> drop) {
        SortedSet<String> gone = new TreeSet<>();
        drop.forEach(gone::add);
        return new Change(id, base, new TreeMap<>(set), gone);
    }

    /** Returns a copy of the given values with this change applied. */
    public SortedMap<String, String> applyTo(Map<String, String> values) {
        SortedMap<String, String> now = new TreeMap<>(values);
        now.keySet().removeAll(drop);
        now.putAll(set);
        return now;
    }
}
