package kitemux.orders;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Answered;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Ended;
import kitemux.orders.Entry.Intent;
import kitemux.orders.Entry.LeftOpen;

/**
 * Tracks the open requests of a journal as its entries are applied. A request is open until it has an answer
 * and no attempts are in flight.
 */
final class OpenOrders {
    /** The state of an open request. */
    private static final class OpenOrder {
        private int pendingAttempts;
        private boolean isAnswered;
    }

    private final TreeMap<Long, OpenOrder> ordersByNumber = new TreeMap<>();
    private long nextNumber = 1;

    /**
     * Applies an entry. Entries of requests that are not open are ignored: corrupt bytes may have hidden the
     * entries before them.
     */
    void apply(Entry entry) {
        nextNumber = Math.max(nextNumber, entry instanceof Checkpoint ? entry.number() : entry.number() + 1);
        if (entry instanceof Accepted) {
            ordersByNumber.put(entry.number(), new OpenOrder());
        } else if (entry instanceof Checkpoint checkpoint) {
            // A checkpoint does not say how many attempts are in flight, so they are not counted. The outcome of
            // those without further entries is unknown.
            checkpoint.open().forEach(number -> ordersByNumber.putIfAbsent(number, new OpenOrder()));
        } else if (entry instanceof LeftOpen) {
            ordersByNumber.remove(entry.number());
        } else {
            OpenOrder order = ordersByNumber.get(entry.number());
            if (order == null) {
                return;
            }
            if (entry instanceof Intent) {
                order.pendingAttempts++;
            } else if (entry instanceof Ended) {
                order.pendingAttempts = Math.max(0, order.pendingAttempts - 1);
            } else if (entry instanceof Answered) {
                order.isAnswered = true;
            }
            if (order.isAnswered && order.pendingAttempts == 0) {
                ordersByNumber.remove(entry.number());
            }
        }
    }

    /** Returns the number of the next request to be accepted. */
    long nextNumber() {
        return nextNumber;
    }

    /** Returns the numbers of the open requests, in ascending order. */
    Collection<Long> numbers() {
        return List.copyOf(ordersByNumber.keySet());
    }

    /** Returns the number of the oldest open request, or the next number; all requests below it are closed. */
    long oldestNumber() {
        return ordersByNumber.isEmpty() ? nextNumber : ordersByNumber.firstKey();
    }

    /** Returns the checkpoint with which a new segment begins. */
    List<Entry> checkpoint(long atUs) {
        List<Long> numbers = new ArrayList<>(ordersByNumber.keySet());
        List<Entry> parts = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(numbers.size(), from + Checkpoint.MAX_OPEN_COUNT);
            parts.add(new Checkpoint(nextNumber, atUs, numbers.subList(from, to), to == numbers.size()));
            from = to;
        } while (from < numbers.size());
        return parts;
    }
}
