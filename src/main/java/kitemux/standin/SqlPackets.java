package kitemux.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Packets of MySQL's protocol on a blocking connection, written by hand: nothing of the node's own codec, so
 * that a slip of one side is not the other's as well. It can be told to break off after so many packets or
 * bytes of what it writes.
 */
final class SqlPackets {
    private static final int MOST = 0xffffff;

    private final DataInputStream in;
    private final OutputStream out;
    private int sequence;
    private long packetsLeft = Long.MAX_VALUE;
    private long bytesLeft = Long.MAX_VALUE;
    private int skew;

    SqlPackets(DataInputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /** A connection that the script breaks. */
    static final class BrokenOffException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** The next answer breaks off after so many packets and bytes; its numbers are off by this much. */
    void breakOff(long packets, long bytes, int off) {
        packetsLeft = packets;
        bytesLeft = bytes;
        skew = off;
    }

    /** The next packet read begins an exchange. */
    void begin() {
        sequence = 0;
    }

    byte[] read() throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        int length;
        do {
            int first = in.read();
            if (first < 0) {
                throw new EOFException();
            }
            length = first | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
            int number = in.readUnsignedByte();
            if (number != sequence) {
                throw new IOException("packet " + number + " came where " + sequence + " was due");
            }
            sequence = number + 1 & 0xff;
            payload.write(in.readNBytes(length));
        } while (length == MOST);
        return payload.toByteArray();
    }

    void write(byte[] payload) throws IOException {
        int at = 0;
        int length;
        do {
            length = Math.min(MOST, payload.length - at);
            ByteBuffer packet = ByteBuffer.allocate(length + 4).order(ByteOrder.LITTLE_ENDIAN);
            packet.putInt(length | (sequence + skew & 0xff) << 24).put(payload, at, length);
            sequence = sequence + 1 & 0xff;
            at += length;
            put(packet.array());
        } while (length == MOST);
    }

    private void put(byte[] packet) throws IOException {
        if (packetsLeft-- <= 0) {
            throw new BrokenOffException();
        }
        int now = (int) Math.min(bytesLeft, packet.length);
        out.write(packet, 0, now);
        bytesLeft -= now;
        if (now < packet.length) {
            out.flush();
            throw new BrokenOffException();
        }
    }

    void flush() throws IOException {
        out.flush();
    }

    /** Builds a payload. */
    static final class Payload {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        /** A whole number in so many bytes. */
        Payload num(long value, int count) {
            for (int i = 0; i < count; i++) {
                bytes.write((int) (value >> 8 * i));
            }
            return this;
        }

        Payload raw(byte[] more) {
            bytes.writeBytes(more);
            return this;
        }

        /** A text that ends with a zero. */
        Payload zeroed(String text) {
            return raw(text.getBytes(StandardCharsets.UTF_8)).num(0, 1);
        }

        /** A length-encoded number. */
        Payload len(long value) {
            return value < 251
                    ? num(value, 1)
                    : value < 1 << 16
                            ? num(0xfc, 1).num(value, 2)
                            : num(0xfd, 1).num(value, 3);
        }

        /** A text with its length in front; null as such in a row. */
        Payload text(String text) {
            if (text == null) {
                return num(0xfb, 1);
            }
            byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
            return len(utf8.length).raw(utf8);
        }

        byte[] done() {
            return bytes.toByteArray();
        }
    }

    /** Reads a payload. */
    static final class Fields {
        private final ByteBuffer left;

        Fields(byte[] payload) {
            left = ByteBuffer.wrap(payload).order(ByteOrder.LITTLE_ENDIAN);
        }

        boolean isAtEnd() {
            return !left.hasRemaining();
        }

        long num(int count) {
            long value = 0;
            for (int i = 0; i < count; i++) {
                value |= (left.get() & 0xffL) << 8 * i;
            }
            return value;
        }

        long len() {
            int first = left.get() & 0xff;
            return first < 251 ? first : num(first == 0xfc ? 2 : first == 0xfd ? 3 : 8);
        }

        byte[] raw(long count) {
            byte[] bytes = new byte[(int) count];
            left.get(bytes);
            return bytes;
        }

        String text() {
            return new String(raw(len()), StandardCharsets.UTF_8);
        }

        String zeroed() {
            int from = left.position();
            while (left.get() != 0) {
                // On to the end.
            }
            return new String(left.array(), from, left.position() - 1 - from, StandardCharsets.UTF_8);
        }

        String rest() {
            return new String(raw(left.remaining()), StandardCharsets.UTF_8);
        }
    }
}
