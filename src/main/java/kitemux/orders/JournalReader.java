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
import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Segment.Content;
import kitemux.orders.Segment.Fault;
import kitemux.orders.Segment.Placed;
import kitemux.orders.SegmentIndex.By;

/**
 * Reads a journal, of a live node or a dead one, one segment at a time, and changes nothing. What a live node
 * writes meanwhile is found up to where it was when its segment was read.
 */
public final class JournalReader {
    private final Disk disk;

    JournalReader(Disk disk) {
        this.disk = disk;
    }

    /** Told of each segment in turn. */
    interface Visitor {
        void segment(String name, boolean last, Content content);
    }

    private void each(LongPredicate wanted, Visitor visitor) throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        for (int i = 0; i < segments.size(); i++) {
            String name = SegmentNames.of(segments.get(i));
            try {
                if (wanted.test(segments.get(i))) {
                    visitor.segment(name, i == segments.size() - 1, Segment.read(disk.read(name)));
                }
            } catch (NoSuchFileException e) {
                // Too old by now: a live node has taken it away since the folder was listed.
            }
        }
    }

    /**
     * The stories of all requests that a question is about, in the order in which they ended or, those that
     * have not, were taken. Those that are over are handed on as they end: what is held at a time is what was
     * open at once.
     */
    public void forEachHistory(Predicate<Accepted> about, Consumer<OrderHistory> found) throws IOException {
        forEachHistory(null, about, found);
    }

    /**
     * The same of those only that have one of these ids, keys or idempotency keys; segments whose index says
     * that they took none of them are not read.
     */
    public void findHistories(
            Set<String> orders,
            Set<String> keys,
            Set<String> idempotencyKeys,
            Predicate<Accepted> about,
            Consumer<OrderHistory> found)
            throws IOException {
        long[] hashes = Stream.of(
                        orders.stream().map(By.ORDER::hash),
                        keys.stream().map(By.KEY::hash),
                        idempotencyKeys.stream().map(By.IDEMPOTENCY::hash))
                .flatMap(each -> each)
                .mapToLong(Long::longValue)
                .toArray();
        forEachHistory(
                hashes,
                about.and(taken -> orders.contains(taken.orderId())
                        || keys.contains(taken.key())
                        || idempotencyKeys.contains(taken.idempotencyKey())),
                found);
    }

    private void forEachHistory(long[] hashes, Predicate<Accepted> about, Consumer<OrderHistory> found) throws IOException {
        Map<Long, OrderHistory> open = new LinkedHashMap<>();
        long[] highest = new long[1];
        // Stories that are not over go on in the next segment.
        each(segment -> hashes == null || !open.isEmpty() || mayHold(segment, hashes), (name, last, content) -> {
            for (Placed placed : content.entries()) {
                Entry entry = placed.entry();
                OrderHistory story = open.get(entry.number());
                if (entry instanceof Accepted taken) {
                    // Written once more where a disk failed in between: of that the first alone counts.
                    if (taken.number() > highest[0] && about.test(taken)) {
                        open.put(taken.number(), new OrderHistory(taken));
                    }
                    highest[0] = Math.max(highest[0], taken.number());
                } else if (story != null && !(entry instanceof Checkpoint)) {
                    story.add(entry);
                    if (story.isComplete()) {
                        open.remove(entry.number());
                        found.accept(story);
                    }
                }
            }
        });
        new ArrayList<>(open.values()).forEach(found);
    }

    private boolean mayHold(long segment, long[] hashes) {
        SegmentIndex index = rebuildIndexes(segment);
        return index == null || index.mayHold(hashes);
    }

    /** A segment's index, or null if there is none that is sound and of it as it stands. */
    private SegmentIndex rebuildIndexes(long segment) {
        try {
            SegmentIndex index = SegmentIndex.read(disk.read(SegmentNames.index(segment)));
            return index != null && index.isOf(segment, disk.size(SegmentNames.of(segment))) ? index : null;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Makes the indexes anew that are missing or unsound, but for the last segment, which may go on.
     *
     * @return how many
     */
    public int rebuildIndexes() throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        int made = 0;
        for (long segment : segments.subList(0, Math.max(0, segments.size() - 1))) {
            if (rebuildIndexes(segment) == null) {
                byte[] bytes = disk.read(SegmentNames.of(segment));
                SegmentIndex.Builder builder = new SegmentIndex.Builder();
                Segment.read(bytes).entries().forEach(placed -> builder.add(placed.entry()));
                List<String> failed = new ArrayList<>();
                writeIndex(disk, segment, builder.bytes(segment, bytes.length), failed::add);
                if (!failed.isEmpty()) {
                    throw new IOException(failed.get(0));
                }
                made++;
            }
        }
        return made;
    }

    /** Under another name first: half an index would be found unsound, but a whole one stays what it was. */
    static void writeIndex(Disk disk, long segment, byte[] bytes, Consumer<String> log) {
        String name = SegmentNames.index(segment);
        try {
            if (disk.list().contains(name + ".new")) {
                disk.delete(name + ".new");
            }
            try (Disk.OutputFile out = disk.create(name + ".new")) {
                out.write(bytes);
            }
            disk.rename(name + ".new", name);
        } catch (IOException e) {
            // Questions take longer, and nothing else.
            log.accept("orders: " + name + " cannot be written: " + e);
        }
    }

    /**
     * What a check of every byte found.
     *
     * @param segments files read
     * @param entries sound ones
     * @param faults with the file's name in front, one a line; none if all is sound
     * @param tornBytes at the end of the last file, as a process leaves them that dies while it writes, or
     *     one that is writing now: no fault
     */
    public record VerificationResult(int segments, long entries, List<String> faults, int tornBytes) {}

    /** Checks every byte. */
    public VerificationResult verify() throws IOException {
        List<String> faults = new ArrayList<>();
        int[] segments = new int[1];
        long[] entries = new long[1];
        int[] torn = new int[1];
        each(segment -> true, (name, last, content) -> {
            segments[0]++;
            entries[0] += content.entries().size();
            if (last && content.isTorn()) {
                torn[0] = content.faults().get(0).bytes();
                return;
            }
            for (Fault fault : content.faults()) {
                faults.add(name + ", offset " + fault.offset() + ": " + fault.bytes() + " bytes are no entry: "
                        + fault.reason());
            }
            if (content.header() != null
                    && !name.equals(SegmentNames.of(content.header().sequence()))) {
                faults.add(name + ": says that it is number " + content.header().sequence());
            }
        });
        return new VerificationResult(segments[0], entries[0], faults, torn[0]);
    }
}
