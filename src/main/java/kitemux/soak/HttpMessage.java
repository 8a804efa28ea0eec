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
 * An HTTP/1.1 message whose body has a Content-Length.
 *
 * @param startLine request line or status line
 * @param headers values by header name in lower case
 */
record HttpMessage(String startLine, Map<String, String> headers) {

    /** Reads a whole message and discards its body. */
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
            throw new EOFException("HTTP message body truncated");
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

    /** Status code of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Whether the sender closes the connection after this message. */
    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
