package kitemux.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory in the file system. A writer holds a lock on it. */
public final class FolderDisk implements Disk, AutoCloseable {
    private static final String LOCK_FILE_NAME = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    private FolderDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Opens a directory for reading only; nothing is created or locked. */
    public static FolderDisk openForReading(Path folder) {
        return new FolderDisk(folder, null);
    }

    /**
     * Opens a directory for writing and locks it; the directory is created if it does not exist.
     *
     * @throws IOException if the directory is locked by another process or by another instance in this process
     */
    public static FolderDisk openForWriting(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel file =
                FileChannel.open(folder.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = file.tryLock();
        } catch (OverlappingFileLockException e) {
            // The lock is held by this process, which is treated like a lock of another process.
        } finally {
            if (lock == null) {
                file.close();
            }
        }
        if (lock == null) {
            throw new IOException("another node writes to the journal in " + folder);
        }
        return new FolderDisk(folder, file);
    }

    /** Whether a writer holds the lock of this directory. */
    public static boolean isLockedByWriter(Path folder) throws IOException {
        Path file = folder.resolve(LOCK_FILE_NAME);
        if (!Files.exists(file)) {
            return false;
        }
        try (FileChannel lock = FileChannel.open(file, StandardOpenOption.READ);
                FileLock shared = lock.tryLock(0, Long.MAX_VALUE, true)) {
            return shared == null;
        } catch (OverlappingFileLockException e) {
            return true;
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public OutputFile create(String name) throws IOException {
        return new ChannelOutputFile(
                FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    @Override
    public OutputFile append(String name, long length) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE);
        try {
            file.truncate(length);
            file.position(length);
            return new ChannelOutputFile(file);
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.delete(folder.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** Releases the lock, if this instance holds it. */
    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }

    private record ChannelOutputFile(FileChannel file) implements OutputFile {
        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                file.write(remaining);
            }
        }

        /** Like fdatasync(2), syncs the data and the metadata needed to read it back, but not the timestamps. */
        @Override
        public void sync() throws IOException {
            file.force(false);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
