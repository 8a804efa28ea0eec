package kitemux.net;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;

/**
 * The heap of this process.
 *
 * @param usedBytes bytes in use, garbage included
 * @param afterCollectionBytes bytes that were in use right after the last collection of each part of the heap; what
 *     the process really holds, 0 before the first collection
 * @param limitBytes bytes that the heap may grow to
 * @param collectionCount collections since the start
 * @param collectionMs time that they took, in milliseconds
 */
public record HeapUsage(
        long usedBytes, long afterCollectionBytes, long limitBytes, long collectionCount, long collectionMs) {
    /** Returns the usage at present. */
    public static HeapUsage current() {
        long afterCollectionBytes = 0;
        for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
            MemoryUsage afterCollection = pool.getType() == MemoryType.HEAP ? pool.getCollectionUsage() : null;
            afterCollectionBytes += afterCollection == null ? 0 : afterCollection.getUsed();
        }
        long collectionCount = 0;
        long collectionMs = 0;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            collectionCount += Math.max(0, collector.getCollectionCount());
            collectionMs += Math.max(0, collector.getCollectionTime());
        }
        MemoryUsage heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
        return new HeapUsage(heap.getUsed(), afterCollectionBytes, heap.getMax(), collectionCount, collectionMs);
    }
}
