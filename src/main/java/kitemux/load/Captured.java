package kitemux.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A captured file, read. One that was cut off is read up to where it was; behind a damaged frame nothing is.
 *
 * @param id two copies of a file have the same
 * @param node whose it is
 * @param beganUs Unix time in microseconds, by that node's clock
 * @param leftOut requests that it says are missing
 * @param fault what ended it before its end, or empty
 */
public record Captured(
        long id,
        String node,
        long beganUs,
        List<String> classes,
        List<String> tenants,
        List<Seen> seen,
        long leftOut,
        String fault) {

    /**
     * Reads a file.
     *
     * @throws IOException if it cannot be read, or is none of these; the message names it
     */
    public static Captured read(Path path) throws IOException {
        byte[] bytes = Files.readAllBytes(path);
        if (!LoadFormat.hasMagic(bytes)) {
            throw new IOException(path + " is no captured load");
        }
        ByteBuffer file = ByteBuffer.wrap(bytes);
        file.position(LoadFormat.MAGIC.length);
        ByteBuffer first = LoadFormat.payload(file);
        if (first == null) {
            throw new IOException(path + " ends before its head does");
        }
        LoadFormat.Head head = LoadFormat.readHead(first);
        List<Seen> seen = new ArrayList<>();
        long leftOut = 0;
        String fault = "";
        try {
            ByteBuffer payload;
            while ((payload = LoadFormat.payload(file)) != null) {
                LoadFormat.Batch batch = LoadFormat.readBatch(payload, head);
                leftOut += batch.leftOut();
                seen.addAll(batch.seen());
            }
            if (file.hasRemaining()) {
                fault = "cut off: " + file.remaining() + " bytes of a frame that is not whole";
            }
        } catch (IOException e) {
            fault = e.getMessage();
        }
        return new Captured(
                head.id(), head.node(), head.beganUs(), head.classes(), head.tenants(), seen, leftOut, fault);
    }
}
