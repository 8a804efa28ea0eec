package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** HTTP/1.1 messages with a Content-Length, as the stand-ins and clients of the cases use them. */
final class Http {
    private Http() {}

    /** A message; the first line is that of a request or of an answer. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address(address), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads a message, or returns null if the connection has ended before it. */
    static Message read(InputStream in) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(firstLine, fields, body);
    }

    /** Makes a call on a connection of its own. */
    static Message call(String address, String method, String path, int timeoutMs) throws IOException {
        try (Socket socket = connect(address, timeoutMs)) {
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new EOFException("the connection ended without an answer");
            }
            return answer;
        }
    }

    /** Returns the status of a call, or 0 if it got no answer. */
    static int status(String address, String method, String path, int timeoutMs) {
        try {
            return call(address, method, path, timeoutMs).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
