package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;

/** Stand-in web boxes: each listens at an address of its own and answers every request after a fixed time. */
final class Boxes {
    private final Lab lab;
    private final long workMs;
    /** The ids of the requests that the boxes have begun, in this order. */
    private final Set<String> begun = Collections.synchronizedSet(new LinkedHashSet<>());
    private final AtomicLongArray lastBegunMs;
    private final AtomicIntegerArray begunCounts;
    private final List<String> addresses = new ArrayList<>();
    private final ExecutorService connections = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** Opens this many boxes, which work for this time on each request. */
    Boxes(Lab lab, int count, long workMs) throws IOException {
        this.lab = lab;
        this.workMs = workMs;
        lastBegunMs = new AtomicLongArray(count);
        begunCounts = new AtomicIntegerArray(count);
        Selector selector = Selector.open();
        for (int i = 0; i < count; i++) {
            lastBegunMs.set(i, -1);
        }
        for (int i = 0; i < count; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
            addresses.add("127.0.0.1:" + listener.socket().getLocalPort());
        }
        Lab.daemon(() -> acceptAll(selector));
    }

    String address(int box) {
        return addresses.get(box);
    }

    /** Returns when this box last began a request, on the lab's clock in milliseconds; -1 if it never did. */
    long lastBegunMs(int box) {
        return lastBegunMs.get(box);
    }

    /** Returns how many requests this box has begun. */
    int begunCount(int box) {
        return begunCounts.get(box);
    }

    /** Returns the ids of the requests that the boxes have begun. */
    List<String> begun() {
        synchronized (begun) {
            return List.copyOf(begun);
        }
    }

    private void acceptAll(Selector selector) {
        while (true) {
            try {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                    if (accepted != null) {
                        int box = (Integer) key.attachment();
                        connections.execute(() -> serve(box, accepted.socket()));
                    }
                }
                selector.selectedKeys().clear();
            } catch (IOException e) {
                lab.note("a box cannot accept: " + e);
            }
        }
    }

    private void serve(int box, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                String txn = request.fields().getOrDefault("x-txn", "");
                begun.add(txn);
                lastBegunMs.set(box, lab.nowMs());
                begunCounts.incrementAndGet(box);
                lab.note("box " + box + " runs " + txn);
                Thread.sleep(workMs);
                byte[] body = ("done " + txn).getBytes(StandardCharsets.US_ASCII);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The node has ended the connection.
        }
    }
}
