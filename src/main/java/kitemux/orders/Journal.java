package kitemux.orders;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import kitemux.disk.Disk;
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.LeftOpen;
import kitemux.orders.Segment.Content;
import kitemux.orders.Segment.CorruptRange;
import kitemux.orders.Segment.Header;

/**
 * An order journal on a disk, as a sequence of append-only segments. Only one thread may use it. Opening it
 * recovers what earlier processes wrote. After any failure the journal must be closed and opened again, since
 * only reading the disk tells what a failed write or sync has left there.
 */
final class Journal implements AutoCloseable {
    /** Segments deleted at a time; bounds how long a deletion delays the writer. */
    private static final int MAX_DELETED_SEGMENT_COUNT = 8;

    /**
     * Limits on segments. Segments are deleted when a new one begins, and only if all their orders are closed.
     *
     * @param segmentBytes the size at which a segment ends
     * @param segmentAgeUs the age at which a segment ends
     * @param retentionUs how long after its end a segment is deleted; 0 disables deletion by age
     * @param maxTotalBytes the size of all segments above which the oldest are deleted; 0 disables deletion by
     *     size
     */
    record Limits(long segmentBytes, long segmentAgeUs, long retentionUs, long maxTotalBytes) {}

    private final Disk disk;
    private final Limits limits;
    private final LongSupplier clockUs;
    private final LongSupplier nonceSource;
    private final Consumer<String> log;
    private final OpenOrders openOrders;
    private SegmentIndex.Builder index = new SegmentIndex.Builder();
    private Header header;
    private Disk.OutputFile out;
    private long segmentLength;

    private Journal(
            Disk disk,
            Limits limits,
            LongSupplier clockUs,
            LongSupplier nonceSource,
            Consumer<String> log,
            OpenOrders openOrders) {
        this.openOrders = openOrders;
        this.disk = disk;
        this.limits = limits;
        this.clockUs = clockUs;
        this.nonceSource = nonceSource;
        this.log = log;
    }

    /**
     * Opens a journal: recovers the existing segments, marks open orders as left open, and makes the journal
     * ready for writing. It reads one segment, or two if the process died while it was beginning the last one.
     *
     * @param nonceSource supplies random numbers for segment headers
     * @param log receives lines for the operators, one for each corrupt range
     * @throws IOException if the disk fails
     */
    static Journal open(Disk disk, Limits limits, LongSupplier clockUs, LongSupplier nonceSource, Consumer<String> log)
            throws IOException {
        Journal journal = new Journal(disk, limits, clockUs, nonceSource, log, new OpenOrders());
        try {
            journal.recover();
            return journal;
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    /**
     * Continues a journal that this process wrote and that has failed, in a new segment. The open orders are
     * known and still in progress, so they are not marked as left open. Existing files are not changed.
     *
     * @throws IOException if the disk fails
     */
    static Journal reopen(Journal failedJournal) throws IOException {
        Journal journal = new Journal(
                failedJournal.disk,
                failedJournal.limits,
                failedJournal.clockUs,
                failedJournal.nonceSource,
                failedJournal.log,
                failedJournal.openOrders);
        try {
            List<Long> sequences = SegmentNames.sequences(failedJournal.disk.list());
            long lastSequence = sequences.isEmpty() ? 0 : sequences.get(sequences.size() - 1);
            journal.beginSegment(Math.max(lastSequence, failedJournal.header.sequence()) + 1);
            return journal;
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    private void recover() throws IOException {
        List<Long> sequences = SegmentNames.sequences(disk.list());
        long lastSequence = sequences.isEmpty() ? 0 : sequences.get(sequences.size() - 1);
        for (int i = sequences.size() - 1; i >= 0 && header == null; i--) {
            resumeSegment(sequences.get(i));
        }
        if (header == null || segmentLength >= limits.segmentBytes || header.sequence() < lastSequence) {
            beginSegment(lastSequence + 1);
        }
        List<Entry> leftOpen = new ArrayList<>();
        for (long number : openOrders.numbers()) {
            leftOpen.add(new LeftOpen(number, clockUs.getAsLong()));
        }
        if (!leftOpen.isEmpty()) {
            append(leftOpen);
            sync();
            log.accept("orders: " + leftOpen.size() + " were open as the node ended; they are marked as such");
        }
    }

    /**
     * Loads a segment and continues it. A segment without a complete checkpoint was only being begun and holds
     * no information, so it is set aside.
     */
    private void resumeSegment(long sequence) throws IOException {
        String name = SegmentNames.segmentName(sequence);
        Content content = Segment.read(disk.read(name));
        if (!hasCompleteCheckpoint(content) || content.header().sequence() != sequence) {
            // The file is not deleted, since an operator may recover more from it than this program can.
            log.accept("orders: " + name + " has no whole beginning and is set aside");
            disk.rename(name, name + SegmentNames.SET_ASIDE_SUFFIX);
            disk.syncDirectory();
            return;
        }
        for (CorruptRange fault : content.faults()) {
            log.accept("orders: " + name + ", offset " + fault.offset() + ": " + fault.bytes() + " bytes are no entry: "
                    + fault.reason());
        }
        for (Segment.LocatedEntry located : content.entries()) {
            openOrders.apply(located.entry());
            index.add(located.entry());
        }
        header = content.header();
        segmentLength = content.validBytes();
        out = disk.append(name, segmentLength);
        out.sync();
    }

    /** Returns whether the header and the checkpoint are complete. */
    private static boolean hasCompleteCheckpoint(Content content) {
        for (Segment.LocatedEntry located : content.entries()) {
            if (!(located.entry() instanceof Checkpoint checkpoint)) {
                return false;
            }
            if (checkpoint.last()) {
                return true;
            }
        }
        return false;
    }

    private void beginSegment(long sequence) throws IOException {
        if (out != null) {
            out.sync();
            out.close();
            JournalReader.writeIndex(disk, header.sequence(), index.encode(header.sequence(), segmentLength), log);
        }
        index = new SegmentIndex.Builder();
        header = new Header(sequence, nonceSource.getAsLong(), clockUs.getAsLong());
        out = disk.create(SegmentNames.segmentName(sequence));
        try {
            out.write(header.bytes());
            segmentLength = Segment.HEADER_BYTES;
            writeFrames(openOrders.checkpoint(clockUs.getAsLong()));
            out.sync();
            disk.syncDirectory();
        } catch (IOException e) {
            // No acknowledged entry is in this segment. Without the deletion, retries on a full disk would
            // fill it with incomplete segments.
            out.close();
            out = null;
            disk.delete(SegmentNames.segmentName(sequence));
            throw e;
        }
    }

    /**
     * Deletes the oldest segments that exceed the limits. A segment ended when the next one began, and the
     * numbers of its orders are below the number in the next segment's checkpoint.
     */
    private void deleteExpiredSegments() {
        if (limits.retentionUs == 0 && limits.maxTotalBytes == 0) {
            return;
        }
        try {
            List<Long> sequences = SegmentNames.sequences(disk.list());
            long excessBytes = limits.maxTotalBytes == 0 ? 0 : totalBytes(sequences) - limits.maxTotalBytes;
            for (int i = 0; i < Math.min(sequences.size() - 1, MAX_DELETED_SEGMENT_COUNT); i++) {
                Content nextSegment = Segment.read(disk.read(SegmentNames.segmentName(sequences.get(i + 1))));
                if (!hasCompleteCheckpoint(nextSegment)
                        || excessBytes <= 0 && !isExpired(nextSegment.header())
                        || openOrders.oldestNumber()
                                < nextSegment.entries().get(0).entry().number()) {
                    return;
                }
                excessBytes -= disk.size(SegmentNames.segmentName(sequences.get(i)));
                disk.delete(SegmentNames.segmentName(sequences.get(i)));
                if (disk.list().contains(SegmentNames.indexName(sequences.get(i)))) {
                    disk.delete(SegmentNames.indexName(sequences.get(i)));
                }
            }
        } catch (IOException e) {
            // This costs disk space only; the deletion is retried with the next segment.
            log.accept("orders: old segments cannot be taken away: " + e);
        }
    }

    private boolean isExpired(Header nextSegment) {
        return limits.retentionUs > 0 && nextSegment.createdAtUs() <= clockUs.getAsLong() - limits.retentionUs;
    }

    private long totalBytes(List<Long> sequences) throws IOException {
        long bytes = 0;
        for (long sequence : sequences) {
            bytes += disk.size(SegmentNames.segmentName(sequence));
        }
        return bytes;
    }

    private void writeFrames(List<Entry> entries) throws IOException {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (Entry entry : entries) {
            frames.writeBytes(Segment.encodeFrame(header, segmentLength + frames.size(), entry));
        }
        out.write(frames.toByteArray());
        segmentLength += frames.size();
    }

    /**
     * Appends entries. They are durable once {@link #sync} has returned.
     *
     * @throws IOException if the disk fails
     */
    void append(List<Entry> entries) throws IOException {
        if (segmentLength >= limits.segmentBytes || clockUs.getAsLong() - header.createdAtUs() >= limits.segmentAgeUs) {
            beginSegment(header.sequence() + 1);
            deleteExpiredSegments();
        }
        writeFrames(entries);
        for (Entry entry : entries) {
            openOrders.apply(entry);
            index.add(entry);
        }
    }

    /**
     * Makes all appended entries durable.
     *
     * @throws IOException if the disk fails
     */
    void sync() throws IOException {
        out.sync();
    }

    /** Returns the number for the next request that is accepted. */
    long nextNumber() {
        return openOrders.nextNumber();
    }

    /** Returns the header of the segment that is being written. */
    Header header() {
        return header;
    }

    /** Returns the number of the oldest open request; segments that end before it hold closed orders only. */
    long oldestOpen() {
        return openOrders.oldestNumber();
    }

    @Override
    public void close() throws IOException {
        if (out != null) {
            out.close();
            out = null;
        }
    }
}
