package kitemux.orders;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import kitemux.orders.EntryCodec.BadEntryException;

/**
 * One file of a journal, as bytes: a header and framed entries behind it. The form is written down in
 * docs/order-journal.md, sections "Header" and "Frames". It does no input or output.
 */
final class Segment {
    static final int HEADER = 64;
    static final int FRAME = 12;
    static final short VERSION = 1;
    private static final long MAGIC = 0x4b4d4f524445520aL;
    /** Where the header's own checksum stands. */
    private static final int HEADER_SUM_AT = 60;
    /** Begins each frame, so that what follows a spoilt one is found again. */
    private static final int MARK = 0x4b4d5231;

    private Segment() {}

    /**
     * What a header says.
     *
     * @param sequence the segment's number, from 1; its file is named by it
     * @param nonce drawn at random and mixed into each frame's checksum: bytes that a client sent can then
     *     not pass for a frame, nor can what another segment left on the disk
     * @param createdAtUs when it was begun
     */
    record Header(long sequence, long nonce, long createdAtUs) {
        byte[] bytes() {
            ByteBuffer out = ByteBuffer.allocate(HEADER);
            out.putLong(MAGIC)
                    .putShort(VERSION)
                    .putShort((short) HEADER)
                    .putInt(0)
                    .putLong(sequence)
                    .putLong(nonce)
                    .putLong(createdAtUs);
            out.putInt(HEADER_SUM_AT, sum(out.array(), 0, HEADER_SUM_AT, new CRC32C()));
            return out.array();
        }
    }

    /** An entry and where its frame begins. */
    record Placed(int offset, Entry entry) {}

    /**
     * Bytes that are no entry.
     *
     * @param offset where they begin
     * @param bytes how many, up to the next sound frame or the end
     * @param reason what is wrong with the first of them
     */
    record Fault(int offset, int bytes, String reason) {}

    /**
     * What a segment holds.
     *
     * @param header null if it cannot be read; nothing behind it can be told then
     * @param entries in their order
     * @param faults what stands between or behind them
     * @param soundUpTo behind the last sound frame
     */
    record Content(Header header, List<Placed> entries, List<Fault> faults, int soundUpTo) {
        /**
         * Whether all that is wrong is that its end is missing, as when a process dies while it writes; also
         * where it dies before the header is there.
         */
        boolean isTorn() {
            return faults.size() == 1
                    && faults.get(0).offset() == soundUpTo
                    && (header != null || faults.get(0).bytes() < HEADER);
        }
    }

    /** An entry in its frame, for this place and no other. */
    static byte[] frame(Header header, long offset, Entry entry) {
        byte[] payload = EntryCodec.write(entry);
        return ByteBuffer.allocate(FRAME + payload.length)
                .putInt(MARK)
                .putInt(payload.length)
                .putInt(frameSum(header.nonce(), offset, payload, 0, payload.length))
                .put(payload)
                .array();
    }

    /** Reads all of a file; it fails at nothing. */
    static Content read(byte[] bytes) {
        List<Placed> entries = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        String wrong = headerFault(bytes);
        if (wrong != null) {
            faults.add(new Fault(0, bytes.length, wrong));
            return new Content(null, entries, faults, 0);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Header header = new Header(in.getLong(16), in.getLong(24), in.getLong(32));
        int at = HEADER;
        int soundUpTo = HEADER;
        while (at < bytes.length) {
            String reason = frameFault(bytes, in, header, at);
            if (reason == null) {
                int length = in.getInt(at + 4);
                try {
                    entries.add(new Placed(at, EntryCodec.read(in.slice(at + FRAME, length))));
                } catch (BadEntryException e) {
                    // Whole, so that it was written like this: by a newer version, or by a defect.
                    faults.add(new Fault(at, FRAME + length, e.getMessage()));
                }
                at += FRAME + length;
                soundUpTo = at;
            } else {
                int next = at + 1;
                while (next < bytes.length && frameFault(bytes, in, header, next) != null) {
                    next++;
                }
                faults.add(new Fault(at, next - at, reason));
                at = next;
            }
        }
        return new Content(header, entries, faults, soundUpTo);
    }

    private static String headerFault(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER) {
            return "shorter than a header";
        }
        if (in.getLong(0) != MAGIC) {
            return "not a segment of an order journal";
        }
        if (in.getInt(HEADER_SUM_AT) != sum(bytes, 0, HEADER_SUM_AT, new CRC32C())) {
            return "the header's checksum is wrong";
        }
        if (in.getShort(8) != VERSION) {
            return "its version is " + in.getShort(8) + ", known is " + VERSION;
        }
        return null;
    }

    private static String frameFault(byte[] bytes, ByteBuffer in, Header header, int at) {
        if (bytes.length - at < FRAME) {
            return "its end is missing";
        }
        if (in.getInt(at) != MARK) {
            return "no frame begins here";
        }
        int length = in.getInt(at + 4);
        if (length < 1 || length > EntryCodec.MOST_BYTES) {
            return "its length is " + length;
        }
        if (length > bytes.length - at - FRAME) {
            return "its end is missing";
        }
        return in.getInt(at + 8) == frameSum(header.nonce(), at, bytes, at + FRAME, length)
                ? null
                : "its checksum is wrong";
    }

    private static int frameSum(long nonce, long offset, byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(20)
                .putLong(nonce)
                .putLong(offset)
                .putInt(length)
                .flip());
        return sum(bytes, from, length, sum);
    }

    private static int sum(byte[] bytes, int from, int length, CRC32C sum) {
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
