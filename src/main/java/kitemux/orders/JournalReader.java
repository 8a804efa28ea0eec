package kitemux.orders;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.stream.Stream;
import kitemux.disk.Disk;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Segment.Content;
import kitemux.orders.Segment.CorruptRange;
import kitemux.orders.Segment.LocatedEntry;
import kitemux.orders.SegmentIndex.LookupField;

/**
 * Reads the journal of a running or stopped node, one segment at a time. Only {@link #rebuildIndexes} writes
 * to the folder. Entries that a running node writes meanwhile are found if they were written before their
 * segment was read.
 */
public final class JournalReader {
    private final Disk disk;

    JournalReader(Disk disk) {
        this.disk = disk;
    }

    /** Receives the segments of a journal, the oldest first. */
    interface Visitor {
        /**
         * Receives a segment.
         *
         * @param name the segment's file name
         * @param isLast whether it is the last segment
         */
        void visit(String name, boolean isLast, Content content);
    }

    private void forEachSegment(LongPredicate filter, Visitor visitor) throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        for (int i = 0; i < segments.size(); i++) {
            String name = SegmentNames.segmentName(segments.get(i));
            try {
                if (filter.test(segments.get(i))) {
                    visitor.visit(name, i == segments.size() - 1, Segment.read(disk.read(name)));
                }
            } catch (NoSuchFileException e) {
                // A running node has deleted the expired segment since the folder was listed.
            }
        }
    }

    /**
     * Passes on the histories of all orders that match a filter. Complete histories come first, in the order
     * in which they were completed, then the others in the order in which they were accepted. Each history is
     * passed on as soon as it is complete, so memory holds only the orders that were open at the same time.
     *
     * @throws IOException if the journal cannot be read
     */
    public void forEachHistory(Predicate<Accepted> filter, Consumer<OrderHistory> consumer) throws IOException {
        forEachHistory(null, filter, consumer);
    }

    /**
     * Passes on the histories of the orders that match a filter and have one of the given ids, keys or
     * idempotency keys. The order is that of {@link #forEachHistory}. Segments whose index excludes all of them
     * are not read.
     *
     * @throws IOException if the journal cannot be read
     */
    public void findHistories(
            Set<String> orderIds,
            Set<String> keys,
            Set<String> idempotencyKeys,
            Predicate<Accepted> filter,
            Consumer<OrderHistory> consumer)
            throws IOException {
        long[] hashes = Stream.of(
                        orderIds.stream().map(LookupField.ORDER::hash),
                        keys.stream().map(LookupField.KEY::hash),
                        idempotencyKeys.stream().map(LookupField.IDEMPOTENCY::hash))
                .flatMap(hashStream -> hashStream)
                .mapToLong(Long::longValue)
                .toArray();
        forEachHistory(
                hashes,
                filter.and(accepted -> orderIds.contains(accepted.orderId())
                        || keys.contains(accepted.key())
                        || idempotencyKeys.contains(accepted.idempotencyKey())),
                consumer);
    }

    private void forEachHistory(long[] hashes, Predicate<Accepted> filter, Consumer<OrderHistory> consumer)
            throws IOException {
        Map<Long, OrderHistory> openHistories = new LinkedHashMap<>();
        long[] highestNumber = new long[1];
        // Open histories continue in the next segment.
        forEachSegment(
                segment -> hashes == null || !openHistories.isEmpty() || mightContain(segment, hashes),
                (name, isLast, content) -> {
                    for (LocatedEntry located : content.entries()) {
                        Entry entry = located.entry();
                        OrderHistory history = openHistories.get(entry.number());
                        if (entry instanceof Accepted accepted) {
                            // After a disk failure the entry may have been written twice; only the first one counts.
                            if (accepted.number() > highestNumber[0] && filter.test(accepted)) {
                                openHistories.put(accepted.number(), new OrderHistory(accepted));
                            }
                            highestNumber[0] = Math.max(highestNumber[0], accepted.number());
                        } else if (history != null && !(entry instanceof Checkpoint)) {
                            history.add(entry);
                            if (history.isComplete()) {
                                openHistories.remove(entry.number());
                                consumer.accept(history);
                            }
                        }
                    }
                });
        new ArrayList<>(openHistories.values()).forEach(consumer);
    }

    private boolean mightContain(long segment, long[] hashes) {
        SegmentIndex index = readIndex(segment);
        return index == null || index.mightContain(hashes);
    }

    /** Returns a segment's index, or null if it is missing, damaged or does not match the segment's size. */
    private SegmentIndex readIndex(long segment) {
        try {
            SegmentIndex index = SegmentIndex.read(disk.read(SegmentNames.indexName(segment)));
            return index != null && index.matches(segment, disk.size(SegmentNames.segmentName(segment))) ? index : null;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Rebuilds missing and damaged indexes. The last segment gets none, since it may still grow.
     *
     * @return the number of indexes that were rebuilt
     * @throws IOException if a segment cannot be read or an index cannot be written
     */
    public int rebuildIndexes() throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        int rebuiltCount = 0;
        for (long segment : segments.subList(0, Math.max(0, segments.size() - 1))) {
            if (readIndex(segment) == null) {
                byte[] bytes = disk.read(SegmentNames.segmentName(segment));
                SegmentIndex.Builder builder = new SegmentIndex.Builder();
                Segment.read(bytes).entries().forEach(located -> builder.add(located.entry()));
                List<String> failed = new ArrayList<>();
                writeIndex(disk, segment, builder.encode(segment, bytes.length), failed::add);
                if (!failed.isEmpty()) {
                    throw new IOException(failed.get(0));
                }
                rebuiltCount++;
            }
        }
        return rebuiltCount;
    }

    /**
     * Writes an index under a temporary name and renames it, so that a failed write does not damage an intact
     * index. A failure is logged only.
     */
    static void writeIndex(Disk disk, long segment, byte[] bytes, Consumer<String> log) {
        String name = SegmentNames.indexName(segment);
        try {
            if (disk.list().contains(name + ".new")) {
                disk.delete(name + ".new");
            }
            try (Disk.OutputFile out = disk.create(name + ".new")) {
                out.write(bytes);
            }
            disk.rename(name + ".new", name);
        } catch (IOException e) {
            // Without the index look-ups take longer; nothing else is lost.
            log.accept("orders: " + name + " cannot be written: " + e);
        }
    }

    /**
     * The result of a verification.
     *
     * @param segments the number of files that were read
     * @param entries the number of valid entries
     * @param faults one line for each corrupt range, beginning with the file's name; empty if there is none
     * @param tornBytes the number of bytes of an incomplete entry or header at the end of the last file. A process
     *     that died while writing leaves them, as does one that is writing now, so they are not a fault.
     */
    public record VerificationResult(int segments, long entries, List<String> faults, int tornBytes) {}

    /**
     * Checks every byte of all segments.
     *
     * @throws IOException if a segment cannot be read
     */
    public VerificationResult verify() throws IOException {
        List<String> faults = new ArrayList<>();
        int[] segments = new int[1];
        long[] entries = new long[1];
        int[] tornBytes = new int[1];
        forEachSegment(segment -> true, (name, isLast, content) -> {
            segments[0]++;
            entries[0] += content.entries().size();
            if (isLast && content.isTorn()) {
                tornBytes[0] = content.faults().get(0).bytes();
                return;
            }
            for (CorruptRange fault : content.faults()) {
                faults.add(name + ", offset " + fault.offset() + ": " + fault.bytes() + " bytes are no entry: "
                        + fault.reason());
            }
            if (content.header() != null
                    && !name.equals(SegmentNames.segmentName(content.header().sequence()))) {
                faults.add(name + ": its header has the sequence number "
                        + content.header().sequence());
            }
        });
        return new VerificationResult(segments[0], entries[0], faults, tornBytes[0]);
    }
}
