package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A client that sends one request after another over a persistent connection and pauses in between. */
final class SoakClient implements Runnable {
    private static final long RESPONSE_GRACE_MS = 500;
    private static final long MAX_BUSY_PAUSE_MS = 400;
    /** Longer than a process may live after SIGTERM, so that some clients pause through a whole shutdown. */
    private static final long MAX_IDLE_PAUSE_MS = 4_500;

    private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int REQUESTS_PER_ABANDON_COUNT = 40;

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
        Request.Outcome outcome = exchange(txn, classIndex, remainingMs, abandons);
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
            connection
                    .getOutputStream()
                    .write(formatRequest(txn, classIndex, remainingMs).getBytes(StandardCharsets.US_ASCII));
            writtenUs = Soak.nowUs();
            HttpMessage response = HttpMessage.read(connection.getInputStream());
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

    private static String formatRequest(String txn, int classIndex, long remainingMs) {
        return (classIndex == 0 ? "GET" : "POST") + " /api/p HTTP/1.1\r\nHost: h\r\nX-Txn: " + txn + "\r\nX-Lane: "
                + Request.CLASSES.get(classIndex) + "\r\nX-Remaining: " + remainingMs + "m\r\n"
                + (classIndex == 1 ? "Idempotency-Key: k" + txn + "\r\n" : "")
                + (classIndex == 0 ? "" : "Content-Length: 0\r\n") + "\r\n";
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
