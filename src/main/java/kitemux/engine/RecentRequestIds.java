package kitemux.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of requests that may have run without their clients knowing it. A second request with such an id
 * could take effect twice. Ids are forgotten after a time, and the oldest ones earlier if they take too much memory.
 */
public final class RecentRequestIds {
    /** How long an id is remembered, in microseconds: longer than any client waits for the rest of its tries. */
    static final long RETENTION_US = 10_000_000;
    /** Memory of all remembered ids together, in bytes. */
    public static final int MAX_TOTAL_BYTES = 1 << 20;
    /** Memory of an entry, besides the characters of its id, in bytes. */
    static final int ENTRY_BYTES = 160;

    /** The time at which each id is forgotten, in the order of these times. */
    private final Map<String, Long> expiryTimes = new LinkedHashMap<>();

    private int totalBytes;

    /** Creates an empty memory. */
    RecentRequestIds() {}

    /** Remembers an id from this time on, in microseconds of the caller's clock. */
    void add(String id, long nowUs) {
        if (expiryTimes.remove(id) == null) {
            totalBytes += ENTRY_BYTES + id.length();
        }
        expiryTimes.put(id, nowUs + RETENTION_US);
        forgetOldest(nowUs);
    }

    /** Returns whether the id is remembered at this time. */
    boolean contains(String id, long nowUs) {
        forgetOldest(nowUs);
        return expiryTimes.containsKey(id);
    }

    private void forgetOldest(long nowUs) {
        Iterator<Map.Entry<String, Long>> oldestFirst = expiryTimes.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> oldest = oldestFirst.next();
            if (oldest.getValue() > nowUs && totalBytes <= MAX_TOTAL_BYTES) {
                return;
            }
            totalBytes -= ENTRY_BYTES + oldest.getKey().length();
            oldestFirst.remove();
        }
    }
}
