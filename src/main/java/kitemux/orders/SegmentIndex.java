package kitemux.orders;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import kitemux.orders.Entry.Accepted;

/**
 * An index of the orders that were accepted in an ended segment, so that a look-up need not read segments
 * without matching orders. An index can be rebuilt from its segment at any time, and a damaged one counts as
 * missing. docs/order-journal.md, section "Index", specifies the format. This class does no I/O.
 */
final class SegmentIndex {
    private static final long MAGIC = 0x4b4d494e4445580aL;
    private static final short VERSION = 1;
    private static final int HEADER_BYTES = 32;
    private static final int CHECKSUM_BYTES = 4;

    private final long sequence;
    private final long segmentBytes;
    private final long[] hashes;

    private SegmentIndex(long sequence, long segmentBytes, long[] hashes) {
        this.sequence = sequence;
        this.segmentBytes = segmentBytes;
        this.hashes = hashes;
    }

    /** A field by which orders can be looked up. */
    enum LookupField {
        /** The client's id for the order. */
        ORDER('o'),
        /** The last segment of the request's path. */
        KEY('k'),
        /** The client's idempotency key. */
        IDEMPOTENCY('i');

        private final char prefix;

        LookupField(char prefix) {
            this.prefix = prefix;
        }

        /**
         * Returns the 64-bit FNV-1a hash of the prefix and a text. A collision costs only the reading of a
         * segment.
         */
        long hash(String text) {
            long hash = (0xcbf29ce484222325L ^ prefix) * 0x100000001b3L;
            for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                hash = (hash ^ b & 0xff) * 0x100000001b3L;
            }
            return hash;
        }
    }

    /** Collects the orders that are accepted in a segment and encodes its index. */
    static final class Builder {
        private final List<Long> hashes = new ArrayList<>();

        /** Adds an entry of the segment; entries other than {@link Accepted} are ignored. */
        void add(Entry entry) {
            if (entry instanceof Accepted accepted) {
                hashes.add(LookupField.ORDER.hash(accepted.orderId()));
                if (!accepted.key().isEmpty()) {
                    hashes.add(LookupField.KEY.hash(accepted.key()));
                }
                if (!accepted.idempotencyKey().isEmpty()) {
                    hashes.add(LookupField.IDEMPOTENCY.hash(accepted.idempotencyKey()));
                }
            }
        }

        /** Encodes the index for the segment with this sequence number and length. */
        byte[] encode(long sequence, long segmentBytes) {
            long[] sorted = hashes.stream()
                    .mapToLong(Long::longValue)
                    .sorted()
                    .distinct()
                    .toArray();
            ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + sorted.length * Long.BYTES + CHECKSUM_BYTES);
            out.putLong(MAGIC)
                    .putShort(VERSION)
                    .putShort((short) 0)
                    .putInt(sorted.length)
                    .putLong(sequence)
                    .putLong(segmentBytes);
            for (long hash : sorted) {
                out.putLong(hash);
            }
            out.putInt(checksum(out.array(), out.position()));
            return out.array();
        }
    }

    /** Decodes an index that a builder encoded; returns null if the bytes are not a valid index. */
    static SegmentIndex read(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES
                || in.getLong(0) != MAGIC
                || in.getShort(8) != VERSION
                || bytes.length != HEADER_BYTES + (long) in.getInt(12) * Long.BYTES + CHECKSUM_BYTES
                || in.getInt(bytes.length - CHECKSUM_BYTES) != checksum(bytes, bytes.length - CHECKSUM_BYTES)) {
            return null;
        }
        long[] hashes = new long[in.getInt(12)];
        in.position(HEADER_BYTES).slice().asLongBuffer().get(hashes);
        return new SegmentIndex(in.getLong(16), in.getLong(24), hashes);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Returns whether this index was built from the segment with this sequence number at this length. */
    boolean matches(long segmentSequence, long bytes) {
        return sequence == segmentSequence && segmentBytes == bytes;
    }

    /**
     * Returns whether the segment may have accepted an order with one of these hashes. False positives are
     * possible, false negatives are not.
     */
    boolean mightContain(long[] candidates) {
        return Arrays.stream(candidates).anyMatch(hash -> Arrays.binarySearch(hashes, hash) >= 0);
    }
}
