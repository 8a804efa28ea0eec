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
    /** Minimum size of a part that holds anything. */
    private static final int MIN_PART_BYTES = 256;
    /** Size of a part that is full. */
    private static final int MAX_PART_BYTES = 64 << 10;

    private final List<byte[]> parts = new ArrayList<>(1);
    private byte[] lastPart = {};
    private int lastPartSize;
    private int size;

    /** Returns the memory that a body of this size takes while it is being received, in bytes. */
    static long capacityFor(long bodyBytes) {
        long fullPartBytes = bodyBytes / MAX_PART_BYTES * MAX_PART_BYTES;
        return fullPartBytes + lastPartCapacity((int) (bodyBytes - fullPartBytes));
    }

    /** Returns the size of a part that holds this many bytes, a power of two. */
    private static int lastPartCapacity(int bytes) {
        return bytes == 0 ? 0 : Math.max(MIN_PART_BYTES, Integer.highestOneBit(2 * bytes - 1));
    }

    /** Appends all readable bytes of the buffer. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (lastPartSize == MAX_PART_BYTES) {
                parts.add(lastPart);
                lastPart = new byte[0];
                lastPartSize = 0;
            }
            int neededBytes = Math.min(MAX_PART_BYTES, lastPartSize + bytes.readableBytes());
            if (neededBytes > lastPart.length) {
                lastPart = Arrays.copyOf(lastPart, lastPartCapacity(neededBytes));
            }
            int copied = neededBytes - lastPartSize;
            bytes.readBytes(lastPart, lastPartSize, copied);
            lastPartSize += copied;
            size += copied;
        }
    }

    /** Returns the number of bytes received so far. */
    int size() {
        return size;
    }

    /** Returns the body in parts; an empty one has none. Nothing may be appended afterwards. */
    List<byte[]> parts() {
        if (lastPartSize > 0) {
            parts.add(lastPartSize == lastPart.length ? lastPart : Arrays.copyOf(lastPart, lastPartSize));
        }
        return parts;
    }
}
