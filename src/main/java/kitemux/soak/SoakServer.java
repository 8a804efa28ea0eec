package kitemux.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A server that answers each request at once, or not at all while it hangs, and records the attempts that
 * arrive.
 */
final class SoakServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    /**
     * An attempt that reached a server.
     *
     * @param txn identifier of the request
     * @param atUs Unix time in microseconds
     * @param remainingUs time that the node announced to wait, in microseconds
     */
    record Arrival(String txn, long atUs, long remainingUs) {}

    private final Queue<Arrival> arrivals;
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private volatile boolean hanging;

    /** Listens on a free loopback port; attempts are added to the queue. */
    SoakServer(Queue<Arrival> arrivals) {
        this.arrivals = arrivals;
        try {
            listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
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
                HttpMessage request = HttpMessage.read(socket.getInputStream());
                String txn = request.headers().get("x-txn");
                if (txn != null) {
                    arrivals.add(new Arrival(txn, Soak.nowUs(), remainingUs(request)));
                }
                if (!hanging) {
                    socket.getOutputStream().write(RESPONSE);
                }
            }
        } catch (IOException e) {
            // The node closed the connection, or the run is over.
        } finally {
            openSockets.remove(socket);
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
