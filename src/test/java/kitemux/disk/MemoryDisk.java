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
 * A disk that keeps each change apart until it is synced, so that a test can cut the power at any of them:
 * all that was synced is there then, and of the rest as much as the test chooses.
 */
public final class MemoryDisk implements Disk {
    /** What the machine sees. */
    private final Map<String, ByteArrayOutputStream> files = new LinkedHashMap<>();
    /** What is on the platter: names as of the last sync of the folder, bytes as of the file's. */
    private final Map<String, ByteArrayOutputStream> safeNames = new LinkedHashMap<>();

    private final Map<ByteArrayOutputStream, byte[]> safeBytes = new LinkedHashMap<>();
    /** Operations until all fail; negative for never. */
    public int operationsUntilFailure = -1;

    public int operationCount;
    /** Segments read. */
    public int segmentReadCount;

    private void step() throws IOException {
        operationCount++;
        if (operationsUntilFailure == 0) {
            throw new IOException("the power is off");
        }
        operationsUntilFailure = operationsUntilFailure > 0 ? operationsUntilFailure - 1 : operationsUntilFailure;
    }

    /**
     * As it is found after the power was cut.
     *
     * @param unsynced how many bytes of what was written to each file behind its last sync are there all the
     *     same; a name that was not synced is there if any are asked for
     */
    public MemoryDisk afterPowerCut(int unsynced) {
        MemoryDisk found = new MemoryDisk();
        Map<String, ByteArrayOutputStream> names = unsynced > 0 ? files : safeNames;
        names.forEach((name, file) -> {
            byte[] safe = safeBytes.getOrDefault(file, new byte[0]);
            byte[] seen = file.toByteArray();
            ByteArrayOutputStream left = new ByteArrayOutputStream();
            left.writeBytes(safe);
            if (seen.length > safe.length) {
                left.write(seen, safe.length, Math.min(unsynced, seen.length - safe.length));
            }
            found.put(name, left.toByteArray());
        });
        return found;
    }

    /** What the machine sees, to be changed. */
    public Map<String, ByteArrayOutputStream> files() {
        return files;
    }

    /** A file that is there and safe. */
    public void put(String name, byte[] bytes) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes(bytes);
        files.put(name, file);
        safeNames.put(name, file);
        safeBytes.put(file, bytes);
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
        step();
        if (files.containsKey(name)) {
            throw new FileAlreadyExistsException(name);
        }
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        files.put(name, file);
        return out(file);
    }

    @Override
    public OutputFile append(String name, long from) throws IOException {
        step();
        ByteArrayOutputStream file = files.get(name);
        byte[] kept = file.toByteArray();
        file.reset();
        file.write(kept, 0, (int) from);
        byte[] safe = safeBytes.getOrDefault(file, new byte[0]);
        safeBytes.put(file, java.util.Arrays.copyOf(safe, (int) Math.min(safe.length, from)));
        return out(file);
    }

    private OutputFile out(ByteArrayOutputStream file) {
        return new OutputFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                // Half of it is written as the power goes.
                if (operationsUntilFailure == 0) {
                    file.write(bytes, 0, bytes.length / 2);
                }
                step();
                file.writeBytes(bytes);
            }

            @Override
            public void sync() throws IOException {
                step();
                safeBytes.put(file, file.toByteArray());
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        files.put(to, files.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        files.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        step();
        safeNames.clear();
        safeNames.putAll(files);
    }
}
