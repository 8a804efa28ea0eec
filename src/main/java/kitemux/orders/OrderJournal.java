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
import kitemux.engine.Clock;
import kitemux.engine.RequestInfo;

/** The open order journal of a node: owns the lock on its folder, its writer and its recorder. */
public final class OrderJournal {
    private static final long HOUR_US = 3_600_000_000L;

    private final FolderDisk disk;
    private final JournalWriter writer;
    private final long nextNumber;
    private final Consumer<String> operatorLog;

    private OrderJournal(FolderDisk disk, JournalWriter writer, long nextNumber, Consumer<String> operatorLog) {
        this.operatorLog = operatorLog;
        this.disk = disk;
        this.writer = writer;
        this.nextNumber = nextNumber;
    }

    /**
     * Locks and recovers a journal, and starts its writer.
     *
     * @param eventLoop runs the writer's callbacks
     * @param operatorLog receives lines for the operators, from any thread
     * @throws IOException if the journal cannot be opened, for example since another node holds its lock; the
     *     message says why
     */
    public static OrderJournal open(
            OrderSettings settings, Clock time, Executor eventLoop, Consumer<String> operatorLog) throws IOException {
        FolderDisk disk = FolderDisk.openForWriting(settings.folder());
        try {
            SecureRandom random = new SecureRandom();
            long[] nextNumber = new long[1];
            JournalWriter writer = JournalWriter.start(
                    failedJournal -> {
                        if (failedJournal != null) {
                            return Journal.reopen(failedJournal);
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
                                operatorLog);
                        nextNumber[0] = journal.nextNumber();
                        return journal;
                    },
                    settings.sync(),
                    settings.syncDelayMs(),
                    eventLoop,
                    operatorLog);
            return new OrderJournal(disk, writer, nextNumber[0], operatorLog);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
    }

    /** Returns the recorder for an engine. May be called only once, since a recorder numbers the requests. */
    public <Q extends RequestInfo> OrderRecorder<Q> recorder(
            OrderSettings orderSettings, Settings settings, Clock time) {
        return new OrderRecorder<>(settings, time, writer, nextNumber, orderSettings);
    }

    /**
     * Writes and syncs the queued entries and releases the lock on the folder. Must not be called on the event
     * loop.
     *
     * @throws IOException if the lock cannot be released
     */
    public void close() throws IOException, InterruptedException {
        writer.close();
        disk.close();
        if (writer.rejectedCommitCount() + writer.lostEntryCount() > 0) {
            operatorLog.accept(
                    "orders: " + writer.rejectedCommitCount() + " sends were refused for want of their record, "
                            + writer.lostEntryCount() + " entries were lost");
        }
    }

    /**
     * Returns a reader of the journal in a folder, to which a node may be writing.
     *
     * @throws IOException if it is not a folder
     */
    public static JournalReader reader(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new NotDirectoryException(folder.toString());
        }
        return new JournalReader(FolderDisk.openForReading(folder));
    }

    /**
     * Returns whether a running node holds the journal in a folder.
     *
     * @throws IOException if the folder's lock cannot be examined
     */
    public static boolean isLive(Path folder) throws IOException {
        return FolderDisk.isLockedByWriter(folder);
    }
}
