package kitemux.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;

/**
 * A server that answers most requests at once and some as {@link ServerFault} draws, or none while it hangs, and records
 * the attempts that arrive.
 */
final class SoakServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    /** Backlog of a server whose connections come up late: the system drops what does not fit and tries after 1 s. */
    private static final int SHORT_BACKLOG = 1;
    /** Interval between two connections that such a server accepts. */
    private static final long LATE_ACCEPT_INTERVAL_MS = 150;

    private static final int LUMP_BYTES = 45_000;
    private static final int LUMP_COUNT = 3;
    private static final long LUMP_INTERVAL_MS = 400;
    private static final int PIECE_BYTES = 2_000;
    private static final int PIECE_COUNT = 40;
    private static final long PIECE_INTERVAL_MS = 20;
    private static final long FAULT_DELAY_MS = 300;
    /** Sizes of answers that stop or pause: within what a node buffers, and beyond it. */
    private static final int SHORT_BODY_BYTES = 30_000;

    private static final int LONG_BODY_BYTES = 200_000;
    /** Pause within an answer, shorter than the 2 s after which it counts as withheld. */
    private static final long BODY_PAUSE_MS = 1_200;
    /** Answer to a client that reads slowly. */
    private static final byte[] LONG_RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
                    + "a".repeat(400_000))
            .getBytes(StandardCharsets.US_ASCII);
    /** Size of the parts in which a long body is read, and the pause before each. */
    private static final int SLOW_READ_BYTES = 32 << 10;

    private static final long SLOW_READ_INTERVAL_MS = 20;
    private static final byte[] TURNED_AWAY =
            "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    /**
     * An attempt that reached a server.
     *
     * @param txn identifier of the request
     * @param atUs when its head was read, Unix time in microseconds
     * @param remainingUs time that the node announced to wait, in microseconds
     * @param mayHaveRun whether the server does not turn it away
     * @param isReadAtOnce whether the server reads what arrives at once, so that {@code atUs} tells when it was sent
     * @param stopsWithinBody whether the server gives a part of the answer's body and never the rest
     * @param server index of the server
     */
    record Arrival(
            String txn,
            long atUs,
            long remainingUs,
            boolean mayHaveRun,
            boolean isReadAtOnce,
            boolean stopsWithinBody,
            int server) {
        Arrival(String txn, long atUs, long remainingUs) {
            this(txn, atUs, remainingUs, true, true, false, 0);
        }
    }

    private final Queue<Arrival> arrivals;
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final boolean isLate;
    private final int index;
    /** Number of attempts of each request that have reached any server of the run. */
    private final ConcurrentMap<String, Integer> attemptCounts;

    private volatile boolean hanging;

    /**
     * Listens on a free loopback port.
     *
     * @param index number of the server in the list, from 0
     * @param arrivals receives the attempts
     * @param attemptCounts shared by the servers of a run
     * @param isLate whether connections come up late
     */
    SoakServer(int index, Queue<Arrival> arrivals, ConcurrentMap<String, Integer> attemptCounts, boolean isLate) {
        this.index = index;
        this.arrivals = arrivals;
        this.attemptCounts = attemptCounts;
        this.isLate = isLate;
        try {
            listener = new ServerSocket(0, isLate ? SHORT_BACKLOG : BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Soak.startDaemon("soak server", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the server's entry in discovery's list. */
    String entry(boolean isDraining) {
        return ("{\"uid\":\"s%d\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"\",\"pod_group\":0,\"state\":\"%s\","
                        + "\"capacity_hint\":1.0,\"boot_ms\":0}")
                .formatted(index, address().getPort(), isDraining ? "Terminating" : "Ready");
    }

    /** Makes the server hang, or answer the requests that arrive from now on. */
    void setHanging(boolean enabled) {
        hanging = enabled;
    }

    private void accept() {
        try {
            while (true) {
                if (isLate) {
                    pause(LATE_ACCEPT_INTERVAL_MS);
                }
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                openSockets.add(socket);
                Soak.startDaemon("soak server connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed at the end of the run.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (true) {
                answer(socket);
            }
        } catch (IOException e) {
            // The node closed the connection, or the run is over.
        } finally {
            openSockets.remove(socket);
        }
    }

    private void answer(Socket socket) throws IOException {
        HttpMessage request = HttpMessage.readHead(socket.getInputStream());
        long headReadUs = Soak.nowUs();
        readBodySlowly(socket, request);
        String txn = request.headers().get("x-txn");
        ServerFault fault = ServerFault.NONE;
        if (txn != null) {
            fault = ServerFault.of(txn, attemptCounts.merge(txn, 1, Integer::sum) - 1);
            arrivals.add(new Arrival(
                    txn,
                    headReadUs,
                    remainingUs(request),
                    fault != ServerFault.TURN_AWAY,
                    !isLate,
                    fault == ServerFault.STOP_WITHIN_BODY,
                    index));
        }
        if (hanging) {
            return;
        }
        OutputStream out = socket.getOutputStream();
        switch (fault) {
            case NONE ->
                out.write(request.startLine().contains(CrowdClient.LONG_ANSWER_PATH) ? LONG_RESPONSE : RESPONSE);
            case RESET -> {
                pause(FAULT_DELAY_MS);
                socket.setSoLinger(true, 0);
                throw new IOException("reset on purpose");
            }
            case TURN_AWAY -> {
                pause(FAULT_DELAY_MS);
                out.write(TURNED_AWAY);
            }
            case LUMPS -> writeChunked(out, LUMP_COUNT, LUMP_BYTES, LUMP_INTERVAL_MS);
            case STEADY -> writeChunked(out, PIECE_COUNT, PIECE_BYTES, PIECE_INTERVAL_MS);
            case STOP_AFTER_HEAD, STOP_WITHIN_BODY, PAUSE_WITHIN_BODY -> writeInPart(out, fault, txn);
        }
    }

    /** Writes an answer that stops or pauses as the fault says, and stays silent until the node closes the connection. */
    private static void writeInPart(OutputStream out, ServerFault fault, String txn) throws IOException {
        ServerFault.Framing framing = ServerFault.framingOf(txn);
        int bodyBytes = framing == ServerFault.Framing.SHORT_LENGTH ? SHORT_BODY_BYTES : LONG_BODY_BYTES;
        int partBytes = Math.floorMod(txn.hashCode(), 2) == 0 ? 1 : bodyBytes / 2;
        out.write(("HTTP/1.1 200 OK\r\n"
                        + switch (framing) {
                            case SHORT_LENGTH, LONG_LENGTH -> "Content-Length: " + bodyBytes;
                            case CHUNKED -> "Transfer-Encoding: chunked";
                            case CLOSE -> "Connection: close";
                        }
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        if (fault == ServerFault.STOP_AFTER_HEAD) {
            return;
        }
        writeBody(out, framing, partBytes);
        if (fault == ServerFault.STOP_WITHIN_BODY) {
            return;
        }
        pause(BODY_PAUSE_MS);
        writeBody(out, framing, bodyBytes - partBytes);
        if (framing == ServerFault.Framing.CHUNKED) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } else if (framing == ServerFault.Framing.CLOSE) {
            throw new IOException("the end of the connection is the end of the answer");
        }
    }

    private static void writeBody(OutputStream out, ServerFault.Framing framing, int bytes) throws IOException {
        boolean isChunked = framing == ServerFault.Framing.CHUNKED;
        String body = "a".repeat(bytes);
        out.write((isChunked ? Integer.toHexString(bytes) + "\r\n" + body + "\r\n" : body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void readBodySlowly(Socket socket, HttpMessage request) throws IOException {
        int left = request.contentLength();
        while (left > 0) {
            if (left > SLOW_READ_BYTES) {
                pause(SLOW_READ_INTERVAL_MS);
            }
            int read = socket.getInputStream().readNBytes(Math.min(left, SLOW_READ_BYTES)).length;
            if (read == 0) {
                throw new IOException("connection ended within a body");
            }
            left -= read;
        }
    }

    private static void writeChunked(OutputStream out, int count, int bytes, long intervalMs) throws IOException {
        byte[] chunk =
                (Integer.toHexString(bytes) + "\r\n" + "a".repeat(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < count; i++) {
            out.write(chunk);
            pause(intervalMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static void pause(long ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static long remainingUs(HttpMessage request) {
        String remaining = request.headers().getOrDefault("x-remaining", "0u");
        long amount = Long.parseLong(remaining.substring(0, remaining.length() - 1));
        return remaining.endsWith("m") ? amount * 1_000 : amount;
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
