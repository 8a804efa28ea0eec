package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes the basic types of packet fields: integers, strings and byte strings. Each reading method
 * throws a {@link ProtocolException} if the packet ends too early, and never reads past its end; {@code what}
 * names the field in the message.
 */
final class Fields {
    private static final int TWO_BYTES = 0xfc;
    private static final int THREE_BYTES = 0xfd;
    private static final int EIGHT_BYTES = 0xfe;
    /** Marks NULL in text rows; it never begins a length-encoded integer. */
    static final int NULL = 0xfb;

    private Fields() {}

    private static ProtocolException truncated(String what) {
        return new ProtocolException(ProtocolException.Kind.MALFORMED, "packet truncated within " + what);
    }

    private static void requireBytes(ByteBuf in, long bytes, String what) {
        if (bytes < 0 || in.readableBytes() < bytes) {
            throw truncated(what);
        }
    }

    /** Reads int&lt;1&gt;. */
    static int int1(ByteBuf in, String what) {
        requireBytes(in, 1, what);
        return in.readUnsignedByte();
    }

    /** Reads int&lt;2&gt;. */
    static int int2(ByteBuf in, String what) {
        requireBytes(in, 2, what);
        return in.readUnsignedShortLE();
    }

    /** Reads int&lt;4&gt;. */
    static long int4(ByteBuf in, String what) {
        requireBytes(in, 4, what);
        return in.readUnsignedIntLE();
    }

    /** Reads int&lt;lenenc&gt;: 0 to 2^64 - 1, where the upper half comes as negative numbers. */
    static long lenenc(ByteBuf in, String what) {
        int first = int1(in, what);
        switch (first) {
            case TWO_BYTES:
                return int2(in, what);
            case THREE_BYTES:
                requireBytes(in, 3, what);
                return in.readUnsignedMediumLE();
            case EIGHT_BYTES:
                requireBytes(in, 8, what);
                return in.readLongLE();
            case NULL:
            case 0xff:
                throw new ProtocolException(
                        ProtocolException.Kind.MALFORMED,
                        "invalid length-encoded integer: first byte " + first + " in " + what);
            default:
                return first;
        }
    }

    /** Writes int&lt;lenenc&gt; in its shortest form. */
    static void putLenenc(ByteBuf out, long value) {
        if (value >= 0 && value < NULL) {
            out.writeByte((int) value);
        } else if (value >= 0 && value < 1 << 16) {
            out.writeByte(TWO_BYTES).writeShortLE((int) value);
        } else if (value >= 0 && value < 1 << 24) {
            out.writeByte(THREE_BYTES).writeMediumLE((int) value);
        } else {
            out.writeByte(EIGHT_BYTES).writeLongLE(value);
        }
    }

    /** Reads a fixed number of bytes. */
    static byte[] bytes(ByteBuf in, long count, String what) {
        requireBytes(in, count, what);
        byte[] bytes = new byte[(int) count];
        in.readBytes(bytes);
        return bytes;
    }

    /** Reads string&lt;lenenc&gt; as bytes. */
    static byte[] lenencBytes(ByteBuf in, String what) {
        return bytes(in, lenenc(in, what), what);
    }

    /** Reads string&lt;lenenc&gt; in UTF-8. */
    static String lenencText(ByteBuf in, String what) {
        return new String(lenencBytes(in, what), StandardCharsets.UTF_8);
    }

    /** Writes string&lt;lenenc&gt;. */
    static void putLenencBytes(ByteBuf out, byte[] bytes) {
        putLenenc(out, bytes.length);
        out.writeBytes(bytes);
    }

    /** Writes string&lt;lenenc&gt; in UTF-8. */
    static void putLenencText(ByteBuf out, String text) {
        putLenencBytes(out, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads string&lt;NUL&gt; in UTF-8. */
    static String nulText(ByteBuf in, String what) {
        int length = in.bytesBefore((byte) 0);
        if (length < 0) {
            throw truncated(what);
        }
        String text = in.toString(in.readerIndex(), length, StandardCharsets.UTF_8);
        in.skipBytes(length + 1);
        return text;
    }

    /**
     * Writes string&lt;NUL&gt; in UTF-8.
     *
     * @throws IllegalArgumentException if the text holds a zero byte, which would end it early
     */
    static void putNulText(ByteBuf out, String text) {
        if (text.indexOf('\0') >= 0) {
            throw new IllegalArgumentException("NUL-terminated string contains a zero byte");
        }
        ByteBufUtil.writeUtf8(out, text);
        out.writeByte(0);
    }

    /** Reads string&lt;EOF&gt;: all remaining bytes, in UTF-8. */
    static String remainingText(ByteBuf in) {
        String text = in.toString(StandardCharsets.UTF_8);
        in.skipBytes(in.readableBytes());
        return text;
    }
}
