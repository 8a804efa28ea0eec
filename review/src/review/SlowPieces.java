package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Boxes give long answers at 64 kB a second, in pieces. None may be cut off that its box still gives. */
final class SlowPieces {
    private static final int CLIENTS = 40;
    private static final int SECONDS = 50;
    private static final int LONG_BYTES = 160 << 10;
    private static final int PIECE_BYTES = 16 << 10;
    /** With pieces of 16 KiB this makes 64 kB a second. */
    private static final long PIECE_INTERVAL_MS = 256;

    private static final AtomicInteger BEGUN = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CUT_OFF = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static final Set<String> CUT_AT_BOX = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        Kit.play(args[0], SlowPieces::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        byte[] piece = new byte[PIECE_BYTES];
        for (int i = 0; i < 10; i++) {
            Box box = new Box("web-" + i, record) {
                @Override
                boolean answer(Http.Message request, Socket socket) throws IOException {
                    if (!request.path().startsWith("/api/long")) {
                        return super.answer(request, socket);
                    }
                    String txn = request.header("X-Txn");
                    record.line("box " + uid + " runs " + describe(request));
                    Kit.sleep(20 + new Random(txn.hashCode()).nextInt(280));
                    write(socket, "HTTP/1.1 200 -\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n");
                    try {
                        long startMs = System.currentTimeMillis();
                        for (int n = 0; n < LONG_BYTES / PIECE_BYTES; n++) {
                            if (Kit.TROUBLE) {
                                Kit.sleep(startMs + n * PIECE_INTERVAL_MS - System.currentTimeMillis());
                            }
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
            discovery.set(box, i / 5, "Ready", 0);
        }
        int code;
        try (Kit.Node node = new Kit.Node(folder, discovery, record, false)) {
            long untilMs = System.currentTimeMillis() + SECONDS * 1_000;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                threads.add(Kit.daemon("client " + i, () -> client(node.port, own, untilMs, record)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            record.say("long answers: begun " + BEGUN + ", whole " + WHOLE + ", cut off while their box still gave " + CUT_OFF
                    + "; refused or failed " + NOT_SERVED);
            code = !node.process.isAlive() || BEGUN.get() < 200 ? 2 : CUT_OFF.get() > 0 ? 1 : 0;
        }
        discovery.close();
        return code;
    }

    private static void client(int port, Random random, long untilMs, Record record) {
        Kit.sleep(random.nextInt(3_000));
        while (System.currentTimeMillis() < untilMs) {
            Kit.sleep(random.nextInt(300));
            String txn = Kit.txn(random);
            int taken = 0;
            long sentMs = System.currentTimeMillis();
            try (Socket socket = new Socket("127.0.0.1", port)) {
                record.line("client sends view-page for a long answer txn=" + txn);
                Box.write(socket, "GET /api/long HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                        + "\r\nX-Lane: view-page\r\nX-Org: school-b\r\nX-Remaining: 500m\r\n\r\n");
                InputStream in = socket.getInputStream();
                Http.Message head = Http.head(in);
                record.line("client is answered " + (head == null ? "nothing" : head.status()) + " to long txn=" + txn);
                if (head == null || head.status() != 200) {
                    NOT_SERVED.incrementAndGet();
                    continue;
                }
                BEGUN.incrementAndGet();
                byte[] buffer = new byte[64 << 10];
                int read;
                while (taken < LONG_BYTES && (read = in.read(buffer)) > 0) {
                    taken += read;
                }
            } catch (IOException e) {
                record.line("client of long txn=" + txn + ": " + e);
            }
            long tookMs = System.currentTimeMillis() - sentMs;
            if (taken == LONG_BYTES) {
                WHOLE.incrementAndGet();
                record.line("client has the whole long answer to txn=" + txn + " after " + tookMs + " ms");
            } else {
                Kit.sleep(700);
                boolean isCut = CUT_AT_BOX.contains(txn);
                CUT_OFF.addAndGet(isCut ? 1 : 0);
                record.line((isCut ? "BROKEN: " : "") + "the long answer to txn=" + txn + " ended after " + tookMs + " ms and "
                        + taken + " of " + LONG_BYTES + " bytes");
            }
        }
    }
}
