package kitemux.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes the fields of a MySQL packet's payload, in the protocol's basic data types. */
final class PayloadWriter {
    private static final int MAX_ONE_BYTE_LENGTH = 250;
    private static final int NULL_VALUE = 0xfb;
    private static final int TWO_BYTE_LENGTH = 0xfc;
    private static final int THREE_BYTE_LENGTH = 0xfd;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Writes a little-endian integer of this many bytes. */
    PayloadWriter fixedInt(long value, int byteCount) {
        for (int i = 0; i < byteCount; i++) {
            bytes.write((int) (value >> Byte.SIZE * i));
        }
        return this;
    }

    PayloadWriter bytes(byte[] value) {
        bytes.writeBytes(value);
        return this;
    }

    PayloadWriter nullTerminated(String text) {
        return bytes(text.getBytes(StandardCharsets.UTF_8)).fixedInt(0, 1);
    }

    /** Writes a length-encoded integer below 2^24. */
    PayloadWriter lengthEncodedInt(long value) {
        if (value <= MAX_ONE_BYTE_LENGTH) {
            return fixedInt(value, 1);
        }
        return value < 1 << Short.SIZE
                ? fixedInt(TWO_BYTE_LENGTH, 1).fixedInt(value, 2)
                : fixedInt(THREE_BYTE_LENGTH, 1).fixedInt(value, 3);
    }

    /** Writes a length-encoded string; null becomes the NULL value of a row. */
    PayloadWriter lengthEncodedText(String text) {
        if (text == null) {
            return fixedInt(NULL_VALUE, 1);
        }
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        return lengthEncodedInt(utf8.length).bytes(utf8);
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
