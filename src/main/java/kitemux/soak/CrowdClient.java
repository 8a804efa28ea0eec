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
    private static final int LONG_BODY_BYTES = 600_000;
    private static final int SENT_AHEAD_COUNT = 14;
    private static final int LONG_VALUE_CHARS = 7_000;
    private static final int LONG_TARGET_CHARS = 3_900;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;
    private static final int SLOW_READ_BYTES = 9_600;
    /** Path of requests that servers answer with a long answer. */
    static final String LONG_ANSWER_PATH = "/api/long";

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
        UNREAD_ANSWER,
        LONG_ANSWER_READ_SLOWLY,
        LONG_VALUE,
        LONG_TARGET,
        REQUESTS_SENT_AHEAD,
        HALF_OF_LONG_BODY
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
        boolean isHalf = input == Input.HALF_OF_BODY || input == Input.HALF_OF_LONG_BODY;
        int sentBytes = isHalf ? request.length / 2 : request.length;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            OutputStream out = socket.getOutputStream();
            for (int part = 0; part < PART_COUNT; part++) {
                int from = sentBytes * part / PART_COUNT;
                out.write(request, from, sentBytes * (part + 1) / PART_COUNT - from);
                TimeUnit.MILLISECONDS.sleep(PART_INTERVAL_MS);
                if (input == Input.LONG_ANSWER_READ_SLOWLY
                        && socket.getInputStream().available() > 0) {
                    socket.getInputStream().readNBytes(SLOW_READ_BYTES);
                }
            }
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_PAUSE_MS));
        } catch (IOException e) {
            // The node has rejected the request, or is restarting.
        }
    }

    private String start(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + name + "-" + sentCount++ + "\r\nX-Remaining: "
                + deadlineMs + "m\r\nX-Lane: ";
    }

    private String format(Input input) {
        if (input == Input.REQUESTS_SENT_AHEAD) {
            StringBuilder ahead = new StringBuilder();
            for (int i = 0; i < SENT_AHEAD_COUNT; i++) {
                ahead.append(start("POST", "/api/p"))
                        .append("order\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                        .append("a".repeat(BODY_BYTES));
            }
            return ahead.toString();
        }
        return switch (input) {
            case REQUESTS_SENT_AHEAD -> throw new IllegalStateException("formatted above");
            case LONG_ANSWER_READ_SLOWLY -> start("GET", LONG_ANSWER_PATH) + "page\r\n\r\n";
            case LONG_VALUE -> start("GET", "/api/p") + "page\r\nX-Org: " + "o".repeat(LONG_VALUE_CHARS) + "\r\n\r\n";
            case LONG_TARGET -> start("GET", "/api/" + "u".repeat(LONG_TARGET_CHARS)) + "page\r\n\r\n";
            case HALF_OF_LONG_BODY ->
                start("POST", "/api/p") + "order\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n"
                        + "a".repeat(LONG_BODY_BYTES);
            case UNREAD_ANSWER -> start("GET", "/api/p") + "page\r\n\r\n";
            case SHORT_FIELDS -> start("GET", "/api/p") + "page\r\n" + "a:b\r\n".repeat(FIELD_COUNT) + "\r\n";
            case HALF_OF_BODY ->
                start("POST", "/api/p") + "order\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                        + "a".repeat(BODY_BYTES);
            case SHORT_CHUNKS ->
                start("POST", "/api/p") + "order\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\na\r\n".repeat(CHUNK_COUNT) + "0\r\n\r\n";
        };
    }
}
