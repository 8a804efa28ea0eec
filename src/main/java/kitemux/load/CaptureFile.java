package kitemux.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The content of a capture file. A truncated file is read up to its last complete frame; frames behind a corrupt
 * one are not read.
 *
 * @param id a random number by which copies of a file are recognised
 * @param node the name of the node that wrote the file
 * @param startedUs when the file was begun, as Unix time in microseconds by the node's clock
 * @param classes the names of the request classes, to which requests refer by index
 * @param tenants the names of the tenants, to which requests refer by index
 * @param requests the captured requests
 * @param droppedCount the number of requests that were dropped, as the file records it
 * @param fault why the file could not be read to its end; empty if it could
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
     * Reads a capture file.
     *
     * @throws IOException if the file cannot be read or is not a capture file
     */
    public static CaptureFile read(Path path) throws IOException {
        byte[] bytes = Files.readAllBytes(path);
        if (!CaptureFormat.hasMagic(bytes)) {
            throw new IOException(path + " is no captured load");
        }
        ByteBuffer input = ByteBuffer.wrap(bytes);
        input.position(CaptureFormat.MAGIC.length);
        ByteBuffer headerPayload = CaptureFormat.readPayload(input);
        if (headerPayload == null) {
            throw new IOException(path + " ends within its header");
        }
        CaptureFormat.Header header = CaptureFormat.readHeader(headerPayload);
        List<CapturedRequest> requests = new ArrayList<>();
        long droppedCount = 0;
        String fault = "";
        try {
            ByteBuffer payload;
            while ((payload = CaptureFormat.readPayload(input)) != null) {
                CaptureFormat.Batch batch = CaptureFormat.readBatch(payload, header);
                droppedCount += batch.droppedCount();
                requests.addAll(batch.requests());
            }
            if (input.hasRemaining()) {
                fault = "cut off: " + input.remaining() + " bytes of an incomplete frame";
            }
        } catch (IOException e) {
            fault = e.getMessage();
        }
        return new CaptureFile(
                header.id(),
                header.node(),
                header.startedUs(),
                header.classes(),
                header.tenants(),
                requests,
                droppedCount,
                fault);
    }
}
