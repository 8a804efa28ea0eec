package kitemux.http;

import io.netty.channel.EventLoopGroup;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.net.ByteBudget;

/**
 * The connections whose input stays unread in their sockets until there is room for it. They are read again in the order in
 * which they began to wait, only as many at a time as there is room for.
 */
final class InputAdmission {
    private static final long CHECK_INTERVAL_MS = 5;

    private final EventLoopGroup loop;
    private final ByteBudget input;
    /** The longest waiting connection first. */
    private final Set<ClientConnection> waiting = new LinkedHashSet<>();

    private boolean isCheckPending;

    /**
     * Creates an empty set.
     *
     * @param input the budget in which there must be room
     */
    InputAdmission(EventLoopGroup loop, ByteBudget input) {
        this.loop = loop;
        this.input = input;
    }

    /** Adds a connection that is not read; it is told when it may be read again. */
    void add(ClientConnection connection) {
        waiting.add(connection);
        scheduleCheck();
    }

    /** Removes a connection that has closed, or is read again for another reason. */
    void remove(ClientConnection connection) {
        waiting.remove(connection);
    }

    private void scheduleCheck() {
        if (!isCheckPending) {
            isCheckPending = true;
            loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        isCheckPending = false;
        long count = input.roomBytes() / (Limits.INPUT_SHARE_DIVISOR * Limits.MIN_INPUT_READ_BYTES);
        Iterator<ClientConnection> longestFirst = waiting.iterator();
        for (long admitted = 0; admitted < count && longestFirst.hasNext(); admitted++) {
            ClientConnection next = longestFirst.next();
            longestFirst.remove();
            next.onRoomForInput();
        }
        if (!waiting.isEmpty()) {
            scheduleCheck();
        }
    }
}
