package kitemux.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Discovery of a run: each call opens a watch that begins with the whole list and tells each change. While it is down watches
 * have ended and calls are answered 503.
 */
final class SoakDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final String UNAVAILABLE = "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private final List<SoakServer> servers;
    private final ServerSocket listener;
    private final List<Socket> watches = new ArrayList<>();
    private final List<Boolean> draining = new ArrayList<>();
    private long revision = 1;
    private boolean isDown;

    /** Listens on a free loopback port; all servers are ready. */
    SoakDiscovery(List<SoakServer> servers) {
        this.servers = servers;
        servers.forEach(server -> draining.add(false));
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Soak.startDaemon("soak discovery", this::accept);
        Soak.startDaemon("soak discovery heartbeat", this::sendHeartbeats);
    }

    int port() {
        return listener.getLocalPort();
    }

    /**
     * Changes whether a server drains, and tells it.
     *
     * @return whether any process has been told
     */
    synchronized boolean setDraining(int server, boolean isDraining) {
        draining.set(server, isDraining);
        revision++;
        return tell(list(false, List.of(server)) + "\n");
    }

    /** Goes down, which ends all watches, or comes back. */
    synchronized void setDown(boolean down) {
        isDown = down;
        if (down) {
            watches.forEach(SoakDiscovery::closeQuietly);
            watches.clear();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket call = listener.accept();
                Soak.startDaemon("soak discovery call", () -> answer(call));
            }
        } catch (IOException e) {
            // The run is over.
        }
    }

    private void answer(Socket call) {
        try {
            HttpMessage.readHead(call.getInputStream());
            synchronized (this) {
                if (isDown) {
                    write(call, UNAVAILABLE);
                    call.close();
                    return;
                }
                write(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                List<Integer> all = IntStream.range(0, servers.size()).boxed().toList();
                write(call, chunk(list(true, all) + "\n"));
                watches.add(call);
            }
        } catch (IOException e) {
            closeQuietly(call);
        }
    }

    private void sendHeartbeats() {
        try {
            while (!listener.isClosed()) {
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_INTERVAL_MS);
                synchronized (this) {
                    tell("\n");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean tell(String line) {
        for (Socket watch : List.copyOf(watches)) {
            try {
                write(watch, chunk(line));
            } catch (IOException e) {
                closeQuietly(watch);
                watches.remove(watch);
            }
        }
        return !watches.isEmpty();
    }

    private String list(boolean isFull, List<Integer> indices) {
        String targets =
                indices.stream().map(i -> servers.get(i).entry(draining.get(i))).collect(Collectors.joining(","));
        return "{\"rev\":" + revision + ",\"all\":" + isFull + ",\"targets\":[" + targets + "]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is unusable either way.
        }
    }

    @Override
    public synchronized void close() {
        setDown(true);
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
