package kitemux.orders;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import kitemux.orders.EntryCodec.InvalidEntryException;

/**
 * Encodes and decodes a segment, which is one file of a journal: a header, followed by entries in frames.
 * docs/order-journal.md, sections "Header" and "Frames", specifies the format. This class does no I/O.
 */
final class Segment {
    static final int HEADER_BYTES = 64;
    static final int FRAME_HEADER_BYTES = 12;
    static final short VERSION = 1;
    private static final long MAGIC = 0x4b4d4f524445520aL;
    /** Offset of the header's checksum in the header. */
    private static final int HEADER_CHECKSUM_OFFSET = 60;
    /** Marks the beginning of each frame, so that a reader can find the next frame behind corrupt bytes. */
    private static final int FRAME_MAGIC = 0x4b4d5231;

    private Segment() {}

    /**
     * The header of a segment.
     *
     * @param sequence the segment's sequence number, from 1, which is also in its file name
     * @param nonce a random number that is part of each frame's checksum, so that neither bytes sent by a client
     *     nor remains of another segment on the disk can pass for a frame
     * @param createdAtUs when the segment was begun, as Unix time in microseconds
     */
    record Header(long sequence, long nonce, long createdAtUs) {
        byte[] bytes() {
            ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
            out.putLong(MAGIC)
                    .putShort(VERSION)
                    .putShort((short) HEADER_BYTES)
                    .putInt(0)
                    .putLong(sequence)
                    .putLong(nonce)
                    .putLong(createdAtUs);
            out.putInt(HEADER_CHECKSUM_OFFSET, checksum(out.array(), 0, HEADER_CHECKSUM_OFFSET, new CRC32C()));
            return out.array();
        }
    }

    /** An entry and the offset of its frame in the segment. */
    record LocatedEntry(int offset, Entry entry) {}

    /**
     * A range of bytes that cannot be decoded as entries.
     *
     * @param offset the offset of the range in the segment
     * @param bytes the length of the range, up to the next valid frame or the end of the segment
     * @param reason the fault at the beginning of the range
     */
    record CorruptRange(int offset, int bytes, String reason) {}

    /**
     * The decoded content of a segment.
     *
     * @param header the header, or null if it is invalid; the entries cannot be decoded then
     * @param entries the valid entries, in the order of the file
     * @param faults the corrupt ranges between or behind the entries
     * @param validBytes the offset of the end of the last valid frame
     */
    record Content(Header header, List<LocatedEntry> entries, List<CorruptRange> faults, int validBytes) {
        /**
         * Returns whether the only fault is an incomplete end, as a process leaves it that dies while it writes
         * an entry or the header.
         */
        boolean isTorn() {
            return faults.size() == 1
                    && faults.get(0).offset() == validBytes
                    && (header != null || faults.get(0).bytes() < HEADER_BYTES);
        }
    }

    /** Encodes an entry as a frame that is valid only at the given offset of the segment with this header. */
    static byte[] encodeFrame(Header header, long offset, Entry entry) {
        byte[] payload = EntryCodec.write(entry);
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length)
                .putInt(FRAME_MAGIC)
                .putInt(payload.length)
                .putInt(frameChecksum(header.nonce(), offset, payload, 0, payload.length))
                .put(payload)
                .array();
    }

    /** Decodes a segment. Invalid bytes never cause a failure; they are reported as corrupt ranges. */
    static Content read(byte[] bytes) {
        List<LocatedEntry> entries = new ArrayList<>();
        List<CorruptRange> faults = new ArrayList<>();
        String headerFault = describeHeaderFault(bytes);
        if (headerFault != null) {
            faults.add(new CorruptRange(0, bytes.length, headerFault));
            return new Content(null, entries, faults, 0);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Header header = new Header(in.getLong(16), in.getLong(24), in.getLong(32));
        int offset = HEADER_BYTES;
        int validBytes = HEADER_BYTES;
        while (offset < bytes.length) {
            String reason = describeFrameFault(bytes, in, header, offset);
            if (reason == null) {
                int length = in.getInt(offset + 4);
                try {
                    entries.add(
                            new LocatedEntry(offset, EntryCodec.read(in.slice(offset + FRAME_HEADER_BYTES, length))));
                } catch (InvalidEntryException e) {
                    // The frame's checksum is correct, so a newer version or a defect wrote this entry.
                    faults.add(new CorruptRange(offset, FRAME_HEADER_BYTES + length, e.getMessage()));
                }
                offset += FRAME_HEADER_BYTES + length;
                validBytes = offset;
            } else {
                int nextOffset = offset + 1;
                while (nextOffset < bytes.length && describeFrameFault(bytes, in, header, nextOffset) != null) {
                    nextOffset++;
                }
                faults.add(new CorruptRange(offset, nextOffset - offset, reason));
                offset = nextOffset;
            }
        }
        return new Content(header, entries, faults, validBytes);
    }

    private static String describeHeaderFault(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES) {
            return "shorter than a header";
        }
        if (in.getLong(0) != MAGIC) {
            return "not a segment of an order journal";
        }
        if (in.getInt(HEADER_CHECKSUM_OFFSET) != checksum(bytes, 0, HEADER_CHECKSUM_OFFSET, new CRC32C())) {
            return "the header's checksum is wrong";
        }
        if (in.getShort(8) != VERSION) {
            return "unsupported format version " + in.getShort(8) + ", expected " + VERSION;
        }
        return null;
    }

    private static String describeFrameFault(byte[] bytes, ByteBuffer in, Header header, int offset) {
        if (bytes.length - offset < FRAME_HEADER_BYTES) {
            return "the frame is truncated";
        }
        if (in.getInt(offset) != FRAME_MAGIC) {
            return "no frame begins at this offset";
        }
        int length = in.getInt(offset + 4);
        if (length < 1 || length > EntryCodec.MAX_PAYLOAD_BYTES) {
            return "invalid payload length " + length;
        }
        if (length > bytes.length - offset - FRAME_HEADER_BYTES) {
            return "the frame is truncated";
        }
        return in.getInt(offset + 8)
                        == frameChecksum(header.nonce(), offset, bytes, offset + FRAME_HEADER_BYTES, length)
                ? null
                : "the frame's checksum is wrong";
    }

    private static int frameChecksum(long nonce, long offset, byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(20)
                .putLong(nonce)
                .putLong(offset)
                .putInt(length)
                .flip());
        return checksum(bytes, from, length, crc);
    }

    private static int checksum(byte[] bytes, int from, int length, CRC32C crc) {
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
