package kitemux.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Checks whether a JVM uses the class archive it was configured with. A JVM silently ignores an archive that is missing
 * or was created from another jar or by another JVM, and its start takes half as long again.
 */
public final class ClassArchive {
    private static final String ARCHIVE_FLAG = "-XX:SharedArchiveFile=";

    private ClassArchive() {}

    /**
     * Returns the archive that a process was configured with and does not use; empty if it uses the archive or has
     * none.
     *
     * @param process the process's folder in proc(5)
     * @throws IOException if the folder cannot be read, for instance on a system without /proc
     */
    public static Optional<Path> findUnused(Path process) throws IOException {
        Path configured = null;
        for (String argument : read(process.resolve("cmdline")).split("\0")) {
            if (argument.startsWith(ARCHIVE_FLAG)) {
                configured = Path.of(argument.substring(ARCHIVE_FLAG.length()));
            }
        }
        if (configured == null) {
            return Optional.empty();
        }
        String mappingSuffix = "/" + configured.getFileName() + "\n";
        return read(process.resolve("maps")).contains(mappingSuffix) ? Optional.empty() : Optional.of(configured);
    }

    /** Maps each byte to one character, as paths may be in any encoding. */
    private static String read(Path file) throws IOException {
        return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
    }
}
