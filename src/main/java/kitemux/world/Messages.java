package kitemux.world;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP/1.1 as the inhabitants speak it, written apart from the node's: messages with a length or in chunks, read as their
 * bytes come. A chunk's extensions and a trailer's fields are not read.
 */
final class Messages {
    /** A head longer than this is none, in bytes. */
    private static final int MAX_HEAD_BYTES = 16 << 10;
    /** A line between chunks longer than this is none, in bytes. */
    private static final int MAX_CHUNK_LINE_BYTES = 1 << 10;

    private static final int HEX_RADIX = 16;

    /** What the next byte belongs to. */
    private enum Part {
        HEAD,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER
    }

    private final ByteArrayOutputStream head = new ByteArrayOutputStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Part part = Part.HEAD;
    /** Bytes of the body, or of the chunk, that have not come. */
    private int missingBytes;
    /** The announced length of the body; what has come of it, if it comes in chunks. */
    private int announcedBytes;

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
            if (part == Part.HEAD && head.size() == 0) {
                firstSentAt = segment.sentAt();
            }
            at = switch (part) {
                case HEAD -> readHead(bytes, at);
                case BODY, CHUNK -> readBody(bytes, at);
                case CHUNK_SIZE, CHUNK_END, TRAILER -> readChunkLine(bytes, at);
            };
            if (begun != null && part == Part.BODY && missingBytes == 0) {
                Message whole =
                        new Message(begun.start, begun.headers, body.toByteArray(), firstSentAt, segment.sentAt());
                reset();
                to.message(whole);
            }
        }
    }

    private void reset() {
        head.reset();
        body.reset();
        begun = null;
        part = Part.HEAD;
    }

    /**
     * The length of a body that has begun to come and is not whole; 0 if there is none. Of one in chunks this is what has
     * come.
     */
    int lengthAmid() {
        if (begun == null) {
            return 0;
        }
        return part == Part.BODY ? announcedBytes : body.size();
    }

    /** Whether a message has begun that is not whole. */
    boolean isAmid() {
        return head.size() > 0;
    }

    /** Reads up to the blank line, or all there is; returns where to read on. */
    private int readHead(byte[] bytes, int from) {
        int at = from;
        while (at < bytes.length) {
            byte b = bytes[at++];
            head.write(b);
            if (b == '\n') {
                byte[] read = head.toByteArray();
                if (read.length >= 4 && read[read.length - 2] == '\r' && read[read.length - 3] == '\n') {
                    parseHead(new String(read, StandardCharsets.ISO_8859_1));
                    return at;
                }
            }
        }
        if (head.size() > MAX_HEAD_BYTES) {
            throw new IllegalArgumentException("a head without an end");
        }
        return at;
    }

    private void parseHead(String text) {
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
        boolean isChunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        if (isChunked && headers.containsKey("content-length")) {
            throw new IllegalArgumentException("both a length and chunks");
        }
        part = isChunked ? Part.CHUNK_SIZE : Part.BODY;
        announcedBytes = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        missingBytes = announcedBytes;
    }

    /** Reads what there is of the body, or of the chunk; returns where to read on. */
    private int readBody(byte[] bytes, int from) {
        int count = Math.min(missingBytes, bytes.length - from);
        body.write(bytes, from, count);
        missingBytes -= count;
        if (part == Part.CHUNK && missingBytes == 0) {
            part = Part.CHUNK_END;
        }
        return from + count;
    }

    /** Reads up to the end of a line between chunks, or all there is; returns where to read on. */
    private int readChunkLine(byte[] bytes, int from) {
        for (int at = from; at < bytes.length; at++) {
            if (bytes[at] == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                if (!text.endsWith("\r")) {
                    throw new IllegalArgumentException("a line between chunks without a return: " + text);
                }
                onChunkLine(text.substring(0, text.length() - 1));
                return at + 1;
            }
            line.write(bytes[at]);
            if (line.size() > MAX_CHUNK_LINE_BYTES) {
                throw new IllegalArgumentException("a line between chunks without an end");
            }
        }
        return bytes.length;
    }

    private void onChunkLine(String text) {
        if (part == Part.CHUNK_SIZE) {
            missingBytes = Integer.parseUnsignedInt(text.split(";")[0].strip(), HEX_RADIX);
            if (missingBytes < 0) {
                throw new IllegalArgumentException("a chunk that is too long: " + text);
            }
            part = missingBytes == 0 ? Part.TRAILER : Part.CHUNK;
        } else if (part == Part.CHUNK_END && text.isEmpty()) {
            part = Part.CHUNK_SIZE;
        } else if (part == Part.CHUNK_END) {
            throw new IllegalArgumentException("a chunk is longer than its size");
        } else if (text.isEmpty()) {
            // The blank line behind the last chunk ends the message.
            part = Part.BODY;
            missingBytes = 0;
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A message with its length. */
    static byte[] write(String start, String headers, byte[] body) {
        byte[] head = bytes(start + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }
}
