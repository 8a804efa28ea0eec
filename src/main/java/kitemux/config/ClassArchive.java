package kitemux.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Whether a JVM runs with the class archive that it was told of. One that is missing, made from another jar
 * or by another JVM is passed over without a word, and a start takes half as long again.
 */
public final class ClassArchive {
    private static final String FLAG = "-XX:SharedArchiveFile=";

    private ClassArchive() {}

    /**
     * The archive that a process was told of and does not use; empty if it uses it or was told of none.
     *
     * @param process its folder in proc(5)
     * @throws IOException if that cannot be read, as where there is no such file system
     */
    public static Optional<Path> findUnused(Path process) throws IOException {
        Path told = null;
        for (String argument : read(process.resolve("cmdline")).split("\0")) {
            if (argument.startsWith(FLAG)) {
                told = Path.of(argument.substring(FLAG.length()));
            }
        }
        if (told == null) {
            return Optional.empty();
        }
        String mapped = "/" + told.getFileName() + "\n";
        return read(process.resolve("maps")).contains(mapped) ? Optional.empty() : Optional.of(told);
    }

    /** Byte by byte, as paths need not be in any encoding. */
    private static String read(Path file) throws IOException {
        return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
    }
}
