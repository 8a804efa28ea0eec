package kitemux.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A server of HTTP/1.1 that remembers every request that reached it and how it answered: by the id, it serves
 * most, fails some, is slow with some and breaks the connection on some. A thread for each connection.
 */
public final class OrderBox implements AutoCloseable {
    /** What a box did with a request. */
    public enum Did {
        /** Answered 200. */
        SERVED,
        /** Answered 500. */
        FAILED,
        /** Ended the connection without an answer. */
        BROKE,
        /** Has it still. */
        BEGUN
    }

    private static final long SLOW_NANOS = 30_000_000;

    private final ServerSocket listening;
    private final Map<String, Did> did = new ConcurrentHashMap<>();
    private final Map<String, Integer> times = new ConcurrentHashMap<>();

    private OrderBox(ServerSocket listening) {
        this.listening = listening;
    }

    /** One that listens on a free port of loopback. */
    public static OrderBox start() throws IOException {
        OrderBox box = new OrderBox(new ServerSocket(0, 256, InetAddress.getLoopbackAddress()));
        daemon(box::accept);
        return box;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "order-box");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** What it did, by the request's id. */
    public Map<String, Did> did() {
        return Map.copyOf(did);
    }

    /** How often a request reached it. */
    public int times(String id) {
        return times.getOrDefault(id, 0);
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket peer = listening.accept();
                daemon(() -> serve(peer));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket peer) {
        try (peer) {
            InputStream in = new BufferedInputStream(peer.getInputStream());
            String id;
            while ((id = request(in)) != null) {
                did.put(id, Did.BEGUN);
                times.merge(id, 1, Integer::sum);
                int lot = Math.floorMod(id.hashCode() * 31, 10);
                if (lot == 0) {
                    did.put(id, Did.BROKE);
                    return;
                }
                if (lot == 1) {
                    LockSupport.parkNanos(SLOW_NANOS);
                }
                boolean fails = lot == 2;
                did.put(id, fails ? Did.FAILED : Did.SERVED);
                peer.getOutputStream()
                        .write(("HTTP/1.1 " + (fails ? "500 No" : "200 OK") + "\r\nContent-Length: 2\r\n\r\nok")
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The node has gone; what it did is remembered.
        }
    }

    /** Reads a request whole; its id, or null if the connection has ended before. */
    private static String request(InputStream in) throws IOException {
        String id = "";
        int length = 0;
        String line = line(in);
        if (line == null) {
            return null;
        }
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).trim();
            if (name.equals("x-txn")) {
                id = value;
            } else if (name.equals("content-length")) {
                length = Integer.parseInt(value);
            }
            line = line(in);
        }
        return line != null && in.readNBytes(length).length == length ? id : null;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c;
        while ((c = in.read()) >= 0 && c != '\n') {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return c < 0 ? null : line.toString();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
