package kitemux.orders;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Journals in folders, for tests of other packages. */
public final class JournalOnDisk {
    private JournalOnDisk() { }

    /** Writes entries to a journal as a node would that ends right after. */
    public static void write(Path folder, Entry... entries) throws IOException {
        try (FolderDisk disk = FolderDisk.toWrite(folder);
                Journal journal = Journal.open(disk, 1 << 20, () -> 9, () -> 77, line -> { })) {
            journal.append(List.of(entries));
            journal.sync();
        }
    }

    /** Holds a journal as a live node does. */
    public static AutoCloseable hold(Path folder) throws IOException {
        return FolderDisk.toWrite(folder);
    }

    /** A request as it is taken. */
    public static Entry.Taken taken(long number, String order) {
        return JournalTest.taken(number, order);
    }
}
