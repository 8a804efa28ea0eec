package kitemux.orders;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import kitemux.Balancer.Settings;
import kitemux.disk.FolderDisk;
import kitemux.engine.RequestInfo;
import kitemux.engine.Clock;

/** A node's journal, open: its folder's lock, its writer and its keeper. */
public final class OrderJournal {
    private static final long HOUR_US = 3_600_000_000L;

    private final FolderDisk disk;
    private final JournalWriter log;
    private final long next;
    private final Consumer<String> say;

    private OrderJournal(FolderDisk disk, JournalWriter log, long next, Consumer<String> say) {
        this.say = say;
        this.disk = disk;
        this.log = log;
        this.next = next;
    }

    /**
     * Locks and recovers a journal, and starts its writer.
     *
     * @param loop runs what the writer tells
     * @param say lines for the operators, from any thread
     * @throws IOException if it cannot be opened, also as another node holds it; the message says why
     */
    public static OrderJournal open(OrderSettings settings, Clock time, Executor loop, Consumer<String> say)
            throws IOException {
        FolderDisk disk = FolderDisk.openForWriting(settings.folder());
        try {
            SecureRandom random = new SecureRandom();
            long[] next = new long[1];
            JournalWriter log = JournalWriter.start(
                    failed -> {
                        if (failed != null) {
                            return Journal.goOn(failed);
                        }
                        Journal journal = Journal.open(
                                disk,
                                new Journal.Limits(
                                        settings.segmentBytes(),
                                        settings.segmentHours() * HOUR_US,
                                        settings.retentionDays() * 24 * HOUR_US,
                                        settings.maxTotalBytes()),
                                time::nowUs,
                                random::nextLong,
                                say);
                        next[0] = journal.next();
                        return journal;
                    },
                    settings.sync(),
                    settings.syncDelayMs(),
                    loop,
                    say);
            return new OrderJournal(disk, log, next[0], say);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
    }

    /** What an engine is to be given; once. */
    public <Q extends RequestInfo> OrderRecorder<Q> recorder(OrderSettings how, Settings settings, Clock time) {
        return new OrderRecorder<>(settings, time, log, next, how);
    }

    /** Writes and syncs what has come, and lets go of the folder. Not to be called on the loop. */
    public void close() throws IOException, InterruptedException {
        log.close();
        disk.close();
        if (log.rejectedCommitCount() + log.lostEntryCount() > 0) {
            say.accept("orders: " + log.rejectedCommitCount() + " sends were refused for want of their record, "
                    + log.lostEntryCount() + " entries were lost");
        }
    }

    /** Reads the journal in a folder; nothing is changed, and a node may be writing to it. */
    public static JournalReader reader(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new NotDirectoryException(folder.toString());
        }
        return new JournalReader(FolderDisk.openForReading(folder));
    }

    /** Whether a node writes to this folder now. */
    public static boolean isLive(Path folder) throws IOException {
        return FolderDisk.isLockedByWriter(folder);
    }
}
