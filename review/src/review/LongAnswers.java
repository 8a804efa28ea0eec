package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients fetch long answers, many at once, and take them at 64 kB a second. Meanwhile other clients send short
 * requests. Each request must get its final answer, and no long answer may be cut off that its box still gives.
 */
final class LongAnswers {
    private static final int LONG_CLIENTS = 540;
    private static final int BURST_CLIENTS = 90;
    private static final int BURST_CLIENTS_A_SECOND = 200;
    private static final int LONG_BYTES = 16 << 20;
    private static final int SECONDS = 32;
    private static final int SHORT_CLIENTS = 32;
    /** What the pages allow beyond a client's time: half a second, and 0.15 s for which a node may be held up. */
    private static final long LATE_MS = 650;

    /** The body of an add-photo, within the 64 KiB of a usual body. */
    private static final String PHOTO = "p".repeat(60_000);

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger BEGUN = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CUT_OFF = new AtomicInteger();
    /** Ids of the long answers that a box could not go on with, as the node had ended the connection. */
    private static final Set<String> CUT_AT_BOX = ConcurrentHashMap.newKeySet();

    private static volatile boolean over;

    public static void main(String[] args) {
        Kit.play(args[0], LongAnswers::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        List<Box> boxes = new ArrayList<>();
        byte[] piece = new byte[16 << 10];
        for (int i = 0; i < 12; i++) {
            Box box = new Box("web-" + i, record) {
                @Override
                boolean answer(Http.Message request, Socket socket) throws IOException {
                    if (!request.path().startsWith("/api/long")) {
                        return super.answer(request, socket);
                    }
                    String txn = request.header("X-Txn");
                    record.line("box " + uid + " runs " + describe(request));
                    Kit.sleep(workMs(request));
                    write(socket, "HTTP/1.1 200 -\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n");
                    try {
                        for (int sent = 0; sent < LONG_BYTES; sent += piece.length) {
                            socket.getOutputStream().write(piece);
                        }
                    } catch (IOException e) {
                        CUT_AT_BOX.add(txn);
                        record.line("box " + uid + " still gives txn=" + txn + ", but the node has ended the connection");
                        throw e;
                    }
                    return true;
                }
            };
            boxes.add(box);
            discovery.set(box, i / 6, "Ready", 0);
        }
        int code;
        try (Kit.Node node = new Kit.Node(folder, discovery, record, false)) {
            long untilMs = System.currentTimeMillis() + SECONDS * 1_000;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < SHORT_CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                threads.add(Kit.daemon("client " + i, () -> shortClient(node.port, own, untilMs, record)));
            }
            Kit.sleep(2_000);
            for (int i = 0; i < LONG_CLIENTS; i++) {
                String txn = Kit.txn(random);
                Kit.daemon("long " + i, () -> longClient(node.port, txn, record));
                Kit.sleep(Kit.TROUBLE && i % BURST_CLIENTS > 0 ? 1_000 / BURST_CLIENTS_A_SECOND : Kit.TROUBLE ? 2_500 : 50);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            over = true;
            record.say("short requests: served " + SERVED + ", refused or failed " + NOT_SERVED + ", lost " + LOST
                    + "; long answers: begun " + BEGUN + ", whole " + WHOLE + ", cut off while their box still gave "
                    + CUT_OFF);
            code = SERVED.get() + NOT_SERVED.get() + LOST.get() < 100 || BEGUN.get() < 50
                    ? 2
                    : !node.process.isAlive() || LOST.get() + CUT_OFF.get() > 0 ? 1 : 0;
        }
        discovery.close();
        return code;
    }

    private static void longClient(int port, String txn, Record record) {
        int taken = 0;
        try (Socket socket = new Socket()) {
            if (Kit.TROUBLE) {
                socket.setReceiveBufferSize(64 << 10);
            }
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            record.line("client sends view-page for a long answer txn=" + txn);
            Box.write(socket, "GET /api/long HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                    + "\r\nX-Lane: view-page\r\nX-Org: school-b\r\nX-Remaining: 500m\r\n\r\n");
            InputStream in = socket.getInputStream();
            Http.Message head = Http.head(in);
            record.line("client is answered " + (head == null ? "nothing" : head.status()) + " to long txn=" + txn);
            if (head == null || head.status() != 200) {
                return;
            }
            BEGUN.incrementAndGet();
            byte[] buffer = new byte[8 << 10];
            int read;
            while (taken < LONG_BYTES && (read = in.read(buffer)) > 0) {
                taken += read;
                Kit.sleep(Kit.TROUBLE ? read / 64 : 0);
            }
        } catch (IOException e) {
            record.line("client of long txn=" + txn + ": " + e);
        }
        if (taken == LONG_BYTES) {
            WHOLE.incrementAndGet();
        } else if (taken > 0 && !over) {
            // The box notices the end of its connection no later than with its next piece.
            Kit.sleep(500);
            boolean isCut = CUT_AT_BOX.contains(txn);
            CUT_OFF.addAndGet(isCut ? 1 : 0);
            record.line((isCut ? "BROKEN: " : "") + "the long answer to txn=" + txn + " ended after " + taken + " of "
                    + LONG_BYTES + " bytes");
        }
    }

    private static void shortClient(int port, Random random, long untilMs, Record record) {
        Kit.Client client = new Kit.Client(port);
        while (System.currentTimeMillis() < untilMs) {
            Kit.sleep(random.nextInt(200));
            int draw = random.nextInt(100);
            String lane = draw < 51 ? "view-page" : draw < 81 ? "add-photo" : "place-order";
            String txn = Kit.txn(random);
            String key = Kit.txn(random) + Kit.txn(random);
            long remainingMs = draw < 51 ? 500 : draw < 81 ? 600 : 1_000;
            long sentMs = System.currentTimeMillis();
            record.line("client sends " + lane + " txn=" + txn);
            int status = 0;
            String end = "";
            // A node may close a connection between requests; then the client sends the request once more on a new one.
            for (int i = client.isNew() ? 1 : 0; i < 2 && status == 0; i++) {
                long leftMs = Math.max(1, remainingMs - (System.currentTimeMillis() - sentMs));
                try {
                    Http.Message answer = client.ask(
                            draw < 51 ? "GET" : "POST", "/api/" + txn, txn, lane, "school-a", leftMs,
                            draw >= 51 && draw < 81 ? Map.of("Idempotency-Key", key) : Map.of(),
                            draw < 51 ? null : draw < 81 ? PHOTO : "order");
                    status = answer == null ? 0 : answer.status();
                    end = "the connection ended";
                } catch (SocketTimeoutException e) {
                    end = "no answer within 2 s after its time";
                    break;
                } catch (IOException e) {
                    end = e.toString();
                }
            }
            long tookMs = System.currentTimeMillis() - sentMs;
            record.line("client is answered " + status + " to txn=" + txn + " after " + tookMs + " ms"
                    + (status == 0 ? ": " + end : ""));
            if (status == 0 || tookMs > remainingMs + LATE_MS) {
                LOST.incrementAndGet();
                record.line("BROKEN: txn=" + txn + " is lost: " + (status == 0 ? end : "its answer came after " + tookMs + " ms"));
            } else {
                (status == 200 ? SERVED : NOT_SERVED).incrementAndGet();
            }
        }
        client.close();
    }
}
