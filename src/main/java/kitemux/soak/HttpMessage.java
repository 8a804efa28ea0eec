package kitemux.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message whose body has a Content-Length or is chunked.
 *
 * @param startLine request line or status line
 * @param headers values by header name in lower case
 */
record HttpMessage(String startLine, Map<String, String> headers) {

    /** Reads a whole message and discards its body. */
    static HttpMessage read(InputStream in) throws IOException {
        HttpMessage message = readHead(in);
        message.skipBody(in);
        return message;
    }

    /** Reads a message up to the end of its head. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new HttpMessage(startLine, headers);
    }

    /** Reads and discards the body, which follows the head. */
    void skipBody(InputStream in) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            skip(in, contentLength());
            return;
        }
        int chunkBytes;
        do {
            chunkBytes = Integer.parseInt(readLine(in), 16);
            skip(in, chunkBytes);
            readLine(in);
        } while (chunkBytes > 0);
    }

    /** Returns the announced length of the body in bytes; 0 if none is announced. */
    int contentLength() {
        return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }

    private static void skip(InputStream in, int bytes) throws IOException {
        if (in.readNBytes(bytes).length < bytes) {
            throw new EOFException("HTTP message body truncated");
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Status code of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Whether the sender closes the connection after this message. */
    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
