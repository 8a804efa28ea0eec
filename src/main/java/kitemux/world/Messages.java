package kitemux.world;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP/1.1 as the inhabitants speak it, written apart from the node's: messages with a length, read as their
 * bytes come.
 */
final class Messages {
    /** A head longer than this is none. */
    private static final int MOST_HEAD = 16 << 10;

    private final ByteArrayOutputStream head = new ByteArrayOutputStream();
    private byte[] body;
    private int have;
    private Message begun;
    private long firstSentAt;

    /**
     * A message.
     *
     * @param headers their names are in small letters
     * @param firstSentAt when its first byte was written
     * @param lastSentAt when its last byte was written
     */
    record Message(String start, Map<String, String> headers, byte[] body, long firstSentAt, long lastSentAt) {
        String header(String name) {
            return headers.get(name);
        }

        /** An answer's status, or -1 for what is none. */
        int status() {
            String[] parts = start.split(" ");
            return parts.length > 1 && parts[0].equals("HTTP/1.1") && parts[1].matches("[0-9]{3}")
                    ? Integer.parseInt(parts[1])
                    : -1;
        }

        boolean isLast() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    /** What a reader of messages is told. */
    interface Reader {
        void message(Message whole);
    }

    /** Takes bytes in; each message that they make whole is told. Throws if what comes is none. */
    void take(End.Segment segment, Reader to) {
        byte[] bytes = segment.bytes();
        int at = 0;
        while (at < bytes.length) {
            if (begun == null) {
                if (head.size() == 0) {
                    firstSentAt = segment.sentAt();
                }
                at = takeHead(bytes, at);
                if (begun == null) {
                    continue;
                }
            }
            int count = Math.min(body.length - have, bytes.length - at);
            System.arraycopy(bytes, at, body, have, count);
            have += count;
            at += count;
            if (have == body.length) {
                Message whole = new Message(begun.start, begun.headers, body, firstSentAt, segment.sentAt());
                head.reset();
                begun = null;
                to.message(whole);
            }
        }
    }

    /** The length of a body that has begun to come and is not whole; 0 if there is none. */
    int lengthAmid() {
        return begun == null ? 0 : body.length;
    }

    /** Whether a message has begun that is not whole. */
    boolean isAmid() {
        return head.size() > 0;
    }

    /** Reads up to the blank line, or all there is. */
    private int takeHead(byte[] bytes, int from) {
        int at = from;
        while (at < bytes.length) {
            byte b = bytes[at++];
            head.write(b);
            if (b == '\n') {
                byte[] so = head.toByteArray();
                if (so.length >= 4 && so[so.length - 2] == '\r' && so[so.length - 3] == '\n') {
                    readHead(new String(so, StandardCharsets.ISO_8859_1));
                    return at;
                }
            }
        }
        if (head.size() > MOST_HEAD) {
            throw new IllegalArgumentException("a head without an end");
        }
        return at;
    }

    private void readHead(String text) {
        String[] lines = text.split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException("no header: " + lines[i]);
            }
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        begun = new Message(lines[0], headers, null, 0, 0);
        body = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
        have = 0;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A message with its length. */
    static byte[] write(String start, String headers, byte[] body) {
        byte[] head = bytes(start + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] whole = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }
}
