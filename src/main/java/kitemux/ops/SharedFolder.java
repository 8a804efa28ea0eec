package kitemux.ops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * State that the processes of a node share through files: which servers are drained by hand, whether clients are, what
 * discovery has told, and which process serves clients. Each drained server has its own file, so that two overlapping processes do not undo each
 * other's changes. A file that cannot be used is logged and passed over. The folder lives as long as the node's {@code $TMPDIR}; nothing is synced, as the state need not outlive the machine.
 *
 * <p>One thread does all reads and writes and notifies the listener in their order. Its queue is bounded by the
 * operators' connections, which make one call each, and by one server list at a time.
 */
final class SharedFolder implements AutoCloseable {
    /** Longest server id in UTF-8. File names are limited to 255 bytes, and Base64 turns 3 bytes into 4 characters. */
    static final int MAX_ID_BYTES = 180;
    /** Interval at which changes of other processes are read. They must be in force within 1 s. */
    private static final long POLL_INTERVAL_MS = 250;

    /** Servers that may be out by hand at once, more than any list has. */
    private static final int MAX_DRAINED_COUNT = 10_000;

    private static final String DRAINED_FILE_PREFIX = "out-";
    private static final String SERVING_FILE_NAME = "serving";
    /** Exists while clients are drained by hand. */
    private static final String CLIENTS_DRAINED_FILE_NAME = "clients-drained";

    private static final String SERVER_LIST_FILE_NAME = "servers";
    /** Ending of files that a process writes before it renames them. */
    private static final String NEW_FILE_SUFFIX = ".new";
    /** Age from which such a file is of a process that ended while it wrote. */
    private static final long NEW_FILE_MAX_AGE_MS = 60_000;

    private final Path folder;
    private final Listener listener;
    private final String processToken = UUID.randomUUID().toString();
    private final SharedFile serverList;
    private final byte[] initialServerList;
    /** The last problem with a file that was logged. */
    private String lastProblem = "";

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread named = new Thread(task, "operators' folder");
        named.setDaemon(true);
        return named;
    });
    /** The start of each drain by server, in microseconds of Unix time, as last read. */
    private Map<String, Long> lastDrained;
    /** Whether clients are drained, as last read. */
    private boolean areClientsDrained;

    /** Receives what other processes, or calls at this one, have changed; called on the folder's thread. */
    interface Listener {
        /** All drained servers, on each change, with the start of each drain in microseconds of Unix time. */
        void onServersDrained(Map<String, Long> drainedSinceUs);

        /** Clients are drained, or are no longer; called on each change. */
        default void onClientsDrained(boolean isDrained) {}

        /** Another process has shared a server list. */
        default void onServerList(byte[] content) {}

        /** A file cannot be used. */
        default void onProblem(String problem) {}
    }

    /**
     * Opens the folder of the node that listens at this address and creates it if needed.
     *
     * @param stateFolder the node's folder for state of running processes
     * @param listen the node's address for clients
     * @param listener called from {@link #startPolling} on, and about problems from now on
     * @throws IOException if the folder cannot be created or read
     */
    SharedFolder(Path stateFolder, InetSocketAddress listen, Listener listener) throws IOException {
        folder = Files.createDirectories(stateFolder.resolve(
                "kitemux-" + listen.getAddress().getHostAddress().replace(':', '_') + "-" + listen.getPort()));
        this.listener = listener;
        serverList = new SharedFile(folder.resolve(SERVER_LIST_FILE_NAME), newFile(SERVER_LIST_FILE_NAME));
        deleteAbandonedFiles();
        lastDrained = readDrained();
        areClientsDrained = Files.exists(clientsDrainedFile());
        initialServerList = readServerList();
    }

    private Path clientsDrainedFile() {
        return folder.resolve(CLIENTS_DRAINED_FILE_NAME);
    }

    /** Returns whether clients were drained when the folder was opened. Must be called before {@link #startPolling}. */
    boolean areClientsInitiallyDrained() {
        return areClientsDrained;
    }

    private Path newFile(String name) {
        return folder.resolve(name + "-" + processToken + NEW_FILE_SUFFIX);
    }

    /** Deletes what processes that were killed while they wrote have left. */
    private void deleteAbandonedFiles() {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + NEW_FILE_SUFFIX)) {
            for (Path file : files) {
                if (Files.getLastModifiedTime(file).toMillis() < System.currentTimeMillis() - NEW_FILE_MAX_AGE_MS) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            reportProblem(e.toString());
        }
    }

    private void reportProblem(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            listener.onProblem(problem);
        }
    }

    /** Returns the server list that another process had shared when the folder was opened, or null. */
    byte[] initialServerList() {
        return initialServerList;
    }

    /**
     * Shares a server list with the other processes.
     *
     * @param encode encodes the list; called on the folder's thread
     * @param onDone called on the folder's thread once it is shared, or cannot be
     */
    void shareServerList(Supplier<byte[]> encode, Runnable onDone) {
        try {
            thread.execute(() -> writeServerList(encode, onDone));
        } catch (RejectedExecutionException e) {
            // The folder is closed.
        }
    }

    private void writeServerList(Supplier<byte[]> encode, Runnable onDone) {
        try {
            serverList.write(encode.get());
        } catch (IOException e) {
            reportProblem("the server list cannot be shared: " + e.getMessage());
        }
        onDone.run();
    }

    /** Returns the server list of another process if it has changed, otherwise null. */
    private byte[] readServerList() {
        try {
            return serverList.readIfChanged().orElse(null);
        } catch (IOException e) {
            reportProblem("the shared server list cannot be used: " + e.getMessage());
            return null;
        }
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
        Path file = folder.resolve(DRAINED_FILE_PREFIX
                + Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
        setExists(file, drained, onDone);
    }

    /** Drains clients, or ends their drain, for all processes of the node; as {@link #setDrained}. */
    void setClientsDrained(boolean drained, Consumer<String> onDone) {
        setExists(clientsDrainedFile(), drained, onDone);
    }

    private void setExists(Path file, boolean exists, Consumer<String> onDone) {
        thread.execute(() -> {
            try {
                if (exists) {
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
            // It is drained already, and a second call changes nothing.
        }
    }

    private void poll() {
        pollDrained();
        pollClientsDrained();
        byte[] servers = readServerList();
        if (servers != null) {
            listener.onServerList(servers);
        }
    }

    private void pollDrained() {
        Map<String, Long> current;
        try {
            current = readDrained();
        } catch (IOException e) {
            // The last known state stays in force until a later read succeeds.
            return;
        }
        if (!current.equals(lastDrained)) {
            lastDrained = current;
            listener.onServersDrained(current);
        }
    }

    private void pollClientsDrained() {
        boolean areDrained = Files.exists(clientsDrainedFile());
        if (areDrained != areClientsDrained) {
            areClientsDrained = areDrained;
            listener.onClientsDrained(areDrained);
        }
    }

    private Map<String, Long> readDrained() throws IOException {
        Map<String, Long> drained = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, DRAINED_FILE_PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (drained.size() >= MAX_DRAINED_COUNT) {
                    reportProblem("more than " + MAX_DRAINED_COUNT + " servers are out by hand");
                    break;
                }
                try {
                    drained.put(
                            decodeId(name.substring(DRAINED_FILE_PREFIX.length())),
                            Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS));
                } catch (IllegalArgumentException e) {
                    reportProblem(name + " names no server");
                } catch (NoSuchFileException e) {
                    // Another process has called the server back since the folder was listed.
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return drained;
    }

    private static String decodeId(String encoded) {
        return new String(Base64.getUrlDecoder().decode(encoded), StandardCharsets.UTF_8);
    }

    /**
     * Records that this process serves clients.
     *
     * @param onFailure receives the reason if that cannot be written; called on the folder's thread
     */
    void markServing(Consumer<IOException> onFailure) {
        thread.execute(() -> {
            try {
                Path newFile = newFile(SERVING_FILE_NAME);
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
            UUID serving = UUID.fromString(Files.readString(folder.resolve(SERVING_FILE_NAME)));
            return !serving.toString().equals(processToken);
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }

    @Override
    public void close() {
        thread.shutdown();
    }

    /**
     * Closes the folder and waits until nothing is written to it any more.
     *
     * @return false if that takes longer than the time allowed
     */
    boolean closeAndAwait(long timeoutMs) throws InterruptedException {
        close();
        return thread.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
    }
}
