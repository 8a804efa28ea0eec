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
 * An HTTP/1.1 server that records every request that it receives and how it handled it. The request's id decides: most
 * requests are served, some fail, some are slow, and some get their connection closed. It has a thread for each
 * connection.
 */
public final class RecordingOrderServer implements AutoCloseable {
    /** How the server has handled a request. */
    public enum Handling {
        /** Answered 200. */
        SERVED,
        /** Answered 500. */
        FAILED,
        /** Closed the connection without a response. */
        DISCONNECTED,
        /** Received it and has not answered yet. */
        RECEIVED
    }

    private static final int BACKLOG = 256;
    private static final long SLOW_RESPONSE_NANOS = 30_000_000;
    /** Requests are divided by their ids into this many equal groups, three of which are not just served. */
    private static final int GROUP_COUNT = 10;

    private static final int DISCONNECTED_GROUP = 0;
    private static final int SLOW_GROUP = 1;
    private static final int FAILED_GROUP = 2;
    /** Spreads ids whose hash codes are close to one another over the groups. */
    private static final int HASH_MULTIPLIER = 31;

    private final ServerSocket listener;
    private final Map<String, Handling> handlings = new ConcurrentHashMap<>();
    private final Map<String, Integer> receptionCounts = new ConcurrentHashMap<>();

    private RecordingOrderServer(ServerSocket listener) {
        this.listener = listener;
    }

    /** Starts a server on a free loopback port. */
    public static RecordingOrderServer start() throws IOException {
        RecordingOrderServer server =
                new RecordingOrderServer(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()));
        startDaemon(server::accept);
        return server;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "order-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address at which it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns how each request was handled, by its id. */
    public Map<String, Handling> handlings() {
        return Map.copyOf(handlings);
    }

    /** Returns how often a request was received. */
    public int receptionCount(String id) {
        return receptionCounts.getOrDefault(id, 0);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                startDaemon(() -> serve(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            String id = readRequest(in);
            while (id != null && handle(id, client)) {
                id = readRequest(in);
            }
        } catch (IOException e) {
            // The node has disconnected; the records stay.
        }
    }

    /** Handles a request and returns whether the connection stays open. */
    private boolean handle(String id, Socket client) throws IOException {
        handlings.put(id, Handling.RECEIVED);
        receptionCounts.merge(id, 1, Integer::sum);
        int group = Math.floorMod(id.hashCode() * HASH_MULTIPLIER, GROUP_COUNT);
        if (group == DISCONNECTED_GROUP) {
            handlings.put(id, Handling.DISCONNECTED);
            return false;
        }
        if (group == SLOW_GROUP) {
            LockSupport.parkNanos(SLOW_RESPONSE_NANOS);
        }
        boolean fails = group == FAILED_GROUP;
        handlings.put(id, fails ? Handling.FAILED : Handling.SERVED);
        String response = "HTTP/1.1 " + (fails ? "500 No" : "200 OK") + "\r\nContent-Length: 2\r\n\r\nok";
        client.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    /** Reads a complete request and returns its id, or null if the connection ends before. */
    private static String readRequest(InputStream in) throws IOException {
        String id = "";
        int length = 0;
        String line = readLine(in);
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
            line = readLine(in);
        }
        return line != null && in.readNBytes(length).length == length ? id : null;
    }

    private static String readLine(InputStream in) throws IOException {
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
        listener.close();
    }
}
