package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.SplittableRandom;

/** A client that stops within one request after another and stays until the node answers or closes the connection. */
final class StoppingClient implements Runnable {
    private static final long MAX_PAUSE_MS = 500;
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** How long a client stays at most, in milliseconds. */
    private static final int MAX_STAY_MS = 10_000;

    private final String name;
    private final int port;
    private final ClientGate gate;
    private final Queue<Stop> stops;
    private final SplittableRandom random;
    private int sentCount;

    /** Where a client stops within a request. */
    private enum Place {
        HEAD,
        BEHIND_HEAD,
        BODY_WITH_LENGTH,
        CHUNK_SIZE,
        CHUNK,
        TRAILER,
        BEHIND_REQUEST
    }

    /**
     * A stop and its end. Times are Unix time in microseconds.
     *
     * @param client name of the client and of the place
     * @param lastByteUs when its last byte was written
     * @param endedUs when the answer or the end of the connection was read; when the client gave up if neither came
     */
    record Stop(String client, long lastByteUs, long endedUs) {}

    /**
     * Creates a client that is not connected yet.
     *
     * @param name prefix of the identifiers of its requests
     * @param port of the node on loopback
     * @param gate ends the client
     * @param stops receives each stop
     * @param random source of all random choices
     */
    StoppingClient(String name, int port, ClientGate gate, Queue<Stop> stops, SplittableRandom random) {
        this.name = name;
        this.port = port;
        this.gate = gate;
        this.stops = stops;
        this.random = random;
    }

    @Override
    public void run() {
        try {
            while (gate.pause(random.nextLong(MAX_PAUSE_MS), false)) {
                stop(Place.values()[random.nextInt(Place.values().length)]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop(Place place) {
        byte[] part = format(place).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(MAX_STAY_MS);
            socket.getOutputStream().write(part);
            long lastByteUs = Soak.nowUs();
            awaitEnd(socket, place);
            stops.add(new Stop(name + " " + place, lastByteUs, Soak.nowUs()));
        } catch (IOException e) {
            // The node has ended the connection before the client could stop, or listens no more.
        }
    }

    private static void awaitEnd(Socket socket, Place place) {
        try {
            if (place == Place.BEHIND_REQUEST) {
                HttpMessage.read(socket.getInputStream());
            }
            socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
            // Neither came; the time that has passed says so.
        } catch (IOException e) {
            // A close, or a reset.
        }
    }

    private String format(Place place) {
        int bytes = 1 + random.nextInt(MAX_BODY_BYTES);
        String sent = "a".repeat(random.nextInt(bytes));
        String head = "POST /api/p HTTP/1.1\r\nHost: h\r\nX-Txn: " + name + "-" + sentCount++
                + "\r\nX-Remaining: 250m\r\nX-Lane: order\r\n";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        String chunk = Integer.toHexString(sent.length() + 1) + "\r\n" + sent + "a\r\n";
        return switch (place) {
            case HEAD -> head.substring(0, 1 + random.nextInt(head.length()));
            case BEHIND_HEAD -> head + "Content-Length: " + bytes + "\r\n\r\n";
            case BODY_WITH_LENGTH -> head + "Content-Length: " + bytes + "\r\n\r\n" + sent;
            case CHUNK_SIZE -> chunked + chunk + "1f";
            case CHUNK -> chunked + chunk + "fffff\r\n" + "a".repeat(random.nextInt(1_000));
            case TRAILER -> chunked + chunk + "0\r\nX-Sum: 1";
            case BEHIND_REQUEST -> head + "Content-Length: 0\r\n\r\n" + head;
        };
    }
}
