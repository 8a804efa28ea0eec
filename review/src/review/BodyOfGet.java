package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A bad client sends GET requests that have a body; other clients must get the answers to their own requests. */
final class BodyOfGet {
    private static final int SECONDS = 25;
    private static final int SOUND_CLIENTS = 12;

    /** Ids of the requests that clients have sent. */
    private static final Set<String> SENT = ConcurrentHashMap.newKeySet();

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger UNSENT_RUN = new AtomicInteger();

    public static void main(String[] args) {
        Kit.play(args[0], BodyOfGet::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        List<Box> boxes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Box box = new Box("web-" + i, record) {
                @Override
                boolean answer(Http.Message request, java.net.Socket socket) throws IOException {
                    String txn = request.header("X-Txn");
                    if (!txn.isEmpty() && !SENT.contains(txn)) {
                        UNSENT_RUN.incrementAndGet();
                        record.line("BROKEN: box " + uid + " is sent " + describe(request) + ", which no client sent");
                    }
                    return super.answer(request, socket);
                }
            };
            boxes.add(box);
            discovery.set(box, i / 5, "Ready", 0);
        }
        int code;
        try (Kit.Node node = new Kit.Node(folder, discovery, record, false)) {
            long untilMs = System.currentTimeMillis() + SECONDS * 1_000;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                threads.add(Kit.daemon("client " + i, () -> soundClient(node.port, own, untilMs, record)));
            }
            threads.add(Kit.daemon("bad client", () -> badClient(node.port, new Random(7), untilMs, record)));
            for (Thread thread : threads) {
                thread.join();
            }
            record.say("served " + SERVED + ", refused or failed " + NOT_SERVED + ", served with the answer to another request "
                    + FOREIGN + ", run at a box though no client sent it " + UNSENT_RUN);
            code = !node.process.isAlive() || SERVED.get() < 1_000 ? 2 : FOREIGN.get() + UNSENT_RUN.get() > 0 ? 1 : 0;
        }
        for (Box box : boxes) {
            box.close();
        }
        discovery.close();
        return code;
    }

    private static void soundClient(int port, Random random, long untilMs, Record record) {
        try (Kit.Client client = new Kit.Client(port)) {
            while (System.currentTimeMillis() < untilMs) {
                Kit.sleep(random.nextInt(100));
                int draw = random.nextInt(100);
                String txn = Kit.txn(random);
                String path = "/api/" + Kit.txn(random);
                SENT.add(txn);
                Http.Message answer;
                String lane = draw < 51 ? "view-page" : draw < 81 ? "add-photo" : "place-order";
                record.line("client sends " + lane + " " + path + " txn=" + txn);
                try {
                    answer = draw < 51
                            ? client.ask("GET", path, txn, lane, "school-a", 500, Map.of(), null)
                            : draw < 81
                                    ? client.ask("POST", path, txn, lane, "school-a", 600,
                                            Map.of("Idempotency-Key", Kit.txn(random)), "photo")
                                    : client.ask("POST", path, txn, lane, "school-a", 1_000, Map.of(), "order");
                } catch (IOException e) {
                    record.line("client has no answer to txn=" + txn + ": " + e);
                    NOT_SERVED.incrementAndGet();
                    continue;
                }
                int status = answer == null ? 0 : answer.status();
                record.line("client is answered " + status + " to txn=" + txn + (status == 200 ? ": " + answer.text() : ""));
                if (status != 200) {
                    NOT_SERVED.incrementAndGet();
                } else if (answer.text().contains("txn=" + txn + " ")) {
                    SERVED.incrementAndGet();
                } else {
                    FOREIGN.incrementAndGet();
                    record.line("BROKEN: " + lane + " txn=" + txn + " is served with " + answer.text());
                }
            }
        }
    }

    private static void badClient(int port, Random random, long untilMs, Record record) {
        try (Kit.Client client = new Kit.Client(port)) {
            while (System.currentTimeMillis() < untilMs) {
                Kit.sleep(100);
                String txn = Kit.txn(random);
                String inner = Kit.txn(random);
                String body = "POST /api/" + Kit.txn(random) + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + inner
                        + "\r\nX-Lane: place-order\r\nX-Remaining: 900m\r\nContent-Length: 5\r\n\r\norder";
                SENT.add(txn);
                record.line("bad client sends GET view-page txn=" + txn
                        + (Kit.TROUBLE ? " with a body, which holds txn=" + inner : " with no body"));
                try {
                    Http.Message answer = client.ask("GET", "/api/" + Kit.txn(random), txn, "view-page", "school-b", 500,
                            Map.of(), Kit.TROUBLE ? body : null);
                    record.line("bad client is answered " + (answer == null ? "nothing" : answer.status() + " " + answer.text()));
                } catch (IOException e) {
                    record.line("bad client has no answer: " + e);
                }
            }
        }
    }
}
