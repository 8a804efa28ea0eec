package kitemux.disk;

import java.io.ByteArrayOutputStream;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An in-memory disk that simulates power cuts. It tracks which changes have been synced; after a power cut the
 * synced changes are kept, and the test chooses how much of the others is kept.
 */
public final class MemoryDisk implements Disk {
    /** The files as the running process sees them. */
    private final Map<String, ByteArrayOutputStream> files = new LinkedHashMap<>();
    /** The file names as of the last sync of the directory. */
    private final Map<String, ByteArrayOutputStream> syncedFiles = new LinkedHashMap<>();

    /** The contents of each file as of its last sync. */
    private final Map<ByteArrayOutputStream, byte[]> syncedBytes = new LinkedHashMap<>();
    /** Number of operations after which all operations fail; negative for never. */
    public int operationsUntilFailure = -1;

    /** Number of operations so far that change the disk. */
    public int operationCount;
    /** Number of journal segments read. */
    public int segmentReadCount;

    private void countOperation() throws IOException {
        operationCount++;
        if (operationsUntilFailure == 0) {
            throw new IOException("the power is off");
        }
        operationsUntilFailure = operationsUntilFailure > 0 ? operationsUntilFailure - 1 : operationsUntilFailure;
    }

    /**
     * Returns the disk as found after a power cut.
     *
     * @param unsynced how many of the bytes written to each file after its last sync are kept; unsynced file names
     *     are kept if this is positive
     */
    public MemoryDisk afterPowerCut(int unsynced) {
        MemoryDisk recovered = new MemoryDisk();
        Map<String, ByteArrayOutputStream> names = unsynced > 0 ? files : syncedFiles;
        names.forEach((name, file) -> {
            byte[] synced = syncedBytes.getOrDefault(file, new byte[0]);
            byte[] written = file.toByteArray();
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            content.writeBytes(synced);
            if (written.length > synced.length) {
                content.write(written, synced.length, Math.min(unsynced, written.length - synced.length));
            }
            recovered.put(name, content.toByteArray());
        });
        return recovered;
    }

    /** Returns the files as the running process sees them; tests may modify them. */
    public Map<String, ByteArrayOutputStream> files() {
        return files;
    }

    /** Adds a file whose name and contents are synced. */
    public void put(String name, byte[] bytes) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes(bytes);
        files.put(name, file);
        syncedFiles.put(name, file);
        syncedBytes.put(file, bytes);
    }

    @Override
    public List<String> list() throws IOException {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        segmentReadCount += name.endsWith(".orders") ? 1 : 0;
        ByteArrayOutputStream file = files.get(name);
        if (file == null) {
            throw new FileNotFoundException(name);
        }
        return file.toByteArray();
    }

    @Override
    public long size(String name) throws IOException {
        return files.get(name).size();
    }

    @Override
    public OutputFile create(String name) throws IOException {
        countOperation();
        if (files.containsKey(name)) {
            throw new FileAlreadyExistsException(name);
        }
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        files.put(name, file);
        return out(file);
    }

    @Override
    public OutputFile append(String name, long length) throws IOException {
        countOperation();
        ByteArrayOutputStream file = files.get(name);
        byte[] kept = file.toByteArray();
        file.reset();
        file.write(kept, 0, (int) length);
        byte[] synced = syncedBytes.getOrDefault(file, new byte[0]);
        syncedBytes.put(file, java.util.Arrays.copyOf(synced, (int) Math.min(synced.length, length)));
        return out(file);
    }

    private OutputFile out(ByteArrayOutputStream file) {
        return new OutputFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                // Half of the bytes are written when the power fails.
                if (operationsUntilFailure == 0) {
                    file.write(bytes, 0, bytes.length / 2);
                }
                countOperation();
                file.writeBytes(bytes);
            }

            @Override
            public void sync() throws IOException {
                countOperation();
                syncedBytes.put(file, file.toByteArray());
            }

            @Override
            public void close() {
                // There are no resources to release.
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        countOperation();
        files.put(to, files.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        countOperation();
        files.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        countOperation();
        syncedFiles.clear();
        syncedFiles.putAll(files);
    }
}
