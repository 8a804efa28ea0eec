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
     */
    record Arrival(String txn, long atUs, long remainingUs, boolean mayHaveRun, boolean isReadAtOnce) {
        Arrival(String txn, long atUs, long remainingUs) {
            this(txn, atUs, remainingUs, true, true);
        }
    }

    private final Queue<Arrival> arrivals;
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final boolean isLate;
    /** Number of attempts of each request that have reached any server of the run. */
    private final ConcurrentMap<String, Integer> attemptCounts;

    private volatile boolean hanging;

    /**
     * Listens on a free loopback port.
     *
     * @param arrivals receives the attempts
     * @param attemptCounts shared by the servers of a run
     * @param isLate whether connections come up late
     */
    SoakServer(Queue<Arrival> arrivals, ConcurrentMap<String, Integer> attemptCounts, boolean isLate) {
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
            arrivals.add(new Arrival(txn, headReadUs, remainingUs(request), fault != ServerFault.TURN_AWAY, !isLate));
        }
        if (hanging) {
            return;
        }
        OutputStream out = socket.getOutputStream();
        switch (fault) {
            case NONE -> out.write(RESPONSE);
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
        }
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
