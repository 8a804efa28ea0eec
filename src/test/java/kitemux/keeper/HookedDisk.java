package kitemux.keeper;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import kitemux.disk.Disk;

/** A disk at which a test is told of each write, and of each sync once it is done. */
final class HookedDisk implements Disk {
    private final Disk of;
    private final Consumer<byte[]> written;
    private final AfterSync synced;

    /** May hold the writer up. */
    interface AfterSync {
        void run() throws InterruptedException, IOException;
    }

    HookedDisk(Disk of, Consumer<byte[]> written, AfterSync synced) {
        this.of = of;
        this.written = written;
        this.synced = synced;
    }

    private OutputFile hooked(OutputFile out) {
        return new OutputFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                out.write(bytes);
                written.accept(bytes);
            }

            @Override
            public void sync() throws IOException {
                out.sync();
                try {
                    synced.run();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }

            @Override
            public void close() throws IOException {
                out.close();
            }
        };
    }

    @Override
    public List<String> list() throws IOException {
        return of.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return of.read(name);
    }

    @Override
    public long size(String name) throws IOException {
        return of.size(name);
    }

    @Override
    public OutputFile create(String name) throws IOException {
        return hooked(of.create(name));
    }

    @Override
    public OutputFile append(String name, long from) throws IOException {
        return hooked(of.append(name, from));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        of.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        of.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        of.syncDirectory();
    }
}
