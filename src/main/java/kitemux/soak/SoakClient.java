package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A client that sends one request after another over a persistent connection and pauses in between. */
final class SoakClient implements Runnable {
    private static final long RESPONSE_GRACE_MS = 500;
    /** How long an answer that has begun may be withheld. */
    private static final int MAX_WITHHELD_MS = 2_000;

    private static final long MAX_BUSY_PAUSE_MS = 400;
    /** Longer than a process may live after SIGTERM, so that some clients pause through a whole shutdown. */
    private static final long MAX_IDLE_PAUSE_MS = 4_500;

    private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int REQUESTS_PER_ABANDON_COUNT = 20;
    /** One of so many clients that leave has sent much behind its request. */
    private static final int UNREAD_INPUT_INTERVAL = 2;

    private static final int UNREAD_INPUT_BYTES = 3 << 20;
    private static final int REQUESTS_PER_LONG_BODY_COUNT = 20;
    private static final int LONG_BODY_BYTES = 300_000;

    private final String name;
    private final boolean mostlyIdle;
    private final int port;
    private final long deadlineMs;
    private final ClientGate gate;
    private final Queue<Request> requests;
    private final SplittableRandom random;
    private Socket connection;
    private boolean connectionUsed;
    private int sentCount;
    /** When the last byte of the request was written; the deadline counts from there. */
    private long writtenUs;

    /**
     * Creates a client that is not connected yet.
     *
     * @param name prefix of the identifiers of its requests
     * @param mostlyIdle whether it makes long pauses and joins bursts
     * @param port of the node on loopback
     * @param deadlineMs longest deadline of a request, in milliseconds
     * @param gate paces the requests
     * @param requests receives each request with its outcome
     * @param random source of all random choices
     */
    SoakClient(
            String name,
            boolean mostlyIdle,
            int port,
            long deadlineMs,
            ClientGate gate,
            Queue<Request> requests,
            SplittableRandom random) {
        this.name = name;
        this.mostlyIdle = mostlyIdle;
        this.port = port;
        this.deadlineMs = deadlineMs;
        this.gate = gate;
        this.requests = requests;
        this.random = random;
    }

    @Override
    public void run() {
        try {
            while (gate.pause(random.nextLong(mostlyIdle ? MAX_IDLE_PAUSE_MS : MAX_BUSY_PAUSE_MS), mostlyIdle)) {
                sendRequest();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeConnection();
        }
    }

    private void sendRequest() {
        closeIfPeerClosed();
        if (connection == null && !connect()) {
            LockSupport.parkNanos(RECONNECT_DELAY_NANOS);
            return;
        }
        int classIndex = random.nextInt(Request.CLASSES.size());
        long remainingMs = Math.max(1, (long) (deadlineMs * (0.3 + 0.7 * random.nextDouble())));
        boolean abandons = random.nextInt(REQUESTS_PER_ABANDON_COUNT) == 0;
        String txn = name + "-" + sentCount++;
        boolean usedBefore = connectionUsed;
        writtenUs = Soak.nowUs();
        boolean leavesInput = abandons && random.nextInt(UNREAD_INPUT_INTERVAL) == 0;
        Request.Outcome outcome = leavesInput
                ? leaveInputUnread(txn, classIndex, remainingMs)
                : exchange(txn, classIndex, remainingMs, abandons);
        requests.add(new Request(txn, classIndex, writtenUs, remainingMs * 1_000, usedBefore, outcome, Soak.nowUs()));
    }

    /** Drops a connection that the node has already closed, as real clients do. */
    private void closeIfPeerClosed() {
        if (connection == null) {
            return;
        }
        try {
            connection.setSoTimeout(1);
            connection.getInputStream().read();
            closeConnection();
        } catch (SocketTimeoutException e) {
            // The connection is open and has no unexpected data.
        } catch (IOException e) {
            closeConnection();
        }
    }

    private boolean connect() {
        try {
            connection = new Socket(InetAddress.getLoopbackAddress(), port);
            connection.setTcpNoDelay(true);
            connectionUsed = false;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Request.Outcome exchange(String txn, int classIndex, long remainingMs, boolean abandons) {
        try {
            connection.setSoTimeout((int) (abandons ? Math.max(1, remainingMs / 4) : remainingMs + RESPONSE_GRACE_MS));
            connection.getOutputStream().write(formatRequest(txn, classIndex, remainingMs, drawBodyBytes(classIndex)));
            writtenUs = Soak.nowUs();
            HttpMessage response = HttpMessage.readHead(connection.getInputStream());
            if (!readBody(response)) {
                return response.status() == 200 ? Request.Outcome.TRUNCATED : Request.Outcome.BROKEN;
            }
            connectionUsed = true;
            if (response.closesConnection()) {
                closeConnection();
            }
            return response.status() == 200
                    ? Request.Outcome.SERVED
                    : response.status() == 429 || response.status() == 503
                            ? Request.Outcome.REFUSED
                            : Request.Outcome.FAILED;
        } catch (SocketTimeoutException e) {
            closeConnection();
            return abandons ? Request.Outcome.LEFT : Request.Outcome.SILENT;
        } catch (IOException e) {
            closeConnection();
            return Request.Outcome.BROKEN;
        }
    }

    /** Reads the body; returns false if the connection ended or fell silent before its end. */
    private boolean readBody(HttpMessage response) {
        try {
            connection.setSoTimeout(MAX_WITHHELD_MS);
            response.skipBody(connection.getInputStream());
            return true;
        } catch (IOException e) {
            closeConnection();
            return false;
        }
    }

    /** Sends a request and much behind it, and leaves before an answer is due, by an end or by a reset. */
    private Request.Outcome leaveInputUnread(String txn, int classIndex, long remainingMs) {
        Socket leaving = connection;
        try {
            leaving.getOutputStream().write(formatRequest(txn, classIndex, remainingMs, 0));
            writtenUs = Soak.nowUs();
            Soak.startDaemon("soak client input", () -> writeUnread(leaving));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Math.max(1, remainingMs / 4)));
            leaving.setSoLinger(random.nextBoolean(), 0);
        } catch (IOException e) {
            // The node has closed the connection; the client leaves all the same.
        }
        closeConnection();
        return Request.Outcome.LEFT;
    }

    private static void writeUnread(Socket leaving) {
        try {
            leaving.getOutputStream().write(new byte[UNREAD_INPUT_BYTES]);
        } catch (IOException e) {
            // The client has left.
        }
    }

    private int drawBodyBytes(int classIndex) {
        return classIndex != 0 && random.nextInt(REQUESTS_PER_LONG_BODY_COUNT) == 0 ? LONG_BODY_BYTES : 0;
    }

    private static byte[] formatRequest(String txn, int classIndex, long remainingMs, int bodyBytes) {
        String head = (classIndex == 0 ? "GET" : "POST") + " /api/p HTTP/1.1\r\nHost: h\r\nX-Txn: " + txn
                + "\r\nX-Lane: "
                + Request.CLASSES.get(classIndex) + "\r\nX-Remaining: " + remainingMs + "m\r\n"
                + (classIndex == Request.KEYED_CLASS_INDEX ? "Idempotency-Key: k" + txn + "\r\n" : "")
                + (classIndex == 0 ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        return Arrays.copyOf(headBytes, headBytes.length + bodyBytes);
    }

    private void closeConnection() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // The connection is unusable either way.
            }
            connection = null;
        }
    }
}
