package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** A client stops in the middle of a long body and stays; other clients have long bodies to send. */
final class StoppedClient {
    private static final int BOX_COUNT = 12;
    private static final long BOX_WORK_MS = 20;
    /** Length that the request states: the longest that the pages name. */
    private static final int BODY_BYTES = 32 << 20;
    /** What the client sends of the body before it stops. */
    private static final int SENT_BYTES = 8 << 20;
    private static final int OTHER_BODY_BYTES = 1 << 20;
    private static final int PART_BYTES = 64 << 10;
    private static final int CALL_TIMEOUT_MS = 5_000;
    /** What the pages owe a client that stops: its error or a close within 3 s, and 50 ms more on sockets. */
    private static final long OWED_WITHIN_MS = 3_050;
    /** How long the case waits for that answer before it judges. */
    private static final int WAIT_MS = 30_000;

    private final Lab lab;
    private final String listen = Lab.freeAddress();

    private StoppedClient(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new StoppedClient(lab).run());
    }

    private int run() throws Exception {
        Boxes boxes = new Boxes(lab, BOX_COUNT, BOX_WORK_MS);
        List<DiscoveryStandIn.Target> targets = new ArrayList<>();
        for (int i = 0; i < BOX_COUNT; i++) {
            targets.add(new DiscoveryStandIn.Target("s-" + i, boxes.address(i), i / 6, "Ready", 0));
        }
        DiscoveryStandIn discovery = new DiscoveryStandIn(lab, targets);
        Path config = lab.folder("config").resolve("config.json");
        Files.writeString(config, Site.config(listen, discovery.address(), 1, discovery.list()));
        lab.startNode(
                "node",
                Map.of(
                        "PROXY_NAME", "n0",
                        "PROXY_LISTEN", listen,
                        "PROXY_DISCOVERY", discovery.address(),
                        "PROXY_CONFIG", config.toString(),
                        "TMPDIR", lab.folder("node").toString()));
        long endMs = lab.nowMs() + Lab.READY_TIMEOUT_MS;
        while (Http.status(listen, "GET", "/up", CALL_TIMEOUT_MS) != 200) {
            if (lab.nowMs() > endMs) {
                return Lab.COULD_NOT_RUN;
            }
            Thread.sleep(50);
        }
        lab.note("before: another client's long photo is answered " + sendPhoto(OTHER_BODY_BYTES));
        return Lab.hasTrouble() ? stopWithin() : sendWhole();
    }

    /** Sends the whole body. */
    private int sendWhole() throws IOException {
        int status = sendPhoto(BODY_BYTES);
        lab.note("the client has sent all " + BODY_BYTES + " bytes and is answered " + status);
        return status > 0 ? Lab.RULE_HELD : Lab.RULE_BROKEN;
    }

    /** Sends a part of a body, stops and stays. */
    private int stopWithin() throws IOException {
        try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
            writeHead(socket.getOutputStream(), BODY_BYTES);
            writeBody(socket.getOutputStream(), SENT_BYTES);
            long stoppedMs = lab.nowMs();
            lab.note("the client has sent " + SENT_BYTES + " bytes of " + BODY_BYTES + ", stops and stays");
            Lab.daemon(this::sendPhotos);
            socket.setSoTimeout(WAIT_MS);
            String end;
            try {
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                end = answer == null ? "a close" : "the answer " + answer.status();
            } catch (SocketTimeoutException e) {
                lab.note("the client has neither an error nor a close " + (lab.nowMs() - stoppedMs)
                        + " ms after it stopped");
                return Lab.RULE_BROKEN;
            } catch (IOException e) {
                end = "a reset";
            }
            long owedMs = lab.nowMs() - stoppedMs;
            lab.note("the client gets " + end + " " + owedMs + " ms after it stopped");
            return owedMs > OWED_WITHIN_MS ? Lab.RULE_BROKEN : Lab.RULE_HELD;
        }
    }

    /** Sends photos of 1 MiB, one after another, for the record. */
    private void sendPhotos() {
        while (true) {
            try {
                lab.note("another client's long photo is answered " + sendPhoto(OTHER_BODY_BYTES));
                Thread.sleep(500);
            } catch (IOException | InterruptedException e) {
                lab.note("another client's long photo: " + e);
            }
        }
    }

    /** Sends a request with a body of this length; returns the status of its answer. */
    private int sendPhoto(int bytes) throws IOException {
        try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
            writeHead(socket.getOutputStream(), bytes);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            try {
                writeBody(socket.getOutputStream(), bytes);
            } catch (IOException e) {
                // The node has answered before the end of the body; the answer is read below.
                lab.note("a body is cut short: " + e.getMessage());
            }
            Http.Message answer = Http.read(in);
            return answer == null ? 0 : answer.status();
        }
    }

    private void writeHead(OutputStream out, int bytes) throws IOException {
        String txn = UUID.randomUUID().toString();
        lab.note("a client sends " + txn + " with a body of " + bytes + " bytes");
        out.write(("POST /api/photo-7 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                        + "\r\nX-Lane: add-photo\r\nX-Org: school-a\r\nX-Remaining: 600m\r\nIdempotency-Key: "
                        + UUID.randomUUID() + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void writeBody(OutputStream out, int bytes) throws IOException {
        byte[] part = new byte[PART_BYTES];
        for (int sent = 0; sent < bytes; sent += part.length) {
            out.write(part, 0, Math.min(part.length, bytes - sent));
        }
    }
}
