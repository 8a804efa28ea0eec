package kitemux.orders;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Entry.Accepted;

/** Which requests of a journal are owed an answer or have attempts out, as its entries go by. */
final class OpenOrders {
    /** What is still to come of one that is open. */
    private static final class Open {
        private int attempts;
        private boolean answered;
    }

    private final TreeMap<Long, Open> open = new TreeMap<>();
    private long next = 1;

    /**
     * Heeds an entry. Those of requests that are not open are passed over: spoilt bytes may have hidden any.
     */
    void add(Entry entry) {
        next = Math.max(next, entry instanceof Checkpoint ? entry.number() : entry.number() + 1);
        if (entry instanceof Accepted) {
            open.put(entry.number(), new Open());
        } else if (entry instanceof Checkpoint point) {
            // Attempts that were out then count as one: those that it does not tell of end unknown.
            point.open().forEach(number -> open.putIfAbsent(number, new Open()));
        } else if (entry instanceof LeftOpen) {
            open.remove(entry.number());
        } else {
            Open of = open.get(entry.number());
            if (of == null) {
                return;
            }
            if (entry instanceof Intent) {
                of.attempts++;
            } else if (entry instanceof Ended) {
                of.attempts = Math.max(0, of.attempts - 1);
            } else if (entry instanceof Answered) {
                of.answered = true;
            }
            if (of.answered && of.attempts == 0) {
                open.remove(entry.number());
            }
        }
    }

    /** The number that the next request taken has. */
    long next() {
        return next;
    }

    /** The numbers of those that are open, in their order. */
    Collection<Long> numbers() {
        return List.copyOf(open.keySet());
    }

    /** The oldest that is open, or the next number: what was before it is over. */
    long oldest() {
        return open.isEmpty() ? next : open.firstKey();
    }

    /** What a new segment begins with. */
    List<Entry> checkpoint(long atUs) {
        List<Long> numbers = new ArrayList<>(open.keySet());
        List<Entry> parts = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(numbers.size(), from + Checkpoint.MAX_OPEN_COUNT);
            parts.add(new Checkpoint(next, atUs, numbers.subList(from, to), to == numbers.size()));
            from = to;
        } while (from < numbers.size());
        return parts;
    }
}
