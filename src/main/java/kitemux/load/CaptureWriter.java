package kitemux.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import kitemux.engine.Observer;
import kitemux.engine.Time;
import org.jctools.queues.SpscArrayQueue;

/**
 * Writes what a node sees to files, on a thread of its own. Between the loop and it stands a ring of fixed
 * size: what comes while it is full is counted and left out, as is what a failing disk does not take, and
 * the next batch that is written says how many. Nothing is synced: after a kill of the machine the last
 * seconds may be missing, after one of the process what was not written in the last {@link #BATCH_INTERVAL_NANOS}.
 */
public final class CaptureWriter implements RequestRecorder.Sink, AutoCloseable {
    /** The end of a captured file's name. */
    public static final String FILE_SUFFIX = ".kmload";

    private static final long BATCH_INTERVAL_NANOS = 200_000_000L;
    private static final int MAX_BATCH_COUNT = 4_096;
    /** After the disk has failed, until it is tried again. */
    private static final long RETRY_INTERVAL_NANOS = 1_000_000_000L;

    private final LoadSettings settings;
    private final String node;
    private final List<String> classes;
    private final List<String> tenants;
    private final LongSupplier clockUs;
    private final Consumer<String> operatorLog;
    private final SpscArrayQueue<CapturedRequest> ring;
    private final AtomicLong unreportedDropCount = new AtomicLong();
    private final SecureRandom random = new SecureRandom();
    private final Thread writerThread;
    /** The writer is woken after so many, a quarter of the ring; its own pause is for when fewer come. */
    private final int wakeThresholdCount;

    private volatile boolean isClosing;

    private FileChannel file;
    private long fileBytes;
    private long droppedCount;
    private volatile boolean hasFailed;
    /** Requests offered since the writer was last woken; the loop's. */
    private int offersSinceWake;

    /**
     * Starts the writer; the first file is begun with the first request.
     *
     * @param node names whose files these are
     * @param nowUs Unix time in microseconds, from any thread
     * @param say lines for the operators, from any thread
     * @throws IOException if the folder cannot be made or written to
     */
    public CaptureWriter(
            LoadSettings settings,
            String node,
            List<String> classes,
            List<String> tenants,
            LongSupplier clockUs,
            Consumer<String> operatorLog)
            throws IOException {
        this.settings = settings;
        this.node = node;
        this.classes = classes;
        this.tenants = tenants;
        this.clockUs = clockUs;
        this.operatorLog = operatorLog;
        Files.createDirectories(settings.folder());
        if (!Files.isWritable(settings.folder())) {
            throw new IOException(settings.folder() + " may not be written to");
        }
        ring = new SpscArrayQueue<>(settings.ring());
        wakeThresholdCount = settings.ring() / 4;
        writerThread = new Thread(this::run, "load");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Gathers on a loop what is to be written here. */
    public Observer recorder(Time time) {
        return new RequestRecorder(time, this);
    }

    @Override
    public void offer(CapturedRequest request) {
        if (!ring.offer(request)) {
            unreportedDropCount.incrementAndGet();
        } else if (++offersSinceWake >= wakeThresholdCount && !hasFailed) {
            offersSinceWake = 0;
            LockSupport.unpark(writerThread);
        }
    }

    /** Requests that were left out and that no batch has told of yet, as the ring was full. */
    public long unreportedDropCount() {
        return unreportedDropCount.get();
    }

    // ---------------------------------------------------------------- the writer's thread

    private void run() {
        List<CapturedRequest> batch = new ArrayList<>();
        while (true) {
            boolean isLastPass = isClosing;
            ring.drain(batch::add, MAX_BATCH_COUNT);
            if (!batch.isEmpty() || isLastPass && unreportedDropCount.get() + droppedCount > 0) {
                write(batch);
                batch.clear();
            } else if (isLastPass) {
                break;
            }
            if (ring.size() < MAX_BATCH_COUNT && !isClosing) {
                LockSupport.parkNanos(hasFailed ? RETRY_INTERVAL_NANOS : BATCH_INTERVAL_NANOS);
            }
            if (hasFailed && isLastPass) {
                break;
            }
        }
        closeFile();
    }

    private void write(List<CapturedRequest> batch) {
        long droppedBefore = droppedCount + unreportedDropCount.getAndSet(0);
        droppedCount = droppedBefore;
        try {
            if (file == null) {
                beginFile();
            }
            append(CaptureFormat.encodeBatch(new CaptureFormat.Batch(droppedBefore, batch)));
            droppedCount = 0;
            hasFailed = false;
            if (fileBytes >= settings.fileBytes()) {
                closeFile();
            }
        } catch (IOException e) {
            droppedCount = droppedBefore + batch.size();
            if (!hasFailed) {
                operatorLog.accept(
                        "load: what comes is left out and counted, as it cannot be written: " + e.getMessage());
            }
            hasFailed = true;
            // What was written of the batch is a frame cut off, behind which nothing could be read.
            closeFile();
        }
    }

    private void append(byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            fileBytes += file.write(remaining);
        }
    }

    private void beginFile() throws IOException {
        deleteOldFiles();
        long now = clockUs.getAsLong();
        long id = random.nextLong() >>> 1;
        Path path = settings.folder().resolve(String.format("%016d-%016x", now, id) + FILE_SUFFIX);
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        fileBytes = 0;
        append(CaptureFormat.MAGIC);
        append(CaptureFormat.encodeHeader(new CaptureFormat.Header(id, node, now, classes, tenants)));
    }

    private void closeFile() {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                operatorLog.accept("load: a file could not be closed: " + e.getMessage());
            }
            file = null;
        }
    }

    /** The oldest files go until there is room for one more. Names begin with the time. */
    private void deleteOldFiles() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(settings.folder())) {
            files = all.filter(path -> path.getFileName().toString().endsWith(FILE_SUFFIX))
                    .sorted(Comparator.comparing(Path::getFileName))
                    .toList();
        }
        long bytes = 0;
        for (Path path : files) {
            bytes += Files.size(path);
        }
        for (int i = 0; i < files.size() && bytes + settings.fileBytes() > settings.keepBytes(); i++) {
            bytes -= Files.size(files.get(i));
            Files.delete(files.get(i));
        }
    }

    /** Writes what waits, and ends the writer. Nothing is to be offered from then on. */
    @Override
    public void close() {
        isClosing = true;
        LockSupport.unpark(writerThread);
        try {
            writerThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
