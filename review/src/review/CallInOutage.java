package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is down for 8 s. In that time an operator takes a server out by hand. Discovery returns, and another server
 * begins to drain: nothing new may go to it once the node counts as told.
 */
final class CallInOutage {
    private static final int CLIENTS = 8;
    /** A change counts as told 6 s after discovery had it and could be reached, at the latest. */
    private static final long TOLD_MS = 6_000;
    /** The grace of a drain (500 ms), 50 ms more on sockets, and 0.15 s for which a node may be held up. */
    private static final long GRACE_MS = 700;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static final AtomicInteger SENT_IN_TIME = new AtomicInteger();
    private static final AtomicInteger SENT_TOO_LATE = new AtomicInteger();

    private static volatile long drainingSinceMs = Long.MAX_VALUE;
    private static volatile long lastSentMs;
    private static volatile boolean over;

    public static void main(String[] args) {
        Kit.play(args[0], CallInOutage::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        List<Box> boxes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Box box = new Box("web-" + i, record) {
                @Override
                boolean answer(Http.Message request, Socket socket) throws IOException {
                    long sinceMs = request.beganMs() - drainingSinceMs;
                    if (uid.equals("web-0") && sinceMs > 0) {
                        lastSentMs = sinceMs;
                        (sinceMs > TOLD_MS + GRACE_MS ? SENT_TOO_LATE : SENT_IN_TIME).incrementAndGet();
                        record.line((sinceMs > TOLD_MS + GRACE_MS ? "BROKEN: " : "") + "box " + uid + " is sent "
                                + describe(request) + " " + sinceMs + " ms after it began to drain");
                    }
                    return super.answer(request, socket);
                }
            };
            boxes.add(box);
            discovery.set(box, i / 5, "Ready", 0);
        }
        int code;
        try (Kit.Node node = new Kit.Node(folder, discovery, record, true)) {
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                Kit.daemon("client " + i, () -> client(node.port, own, record));
            }
            Kit.sleep(5_000);
            if (Kit.TROUBLE) {
                discovery.setDown(true);
            }
            Kit.sleep(4_000);
            int answer = node.call("POST", "/ops/servers/down/web-9");
            Kit.sleep(4_000);
            if (Kit.TROUBLE) {
                discovery.setDown(false);
            }
            Kit.sleep(2_000);
            // The server goes on serving while it drains, and stays to the end of the run.
            drainingSinceMs = System.currentTimeMillis();
            discovery.set(boxes.get(0), 0, "Terminating", 0);
            Kit.sleep(60_000);
            over = true;
            long lastCallMs = System.currentTimeMillis() - discovery.lastCallMs;
            record.say("served " + SERVED + ", refused or failed " + NOT_SERVED + "; sent to the draining server " + SENT_IN_TIME
                    + " in time and " + SENT_TOO_LATE + " too late, the last " + lastSentMs + " ms after it began to drain; "
                    + "the node last called discovery " + lastCallMs + " ms before the end");
            code = !node.process.isAlive() || answer != 200 || SERVED.get() < 1_000 ? 2 : SENT_TOO_LATE.get() > 0 ? 1 : 0;
        }
        for (Box box : boxes) {
            box.close();
        }
        discovery.close();
        return code;
    }

    private static void client(int port, Random random, Record record) {
        try (Kit.Client client = new Kit.Client(port)) {
            while (!over) {
                Kit.sleep(random.nextInt(200));
                int draw = random.nextInt(100);
                String lane = draw < 51 ? "view-page" : draw < 81 ? "add-photo" : "place-order";
                String txn = Kit.txn(random);
                record.line("client sends " + lane + " txn=" + txn);
                try {
                    Http.Message answer = client.ask(
                            draw < 51 ? "GET" : "POST", "/api/" + txn, txn, lane, "school-a",
                            draw < 51 ? 500 : draw < 81 ? 600 : 1_000,
                            draw >= 51 && draw < 81 ? Map.of("Idempotency-Key", Kit.txn(random) + txn) : Map.of(),
                            draw < 51 ? null : lane);
                    int status = answer == null ? 0 : answer.status();
                    record.line("client is answered " + status + " to txn=" + txn);
                    (status == 200 ? SERVED : NOT_SERVED).incrementAndGet();
                } catch (IOException e) {
                    record.line("client has no answer to txn=" + txn + ": " + e);
                    NOT_SERVED.incrementAndGet();
                }
            }
        }
    }
}
