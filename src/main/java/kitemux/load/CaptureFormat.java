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
    static final int FRAME_HEAD = 12;
    /** Of a frame as it is: a damaged length must not ask for all memory. */
    static final int MOST_FRAME = 4 << 20;

    private static final int MOST_TEXT = 4_096;
    private static final Observer.RequestOutcome[] ANSWERS = Observer.RequestOutcome.values();
    private static final Result[] RESULTS = Result.values();

    private CaptureFormat() {}

    /**
     * What a file says of itself.
     *
     * @param id drawn as it was begun: two copies of a file have the same
     * @param node whose it is
     * @param beganUs Unix time in microseconds, by the node's clock
     */
    record Head(long id, String node, long beganUs, List<String> classes, List<String> tenants) {}

    /**
     * A batch of requests.
     *
     * @param leftOut how many were left out before it, as the ring was full or the disk failed
     */
    record Batch(long leftOut, List<CapturedRequest> seen) {}

    // ---------------------------------------------------------------- writing

    static byte[] head(Head head) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        number(out, head.id);
        text(out, head.node);
        number(out, head.beganUs);
        number(out, head.classes.size());
        head.classes.forEach(name -> text(out, name));
        number(out, head.tenants.size());
        head.tenants.forEach(name -> text(out, name));
        return frame(out.toByteArray());
    }

    static byte[] batch(Batch batch) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Map<String, Integer> servers = new HashMap<>();
        number(out, batch.leftOut);
        number(out, batch.seen.size());
        long before = 0;
        for (CapturedRequest seen : batch.seen) {
            signed(out, seen.arrivedUs() - before);
            before = seen.arrivedUs();
            number(out, seen.classIndex() << 1 | (seen.isRetry() ? 1 : 0));
            signed(out, seen.tenantIndex());
            number(out, seen.remainingUs());
            out.write(seen.answer().ordinal());
            number(out, seen.durationUs());
            number(out, seen.attempts().size());
            for (CapturedRequest.Attempt attempt : seen.attempts()) {
                Integer known = servers.get(attempt.server());
                number(out, known == null ? servers.size() : known);
                if (known == null) {
                    servers.put(attempt.server(), servers.size());
                    text(out, attempt.server());
                }
                number(out, attempt.sentAfterUs());
                number(out, attempt.durationUs());
                out.write(attempt.result().ordinal());
            }
        }
        return frame(out.toByteArray());
    }

    private static byte[] frame(byte[] payload) {
        Lz4Compressor packer = new Lz4Compressor();
        byte[] packed = new byte[packer.maxCompressedLength(payload.length)];
        int length = packer.compress(payload, 0, payload.length, packed, 0, packed.length);
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEAD + length);
        frame.putInt(payload.length).putInt(length).putInt(0).put(packed, 0, length);
        frame.putInt(8, crc(frame.array(), length));
        return frame.array();
    }

    /** Over the two lengths and the packed bytes, which begin behind the place of the sum itself. */
    private static int crc(byte[] frame, int length) {
        CRC32C crc = new CRC32C();
        crc.update(frame, 0, 8);
        crc.update(frame, FRAME_HEAD, length);
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
    static ByteBuffer payload(ByteBuffer file) throws IOException {
        if (file.remaining() < FRAME_HEAD) {
            return null;
        }
        int at = file.position();
        int length = file.getInt(at);
        int packed = file.getInt(at + 4);
        if (length < 0 || length > MOST_FRAME || packed < 0 || packed > MOST_FRAME + MOST_FRAME / 128) {
            throw new IOException("lengths that no frame has at byte " + at);
        }
        if (file.remaining() < FRAME_HEAD + packed) {
            return null;
        }
        byte[] frame = new byte[FRAME_HEAD + packed];
        file.get(frame);
        if (crc(frame, packed) != ByteBuffer.wrap(frame).getInt(8)) {
            throw new IOException("a frame whose sum is wrong at byte " + at);
        }
        byte[] payload = new byte[length];
        try {
            new Lz4Decompressor().decompress(frame, FRAME_HEAD, packed, payload, 0, length);
        } catch (MalformedInputException e) {
            throw new IOException("a frame that cannot be unpacked at byte " + at, e);
        }
        return ByteBuffer.wrap(payload);
    }

    static Head readHead(ByteBuffer in) throws IOException {
        try {
            return new Head(number(in), text(in), number(in), texts(in), texts(in));
        } catch (BufferUnderflowException e) {
            throw new IOException("a head that ends too early", e);
        }
    }

    static Batch readBatch(ByteBuffer in, Head head) throws IOException {
        try {
            long leftOut = number(in);
            long count = number(in);
            List<CapturedRequest> all = new ArrayList<>();
            List<String> servers = new ArrayList<>();
            long came = 0;
            for (long i = 0; i < count; i++) {
                came += signed(in);
                CapturedRequest seen = readSeen(in, came, servers);
                if (seen.classIndex() >= head.classes.size() || seen.tenantIndex() >= head.tenants.size()) {
                    throw new IOException("a request of a class or tenant that the head does not name");
                }
                all.add(seen);
            }
            return new Batch(leftOut, all);
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new IOException("a batch that cannot be read", e);
        }
    }

    private static CapturedRequest readSeen(ByteBuffer in, long came, List<String> servers) throws IOException {
        int of = (int) number(in);
        int tenant = (int) signed(in);
        long left = number(in);
        Observer.RequestOutcome end = ANSWERS[in.get()];
        long took = number(in);
        long attempts = number(in);
        List<CapturedRequest.Attempt> tried = new ArrayList<>();
        for (long i = 0; i < attempts; i++) {
            int server = (int) number(in);
            if (server == servers.size()) {
                servers.add(text(in));
            }
            tried.add(new CapturedRequest.Attempt(servers.get(server), number(in), number(in), RESULTS[in.get()]));
        }
        return new CapturedRequest(came, of >>> 1, tenant, (of & 1) != 0, left, tried, end, took);
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
        if (length > MOST_TEXT) {
            throw new IOException("a text of " + length + " bytes");
        }
        byte[] bytes = new byte[(int) length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<String> texts(ByteBuffer in) throws IOException {
        long count = number(in);
        List<String> all = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            all.add(text(in));
        }
        return all;
    }

    /** Whether a file begins as one of these does. */
    static boolean hasMagic(byte[] file) {
        return file.length >= MAGIC.length && Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length);
    }
}
