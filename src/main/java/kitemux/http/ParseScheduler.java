package kitemux.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the processor time that parsing takes in one iteration of the event loop, over all connections together. Input
 * may cost much more time than its bytes suggest: a body in chunks of one byte, or many requests in one read. What finds
 * no time waits in its connection's backlog; connections take turns, a part of the input each, and those that have just
 * begun to wait come first, so that short requests do not wait behind long input.
 */
final class ParseScheduler {
    /** Processor time for parsing while the sockets are read, and again among the tasks of the iteration. */
    static final long MAX_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventLoop loop;
    private final Ticker ticker;
    /** Connections of which no part of the backlog has been parsed. */
    private final ArrayDeque<ClientConnection> newlyWaiting = new ArrayDeque<>();
    /** Connections of which some part of the backlog has been parsed. */
    private final ArrayDeque<ClientConnection> waiting = new ArrayDeque<>();

    /** Processor time that parsing has taken in this phase of the iteration. */
    private long usedNanos;

    private boolean isResetPending;
    private boolean isRunPending;

    /** Creates a scheduler for the connections of this loop. */
    ParseScheduler(EventLoop loop) {
        this.loop = loop;
        ticker = loop.ticker();
    }

    /** Returns whether time is left for parsing in this phase of the iteration. */
    boolean hasTime() {
        return usedNanos < MAX_TIME_NANOS;
    }

    /** Parses a part of the input, which must be small, and counts the time that it takes. */
    void parse(Runnable part) {
        long startNanos = ticker.nanoTime();
        part.run();
        usedNanos += ticker.nanoTime() - startNanos;
        if (!isResetPending) {
            isResetPending = true;
            loop.execute(this::reset);
        }
    }

    private void reset() {
        isResetPending = false;
        usedNanos = 0;
    }

    /** Has a connection parse its backlog when its turn comes; it must not be waiting. */
    void enqueue(ClientConnection connection) {
        newlyWaiting.add(connection);
        scheduleRun();
    }

    /** Schedules a run after the sockets have been read, in this iteration or else in the next. */
    private void scheduleRun() {
        if (!isRunPending) {
            isRunPending = true;
            loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        isRunPending = false;
        usedNanos = 0;
        while (hasTime() && hasWaiting()) {
            ClientConnection next = newlyWaiting.isEmpty() ? waiting.remove() : newlyWaiting.remove();
            parse(() -> parseBacklog(next));
        }
        if (hasWaiting()) {
            scheduleRun();
        }
    }

    private boolean hasWaiting() {
        return !newlyWaiting.isEmpty() || !waiting.isEmpty();
    }

    private void parseBacklog(ClientConnection connection) {
        if (connection.parseBacklogPart()) {
            waiting.add(connection);
        }
    }
}
