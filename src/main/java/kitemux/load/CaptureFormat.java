package kitemux.load;

import io.airlift.compress.MalformedInputException;
import io.airlift.compress.lz4.Lz4Compressor;
import io.airlift.compress.lz4.Lz4Decompressor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import kitemux.Balancer.Result;
import kitemux.engine.Observer;

/**
 * The bytes of a captured file. It begins with {@link #MAGIC}; then come frames, each of the lengths of its
 * payload as it is and packed, a CRC-32C over lengths and packed bytes, all three as four bytes, and the
 * packed bytes (LZ4 block). The first frame is the head, all others are batches of requests. A batch can be
 * read by itself: ids of servers are given numbers as they are first met in it. Numbers are of seven bits a
 * byte, the lowest first; those that may be under 0 are zigzag.
 */
final class CaptureFormat {
    static final byte[] MAGIC = "KMLOAD1\n".getBytes(StandardCharsets.US_ASCII);
    static final int FRAME_HEADER_BYTES = 12;
    /** Of a frame as it is: a damaged length must not ask for all memory. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    private static final int MAX_TEXT_BYTES = 4_096;
    private static final Observer.Answer[] ANSWERS = Observer.Answer.values();
    private static final Result[] RESULTS = Result.values();

    private CaptureFormat() {}

    /**
     * What a file says of itself.
     *
     * @param id drawn as it was begun: two copies of a file have the same
     * @param node whose it is
     * @param startedUs Unix time in microseconds, by the node's clock
     */
    record Header(long id, String node, long startedUs, List<String> classes, List<String> tenants) {}

    /**
     * A batch of requests.
     *
     * @param droppedCount how many were left out before it, as the ring was full or the disk failed
     */
    record Batch(long droppedCount, List<CapturedRequest> requests) {}

    // ---------------------------------------------------------------- writing

    static byte[] encodeHeader(Header header) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        number(out, header.id);
        text(out, header.node);
        number(out, header.startedUs);
        number(out, header.classes.size());
        header.classes.forEach(name -> text(out, name));
        number(out, header.tenants.size());
        header.tenants.forEach(name -> text(out, name));
        return encodeFrame(out.toByteArray());
    }

    static byte[] encodeBatch(Batch batch) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Map<String, Integer> serverIndexes = new HashMap<>();
        number(out, batch.droppedCount);
        number(out, batch.requests.size());
        long previousUs = 0;
        for (CapturedRequest request : batch.requests) {
            signed(out, request.arrivedUs() - previousUs);
            previousUs = request.arrivedUs();
            number(out, request.classIndex() << 1 | (request.isRetry() ? 1 : 0));
            signed(out, request.tenantIndex());
            number(out, request.remainingUs());
            out.write(request.answer().ordinal());
            number(out, request.durationUs());
            number(out, request.attempts().size());
            for (CapturedRequest.Attempt attempt : request.attempts()) {
                Integer serverIndex = serverIndexes.get(attempt.server());
                number(out, serverIndex == null ? serverIndexes.size() : serverIndex);
                if (serverIndex == null) {
                    serverIndexes.put(attempt.server(), serverIndexes.size());
                    text(out, attempt.server());
                }
                number(out, attempt.sentAfterUs());
                number(out, attempt.durationUs());
                out.write(attempt.result().ordinal());
            }
        }
        return encodeFrame(out.toByteArray());
    }

    private static byte[] encodeFrame(byte[] payload) {
        Lz4Compressor compressor = new Lz4Compressor();
        byte[] compressed = new byte[compressor.maxCompressedLength(payload.length)];
        int length = compressor.compress(payload, 0, payload.length, compressed, 0, compressed.length);
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + length);
        frame.putInt(payload.length).putInt(length).putInt(0).put(compressed, 0, length);
        frame.putInt(8, crc(frame.array(), length));
        return frame.array();
    }

    /** Over the two lengths and the packed bytes, which begin behind the place of the sum itself. */
    private static int crc(byte[] frame, int length) {
        CRC32C crc = new CRC32C();
        crc.update(frame, 0, 8);
        crc.update(frame, FRAME_HEADER_BYTES, length);
        return (int) crc.getValue();
    }

    private static void number(ByteArrayOutputStream out, long value) {
        long left = value;
        while ((left & ~0x7fL) != 0) {
            out.write((int) (left & 0x7f | 0x80));
            left >>>= 7;
        }
        out.write((int) left);
    }

    private static void signed(ByteArrayOutputStream out, long value) {
        number(out, value << 1 ^ value >> 63);
    }

    private static void text(ByteArrayOutputStream out, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        number(out, bytes.length);
        out.writeBytes(bytes);
    }

    // ---------------------------------------------------------------- reading

    /**
     * The payload of the frame that begins here; null where the file ends before the frame does.
     *
     * @throws IOException if it is damaged
     */
    static ByteBuffer readPayload(ByteBuffer file) throws IOException {
        if (file.remaining() < FRAME_HEADER_BYTES) {
            return null;
        }
        int frameOffset = file.position();
        int length = file.getInt(frameOffset);
        int compressedLength = file.getInt(frameOffset + 4);
        if (length < 0
                || length > MAX_FRAME_BYTES
                || compressedLength < 0
                || compressedLength > MAX_FRAME_BYTES + MAX_FRAME_BYTES / 128) {
            throw new IOException("lengths that no frame has at byte " + frameOffset);
        }
        if (file.remaining() < FRAME_HEADER_BYTES + compressedLength) {
            return null;
        }
        byte[] frame = new byte[FRAME_HEADER_BYTES + compressedLength];
        file.get(frame);
        if (crc(frame, compressedLength) != ByteBuffer.wrap(frame).getInt(8)) {
            throw new IOException("a frame whose sum is wrong at byte " + frameOffset);
        }
        byte[] payload = new byte[length];
        try {
            new Lz4Decompressor().decompress(frame, FRAME_HEADER_BYTES, compressedLength, payload, 0, length);
        } catch (MalformedInputException e) {
            throw new IOException("a frame that cannot be unpacked at byte " + frameOffset, e);
        }
        return ByteBuffer.wrap(payload);
    }

    static Header readHeader(ByteBuffer in) throws IOException {
        try {
            return new Header(number(in), text(in), number(in), readTexts(in), readTexts(in));
        } catch (BufferUnderflowException e) {
            throw new IOException("a head that ends too early", e);
        }
    }

    static Batch readBatch(ByteBuffer in, Header header) throws IOException {
        try {
            long droppedCount = number(in);
            long count = number(in);
            List<CapturedRequest> requests = new ArrayList<>();
            List<String> servers = new ArrayList<>();
            long arrivedUs = 0;
            for (long i = 0; i < count; i++) {
                arrivedUs += signed(in);
                CapturedRequest request = readRequest(in, arrivedUs, servers);
                if (request.classIndex() >= header.classes.size() || request.tenantIndex() >= header.tenants.size()) {
                    throw new IOException("a request of a class or tenant that the head does not name");
                }
                requests.add(request);
            }
            return new Batch(droppedCount, requests);
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new IOException("a batch that cannot be read", e);
        }
    }

    private static CapturedRequest readRequest(ByteBuffer in, long arrivedUs, List<String> servers) throws IOException {
        int classAndRetry = (int) number(in);
        int tenantIndex = (int) signed(in);
        long remainingUs = number(in);
        Observer.Answer answer = ANSWERS[in.get()];
        long durationUs = number(in);
        long attemptCount = number(in);
        List<CapturedRequest.Attempt> attempts = new ArrayList<>();
        for (long i = 0; i < attemptCount; i++) {
            int server = (int) number(in);
            if (server == servers.size()) {
                servers.add(text(in));
            }
            attempts.add(new CapturedRequest.Attempt(servers.get(server), number(in), number(in), RESULTS[in.get()]));
        }
        return new CapturedRequest(
                arrivedUs,
                classAndRetry >>> 1,
                tenantIndex,
                (classAndRetry & 1) != 0,
                remainingUs,
                attempts,
                answer,
                durationUs);
    }

    private static long number(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte part = in.get();
            value |= (part & 0x7fL) << shift;
            if (part >= 0) {
                return value;
            }
        }
        throw new IndexOutOfBoundsException("a number without an end");
    }

    private static long signed(ByteBuffer in) {
        long value = number(in);
        return value >>> 1 ^ -(value & 1);
    }

    private static String text(ByteBuffer in) throws IOException {
        long length = number(in);
        if (length > MAX_TEXT_BYTES) {
            throw new IOException("a text of " + length + " bytes");
        }
        byte[] bytes = new byte[(int) length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<String> readTexts(ByteBuffer in) throws IOException {
        long count = number(in);
        List<String> all = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            all.add(text(in));
        }
        return all;
    }

    /** Whether a file begins as one of these does. */
    static boolean hasMagic(byte[] bytes) {
        return bytes.length >= MAGIC.length && Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length);
    }
}
