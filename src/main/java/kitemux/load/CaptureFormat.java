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
 * Encodes and decodes capture files. A file begins with {@link #MAGIC}, followed by frames. A frame consists of
 * the length of its payload, the length of its compressed payload, a CRC-32C of both lengths and the compressed
 * payload (four bytes each), and the compressed payload as an LZ4 block. The first frame holds the header, all
 * others hold batches of requests. Each batch can be decoded by itself: within it a server's id is written out
 * once and then referred to by an index. Numbers are varints with seven bits per byte, the lowest bits first;
 * numbers that may be negative are zigzag-encoded.
 */
final class CaptureFormat {
    static final byte[] MAGIC = "KMLOAD1\n".getBytes(StandardCharsets.US_ASCII);
    static final int FRAME_HEADER_BYTES = 12;
    /** Longest uncompressed payload; prevents that a corrupt length allocates all memory. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    private static final int MAX_TEXT_BYTES = 4_096;
    private static final Observer.RequestOutcome[] ANSWERS = Observer.RequestOutcome.values();
    private static final Result[] RESULTS = Result.values();

    private CaptureFormat() {}

    /**
     * The header of a capture file.
     *
     * @param id a random number by which copies of a file are recognised
     * @param node the name of the node that wrote the file
     * @param startedUs when the file was begun, as Unix time in microseconds by the node's clock
     * @param classes the names of the request classes, to which requests refer by index
     * @param tenants the names of the tenants, to which requests refer by index
     */
    record Header(long id, String node, long startedUs, List<String> classes, List<String> tenants) {}

    /**
     * A batch of requests.
     *
     * @param droppedCount the number of requests that were dropped before this batch, since the ring was full or
     *     the disk failed
     */
    record Batch(long droppedCount, List<CapturedRequest> requests) {}

    // ---------------------------------------------------------------- writing

    static byte[] encodeHeader(Header header) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeVarint(out, header.id);
        writeText(out, header.node);
        writeVarint(out, header.startedUs);
        writeVarint(out, header.classes.size());
        header.classes.forEach(name -> writeText(out, name));
        writeVarint(out, header.tenants.size());
        header.tenants.forEach(name -> writeText(out, name));
        return encodeFrame(out.toByteArray());
    }

    static byte[] encodeBatch(Batch batch) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Map<String, Integer> serverIndexes = new HashMap<>();
        writeVarint(out, batch.droppedCount);
        writeVarint(out, batch.requests.size());
        long previousUs = 0;
        for (CapturedRequest request : batch.requests) {
            writeZigzag(out, request.arrivedUs() - previousUs);
            previousUs = request.arrivedUs();
            writeVarint(out, request.classIndex() << 1 | (request.isRetry() ? 1 : 0));
            writeZigzag(out, request.tenantIndex());
            writeVarint(out, request.remainingUs());
            out.write(request.answer().ordinal());
            writeVarint(out, request.durationUs());
            writeVarint(out, request.attempts().size());
            for (CapturedRequest.Attempt attempt : request.attempts()) {
                Integer serverIndex = serverIndexes.get(attempt.server());
                writeVarint(out, serverIndex == null ? serverIndexes.size() : serverIndex);
                if (serverIndex == null) {
                    serverIndexes.put(attempt.server(), serverIndexes.size());
                    writeText(out, attempt.server());
                }
                writeVarint(out, attempt.sentAfterUs());
                writeVarint(out, attempt.durationUs());
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

    /** Returns the checksum of a frame: of its two lengths and its compressed payload. */
    private static int crc(byte[] frame, int length) {
        CRC32C crc = new CRC32C();
        crc.update(frame, 0, 8);
        crc.update(frame, FRAME_HEADER_BYTES, length);
        return (int) crc.getValue();
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    private static void writeZigzag(ByteArrayOutputStream out, long value) {
        writeVarint(out, value << 1 ^ value >> 63);
    }

    private static void writeText(ByteArrayOutputStream out, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        writeVarint(out, bytes.length);
        out.writeBytes(bytes);
    }

    // ---------------------------------------------------------------- reading

    /**
     * Reads the frame at the current position.
     *
     * @return the uncompressed payload, or null if the file ends before the frame does
     * @throws IOException if the frame is corrupt
     */
    static ByteBuffer readPayload(ByteBuffer input) throws IOException {
        if (input.remaining() < FRAME_HEADER_BYTES) {
            return null;
        }
        int frameOffset = input.position();
        int length = input.getInt(frameOffset);
        int compressedLength = input.getInt(frameOffset + 4);
        if (length < 0
                || length > MAX_FRAME_BYTES
                || compressedLength < 0
                || compressedLength > MAX_FRAME_BYTES + MAX_FRAME_BYTES / 128) {
            throw new IOException("invalid frame lengths at byte " + frameOffset);
        }
        if (input.remaining() < FRAME_HEADER_BYTES + compressedLength) {
            return null;
        }
        byte[] frame = new byte[FRAME_HEADER_BYTES + compressedLength];
        input.get(frame);
        if (crc(frame, compressedLength) != ByteBuffer.wrap(frame).getInt(8)) {
            throw new IOException("wrong checksum of the frame at byte " + frameOffset);
        }
        byte[] payload = new byte[length];
        try {
            new Lz4Decompressor().decompress(frame, FRAME_HEADER_BYTES, compressedLength, payload, 0, length);
        } catch (MalformedInputException e) {
            throw new IOException("cannot decompress the frame at byte " + frameOffset, e);
        }
        return ByteBuffer.wrap(payload);
    }

    static Header readHeader(ByteBuffer in) throws IOException {
        try {
            return new Header(readVarint(in), readText(in), readVarint(in), readTexts(in), readTexts(in));
        } catch (BufferUnderflowException e) {
            throw new IOException("the header is truncated", e);
        }
    }

    static Batch readBatch(ByteBuffer in, Header header) throws IOException {
        try {
            long droppedCount = readVarint(in);
            long count = readVarint(in);
            List<CapturedRequest> requests = new ArrayList<>();
            List<String> servers = new ArrayList<>();
            long arrivedUs = 0;
            for (long i = 0; i < count; i++) {
                arrivedUs += readZigzag(in);
                CapturedRequest request = readRequest(in, arrivedUs, servers);
                if (request.classIndex() >= header.classes.size() || request.tenantIndex() >= header.tenants.size()) {
                    throw new IOException("a request has a class or tenant that the header does not name");
                }
                requests.add(request);
            }
            return new Batch(droppedCount, requests);
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new IOException("a batch cannot be decoded", e);
        }
    }

    private static CapturedRequest readRequest(ByteBuffer in, long arrivedUs, List<String> servers) throws IOException {
        int classAndRetry = (int) readVarint(in);
        int tenantIndex = (int) readZigzag(in);
        long remainingUs = readVarint(in);
        Observer.RequestOutcome answer = ANSWERS[in.get()];
        long durationUs = readVarint(in);
        long attemptCount = readVarint(in);
        List<CapturedRequest.Attempt> attempts = new ArrayList<>();
        for (long i = 0; i < attemptCount; i++) {
            int server = (int) readVarint(in);
            if (server == servers.size()) {
                servers.add(readText(in));
            }
            attempts.add(new CapturedRequest.Attempt(
                    servers.get(server), readVarint(in), readVarint(in), RESULTS[in.get()]));
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

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte part = in.get();
            value |= (part & 0x7fL) << shift;
            if (part >= 0) {
                return value;
            }
        }
        throw new IndexOutOfBoundsException("a varint has more than 10 bytes");
    }

    private static long readZigzag(ByteBuffer in) {
        long value = readVarint(in);
        return value >>> 1 ^ -(value & 1);
    }

    private static String readText(ByteBuffer in) throws IOException {
        long length = readVarint(in);
        if (length > MAX_TEXT_BYTES) {
            throw new IOException("a text is too long: " + length + " bytes");
        }
        byte[] bytes = new byte[(int) length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<String> readTexts(ByteBuffer in) throws IOException {
        long count = readVarint(in);
        List<String> texts = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            texts.add(readText(in));
        }
        return texts;
    }

    /** Returns whether the bytes begin as a capture file does. */
    static boolean hasMagic(byte[] bytes) {
        return bytes.length >= MAGIC.length && Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length);
    }
}
