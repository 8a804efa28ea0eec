package kitemux.node;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and builds HTTP/1.1 messages for the peers of a node under test. */
final class Http {
    private Http() {}

    /** A message; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String path() {
            return startLine.split(" ")[1];
        }
    }

    /** Reads a complete message. */
    static Message read(InputStream in) throws IOException {
        String start = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("message is truncated");
        }
        return new Message(start, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection ended");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    static String ok(String body) {
        return answer("200 OK", "", body);
    }

    static String answer(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String page(String txn) {
        return page("/api/page", txn, "400m");
    }

    static String page(String uri, String txn, String remaining) {
        return "GET " + uri + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: page\r\nX-Org: org\r\nX-Remaining: " + remaining + "\r\n\r\n";
    }

    static String order(String txn, String remaining) {
        return "POST /api/order HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: order\r\nX-Org: org\r\nX-Remaining: " + remaining
                + "\r\nContent-Length: 2\r\n\r\nab";
    }
}
