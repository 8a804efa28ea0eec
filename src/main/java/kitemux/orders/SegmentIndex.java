package kitemux.orders;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import kitemux.orders.Entry.Accepted;

/**
 * Which orders an ended segment took, so that whoever asks for one need not read the others. It holds nothing
 * that is not in the segment and can be made from it at any time; one that is unsound counts as none. The
 * form is written down in docs/order-journal.md, section "Index". It does no input or output.
 */
final class SegmentIndex {
    private static final long MAGIC = 0x4b4d494e4445580aL;
    private static final short VERSION = 1;
    private static final int HEADER = 32;
    private static final int SUM = 4;

    private final long sequence;
    private final long segmentBytes;
    private final long[] hashes;

    private SegmentIndex(long sequence, long segmentBytes, long[] hashes) {
        this.sequence = sequence;
        this.segmentBytes = segmentBytes;
        this.hashes = hashes;
    }

    /** What an order can be looked for by. */
    enum By {
        /** The client's id. */
        ORDER('o'),
        /** The last part of the path. */
        KEY('k'),
        /** The client's own key for the effect. */
        IDEMPOTENCY('i');

        private final char letter;

        By(char letter) {
            this.letter = letter;
        }

        /** FNV-1a in 64 bits of the letter and the text; equal ones only cost a reading. */
        long hash(String text) {
            long hash = (0xcbf29ce484222325L ^ letter) * 0x100000001b3L;
            for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                hash = (hash ^ b & 0xff) * 0x100000001b3L;
            }
            return hash;
        }
    }

    /** Gathers what a segment takes. */
    static final class Builder {
        private final List<Long> hashes = new ArrayList<>();

        /** Heeds an entry of the segment; only what is taken counts. */
        void add(Entry entry) {
            if (entry instanceof Accepted taken) {
                hashes.add(By.ORDER.hash(taken.orderId()));
                if (!taken.key().isEmpty()) {
                    hashes.add(By.KEY.hash(taken.key()));
                }
                if (!taken.idempotencyKey().isEmpty()) {
                    hashes.add(By.IDEMPOTENCY.hash(taken.idempotencyKey()));
                }
            }
        }

        /** The index of the segment of this number and length. */
        byte[] bytes(long sequence, long segmentBytes) {
            long[] sorted = hashes.stream()
                    .mapToLong(Long::longValue)
                    .sorted()
                    .distinct()
                    .toArray();
            ByteBuffer out = ByteBuffer.allocate(HEADER + sorted.length * Long.BYTES + SUM);
            out.putLong(MAGIC)
                    .putShort(VERSION)
                    .putShort((short) 0)
                    .putInt(sorted.length)
                    .putLong(sequence)
                    .putLong(segmentBytes);
            for (long hash : sorted) {
                out.putLong(hash);
            }
            out.putInt(sum(out.array(), out.position()));
            return out.array();
        }
    }

    /** Reads what a builder wrote; null if it is anything else. */
    static SegmentIndex read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER + SUM
                || in.getLong(0) != MAGIC
                || in.getShort(8) != VERSION
                || bytes.length != HEADER + (long) in.getInt(12) * Long.BYTES + SUM
                || in.getInt(bytes.length - SUM) != sum(bytes, bytes.length - SUM)) {
            return null;
        }
        long[] hashes = new long[in.getInt(12)];
        in.position(HEADER).slice().asLongBuffer().get(hashes);
        return new SegmentIndex(in.getLong(16), in.getLong(24), hashes);
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    /** Whether it was made from the segment of this number when that had so many bytes. */
    boolean isOf(long number, long bytes) {
        return sequence == number && segmentBytes == bytes;
    }

    /** Whether the segment took an order with one of these hashes; it may say so of one that has not. */
    boolean mayHold(long[] any) {
        return Arrays.stream(any).anyMatch(hash -> Arrays.binarySearch(hashes, hash) >= 0);
    }
}
