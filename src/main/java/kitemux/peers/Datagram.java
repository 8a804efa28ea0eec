package kitemux.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes messages to datagrams and decodes them; {@code docs/peers-format.md} specifies the format. Datagrams
 * that are corrupt or truncated, or that belong to another fleet or format version, are reported by a {@link
 * ReadError}, never by an exception.
 */
public final class Datagram {
    /** Largest datagram that the platform allows. */
    public static final int PLATFORM_MAX_BYTES = 256;
    /** Largest payload of an {@link Update}. */
    public static final int MAX_UPDATE_PAYLOAD_BYTES = 128;

    static final int FORMAT_VERSION = 1;
    static final int HEADER_BYTES = 28;
    static final int MEMBER_RECORD_BYTES = 15;
    static final int UPDATE_HEADER_BYTES = 18;
    /** Largest fleet: node numbers take two bytes. */
    public static final int MAX_NODE_COUNT = 65_535;

    private static final int CHECKSUM_OFFSET_BYTES = 5;
    private static final long MAX_GENERATION = (1L << 48) - 1;

    private Datagram() {}

    /** Reason why a datagram was rejected. */
    public enum ReadError {
        TOO_SHORT,
        UNSUPPORTED_VERSION,
        WRONG_FLEET,
        CHECKSUM_MISMATCH,
        MALFORMED
    }

    /**
     * Result of reading a datagram: exactly one of the two is null.
     *
     * @param message the message, or null if the datagram was rejected
     * @param error why the datagram was rejected, or null
     */
    public record ReadResult(Message message, ReadError error) {}

    /** Bytes of a datagram of this size that are left for member records and updates. */
    static int payloadCapacity(int maxBytes) {
        return maxBytes - HEADER_BYTES;
    }

    /** Encoded size of an update in bytes. */
    static int bytes(Update update) {
        return UPDATE_HEADER_BYTES + update.payload().length;
    }

    /**
     * Encodes a message.
     *
     * @param message what to encode
     * @param fleet numeric identifier of the fleet; nodes of other fleets reject the datagram
     */
    public static byte[] write(Message message, int fleet) {
        int size = HEADER_BYTES
                + MEMBER_RECORD_BYTES * message.members().size()
                + message.updates().stream().mapToInt(Datagram::bytes).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put((byte) FORMAT_VERSION)
                .putInt(fleet)
                .putInt(0)
                .put((byte) message.kind().ordinal())
                .putShort((short) message.sender());
        generation(out, message.generation());
        out.putInt(message.sequence()).putShort((short) message.target());
        out.put((byte) message.members().size()).put((byte) message.updates().size());
        out.putShort((short) size);
        for (MemberRecord member : message.members()) {
            out.putShort((short) member.node());
            generation(out, member.generation());
            out.putInt(member.incarnation())
                    .put((byte) member.state().ordinal())
                    .putShort((short) member.reporter());
        }
        for (Update update : message.updates()) {
            out.putShort((short) update.origin());
            generation(out, update.generation());
            out.put((byte) update.topic())
                    .putInt(update.version())
                    .putShort((short) update.remainingMs())
                    .putShort((short) update.payload().length)
                    .put((byte) 0)
                    .put(update.payload());
        }
        out.putInt(CHECKSUM_OFFSET_BYTES, checksum(out.array()));
        return out.array();
    }

    private static void generation(ByteBuffer out, long generation) {
        out.putShort((short) (generation >> 32)).putInt((int) generation);
    }

    private static long generation(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, CHECKSUM_OFFSET_BYTES);
        crc.update(bytes, CHECKSUM_OFFSET_BYTES + 4, bytes.length - CHECKSUM_OFFSET_BYTES - 4);
        return (int) crc.getValue();
    }

    /**
     * Decodes a datagram.
     *
     * @param bytes the whole datagram
     * @param fleet numeric identifier of the fleet, as for {@link #write}
     */
    public static ReadResult read(byte[] bytes, int fleet) {
        if (bytes.length < HEADER_BYTES) {
            return new ReadResult(null, ReadError.TOO_SHORT);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.get() != FORMAT_VERSION) {
            return new ReadResult(null, ReadError.UNSUPPORTED_VERSION);
        }
        if (in.getInt() != fleet) {
            return new ReadResult(null, ReadError.WRONG_FLEET);
        }
        if (in.getInt() != checksum(bytes)) {
            return new ReadResult(null, ReadError.CHECKSUM_MISMATCH);
        }
        try {
            Message message = decode(in, bytes.length);
            return new ReadResult(message, message == null ? ReadError.MALFORMED : null);
        } catch (BufferUnderflowException e) {
            return new ReadResult(null, ReadError.MALFORMED);
        }
    }

    private static Message decode(ByteBuffer in, int size) {
        int kind = in.get() & 0xff;
        int sender = in.getShort() & 0xffff;
        long generation = generation(in);
        int sequence = in.getInt();
        int target = in.getShort() & 0xffff;
        int memberCount = in.get() & 0xff;
        int updateCount = in.get() & 0xff;
        if (kind >= Message.Kind.values().length || (in.getShort() & 0xffff) != size) {
            return null;
        }
        List<MemberRecord> members = new ArrayList<>(memberCount);
        for (int i = 0; i < memberCount; i++) {
            int node = in.getShort() & 0xffff;
            long recordGeneration = generation(in);
            int incarnation = in.getInt();
            int state = in.get() & 0xff;
            if (state >= MemberState.values().length) {
                return null;
            }
            members.add(new MemberRecord(
                    node, recordGeneration, incarnation, MemberState.values()[state], in.getShort() & 0xffff));
        }
        List<Update> updates = new ArrayList<>(updateCount);
        for (int i = 0; i < updateCount; i++) {
            int origin = in.getShort() & 0xffff;
            long updateGeneration = generation(in);
            int topic = in.get() & 0xff;
            int version = in.getInt();
            int remainingMs = in.getShort() & 0xffff;
            byte[] payload = new byte[in.getShort() & 0xffff];
            in.get();
            in.get(payload);
            updates.add(new Update(origin, updateGeneration, topic, version, remainingMs, payload));
        }
        return in.hasRemaining()
                ? null
                : new Message(Message.Kind.values()[kind], sender, generation, sequence, target, members, updates);
    }

    /** Whether a time in milliseconds is positive and fits into the 48 bits of a generation. */
    static boolean isValidGeneration(long generation) {
        return generation > 0 && generation <= MAX_GENERATION;
    }
}
