package kitemux.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Accumulates a request body in parts, so that a long body is never copied as a whole and needs no contiguous
 * buffer.
 */
final class RequestBody {
    /** Size of the first part when it is created; it grows up to the maximum. */
    private static final int INITIAL_PART_BYTES = 256;
    /** Size of a part that is full. */
    private static final int MAX_PART_BYTES = 64 << 10;

    private final List<byte[]> parts = new ArrayList<>(1);
    private byte[] lastPart = new byte[INITIAL_PART_BYTES];
    private int lastPartSize;
    private int size;

    /** Appends all readable bytes of the buffer. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (lastPartSize == lastPart.length) {
                if (lastPartSize < MAX_PART_BYTES) {
                    int newLength = Math.max(2 * lastPartSize, lastPartSize + bytes.readableBytes());
                    lastPart = Arrays.copyOf(lastPart, Math.min(MAX_PART_BYTES, newLength));
                } else {
                    parts.add(lastPart);
                    lastPart = new byte[MAX_PART_BYTES];
                    lastPartSize = 0;
                }
            }
            int copied = Math.min(bytes.readableBytes(), lastPart.length - lastPartSize);
            bytes.readBytes(lastPart, lastPartSize, copied);
            lastPartSize += copied;
            size += copied;
        }
    }

    /** Returns the number of bytes received so far. */
    int size() {
        return size;
    }

    /** Returns the body in parts. Nothing may be appended afterwards. */
    List<byte[]> parts() {
        parts.add(lastPartSize == lastPart.length ? lastPart : Arrays.copyOf(lastPart, lastPartSize));
        return parts;
    }
}
