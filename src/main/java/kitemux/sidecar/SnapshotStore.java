package kitemux.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import kitemux.members.MembershipSnapshot;

/**
 * Stores a sidecar's membership snapshot for the next process. The file is replaced atomically, so that readers never
 * see a partial one. An unusable file is logged and ignored, because starting without a snapshot is better than not
 * starting.
 */
final class SnapshotStore {
    private final Path file;
    private final String applicationName;

    /**
     * Creates a store for one application.
     *
     * @param applicationName name of the application, from which the file name is derived
     */
    SnapshotStore(Path folder, String applicationName) {
        this.applicationName = applicationName;
        // An application's name may contain characters that are not allowed in file names.
        file = folder.resolve(applicationName.replaceAll("[^A-Za-z0-9._-]", "_") + ".members");
    }

    /** Reads the snapshot; returns empty if there is none or it cannot be used. */
    Optional<MembershipSnapshot> read(LineLog log) {
        try {
            return Optional.of(MembershipSnapshot.decode(Files.readAllBytes(file), applicationName));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            log.info("state: " + file + " cannot be read: " + e);
        } catch (MembershipSnapshot.InvalidSnapshotException e) {
            log.info("state: " + file + " " + e.getMessage() + "; starting without it");
        }
        return Optional.empty();
    }

    /** Replaces the stored snapshot. */
    void write(MembershipSnapshot snapshot) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Path temporaryFile = Files.write(file.resolveSibling(file.getFileName() + ".new"), snapshot.encode());
        Files.move(temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
