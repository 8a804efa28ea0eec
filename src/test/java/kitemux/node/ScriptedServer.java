package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A test stand-in for a server or for discovery: it records the requests that arrive, and a script answers
 * them.
 */
final class ScriptedServer implements AutoCloseable {
    /** Answers a request. */
    interface Script {
        void answer(Http.Message request, Peer peer) throws IOException;
    }

    /** A connection that a node has opened. */
    record Peer(Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final BlockingQueue<Http.Message> requests = new LinkedBlockingQueue<>();
    /**
     * The connection of each request that the script has answered: what a test writes to it follows the
     * response.
     */
    final BlockingQueue<Peer> answeredPeers = new LinkedBlockingQueue<>();

    /** The connections that have ended. */
    final BlockingQueue<Peer> disconnectedPeers = new LinkedBlockingQueue<>();

    final AtomicInteger connections = new AtomicInteger();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    /** Creates a server that answers each request with this body. */
    static ScriptedServer serving(String body) throws IOException {
        return new ScriptedServer((request, peer) -> peer.write(Http.ok(body)));
    }

    /** Creates a server that answers each request once the latch opens. */
    static ScriptedServer servingFrom(CountDownLatch release, String body) throws IOException {
        return new ScriptedServer((request, peer) -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(Http.ok(body));
        });
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "far");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                openSockets.add(socket);
                connections.incrementAndGet();
                startDaemon(() -> serve(new Peer(socket)));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Peer peer) {
        try {
            while (true) {
                Http.Message request = Http.read(peer.socket.getInputStream());
                requests.add(request);
                script.answer(request, peer);
                answeredPeers.add(peer);
            }
        } catch (IOException e) {
            disconnectedPeers.add(peer);
        }
    }

    /** Returns the queue's next element; fails if there is none within 20 s. */
    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "nothing arrived within 20 s");
        return next;
    }

    /** Stops like a process that ended: connections break and new ones are refused. */
    void stop() throws IOException {
        listener.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
