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

/** A server, or discovery, that a test plays: it notes what comes, and a script answers. */
final class ScriptedServer implements AutoCloseable {
    /** What to do about a request. */
    interface Script {
        void answer(Http.Message request, Peer peer) throws IOException;
    }

    /** One connection that a node has opened. */
    record Peer(Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Breaks the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final BlockingQueue<Http.Message> requests = new LinkedBlockingQueue<>();
    /** Where a request came from, once the script has answered it: what a test writes then comes after. */
    final BlockingQueue<Peer> answeredPeers = new LinkedBlockingQueue<>();

    final BlockingQueue<Peer> disconnectedPeers = new LinkedBlockingQueue<>();
    final AtomicInteger connections = new AtomicInteger();
    private final Queue<Socket> open = new ConcurrentLinkedQueue<>();
    private final ServerSocket listening;
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    static ScriptedServer serving(String body) throws IOException {
        return new ScriptedServer((request, peer) -> peer.write(Http.ok(body)));
    }

    /** Answers from when the latch opens. */
    static ScriptedServer servingFrom(CountDownLatch start, String body) throws IOException {
        return new ScriptedServer((request, peer) -> {
            try {
                start.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(Http.ok(body));
        });
    }

    String endpoint() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "far");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                open.add(socket);
                connections.incrementAndGet();
                daemon(() -> serve(new Peer(socket)));
            }
        } catch (IOException e) {
            // Closed: the test is over.
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

    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "nothing came");
        return next;
    }

    /** The process has ended: connections break and new ones are refused. */
    void stop() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
