package kitemux.orders;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import kitemux.disk.FolderDisk;

/** Creates journals in folders for the tests of other packages. */
public final class TestJournals {
    private TestJournals() {}

    /** Writes entries to a journal, like a node that ends right afterwards. */
    public static void write(Path folder, Entry... entries) throws IOException {
        try (FolderDisk disk = FolderDisk.openForWriting(folder);
                Journal journal = Journal.open(
                        disk, new Journal.Limits(1 << 20, Long.MAX_VALUE, 0, 0), () -> 9, () -> 77, line -> {})) {
            journal.append(List.of(entries));
            journal.sync();
        }
    }

    /** Returns an accepted request with this path key and idempotency key, and the body of all test requests. */
    public static Entry.Accepted acceptedWithKeys(long number, String orderId, String key, String idempotencyKey) {
        Entry.Accepted template = JournalTest.accepted(number, orderId);
        return new Entry.Accepted(
                number,
                template.atUs(),
                orderId,
                template.requestClass(),
                template.tenant(),
                key,
                idempotencyKey,
                template.bodyBytes(),
                template.digest());
    }

    /** Locks a journal, as a running node does. */
    public static AutoCloseable lock(Path folder) throws IOException {
        return FolderDisk.openForWriting(folder);
    }

    /** Returns an accepted request. */
    public static Entry.Accepted accepted(long number, String orderId) {
        return JournalTest.accepted(number, orderId);
    }
}
