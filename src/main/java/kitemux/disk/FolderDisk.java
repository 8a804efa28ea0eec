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

/** A folder of the system's; writers hold its lock. */
public final class FolderDisk implements Disk, AutoCloseable {
    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    private FolderDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** To read only; nothing is made or locked. */
    public static FolderDisk openForReading(Path folder) {
        return new FolderDisk(folder, null);
    }

    /**
     * To write to; the folder is made where it is not there.
     *
     * @throws IOException if another process, or another part of this one, writes to it
     */
    public static FolderDisk openForWriting(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = file.tryLock();
        } catch (OverlappingFileLockException e) {
            // Held by this process, which is as good as by another.
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

    /** Whether somebody writes to this folder now. */
    public static boolean isLockedByWriter(Path folder) throws IOException {
        Path file = folder.resolve(LOCK);
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
        return new ChannelOut(
                FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    @Override
    public OutputFile append(String name, long from) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE);
        try {
            file.truncate(from);
            file.position(from);
            return new ChannelOut(file);
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
        try (FileChannel entries = FileChannel.open(folder, StandardOpenOption.READ)) {
            entries.force(true);
        }
    }

    /** Lets go of the lock. */
    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }

    private record ChannelOut(FileChannel file) implements OutputFile {
        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                file.write(left);
            }
        }

        /** As fdatasync(2): what is needed to read the bytes back, and no times. */
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
