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
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
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

    /** Servers that may be out by hand at once, or restored, more than any list has. */
    private static final int MAX_SERVER_FILE_COUNT = 10_000;
    /** Longest number in a file, in bytes. */
    private static final int MAX_NUMBER_BYTES = 20;

    private static final String DRAINED_FILE_PREFIX = "out-";
    private static final String SERVING_FILE_NAME = "serving";
    /** A server that was drained and restored; the file holds the start of the drain, and its time is the end. */
    private static final String RESTORED_FILE_PREFIX = "back-";
    /** Age from which a restored server is warm, however slowly servers warm up and discovery reports restarts. */
    private static final long RESTORED_MAX_AGE_MS = 600_000;
    /** Exists while clients are drained by hand. */
    private static final String CLIENTS_DRAINED_FILE_NAME = "clients-drained";

    private static final String SERVER_LIST_FILE_NAME = "servers";
    /** Name under which a value of one line is written before it is renamed; long ids leave no room for one of their own. */
    private static final String VALUE_FILE_NAME = "value";
    /** Ending of files that a process writes before it renames them. */
    private static final String NEW_FILE_SUFFIX = ".new";
    /** Age from which such a file is of a process that ended while it wrote. */
    private static final long NEW_FILE_MAX_AGE_MS = 60_000;

    private final Path folder;
    private final Listener listener;
    private final String processToken = UUID.randomUUID().toString();
    private final SharedFile serverList;
    private final byte[] initialServerList;
    private final Map<String, DrainPeriod> initialPastDrains;
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
        initialPastDrains = readPastDrains();
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
        String encodedId = Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8));
        Path drainedFile = folder.resolve(DRAINED_FILE_PREFIX + encodedId);
        Path restoredFile = folder.resolve(RESTORED_FILE_PREFIX + encodedId);
        change(
                () -> {
                    if (drained) {
                        createIfAbsent(drainedFile);
                    } else {
                        restore(drainedFile, restoredFile);
                    }
                },
                onDone);
    }

    /** Drains clients, or ends their drain, for all processes of the node; as {@link #setDrained}. */
    void setClientsDrained(boolean drained, Consumer<String> onDone) {
        change(
                () -> {
                    if (drained) {
                        createIfAbsent(clientsDrainedFile());
                    } else {
                        Files.deleteIfExists(clientsDrainedFile());
                    }
                },
                onDone);
    }

    /** A change of files in the folder. */
    private interface Change {
        void apply() throws IOException;
    }

    private void change(Change change, Consumer<String> onDone) {
        thread.execute(() -> {
            try {
                change.apply();
            } catch (IOException e) {
                onDone.accept(e.toString());
                return;
            }
            poll();
            onDone.accept(null);
        });
    }

    private void restore(Path drainedFile, Path restoredFile) throws IOException {
        if (!Files.exists(drainedFile)) {
            return;
        }
        long sinceUs = Files.getLastModifiedTime(drainedFile).to(TimeUnit.MICROSECONDS);
        replace(restoredFile, Long.toString(sinceUs));
        Files.deleteIfExists(drainedFile);
    }

    private void replace(Path file, String text) throws IOException {
        Path newFile = newFile(VALUE_FILE_NAME);
        Files.writeString(newFile, text);
        Files.move(newFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
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
        for (Path file : serverFiles(DRAINED_FILE_PREFIX)) {
            try {
                drained.put(
                        serverId(file, DRAINED_FILE_PREFIX),
                        Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS));
            } catch (IllegalArgumentException e) {
                reportProblem(file.getFileName() + " names no server");
            } catch (NoSuchFileException e) {
                // Another process has restored the server since the folder was listed.
            }
        }
        return drained;
    }

    /** Returns the servers that were drained and restored before the folder was opened. */
    Map<String, DrainPeriod> initialPastDrains() {
        return initialPastDrains;
    }

    private Map<String, DrainPeriod> readPastDrains() throws IOException {
        Map<String, DrainPeriod> pastDrains = new TreeMap<>();
        long oldestMs = System.currentTimeMillis() - RESTORED_MAX_AGE_MS;
        for (Path file : serverFiles(RESTORED_FILE_PREFIX)) {
            try {
                FileTime until = Files.getLastModifiedTime(file);
                if (until.toMillis() < oldestMs) {
                    Files.deleteIfExists(file);
                } else if (Files.size(file) > MAX_NUMBER_BYTES) {
                    reportProblem(file.getFileName() + " holds no time");
                } else {
                    long sinceUs = Long.parseLong(Files.readString(file));
                    pastDrains.put(
                            serverId(file, RESTORED_FILE_PREFIX),
                            new DrainPeriod(sinceUs, until.to(TimeUnit.MICROSECONDS)));
                }
            } catch (IOException | IllegalArgumentException e) {
                reportProblem(file.getFileName() + " cannot be used: " + e);
            }
        }
        return pastDrains;
    }

    /** Returns the files of servers with this prefix, as many as there may be. */
    private List<Path> serverFiles(String prefix) throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, prefix + "*")) {
            for (Path file : all) {
                if (files.size() == MAX_SERVER_FILE_COUNT) {
                    reportProblem("more than " + MAX_SERVER_FILE_COUNT + " files " + prefix + "*");
                    break;
                }
                files.add(file);
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return files;
    }

    private static String serverId(Path file, String prefix) {
        String encodedId = file.getFileName().toString().substring(prefix.length());
        return new String(Base64.getUrlDecoder().decode(encodedId), StandardCharsets.UTF_8);
    }

    /**
     * Records that this process serves clients.
     *
     * @param onFailure receives the reason if that cannot be written; called on the folder's thread
     */
    void markServing(Consumer<IOException> onFailure) {
        thread.execute(() -> {
            try {
                replace(folder.resolve(SERVING_FILE_NAME), processToken);
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
