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
import kitemux.engine.Clock;
import org.jctools.queues.SpscArrayQueue;

/**
 * Writes what a node sees to files, on a thread of its own. Between the loop and it stands a ring of fixed
 * size: what comes while it is full is counted and left out, as is what a failing disk does not take, and
 * the next batch that is written says how many. Nothing is synced: after a kill of the machine the last
 * seconds may be missing, after one of the process what was not written in the last {@link #BATCH_NANOS}.
 */
public final class CaptureWriter implements RequestRecorder.Sink, AutoCloseable {
    /** The end of a captured file's name. */
    public static final String FILE_SUFFIX = ".kmload";

    private static final long BATCH_NANOS = 200_000_000L;
    private static final int MOST_IN_BATCH = 4_096;
    /** After the disk has failed, until it is tried again. */
    private static final long REST_NANOS = 1_000_000_000L;

    private final LoadSettings settings;
    private final String node;
    private final List<String> classes;
    private final List<String> tenants;
    private final LongSupplier nowUs;
    private final Consumer<String> say;
    private final SpscArrayQueue<CapturedRequest> ring;
    private final AtomicLong unreportedDropCount = new AtomicLong();
    private final SecureRandom random = new SecureRandom();
    private final Thread writer;
    /** The writer is woken after so many, a quarter of the ring; its own pause is for when fewer come. */
    private final int wakeEach;

    private volatile boolean closing;

    private FileChannel file;
    private long fileBytes;
    private long leftOut;
    private volatile boolean failed;
    /** Requests offered since the writer was last woken; the loop's. */
    private int sinceWake;

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
            LongSupplier nowUs,
            Consumer<String> say)
            throws IOException {
        this.settings = settings;
        this.node = node;
        this.classes = classes;
        this.tenants = tenants;
        this.nowUs = nowUs;
        this.say = say;
        Files.createDirectories(settings.folder());
        if (!Files.isWritable(settings.folder())) {
            throw new IOException(settings.folder() + " may not be written to");
        }
        ring = new SpscArrayQueue<>(settings.ring());
        wakeEach = settings.ring() / 4;
        writer = new Thread(this::run, "load");
        writer.setDaemon(true);
        writer.start();
    }

    /** Gathers on a loop what is to be written here. */
    public Observer recorder(Clock time) {
        return new RequestRecorder(time, this);
    }

    @Override
    public void offer(CapturedRequest seen) {
        if (!ring.offer(seen)) {
            unreportedDropCount.incrementAndGet();
        } else if (++sinceWake >= wakeEach && !failed) {
            sinceWake = 0;
            LockSupport.unpark(writer);
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
            boolean last = closing;
            ring.drain(batch::add, MOST_IN_BATCH);
            if (!batch.isEmpty() || last && unreportedDropCount.get() + leftOut > 0) {
                write(batch);
                batch.clear();
            } else if (last) {
                break;
            }
            if (ring.size() < MOST_IN_BATCH && !closing) {
                LockSupport.parkNanos(failed ? REST_NANOS : BATCH_NANOS);
            }
            if (failed && last) {
                break;
            }
        }
        end();
    }

    private void write(List<CapturedRequest> batch) {
        long before = leftOut + unreportedDropCount.getAndSet(0);
        leftOut = before;
        try {
            if (file == null) {
                begin();
            }
            append(CaptureFormat.batch(new CaptureFormat.Batch(before, batch)));
            leftOut = 0;
            failed = false;
            if (fileBytes >= settings.fileBytes()) {
                end();
            }
        } catch (IOException e) {
            leftOut = before + batch.size();
            if (!failed) {
                say.accept("load: what comes is left out and counted, as it cannot be written: " + e.getMessage());
            }
            failed = true;
            // What was written of the batch is a frame cut off, behind which nothing could be read.
            end();
        }
    }

    private void append(byte[] bytes) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            fileBytes += file.write(left);
        }
    }

    private void begin() throws IOException {
        makeRoom();
        long now = nowUs.getAsLong();
        long id = random.nextLong() >>> 1;
        Path path = settings.folder().resolve(String.format("%016d-%016x", now, id) + FILE_SUFFIX);
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        fileBytes = 0;
        append(CaptureFormat.MAGIC);
        append(CaptureFormat.head(new CaptureFormat.Head(id, node, now, classes, tenants)));
    }

    private void end() {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                say.accept("load: a file could not be closed: " + e.getMessage());
            }
            file = null;
        }
    }

    /** The oldest files go until there is room for one more. Names begin with the time. */
    private void makeRoom() throws IOException {
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
        closing = true;
        LockSupport.unpark(writer);
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
