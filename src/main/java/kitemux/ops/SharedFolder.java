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
 * What one process of a node leaves its successor: which servers are out by hand, a file for each, so that
 * two that overlap take nothing of each other's back; and which process serves clients. The folder lives as
 * long as the node's {@code $TMPDIR}; nothing is synced, as it need not outlive the machine.
 *
 * <p>One thread of its own does all reading and writing and tells what stands in the order of its doing. What
 * waits for it is bounded by the operators' connections, one call each.
 */
final class SharedFolder implements AutoCloseable {
    /** Names of files may have 255 bytes, and four of the name say three of an id. */
    static final int MOST_ID = 180;
    /** Between two looks at what another process has changed. Operators are owed a change within 1 s. */
    private static final long LOOK_MS = 250;

    private static final String OUT = "out-";
    private static final String SERVING = "serving";

    private final Path folder;
    private final Consumer<Map<String, Long>> listener;
    private final String self = UUID.randomUUID().toString();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread named = new Thread(task, "operators' folder");
        named.setDaemon(true);
        return named;
    });
    /** Each server that is out, with the time since when, in microseconds of Unix time. */
    private Map<String, Long> told;

    /**
     * The folder of the node that listens there, made if it is not there yet.
     *
     * @param tmp the node's folder for what it needs while it runs
     * @param listener told on the folder's thread, whenever that changes, of all servers that are out, each
     *     with the time since when, in microseconds of Unix time
     * @throws IOException if it cannot be made or read
     */
    SharedFolder(Path tmp, InetSocketAddress listen, Consumer<Map<String, Long>> listener) throws IOException {
        folder = Files.createDirectories(tmp.resolve(
                "kitemux-" + listen.getAddress().getHostAddress().replace(':', '_') + "-" + listen.getPort()));
        this.listener = listener;
        told = read();
    }

    /** What was out as it was opened; to be asked before {@link #watch}. */
    Map<String, Long> atFirst() {
        return told;
    }

    /** From now on the listener is told. */
    void watch() {
        thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes a server out or back; the listener has been told before {@code done} is, on the folder's thread.
     *
     * @param done null, or why it could not be done: nothing has changed then
     */
    void set(String id, boolean out, Consumer<String> done) {
        thread.execute(() -> {
            Path file = folder.resolve(
                    OUT + Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
            try {
                if (out) {
                    create(file);
                } else {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                done.accept(e.toString());
                return;
            }
            look();
            done.accept(null);
        });
    }

    private static void create(Path file) throws IOException {
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            // Out already: a second call changes nothing.
        }
    }

    private void look() {
        Map<String, Long> now;
        try {
            now = read();
        } catch (IOException | IllegalArgumentException e) {
            // What was known last stands; the next look may succeed.
            return;
        }
        if (!now.equals(told)) {
            told = now;
            listener.accept(now);
        }
    }

    private Map<String, Long> read() throws IOException {
        Map<String, Long> out = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, OUT + "*")) {
            for (Path file : files) {
                String id = new String(
                        Base64.getUrlDecoder()
                                .decode(file.getFileName().toString().substring(OUT.length())),
                        StandardCharsets.UTF_8);
                out.put(id, Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS));
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return out;
    }

    /** This process serves clients now; what keeps that from being written is told on the folder's thread. */
    void serves(Consumer<IOException> failed) {
        thread.execute(() -> {
            try {
                Path next = folder.resolve(SERVING + "-" + self);
                Files.writeString(next, self);
                Files.move(
                        next,
                        folder.resolve(SERVING),
                        StandardCopyOption.REPLACE_EXISTING,
                        StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                failed.accept(e);
            }
        });
    }

    /** Whether another process has begun to serve clients since this one did. */
    boolean isReplaced() {
        try {
            return !Files.readString(folder.resolve(SERVING)).equals(self);
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        thread.shutdown();
    }
}
