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
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import org.jctools.queues.SpscArrayQueue;

/**
 * Writes the requests of a node to capture files, on a dedicated thread. The event loop hands requests over
 * through a ring of fixed size. Requests are dropped and counted if the ring is full or the disk fails, and the
 * next batch that is written records their number. Files are not synced: a crash of the machine may lose the
 * last seconds, and a crash of the process may lose the last {@link #BATCH_INTERVAL_NANOS}.
 */
public final class CaptureWriter implements RequestRecorder.Sink, AutoCloseable {
    /** Suffix of the names of capture files. */
    public static final String FILE_SUFFIX = ".kmload";

    private static final long BATCH_INTERVAL_NANOS = 200_000_000L;
    private static final int MAX_BATCH_COUNT = 4_096;
    /** Interval between attempts to write after a disk failure. */
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
    /**
     * Requests after which the writer is woken, a quarter of the ring. With fewer requests it wakes up by itself
     * after {@link #BATCH_INTERVAL_NANOS}.
     */
    private final int wakeThresholdCount;

    private volatile boolean isClosing;

    private FileChannel file;
    private long fileBytes;
    private long droppedCount;
    private volatile boolean hasFailed;
    /** Requests offered since the writer was last woken; used on the event loop only. */
    private int offersSinceWake;

    /**
     * Starts the writer thread. The first file is created when the first request arrives.
     *
     * @param node the node's name, which is written to the files
     * @param classes the names of the request classes, in the order of their indexes
     * @param tenants the names of the tenants, in the order of their indexes
     * @param clockUs supplies the Unix time in microseconds; called on any thread
     * @param operatorLog receives lines for the operators, on any thread
     * @throws IOException if the folder cannot be created or is not writable
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
            throw new IOException(settings.folder() + " is not writable");
        }
        ring = new SpscArrayQueue<>(settings.ring());
        wakeThresholdCount = settings.ring() / 4;
        writerThread = new Thread(this::run, "load");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Returns an observer that records requests on an event loop and hands them to this writer. */
    public Observer recorder(Clock time) {
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

    /** Returns the number of requests that a full ring dropped and that no batch has recorded yet. */
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
                        "load: requests are dropped and counted, since they cannot be written: " + e.getMessage());
            }
            hasFailed = true;
            // The file may end with an incomplete frame, and a reader would not find anything behind it.
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
                operatorLog.accept("load: a capture file could not be closed: " + e.getMessage());
            }
            file = null;
        }
    }

    /** Deletes the oldest files until there is room for another one. The names sort by time. */
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

    /** Writes the requests in the ring and ends the writer thread. No request may be offered afterwards. */
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
