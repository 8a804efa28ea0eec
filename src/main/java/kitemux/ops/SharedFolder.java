package kitemux.ops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * State that the processes of a node share through files: which servers are drained by hand, and which process serves
 * clients. Each drained server has its own file, so that two overlapping processes do not undo each other's changes.
 * The folder lives as long as the node's {@code $TMPDIR}; nothing is synced, as the state need not outlive the machine.
 *
 * <p>One thread does all reads and writes and notifies the listener in their order. Its queue is bounded by the
 * operators' connections, which make one call each.
 */
final class SharedFolder implements AutoCloseable {
    /** Longest server id in UTF-8. File names are limited to 255 bytes, and Base64 turns 3 bytes into 4 characters. */
    static final int MAX_ID_BYTES = 180;
    /** Interval at which changes of other processes are read. They must be in force within 1 s. */
    private static final long POLL_INTERVAL_MS = 250;

    private static final String DRAINED_FILE_PREFIX = "out-";
    private static final String SERVING_FILE_NAME = "serving";

    private final Path folder;
    private final Consumer<Map<String, Long>> listener;
    private final String processToken = UUID.randomUUID().toString();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread named = new Thread(task, "operators' folder");
        named.setDaemon(true);
        return named;
    });
    /** The start of each drain by server, in microseconds of Unix time, as last read. */
    private Map<String, Long> lastDrained;

    /**
     * Opens the folder of the node that listens at this address and creates it if needed.
     *
     * @param stateFolder the node's folder for state of running processes
     * @param listen the node's address for clients
     * @param listener receives all drained servers on each change, with the start of each drain in microseconds of Unix
     *     time; called on the folder's thread
     * @throws IOException if the folder cannot be created or read
     */
    SharedFolder(Path stateFolder, InetSocketAddress listen, Consumer<Map<String, Long>> listener) throws IOException {
        folder = Files.createDirectories(stateFolder.resolve(
                "kitemux-" + listen.getAddress().getHostAddress().replace(':', '_') + "-" + listen.getPort()));
        this.listener = listener;
        lastDrained = readDrained();
    }

    /**
     * Returns the servers that were drained when the folder was opened. Must be called before {@link #startPolling}.
     */
    Map<String, Long> initiallyDrained() {
        return lastDrained;
    }

    /** Starts to notify the listener of changes. */
    void startPolling() {
        thread.scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Drains or restores a server. The listener is notified before {@code onDone} is called; both run on the folder's
     * thread.
     *
     * @param onDone receives null, or the reason of a failure, in which case nothing has changed
     */
    void setDrained(String id, boolean drained, Consumer<String> onDone) {
        thread.execute(() -> {
            Path file = folder.resolve(DRAINED_FILE_PREFIX
                    + Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
            try {
                if (drained) {
                    createIfAbsent(file);
                } else {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                onDone.accept(e.toString());
                return;
            }
            poll();
            onDone.accept(null);
        });
    }

    private static void createIfAbsent(Path file) throws IOException {
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            // The server is already drained, and a second call changes nothing.
        }
    }

    private void poll() {
        Map<String, Long> current;
        try {
            current = readDrained();
        } catch (IOException | IllegalArgumentException e) {
            // The last known state stays in force until a later read succeeds.
            return;
        }
        if (!current.equals(lastDrained)) {
            lastDrained = current;
            listener.accept(current);
        }
    }

    private Map<String, Long> readDrained() throws IOException {
        Map<String, Long> drained = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, DRAINED_FILE_PREFIX + "*")) {
            for (Path file : files) {
                String id = new String(
                        Base64.getUrlDecoder()
                                .decode(file.getFileName().toString().substring(DRAINED_FILE_PREFIX.length())),
                        StandardCharsets.UTF_8);
                drained.put(id, Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS));
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return drained;
    }

    /**
     * Records that this process serves clients.
     *
     * @param onFailure receives the reason if that cannot be written; called on the folder's thread
     */
    void markServing(Consumer<IOException> onFailure) {
        thread.execute(() -> {
            try {
                Path newFile = folder.resolve(SERVING_FILE_NAME + "-" + processToken);
                Files.writeString(newFile, processToken);
                Files.move(
                        newFile,
                        folder.resolve(SERVING_FILE_NAME),
                        StandardCopyOption.REPLACE_EXISTING,
                        StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                onFailure.accept(e);
            }
        });
    }

    /** Returns whether another process has begun to serve clients after this one did. */
    boolean isReplaced() {
        try {
            return !Files.readString(folder.resolve(SERVING_FILE_NAME)).equals(processToken);
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        thread.shutdown();
    }
}
