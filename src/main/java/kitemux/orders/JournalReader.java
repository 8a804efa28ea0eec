package kitemux.orders;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

import kitemux.orders.Entry.Checkpoint;
import kitemux.orders.Entry.Taken;
import kitemux.orders.Segment.Content;
import kitemux.orders.Segment.Fault;
import kitemux.orders.Segment.Placed;

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

    void each(Visitor visitor) throws IOException {
        List<Long> segments = SegmentNames.sequences(disk.list());
        for (int i = 0; i < segments.size(); i++) {
            String name = SegmentNames.of(segments.get(i));
            try {
                visitor.segment(name, i == segments.size() - 1, Segment.read(disk.read(name)));
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
    public void stories(Predicate<Taken> about, Consumer<Story> found) throws IOException {
        Map<Long, Story> open = new LinkedHashMap<>();
        long[] highest = new long[1];
        each((name, last, content) -> {
            for (Placed placed : content.entries()) {
                Entry entry = placed.entry();
                Story story = open.get(entry.number());
                if (entry instanceof Taken taken) {
                    // Written once more where a disk failed in between: of that the first alone counts.
                    if (taken.number() > highest[0] && about.test(taken)) {
                        open.put(taken.number(), new Story(taken));
                    }
                    highest[0] = Math.max(highest[0], taken.number());
                } else if (story != null && !(entry instanceof Checkpoint)) {
                    story.add(entry);
                    if (story.isOver()) {
                        open.remove(entry.number());
                        found.accept(story);
                    }
                }
            }
        });
        new ArrayList<>(open.values()).forEach(found);
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
    public record Verdict(int segments, long entries, List<String> faults, int tornBytes) { }

    /** Checks every byte. */
    public Verdict verify() throws IOException {
        List<String> faults = new ArrayList<>();
        int[] segments = new int[1];
        long[] entries = new long[1];
        int[] torn = new int[1];
        each((name, last, content) -> {
            segments[0]++;
            entries[0] += content.entries().size();
            if (last && content.isTorn()) {
                torn[0] = content.faults().get(0).bytes();
                return;
            }
            for (Fault fault : content.faults()) {
                faults.add(name + ", offset " + fault.offset() + ": " + fault.bytes()
                        + " bytes are no entry: " + fault.reason());
            }
            if (content.header() != null && !name.equals(SegmentNames.of(content.header().sequence()))) {
                faults.add(name + ": says that it is number " + content.header().sequence());
            }
        });
        return new Verdict(segments[0], entries[0], faults, torn[0]);
    }
}
