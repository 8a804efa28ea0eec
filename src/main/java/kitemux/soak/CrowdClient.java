package kitemux.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One of a crowd of clients that write slowly, stop within a request, send input that costs much to parse, or do not read
 * their answers. Their own requests are not judged.
 */
final class CrowdClient implements Runnable {
    private static final long MAX_PAUSE_MS = 400;
    private static final int PART_COUNT = 5;
    private static final long PART_INTERVAL_MS = 150;
    private static final int FIELD_COUNT = 1_200;
    private static final int CHUNK_COUNT = 5_000;
    private static final int BODY_BYTES = 60_000;

    private final String name;
    private final int port;
    private final long deadlineMs;
    private final ClientGate gate;
    private final SplittableRandom random;
    private int sentCount;

    /** What a client sends on one connection. */
    private enum Input {
        SHORT_FIELDS,
        SHORT_CHUNKS,
        HALF_OF_BODY,
        UNREAD_ANSWER
    }

    /**
     * Creates a client that is not connected yet.
     *
     * @param name prefix of the identifiers of its requests
     * @param port of the node on loopback
     * @param deadlineMs how long the client announces to wait, in milliseconds
     * @param gate ends the client
     * @param random source of all random choices
     */
    CrowdClient(String name, int port, long deadlineMs, ClientGate gate, SplittableRandom random) {
        this.name = name;
        this.port = port;
        this.deadlineMs = deadlineMs;
        this.gate = gate;
        this.random = random;
    }

    @Override
    public void run() {
        try {
            while (gate.pause(random.nextLong(MAX_PAUSE_MS), false)) {
                sendSlowly(Input.values()[random.nextInt(Input.values().length)]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendSlowly(Input input) throws InterruptedException {
        byte[] request = format(input).getBytes(StandardCharsets.US_ASCII);
        int sentBytes = input == Input.HALF_OF_BODY ? request.length / 2 : request.length;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            OutputStream out = socket.getOutputStream();
            for (int part = 0; part < PART_COUNT; part++) {
                int from = sentBytes * part / PART_COUNT;
                out.write(request, from, sentBytes * (part + 1) / PART_COUNT - from);
                TimeUnit.MILLISECONDS.sleep(PART_INTERVAL_MS);
            }
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_PAUSE_MS));
        } catch (IOException e) {
            // The node has rejected the request, or is restarting.
        }
    }

    private String format(Input input) {
        String start = (input == Input.UNREAD_ANSWER || input == Input.SHORT_FIELDS ? "GET" : "POST")
                + " /api/p HTTP/1.1\r\nHost: h\r\nX-Txn: " + name + "-" + sentCount++ + "\r\nX-Remaining: " + deadlineMs
                + "m\r\nX-Lane: ";
        return start
                + switch (input) {
                    case UNREAD_ANSWER -> "page\r\n\r\n";
                    case SHORT_FIELDS -> "page\r\n" + "a:b\r\n".repeat(FIELD_COUNT) + "\r\n";
                    case HALF_OF_BODY -> "order\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "a".repeat(BODY_BYTES);
                    case SHORT_CHUNKS ->
                        "order\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\na\r\n".repeat(CHUNK_COUNT) + "0\r\n\r\n";
                };
    }
}
