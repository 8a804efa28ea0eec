package kitemux.http;

import java.util.List;
import java.util.function.LongUnaryOperator;
import kitemux.engine.RecentRequestIds;
import kitemux.net.BoundedReadBuffers;
import kitemux.net.ByteBudget;

/**
 * The account of the heap: what clients, servers, discovery and operators can make a node hold. Each budget has a limit of
 * its own, and all limits together leave room for the process itself, so that no budget can take the room of another.
 */
public final class MemoryAccount {
    /** Heap of a process at rest, with its classes, settings and the list of some hundred servers, in bytes. */
    static final long PROCESS_BYTES = 4L << 20;
    /** Objects of one connection on the heap, of its codec and of its attempt among them, in bytes. */
    static final long CONNECTION_BYTES = 5L << 10;
    /** Memory of a process outside its heap: code, classes, stacks, the JVM itself and its class archive, in bytes. */
    private static final long OUTSIDE_HEAP_BYTES = 54L << 20;
    /** Direct memory that the JDK takes for its own copies of buffers, in bytes. */
    private static final long JDK_DIRECT_BYTES = 2L << 20;
    /** Part of the heap that is left for garbage between two collections, in bytes. */
    static final long GARBAGE_BYTES = 5L << 19;
    /** The smallest part of its limit to which a budget is reduced in a small process. */
    private static final double MIN_SHARE = 0.1;

    private final ByteBudget bodies;
    private final ByteBudget longBodies;
    private final ByteBudget heads;
    private final ByteBudget input;
    private final ByteBudget responses;

    private MemoryAccount(LongUnaryOperator limit) {
        bodies = new ByteBudget("bodies", limit.applyAsLong(Limits.MAX_TOTAL_REQUEST_BYTES));
        longBodies = new ByteBudget("long_bodies", limit.applyAsLong(Limits.MAX_TOTAL_LONG_REQUEST_BODY_BYTES));
        heads = new ByteBudget("heads", limit.applyAsLong(Limits.MAX_TOTAL_HEAD_BYTES));
        input = new ByteBudget("input", limit.applyAsLong(Limits.MAX_TOTAL_INPUT_BYTES));
        responses = new ByteBudget("responses", limit.applyAsLong(Limits.MAX_TOTAL_BUFFERED_RESPONSE_BYTES));
    }

    /** Returns an unused account with the limits of {@link Limits}. */
    public static MemoryAccount full() {
        return new MemoryAccount(limit -> limit);
    }

    /**
     * Returns an unused account whose limits are reduced so that a process stays below its limit of memory.
     *
     * @param missingBytes by how much the process could exceed that limit with all budgets full; 0 or less for not at all
     */
    public static MemoryAccount reducedBy(long missingBytes) {
        double share = Math.max(MIN_SHARE, 1 - Math.max(0, missingBytes) / (double) budgetBytes());
        return new MemoryAccount(limit -> (long) (limit * share));
    }

    /** Returns what all budgets together may hold, in bytes; long bodies count among the bodies. */
    static long budgetBytes() {
        return Limits.MAX_TOTAL_REQUEST_BYTES
                + Limits.MAX_TOTAL_HEAD_BYTES
                + Limits.MAX_TOTAL_INPUT_BYTES
                + Limits.MAX_TOTAL_BUFFERED_RESPONSE_BYTES;
    }

    /**
     * Returns the heap that a process needs with all budgets full, in bytes.
     *
     * @param maxSockets number of descriptors that the process may hold
     */
    public static long neededHeapBytes(int maxSockets) {
        return PROCESS_BYTES
                + RecentRequestIds.MAX_TOTAL_BYTES
                + maxSockets * CONNECTION_BYTES
                + budgetBytes()
                + GARBAGE_BYTES;
    }

    /**
     * Returns the memory that a process takes at most, in bytes.
     *
     * @param maxHeapBytes size up to which its heap may grow
     */
    public static long processBytes(long maxHeapBytes) {
        return maxHeapBytes + BoundedReadBuffers.MAX_DIRECT_BYTES + JDK_DIRECT_BYTES + OUTSIDE_HEAP_BYTES;
    }

    /** Returns the budget of the bodies of requests, until the last attempt of the request has ended. */
    ByteBudget bodies() {
        return bodies;
    }

    /** Returns the budget of the long ones among these bodies. */
    ByteBudget longBodies() {
        return longBodies;
    }

    /** Returns the budget of requests without their bodies: heads, targets and the objects of a request. */
    ByteBudget heads() {
        return heads;
    }

    /** Returns the budget of input that has been read and waits to be parsed. */
    ByteBudget input() {
        return input;
    }

    /** Returns the budget of responses, while they arrive from servers and while they wait for their clients. */
    public ByteBudget responses() {
        return responses;
    }

    /** Returns the memory held for requests and their input, in bytes. */
    public long requestBytes() {
        return bodies.usedBytes() + heads.usedBytes() + input.usedBytes();
    }

    /** Returns the figures of all budgets. */
    public List<ByteBudget.Usage> usages() {
        return List.of(bodies.usage(), longBodies.usage(), heads.usage(), input.usage(), responses.usage());
    }
}
