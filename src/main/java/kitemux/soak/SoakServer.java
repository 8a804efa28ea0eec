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

/** A server that answers at once, or not at all while it hangs, and notes what comes. */
final class SoakServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    /**
     * An attempt as it came.
     *
     * @param atUs Unix time in microseconds
     * @param remainingUs what the node said that it will wait
     */
    record Arrival(String txn, long atUs, long remainingUs) {}

    private final Queue<Arrival> arrivals;
    private final Queue<Socket> open = new ConcurrentLinkedQueue<>();
    private final ServerSocket listening;
    private volatile boolean hangs;

    SoakServer(Queue<Arrival> arrivals) {
        this.arrivals = arrivals;
        try {
            listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Soak.daemon("soak server", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** Answers no request from now on, or all that come from now on. */
    void hang(boolean now) {
        hangs = now;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Soak.daemon("soak server's connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // Closed: the play is over.
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
                if (!hangs) {
                    socket.getOutputStream().write(ANSWER);
                }
            }
        } catch (IOException e) {
            // The node has closed it, or the play is over.
        } finally {
            open.remove(socket);
        }
    }

    private static long remainingUs(HttpMessage request) {
        String told = request.headers().getOrDefault("x-remaining", "0u");
        long number = Long.parseLong(told.substring(0, told.length() - 1));
        return told.endsWith("m") ? number * 1_000 : number;
    }

    @Override
    public void close() {
        try {
            listening.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
