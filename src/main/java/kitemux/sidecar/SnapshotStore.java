package kitemux.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import kitemux.members.MembershipSnapshot;

/**
 * Where a sidecar leaves for the next one which servers it believed in. A file is there whole or not at all;
 * one that
 * cannot be used is passed over with a word, as a process that starts with less is better than none.
 */
final class SnapshotStore {
    private final Path file;
    private final String app;

    /**
     * @param app the application's name, by which its file is found
     */
    SnapshotStore(Path folder, String app) {
        this.app = app;
        // A name may hold what a file's may not.
        file = folder.resolve(app.replaceAll("[^A-Za-z0-9._-]", "_") + ".members");
    }

    /** What was left, where there is anything that can be used. */
    Optional<MembershipSnapshot> read(LineLog log) {
        try {
            return Optional.of(MembershipSnapshot.decode(Files.readAllBytes(file), app));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            log.info("state: " + file + " cannot be read: " + e);
        } catch (MembershipSnapshot.InvalidSnapshotException e) {
            log.info("state: " + file + " " + e.getMessage() + "; beginning without it");
        }
        return Optional.empty();
    }

    /** Leaves this in place of what was left before. */
    void write(MembershipSnapshot saved) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Path whole = Files.write(file.resolveSibling(file.getFileName() + ".new"), saved.encode());
        Files.move(whole, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
