package kitemux.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of requests that may have run without their clients knowing it. A second request with such an id
 * could take effect twice. Ids are forgotten after a time, and the oldest ones earlier if they take too much memory.
 */
final class RecentRequestIds {
    /** How long an id is remembered, in microseconds: longer than any client waits for the rest of its tries. */
    static final long RETENTION_US = 10_000_000;
    /** Maximum length of all remembered ids together, in characters. */
    static final int MAX_TOTAL_CHARS = 256 << 10;

    /** The time at which each id is forgotten, in the order of these times. */
    private final Map<String, Long> expiryTimes = new LinkedHashMap<>();

    private int totalChars;

    /** Remembers an id from this time on, in microseconds of the caller's clock. */
    void add(String id, long nowUs) {
        if (expiryTimes.remove(id) == null) {
            totalChars += id.length();
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
            if (oldest.getValue() > nowUs && totalChars <= MAX_TOTAL_CHARS) {
                return;
            }
            totalChars -= oldest.getKey().length();
            oldestFirst.remove();
        }
    }
}
