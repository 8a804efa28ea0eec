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
 * An HTTP/1.1 message with a length.
 *
 * @param startLine its first line
 * @param headers by names in small letters
 */
record HttpMessage(String startLine, Map<String, String> headers) {

    /** Reads one whole; its body is dropped. */
    static HttpMessage read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        if (in.readNBytes(length).length < length) {
            throw new EOFException("message cut short");
        }
        return new HttpMessage(startLine, headers);
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

    /** The status of an answer. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Whether the sender ends the connection behind it. */
    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
