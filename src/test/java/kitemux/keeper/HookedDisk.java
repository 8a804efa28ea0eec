package kitemux.keeper;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import kitemux.disk.Disk;

/** Disk wrapper that calls hooks after each write and after each sync. */
final class HookedDisk implements Disk {
    private final Disk delegate;
    private final Consumer<byte[]> onWrite;
    private final AfterSync afterSync;

    /** Hook that runs after a sync and may block the writer. */
    interface AfterSync {
        void run() throws InterruptedException, IOException;
    }

    HookedDisk(Disk delegate, Consumer<byte[]> onWrite, AfterSync afterSync) {
        this.delegate = delegate;
        this.onWrite = onWrite;
        this.afterSync = afterSync;
    }

    private OutputFile hooked(OutputFile out) {
        return new OutputFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                out.write(bytes);
                onWrite.accept(bytes);
            }

            @Override
            public void sync() throws IOException {
                out.sync();
                try {
                    afterSync.run();
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
        return delegate.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return delegate.read(name);
    }

    @Override
    public long size(String name) throws IOException {
        return delegate.size(name);
    }

    @Override
    public OutputFile create(String name) throws IOException {
        return hooked(delegate.create(name));
    }

    @Override
    public OutputFile append(String name, long from) throws IOException {
        return hooked(delegate.append(name, from));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        delegate.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        delegate.delete(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        delegate.syncDirectory();
    }
}
