package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the size and the kind of the buffers that are read into while many connections hold one. */
class BoundedReadBuffersTest {
    private static final int CONNECTION_COUNT = 1_024;

    private final BoundedReadBuffers buffers = new BoundedReadBuffers();
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);

    /** Lets each connection read as much as it may and hold it, one after another. */
    private List<ByteBuf> holdOneReadEach(int connectionCount) {
        List<ByteBuf> held = new ArrayList<>();
        for (int i = 0; i < connectionCount; i++) {
            held.add(buffers.allocate(allocator, BoundedReadBuffers.maxReadBytes(allocator)));
        }
        return held;
    }

    /** Guards against connections that each hold a long read and together use up the direct memory. */
    @Test
    void oneReadOfEachConnectionFitsIntoTheDirectMemory() {
        List<ByteBuf> held = holdOneReadEach(CONNECTION_COUNT);
        assertTrue(held.stream().allMatch(ByteBuf::isDirect), "none had to come from the heap");
        assertTrue(held.stream().allMatch(buffer -> buffer.capacity() >= BoundedReadBuffers.MIN_READ_BYTES));
        long usedBytes = BoundedReadBuffers.usedDirectBytes(allocator);
        assertTrue(usedBytes <= BoundedReadBuffers.MAX_DIRECT_BYTES, usedBytes + " bytes are used");
        held.forEach(ByteBuf::release);
        assertEquals(0, BoundedReadBuffers.usedDirectBytes(allocator));
        assertEquals(BoundedReadBuffers.MAX_READ_BYTES, BoundedReadBuffers.maxReadBytes(allocator));
    }

    @Test
    void fewConnectionsReadAsMuchAsOne() {
        List<ByteBuf> held = holdOneReadEach(50);
        assertTrue(held.stream().allMatch(buffer -> buffer.capacity() > BoundedReadBuffers.MAX_READ_BYTES / 2));
        held.forEach(ByteBuf::release);
    }

    @Test
    void buffersComeFromTheHeapOnceTheDirectMemoryIsUsedUp() {
        ByteBuf most = allocator.directBuffer((int) BoundedReadBuffers.MAX_DIRECT_BYTES);
        ByteBuf next = buffers.allocate(allocator, BoundedReadBuffers.maxReadBytes(allocator));
        assertFalse(next.isDirect());
        assertEquals(BoundedReadBuffers.MIN_READ_BYTES, next.capacity());
        next.release();
        most.release();
        ByteBuf later = buffers.allocate(allocator, BoundedReadBuffers.MIN_READ_BYTES);
        assertTrue(later.isDirect());
        later.release();
    }

    /** Guards against a failed allocation that ends a connection, and against a second one that blocks the loop again. */
    @Test
    void failedAllocationIsServedFromTheHeapAndNotRepeated() {
        ScarceAllocator scarce = new ScarceAllocator(100_000);
        ByteBuf first = buffers.allocate(scarce, 60_000);
        assertTrue(first.isDirect());
        ByteBuf second = buffers.allocate(scarce, 60_000);
        assertFalse(second.isDirect());
        ByteBuf third = buffers.allocate(scarce, 60_000);
        assertFalse(third.isDirect());
        assertEquals(1, scarce.failureCount);
        first.release();
        second.release();
        third.release();
        ByteBuf afterwards = buffers.allocate(scarce, 60_000);
        assertTrue(afterwards.isDirect());
        afterwards.release();
    }

    /** An allocator in a JVM with little direct memory. */
    private static final class ScarceAllocator extends AbstractByteBufAllocator
            implements ByteBufAllocatorMetricProvider {
        private final UnpooledByteBufAllocator system = new UnpooledByteBufAllocator(false, true);
        private final long limitBytes;
        int failureCount;

        ScarceAllocator(long limitBytes) {
            this.limitBytes = limitBytes;
        }

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            return system.heapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            if (metric().usedDirectMemory() + initialCapacity > limitBytes) {
                failureCount++;
                throw new OutOfMemoryError("Cannot reserve " + initialCapacity + " bytes of direct buffer memory");
            }
            return system.directBuffer(initialCapacity, maxCapacity);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }

        @Override
        public ByteBufAllocatorMetric metric() {
            return system.metric();
        }
    }
}
