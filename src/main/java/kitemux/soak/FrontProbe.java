package kitemux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Asks {@code GET /up} at the clients' address every 0.1 s, as the load balancer in front does. */
final class FrontProbe implements Runnable {
    private static final long INTERVAL_MS = 100;
    private static final int CALL_TIMEOUT_MS = 1_000;

    private final int port;
    private final ClientGate gate;
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();

    /**
     * An answer to the front.
     *
     * @param askedUs when it was asked, Unix time in microseconds
     * @param isYes whether the answer was 200; a call that fails is a no
     */
    record Answer(long askedUs, boolean isYes) {}

    /** Creates a probe that ends with the gate. */
    FrontProbe(int port, ClientGate gate) {
        this.port = port;
        this.gate = gate;
    }

    Queue<Answer> answers() {
        return answers;
    }

    @Override
    public void run() {
        try {
            while (gate.pause(INTERVAL_MS, false)) {
                long askedUs = Soak.nowUs();
                answers.add(new Answer(askedUs, ask()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean ask() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return HttpMessage.readHead(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
