package kitemux.orders;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import kitemux.disk.FolderDisk;

/** Journals in folders, for tests of other packages. */
public final class TestJournals {
    private TestJournals() {}

    /** Writes entries to a journal as a node would that ends right after. */
    public static void write(Path folder, Entry... entries) throws IOException {
        try (FolderDisk disk = FolderDisk.openForWriting(folder);
                Journal journal = Journal.open(
                        disk, new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0), () -> 9, () -> 77, line -> {})) {
            journal.append(List.of(entries));
            journal.sync();
        }
    }

    /** A request that is taken with this path key and idempotency key, and the body that all have. */
    public static Entry.Accepted acceptedWithKeys(long number, String order, String key, String idempotencyKey) {
        Entry.Accepted like = JournalTest.accepted(number, order);
        return new Entry.Accepted(
                number,
                like.atUs(),
                order,
                like.requestClass(),
                like.tenant(),
                key,
                idempotencyKey,
                like.bodyBytes(),
                like.digest());
    }

    /** Holds a journal as a live node does. */
    public static AutoCloseable lock(Path folder) throws IOException {
        return FolderDisk.openForWriting(folder);
    }

    /** A request as it is taken. */
    public static Entry.Accepted accepted(long number, String order) {
        return JournalTest.accepted(number, order);
    }
}
