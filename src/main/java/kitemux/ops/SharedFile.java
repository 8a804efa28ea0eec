package kitemux.ops;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * A file in which processes of a node share one value. It is replaced as a whole, by a rename, so that a reader sees the old
 * value or the new one. The content stands behind a header line {@code kitemux-shared VERSION BYTES CRC32C}; a file that does
 * not agree with its header, or has another version, is reported once and read as absent.
 *
 * <p>Instances are confined to one thread.
 */
final class SharedFile {
    /** Largest content, in bytes; the list of some ten thousand servers fits. */
    static final int MAX_CONTENT_BYTES = 4 << 20;

    private static final int VERSION = 1;
    private static final String MAGIC = "kitemux-shared";
    /** Longest header, in bytes. */
    private static final int MAX_HEADER_BYTES = 64;

    private final Path path;
    private final Path newPath;
    /** The state of the file when it was last read or written, or null if it was absent. */
    private Fingerprint lastSeen;

    /** What tells one version of the file from the next without reading it. */
    private record Fingerprint(Object fileKey, FileTime modified, long bytes) {}

    /** A file that is no value of this program, or not a whole one. */
    static final class UnreadableException extends IOException {
        private static final long serialVersionUID = 1;

        UnreadableException(String reason) {
            super(reason);
        }
    }

    /**
     * Names the file without opening it.
     *
     * @param newPath where this process alone writes a value before it is renamed; in the same folder
     */
    SharedFile(Path path, Path newPath) {
        this.path = path;
        this.newPath = newPath;
    }

    /**
     * Replaces the value. This process does not read its own value back.
     *
     * @throws IOException if the content is larger than {@link #MAX_CONTENT_BYTES} or cannot be written
     */
    void write(byte[] content) throws IOException {
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IOException(content.length + " bytes are more than " + MAX_CONTENT_BYTES);
        }
        byte[] header = (MAGIC + " " + VERSION + " " + content.length + " " + checksum(ByteBuffer.wrap(content)) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] whole = Arrays.copyOf(header, header.length + content.length);
        System.arraycopy(content, 0, whole, header.length, content.length);
        Files.write(newPath, whole);
        Fingerprint written = fingerprint(newPath);
        Files.move(newPath, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        lastSeen = written;
    }

    /**
     * Returns the value if it has changed since it was last read or written here; empty if it has not, or if there is none.
     *
     * @throws UnreadableException if the file holds no value of this version; it is not read again until it changes
     * @throws IOException if the file cannot be read
     */
    Optional<byte[]> readIfChanged() throws IOException {
        Fingerprint current;
        try {
            current = fingerprint(path);
        } catch (NoSuchFileException e) {
            lastSeen = null;
            return Optional.empty();
        }
        if (current.equals(lastSeen)) {
            return Optional.empty();
        }
        lastSeen = current;
        if (current.bytes > MAX_CONTENT_BYTES + MAX_HEADER_BYTES) {
            throw new UnreadableException(current.bytes + " bytes are too many");
        }
        return Optional.of(content(Files.readAllBytes(path)));
    }

    private static Fingerprint fingerprint(Path path) throws IOException {
        BasicFileAttributes attributes =
                Files.readAttributes(path, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS);
        if (!attributes.isRegularFile()) {
            throw new UnreadableException("is no file");
        }
        return new Fingerprint(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
    }

    private static byte[] content(byte[] whole) throws UnreadableException {
        int headerBytes = 0;
        while (headerBytes < whole.length && headerBytes < MAX_HEADER_BYTES && whole[headerBytes] != '\n') {
            headerBytes++;
        }
        String[] header = new String(whole, 0, headerBytes, StandardCharsets.US_ASCII).split(" ");
        if (header.length != 4 || !header[0].equals(MAGIC)) {
            throw new UnreadableException("is not of this program");
        }
        if (!header[1].equals(Integer.toString(VERSION))) {
            throw new UnreadableException("has version " + header[1] + ", where this program reads " + VERSION);
        }
        int contentBytes = whole.length - headerBytes - 1;
        ByteBuffer content = ByteBuffer.wrap(whole, Math.min(whole.length, headerBytes + 1), Math.max(0, contentBytes));
        if (!header[2].equals(Integer.toString(contentBytes))
                || !header[3].equals(Long.toString(checksum(content.duplicate())))) {
            throw new UnreadableException("is not whole");
        }
        return Arrays.copyOfRange(whole, headerBytes + 1, whole.length);
    }

    private static long checksum(ByteBuffer content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return checksum.getValue();
    }
}
