package kitemux.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A request's body as it comes, in parts: no long one is copied whole, nor needs its room at a stretch. */
final class RequestBody {
    private static final int FIRST = 256;
    private static final int PART = 64 << 10;

    private final List<byte[]> parts = new ArrayList<>(1);
    private byte[] last = new byte[FIRST];
    private int used;
    private int size;

    /** Takes all that is readable. */
    void add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (used == last.length) {
                if (used < PART) {
                    int wanted = Math.max(2 * used, used + bytes.readableBytes());
                    last = Arrays.copyOf(last, Math.min(PART, wanted));
                } else {
                    parts.add(last);
                    last = new byte[PART];
                    used = 0;
                }
            }
            int more = Math.min(bytes.readableBytes(), last.length - used);
            bytes.readBytes(last, used, more);
            used += more;
            size += more;
        }
    }

    /** Bytes that have come. */
    int size() {
        return size;
    }

    /** All that has come; nothing is added after this. */
    List<byte[]> parts() {
        parts.add(used == last.length ? last : Arrays.copyOf(last, used));
        return parts;
    }
}
