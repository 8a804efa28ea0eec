package kitemux.standin;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a MySQL packet's payload in order, in the protocol's basic data types. */
final class PayloadReader {
    private static final int MAX_ONE_BYTE_LENGTH = 250;
    private static final int TWO_BYTE_LENGTH = 0xfc;
    private static final int THREE_BYTE_LENGTH = 0xfd;

    private final ByteBuffer buffer;

    PayloadReader(byte[] payload) {
        buffer = ByteBuffer.wrap(payload).order(ByteOrder.LITTLE_ENDIAN);
    }

    boolean isAtEnd() {
        return !buffer.hasRemaining();
    }

    /** Reads a little-endian integer of this many bytes. */
    long fixedInt(int byteCount) {
        long value = 0;
        for (int i = 0; i < byteCount; i++) {
            value |= (buffer.get() & 0xffL) << Byte.SIZE * i;
        }
        return value;
    }

    long lengthEncodedInt() {
        int first = (int) fixedInt(1);
        if (first <= MAX_ONE_BYTE_LENGTH) {
            return first;
        }
        return fixedInt(first == TWO_BYTE_LENGTH ? 2 : first == THREE_BYTE_LENGTH ? 3 : Long.BYTES);
    }

    byte[] bytes(long count) {
        byte[] bytes = new byte[(int) count];
        buffer.get(bytes);
        return bytes;
    }

    String lengthEncodedText() {
        return new String(bytes(lengthEncodedInt()), StandardCharsets.UTF_8);
    }

    String nullTerminated() {
        int start = buffer.position();
        int end = start;
        while (buffer.get(end) != 0) {
            end++;
        }
        String text = new String(bytes(end - start), StandardCharsets.UTF_8);
        buffer.get();
        return text;
    }

    String remainingText() {
        return new String(bytes(buffer.remaining()), StandardCharsets.UTF_8);
    }
}
