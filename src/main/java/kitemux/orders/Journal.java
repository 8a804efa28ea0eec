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
import kitemux.orders.Segment.Fault;
import kitemux.orders.Segment.Header;

/**
 * The journal on its disk, for the one thread that writes it: recovered as it is opened, gone on with in
 * segments. After any failure it is to be closed and opened anew: what a failed write or sync has left on a
 * disk cannot be known, and is only found by reading it.
 */
final class Journal implements AutoCloseable {
    /** Files taken away at a time, so that the writer is not held up for long. */
    private static final int MOST_TAKEN_AWAY = 8;

    /**
     * When segments end and go.
     *
     * @param bytes a segment is ended after so many
     * @param ageUs or when it was begun so long ago
     * @param keepUs one that ended so long ago, with nothing open in it, is taken away as a new one is begun;
     *     0 keeps them however old
     * @param keepBytes the oldest are taken away as well while all together have more than this, with nothing
     *     open in them; 0 keeps them however many
     */
    record Limits(long bytes, long ageUs, long keepUs, long keepBytes) {}

    private final Disk disk;
    private final Limits limits;
    private final LongSupplier clockUs;
    private final LongSupplier nonces;
    private final Consumer<String> log;
    private final OpenOrders open;
    private SegmentIndex.Builder index = new SegmentIndex.Builder();
    private Header header;
    private Disk.OutputFile out;
    private long length;

    private Journal(
            Disk disk,
            Limits limits,
            LongSupplier clockUs,
            LongSupplier nonces,
            Consumer<String> log,
            OpenOrders open) {
        this.open = open;
        this.disk = disk;
        this.limits = limits;
        this.clockUs = clockUs;
        this.nonces = nonces;
        this.log = log;
    }

    /**
     * Recovers what there is, marks what was open as left open, and is ready to be written to. It reads one
     * segment, or two where the last was being begun as the process died.
     *
     * @param nonces random numbers
     * @param log told of what was found spoilt
     */
    static Journal open(Disk disk, Limits limits, LongSupplier clockUs, LongSupplier nonces, Consumer<String> log)
            throws IOException {
        Journal journal = new Journal(disk, limits, clockUs, nonces, log, new OpenOrders());
        try {
            journal.recover();
            return journal;
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    /**
     * Goes on after a failure of one that this process wrote: what is open is known, and still under way. The
     * files are left as they are, but for a new segment.
     */
    static Journal goOn(Journal failed) throws IOException {
        Journal journal =
                new Journal(failed.disk, failed.limits, failed.clockUs, failed.nonces, failed.log, failed.open);
        try {
            List<Long> segments = SegmentNames.sequences(failed.disk.list());
            long last = segments.isEmpty() ? 0 : segments.get(segments.size() - 1);
            journal.begin(Math.max(last, failed.header.sequence()) + 1);
            return journal;
        } catch (IOException e) {
            journal.close();
            throw e;
        }
    }

    private void recover() throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        long last = segments.isEmpty() ? 0 : segments.get(segments.size() - 1);
        for (int i = segments.size() - 1; i >= 0 && header == null; i--) {
            goOnIn(segments.get(i));
        }
        if (header == null || length >= limits.bytes || header.sequence() < last) {
            begin(last + 1);
        }
        List<Entry> left = new ArrayList<>();
        for (long number : open.numbers()) {
            left.add(new LeftOpen(number, clockUs.getAsLong()));
        }
        if (!left.isEmpty()) {
            append(left);
            sync();
            log.accept("orders: " + left.size() + " were open as the node ended; they are marked as such");
        }
    }

    /** Takes up a segment, unless it was only being begun: what is not a whole checkpoint tells nothing. */
    private void goOnIn(long sequence) throws IOException {
        String name = SegmentNames.of(sequence);
        Content content = Segment.read(disk.read(name));
        if (!isBegun(content) || content.header().sequence() != sequence) {
            // Never deleted: whoever looks for an order may find more in it than this program does.
            log.accept("orders: " + name + " has no whole beginning and is set aside");
            disk.rename(name, name + SegmentNames.ASIDE);
            disk.syncDirectory();
            return;
        }
        for (Fault fault : content.faults()) {
            log.accept("orders: " + name + ", offset " + fault.offset() + ": " + fault.bytes() + " bytes are no entry: "
                    + fault.reason());
        }
        for (Segment.Placed placed : content.entries()) {
            open.add(placed.entry());
            index.add(placed.entry());
        }
        header = content.header();
        length = content.soundUpTo();
        out = disk.append(name, length);
        out.sync();
    }

    /** Whether header and checkpoint are whole. */
    private static boolean isBegun(Content content) {
        for (Segment.Placed placed : content.entries()) {
            if (!(placed.entry() instanceof Checkpoint point)) {
                return false;
            }
            if (point.last()) {
                return true;
            }
        }
        return false;
    }

    private void begin(long sequence) throws IOException {
        if (out != null) {
            out.sync();
            out.close();
            JournalReader.writeIndex(disk, header.sequence(), index.bytes(header.sequence(), length), log);
        }
        index = new SegmentIndex.Builder();
        header = new Header(sequence, nonces.getAsLong(), clockUs.getAsLong());
        out = disk.create(SegmentNames.of(sequence));
        try {
            out.write(header.bytes());
            length = Segment.HEADER;
            write(open.checkpoint(clockUs.getAsLong()));
            out.sync();
            disk.syncDirectory();
        } catch (IOException e) {
            // Nothing that anybody was told of is in it. A disk that is full would else be tried again and
            // again, and fill up with beginnings.
            out.close();
            out = null;
            disk.delete(SegmentNames.of(sequence));
            throw e;
        }
    }

    /** A segment ended when the next was begun, and what was taken in it has numbers under the next one's. */
    private void takeAwayOld() {
        if (limits.keepUs == 0 && limits.keepBytes == 0) {
            return;
        }
        try {
            List<Long> segments = SegmentNames.sequences(disk.list());
            long beyond = limits.keepBytes == 0 ? 0 : bytes(segments) - limits.keepBytes;
            for (int i = 0; i < Math.min(segments.size() - 1, MOST_TAKEN_AWAY); i++) {
                Content next = Segment.read(disk.read(SegmentNames.of(segments.get(i + 1))));
                if (!isBegun(next)
                        || beyond <= 0 && !isOld(next.header())
                        || open.oldest() < next.entries().get(0).entry().number()) {
                    return;
                }
                beyond -= disk.size(SegmentNames.of(segments.get(i)));
                disk.delete(SegmentNames.of(segments.get(i)));
                if (disk.list().contains(SegmentNames.index(segments.get(i)))) {
                    disk.delete(SegmentNames.index(segments.get(i)));
                }
            }
        } catch (IOException e) {
            // Room is lost, and nothing else: it is tried again with the next segment.
            log.accept("orders: old segments cannot be taken away: " + e);
        }
    }

    private boolean isOld(Header next) {
        return limits.keepUs > 0 && next.createdAtUs() <= clockUs.getAsLong() - limits.keepUs;
    }

    private long bytes(List<Long> segments) throws IOException {
        long bytes = 0;
        for (long segment : segments) {
            bytes += disk.size(SegmentNames.of(segment));
        }
        return bytes;
    }

    private void write(List<Entry> entries) throws IOException {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (Entry entry : entries) {
            frames.writeBytes(Segment.frame(header, length + frames.size(), entry));
        }
        out.write(frames.toByteArray());
        length += frames.size();
    }

    /** Writes entries; they are safe once {@link #sync} has returned. */
    void append(List<Entry> entries) throws IOException {
        if (length >= limits.bytes || clockUs.getAsLong() - header.createdAtUs() >= limits.ageUs) {
            begin(header.sequence() + 1);
            takeAwayOld();
        }
        write(entries);
        for (Entry entry : entries) {
            open.add(entry);
            index.add(entry);
        }
    }

    /** Waits until all that was written is safe. */
    void sync() throws IOException {
        out.sync();
    }

    /** The number for the next request that is taken. */
    long next() {
        return open.next();
    }

    /** The segment that is written to, and when it was begun. */
    Header header() {
        return header;
    }

    /** The oldest request that is open: segments that end before it are over. */
    long oldestOpen() {
        return open.oldest();
    }

    @Override
    public void close() throws IOException {
        if (out != null) {
            out.close();
            out = null;
        }
    }
}
