package kitemux.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Allocates the buffers that connections to servers read into, so that all of them together fit into the direct memory
 * however many connections hold one. The less of it is left, the less each read takes; connections that hold buffers
 * for slow receivers therefore leave room for the others. Once the direct memory is used up, buffers come from the
 * heap: an allocation that fails would block the event loop for half a second and end the connection that is read.
 *
 * <p>An instance belongs to one event loop.
 */
public final class BoundedReadBuffers extends AdaptiveRecvByteBufAllocator {
    /** Maximum size of one read, in bytes. */
    public static final int MAX_READ_BYTES = 64 << 10;
    /** Minimum size to which a read is reduced, in bytes: a receiver at 64 kB/s still has 60 ms to ask for more. */
    public static final int MIN_READ_BYTES = 4 << 10;
    /** Size of all buffers together from which each read takes {@link #MIN_READ_BYTES}, in bytes. */
    public static final long SHARED_BYTES = 4 << 20;
    /**
     * Size of all buffers together up to which they are taken from the direct memory, in bytes. It leaves room for one
     * minimal read of each of 1,024 connections beyond {@link #SHARED_BYTES}; with the copies that the JDK makes of
     * heap buffers for its system calls it fits into 10 MiB.
     */
    public static final long MAX_DIRECT_BYTES = 8 << 20;
    /** Part of the shared bytes left that one read may take. */
    private static final int SHARE_DIVISOR = 32;
    /** Maximum number of reads from one connection in a turn of the event loop, Netty's default. */
    private static final int MAX_READS_PER_TURN_COUNT = 16;

    /** Size up to which direct memory is used; lowered when the system has less. */
    private long directLimitBytes = MAX_DIRECT_BYTES;

    /** What one read may take at most, asked right before the read. */
    @FunctionalInterface
    public interface ReadLimit {
        /** Returns the number of bytes; with 0 nothing is read. */
        int maxReadBytes();
    }

    private final ReadLimit readLimit;

    /** Creates a source of buffers for all connections of one kind of a node. */
    public BoundedReadBuffers() {
        this(() -> MAX_READ_BYTES);
    }

    /** Creates a source of buffers for the connections whose reads this limit bounds. */
    public BoundedReadBuffers(ReadLimit readLimit) {
        super(DEFAULT_MINIMUM, DEFAULT_INITIAL, MAX_READ_BYTES);
        maxMessagesPerRead(MAX_READS_PER_TURN_COUNT);
        this.readLimit = readLimit;
    }

    @Override
    @SuppressWarnings("deprecation") // Netty calls this method, deprecated as it is.
    public RecvByteBufAllocator.Handle newHandle() {
        return new DelegatingHandle(super.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                int maxBytes = Math.min(readLimit.maxReadBytes(), maxReadBytes(allocator));
                return maxBytes == 0
                        ? Unpooled.EMPTY_BUFFER
                        : BoundedReadBuffers.this.allocate(allocator, Math.min(guess(), maxBytes));
            }
        };
    }

    /** Returns the maximum size of the next read, in bytes. */
    static int maxReadBytes(ByteBufAllocator allocator) {
        long shareBytes = (SHARED_BYTES - usedDirectBytes(allocator)) / SHARE_DIVISOR;
        return (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, shareBytes));
    }

    /** Allocates a buffer of this size from the direct memory, or from the heap if the direct memory is used up. */
    public ByteBuf allocate(ByteBufAllocator allocator, int bytes) {
        if (usedDirectBytes(allocator) + bytes > directLimitBytes) {
            return allocator.heapBuffer(bytes);
        }
        try {
            return allocator.directBuffer(bytes);
        } catch (OutOfMemoryError e) {
            // The JVM was started with less direct memory. It searches for half a second before it gives up, so it is
            // not asked for as much again.
            directLimitBytes = usedDirectBytes(allocator);
            return allocator.heapBuffer(bytes);
        }
    }

    /** Returns the size of all direct buffers that the allocator's users hold, in bytes. */
    public static long usedDirectBytes(ByteBufAllocator allocator) {
        ByteBufAllocatorMetric metric = ((ByteBufAllocatorMetricProvider) allocator).metric();
        return metric.usedDirectMemory();
    }
}
