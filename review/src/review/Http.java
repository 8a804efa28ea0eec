package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages (RFC 9112) from a stream. */
final class Http {
    /**
     * A message.
     *
     * @param start its first line
     * @param headers its headers, by name without regard to case
     * @param body its body
     * @param beganMs when its first byte was read, Unix time
     */
    record Message(String start, Map<String, String> headers, byte[] body, long beganMs) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** The status code of an answer. */
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return header("Connection").equalsIgnoreCase("close");
        }
    }

    /** A message that violates RFC 9112. */
    static final class MalformedException extends IOException {
        private static final long serialVersionUID = 1;

        MalformedException(String reason) {
            super(reason);
        }
    }

    private Http() {}

    private static String line(InputStream in, int first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = first; b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended within a head");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message and returns it without a body, or null at the end of the stream. */
    static Message head(InputStream in) throws IOException {
        int first = in.read();
        while (first == '\r' || first == '\n') {
            first = in.read();
        }
        if (first < 0) {
            return null;
        }
        long beganMs = System.currentTimeMillis();
        String start = line(in, first);
        if (start.split(" ").length < 2 || !start.contains("HTTP/1.")) {
            throw new MalformedException("no first line of a message: " + start);
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in, in.read()); !line.isEmpty(); line = line(in, in.read())) {
            int colon = line.indexOf(':');
            if (colon <= 0) {
                throw new MalformedException("no header: " + line);
            }
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0], beganMs);
    }

    /** Reads a whole message, or returns null at the end of the stream. A request has no body unless it says so. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int size = Integer.parseInt(line(in, in.read()).trim(), 16);
                body.write(exactly(in, size));
                line(in, in.read());
                if (size == 0) {
                    break;
                }
            }
        } else if (!head.header("Content-Length").isEmpty()) {
            body.write(exactly(in, Integer.parseInt(head.header("Content-Length"))));
        } else if (head.start().startsWith("HTTP/")) {
            body.write(in.readAllBytes());
        }
        return new Message(head.start(), head.headers(), body.toByteArray(), head.beganMs());
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }
}
