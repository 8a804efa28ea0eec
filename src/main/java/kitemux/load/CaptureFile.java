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
 * @param startedUs Unix time in microseconds, by that node's clock
 * @param droppedCount requests that it says are missing
 * @param fault what ended it before its end, or empty
 */
public record CaptureFile(
        long id,
        String node,
        long startedUs,
        List<String> classes,
        List<String> tenants,
        List<CapturedRequest> requests,
        long droppedCount,
        String fault) {

    /**
     * Reads a file.
     *
     * @throws IOException if it cannot be read, or is none of these; the message names it
     */
    public static CaptureFile read(Path path) throws IOException {
        byte[] bytes = Files.readAllBytes(path);
        if (!CaptureFormat.hasMagic(bytes)) {
            throw new IOException(path + " is no captured load");
        }
        ByteBuffer file = ByteBuffer.wrap(bytes);
        file.position(CaptureFormat.MAGIC.length);
        ByteBuffer first = CaptureFormat.payload(file);
        if (first == null) {
            throw new IOException(path + " ends before its head does");
        }
        CaptureFormat.Head head = CaptureFormat.readHead(first);
        List<CapturedRequest> seen = new ArrayList<>();
        long leftOut = 0;
        String fault = "";
        try {
            ByteBuffer payload;
            while ((payload = CaptureFormat.payload(file)) != null) {
                CaptureFormat.Batch batch = CaptureFormat.readBatch(payload, head);
                leftOut += batch.leftOut();
                seen.addAll(batch.seen());
            }
            if (file.hasRemaining()) {
                fault = "cut off: " + file.remaining() + " bytes of a frame that is not whole";
            }
        } catch (IOException e) {
            fault = e.getMessage();
        }
        return new CaptureFile(
                head.id(), head.node(), head.beganUs(), head.classes(), head.tenants(), seen, leftOut, fault);
    }
}
