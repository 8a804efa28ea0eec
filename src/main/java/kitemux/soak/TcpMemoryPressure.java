package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Takes the system's memory for TCP up to a level between its mark for pressure and its limit, over loopback, with many
 * connections of which each holds little, so that the even part of a socket becomes small. It needs two descriptors for
 * each of some thousand connections. It takes more whenever the level falls, as others give back what they held. Closing it
 * gives the memory back.
 */
public final class TcpMemoryPressure implements AutoCloseable {
    private static final Path PROC = Path.of("/proc");
    /** What remains for each socket once the system is short, in bytes. */
    private static final long EVEN_PART_BYTES = 384 << 10;
    /** Sizes of the buffers of each connection as asked for, in bytes; together they hold more than is to be taken. */
    private static final int RECEIVE_BUFFER_BYTES = 256 << 10;

    private static final int SEND_BUFFER_BYTES = 128 << 10;
    private static final int PIECE_BYTES = 32 << 10;
    private static final int MAX_PASS_COUNT = 100;
    private static final int CONNECTIONS_PER_LISTENER = 500;
    private static final int PAGE_BYTES = 4 << 10;
    private static final int PRESSURE_FIELD = 1;
    private static final int LIMIT_FIELD = 2;

    private static final long REFILL_INTERVAL_MS = 50;

    private final List<SocketChannel> sockets = new ArrayList<>();
    private final List<SocketChannel> senders = new ArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final long pressureBytes;
    private final long limitBytes;

    /**
     * Takes the memory.
     *
     * @throws IOException if the system does not tell its limits, or has no more descriptors
     */
    public TcpMemoryPressure() throws IOException {
        String[] pages = Files.readAllLines(PROC.resolve("sys/net/ipv4/tcp_mem"))
                .get(0)
                .strip()
                .split("\\s+");
        pressureBytes = Long.parseLong(pages[PRESSURE_FIELD]) * PAGE_BYTES;
        limitBytes = Long.parseLong(pages[LIMIT_FIELD]) * PAGE_BYTES;
        try {
            int connectionCount = (int) (limitBytes / EVEN_PART_BYTES / 2);
            while (senders.size() < connectionCount) {
                connect(Math.min(CONNECTIONS_PER_LISTENER, connectionCount - senders.size()));
            }
            fill();
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
        Soak.startDaemon("soak tcp memory", this::refill);
    }

    private void refill() {
        try {
            while (!closed.await(REFILL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                fill();
            }
        } catch (IOException e) {
            // The sockets have been closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fill() throws IOException {
        long targetBytes = (pressureBytes + limitBytes) / 2;
        ByteBuffer piece = ByteBuffer.allocateDirect(PIECE_BYTES);
        for (int pass = 0; pass < MAX_PASS_COUNT && usedBytes() < targetBytes; pass++) {
            for (SocketChannel sender : senders) {
                sender.write(piece.clear());
            }
        }
    }

    private void connect(int count) throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            for (int i = 0; i < count; i++) {
                SocketChannel sender = SocketChannel.open();
                sockets.add(sender);
                senders.add(sender);
                sender.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
                sender.connect(listener.getLocalAddress());
                sockets.add(listener.accept());
                sender.configureBlocking(false);
            }
        }
    }

    /** Returns the memory that all TCP sockets of the system hold, in bytes. */
    private static long usedBytes() throws IOException {
        for (String line : Files.readAllLines(PROC.resolve("net/sockstat"))) {
            if (line.startsWith("TCP:")) {
                return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)) * PAGE_BYTES;
            }
        }
        throw new IOException("the system does not tell its memory for TCP");
    }

    /**
     * Returns whether the system is short of memory for TCP.
     *
     * @throws IOException if the system does not tell
     */
    public boolean isShort() throws IOException {
        return usedBytes() > pressureBytes;
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        for (SocketChannel socket : sockets) {
            socket.close();
        }
    }
}
