package kitemux.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Messages as bytes; {@code docs/peers-format.md} has the form. What is spoilt, cut off, of another fleet or
 * another version is told by a {@link ReadError}, never by an exception.
 */
public final class Datagram {
    /** What a datagram of the platform may hold. */
    public static final int PLATFORM_MAX_BYTES = 256;
    /** Bytes of a word's text. */
    public static final int MAX_UPDATE_PAYLOAD_BYTES = 128;

    static final int VERSION = 1;
    static final int HEAD = 28;
    static final int BELIEF = 15;
    static final int WORD = 18;
    /** Numbers of nodes are two bytes. */
    public static final int MAX_NODE_COUNT = 65_535;

    private static final int CHECKSUM_AT = 5;
    private static final long MOST_LIFE = (1L << 48) - 1;

    private Datagram() {}

    /** Why bytes are no message. */
    public enum ReadError {
        TOO_SHORT,
        UNSUPPORTED_VERSION,
        WRONG_FLEET,
        CHECKSUM_MISMATCH,
        MALFORMED
    }

    /** A message, or why there is none. */
    public record ReadResult(Message message, ReadError error) {}

    /** Bytes that a message takes without beliefs and words; what is left of a datagram is theirs. */
    static int room(int mostBytes) {
        return mostBytes - HEAD;
    }

    static int bytes(Update word) {
        return WORD + word.payload().length;
    }

    /**
     * @param fleet the fleet's name as a number; nodes of other fleets do not listen
     */
    public static byte[] write(Message message, int fleet) {
        int size = HEAD
                + BELIEF * message.members().size()
                + message.updates().stream().mapToInt(Datagram::bytes).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put((byte) VERSION)
                .putInt(fleet)
                .putInt(0)
                .put((byte) message.kind().ordinal())
                .putShort((short) message.sender());
        life(out, message.generation());
        out.putInt(message.sequence()).putShort((short) message.target());
        out.put((byte) message.members().size()).put((byte) message.updates().size());
        out.putShort((short) size);
        for (MemberRecord belief : message.members()) {
            out.putShort((short) belief.node());
            life(out, belief.generation());
            out.putInt(belief.incarnation())
                    .put((byte) belief.state().ordinal())
                    .putShort((short) belief.reporter());
        }
        for (Update word : message.updates()) {
            out.putShort((short) word.origin());
            life(out, word.generation());
            out.put((byte) word.topic())
                    .putInt(word.version())
                    .putShort((short) word.remainingMs())
                    .putShort((short) word.payload().length)
                    .put((byte) 0)
                    .put(word.payload());
        }
        out.putInt(CHECKSUM_AT, checksum(out.array()));
        return out.array();
    }

    private static void life(ByteBuffer out, long life) {
        out.putShort((short) (life >> 32)).putInt((int) life);
    }

    private static long life(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, CHECKSUM_AT);
        crc.update(bytes, CHECKSUM_AT + 4, bytes.length - CHECKSUM_AT - 4);
        return (int) crc.getValue();
    }

    /** Reads bytes that came; {@code fleet} as in {@link #write}. */
    public static ReadResult read(byte[] bytes, int fleet) {
        if (bytes.length < HEAD) {
            return new ReadResult(null, ReadError.TOO_SHORT);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.get() != VERSION) {
            return new ReadResult(null, ReadError.UNSUPPORTED_VERSION);
        }
        if (in.getInt() != fleet) {
            return new ReadResult(null, ReadError.WRONG_FLEET);
        }
        if (in.getInt() != checksum(bytes)) {
            return new ReadResult(null, ReadError.CHECKSUM_MISMATCH);
        }
        try {
            Message message = message(in, bytes.length);
            return new ReadResult(message, message == null ? ReadError.MALFORMED : null);
        } catch (BufferUnderflowException e) {
            return new ReadResult(null, ReadError.MALFORMED);
        }
    }

    private static Message message(ByteBuffer in, int size) {
        int kind = in.get() & 0xff;
        int from = in.getShort() & 0xffff;
        long life = life(in);
        int number = in.getInt();
        int about = in.getShort() & 0xffff;
        int beliefs = in.get() & 0xff;
        int words = in.get() & 0xff;
        if (kind >= Message.Kind.values().length || (in.getShort() & 0xffff) != size) {
            return null;
        }
        List<MemberRecord> believed = new ArrayList<>(beliefs);
        for (int i = 0; i < beliefs; i++) {
            int node = in.getShort() & 0xffff;
            long of = life(in);
            int incarnation = in.getInt();
            int standing = in.get() & 0xff;
            if (standing >= MemberState.values().length) {
                return null;
            }
            believed.add(
                    new MemberRecord(node, of, incarnation, MemberState.values()[standing], in.getShort() & 0xffff));
        }
        List<Update> said = new ArrayList<>(words);
        for (int i = 0; i < words; i++) {
            int origin = in.getShort() & 0xffff;
            long of = life(in);
            int topic = in.get() & 0xff;
            int version = in.getInt();
            int left = in.getShort() & 0xffff;
            byte[] text = new byte[in.getShort() & 0xffff];
            in.get();
            in.get(text);
            said.add(new Update(origin, of, topic, version, left, text));
        }
        return in.hasRemaining()
                ? null
                : new Message(Message.Kind.values()[kind], from, life, number, about, believed, said);
    }

    /** Whether a time is one that a life's number can hold. */
    static boolean isLife(long life) {
        return life > 0 && life <= MOST_LIFE;
    }
}
