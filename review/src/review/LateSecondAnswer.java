package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Some boxes' answers come a second time, some milliseconds late; no other request may get them. */
final class LateSecondAnswer {
    private static final int SECONDS = 25;
    private static final int SOUND_CLIENTS = 12;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger SECOND = new AtomicInteger();

    public static void main(String[] args) {
        Kit.play(args[0], LateSecondAnswer::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        List<Box> boxes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Box box = new Box("web-" + i, record) {
                @Override
                boolean answer(Http.Message request, Socket socket) throws IOException {
                    boolean isOpen = super.answer(request, socket);
                    String txn = request.header("X-Txn");
                    Random own = new Random(txn.hashCode());
                    if (Kit.TROUBLE && !txn.isEmpty() && own.nextInt(50) == 0) {
                        SECOND.incrementAndGet();
                        long delayMs = 1 + own.nextInt(9);
                        Kit.daemon("second answer", () -> {
                            Kit.sleep(delayMs);
                            try {
                                write(socket, 200, body(request));
                                record.line("box " + uid + " answers txn=" + txn + " a second time after " + delayMs + " ms");
                            } catch (IOException e) {
                                record.line("box " + uid + ": the connection ended before a second answer to txn=" + txn);
                            }
                        });
                    }
                    return isOpen;
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
            for (Thread thread : threads) {
                thread.join();
            }
            record.say("served " + SERVED + ", refused or failed " + NOT_SERVED + ", served with the answer to another request "
                    + FOREIGN + "; second answers " + SECOND);
            code = !node.process.isAlive() || SERVED.get() < 1_000 ? 2 : FOREIGN.get() > 0 ? 1 : 0;
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
}
