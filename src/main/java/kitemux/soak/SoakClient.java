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

/** A client that keeps its connection, uses it for one request after another, and rests in between. */
final class SoakClient implements Runnable {
    private static final long LAST_ANSWER_MS = 500;
    private static final long BUSY_REST_MS = 400;
    /** Longer than a process lives after SIGTERM. */
    private static final long IDLE_REST_MS = 4_500;

    private static final long DIAL_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int ONE_LEAVES_OF = 40;

    private final String name;
    private final boolean idle;
    private final int port;
    private final long deadlineMs;
    private final ClientGate crowd;
    private final Queue<Request> requests;
    private final SplittableRandom random;
    private Socket connection;
    private boolean used;
    private int sent;
    /** When the last byte of the request was written: its time counts from there. */
    private long writtenUs;

    /**
     * Not connected yet.
     *
     * @param idle whether it rests for long, and joins crowds
     */
    SoakClient(
            String name,
            boolean idle,
            int port,
            long deadlineMs,
            ClientGate crowd,
            Queue<Request> requests,
            SplittableRandom random) {
        this.name = name;
        this.idle = idle;
        this.port = port;
        this.deadlineMs = deadlineMs;
        this.crowd = crowd;
        this.requests = requests;
        this.random = random;
    }

    @Override
    public void run() {
        try {
            while (crowd.rest(random.nextLong(idle ? IDLE_REST_MS : BUSY_REST_MS), idle)) {
                ask();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            hangUp();
        }
    }

    private void ask() {
        hangUpIfClosed();
        if (connection == null && !dial()) {
            LockSupport.parkNanos(DIAL_AGAIN_NANOS);
            return;
        }
        int of = random.nextInt(Request.CLASSES.size());
        long remainingMs = Math.max(1, (long) (deadlineMs * (0.3 + 0.7 * random.nextDouble())));
        boolean leaves = random.nextInt(ONE_LEAVES_OF) == 0;
        String txn = name + "-" + sent++;
        boolean usedBefore = used;
        writtenUs = Soak.nowUs();
        Request.Outcome outcome = exchange(txn, of, remainingMs, leaves);
        requests.add(new Request(txn, of, writtenUs, remainingMs * 1_000, usedBefore, outcome, Soak.nowUs()));
    }

    /** A client does not use a connection whose end it has seen. */
    private void hangUpIfClosed() {
        if (connection == null) {
            return;
        }
        try {
            connection.setSoTimeout(1);
            connection.getInputStream().read();
            hangUp();
        } catch (SocketTimeoutException e) {
            // Still open, and nothing has come.
        } catch (IOException e) {
            hangUp();
        }
    }

    private boolean dial() {
        try {
            connection = new Socket(InetAddress.getLoopbackAddress(), port);
            connection.setTcpNoDelay(true);
            used = false;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Request.Outcome exchange(String txn, int of, long remainingMs, boolean leaves) {
        try {
            connection.setSoTimeout((int) (leaves ? Math.max(1, remainingMs / 4) : remainingMs + LAST_ANSWER_MS));
            connection.getOutputStream().write(text(txn, of, remainingMs).getBytes(StandardCharsets.US_ASCII));
            writtenUs = Soak.nowUs();
            HttpMessage answer = HttpMessage.read(connection.getInputStream());
            used = true;
            if (answer.isLast()) {
                hangUp();
            }
            return answer.status() == 200
                    ? Request.Outcome.SERVED
                    : answer.status() == 429 || answer.status() == 503
                            ? Request.Outcome.REFUSED
                            : Request.Outcome.FAILED;
        } catch (SocketTimeoutException e) {
            hangUp();
            return leaves ? Request.Outcome.LEFT : Request.Outcome.SILENT;
        } catch (IOException e) {
            hangUp();
            return Request.Outcome.BROKEN;
        }
    }

    private static String text(String txn, int of, long remainingMs) {
        return (of == 0 ? "GET" : "POST") + " /api/p HTTP/1.1\r\nHost: h\r\nX-Txn: " + txn + "\r\nX-Lane: "
                + Request.CLASSES.get(of) + "\r\nX-Remaining: " + remainingMs + "m\r\n"
                + (of == 1 ? "Idempotency-Key: k" + txn + "\r\n" : "")
                + (of == 0 ? "" : "Content-Length: 0\r\n") + "\r\n";
    }

    private void hangUp() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // It is gone either way.
            }
            connection = null;
        }
    }
}
