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
 * Discovery is down for 8 s. In that time an operator takes a server out by hand. Discovery returns, and a release replaces
 * half of the servers one after another: nothing new may go to a server that drains once the node counts as told.
 */
final class CallInOutage {
    private static final int CLIENTS = 24;
    private static final int BOXES = 10;
    /** A change counts as told 6 s after discovery had it and could be reached, at the latest. */
    private static final long TOLD_MS = 6_000;
    /** The grace of a drain (500 ms), 50 ms more on sockets, and 0.15 s for which a node may be held up. */
    private static final long GRACE_MS = 700;
    /** Time between two drains of the release. */
    private static final long STEP_MS = 2_500;
    /** How long a box drains before its process ends. */
    private static final long DRAIN_MS = 10_000;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger SENT_TOO_LATE = new AtomicInteger();
    private static final AtomicInteger CUT_OFF = new AtomicInteger();
    private static final AtomicInteger SERVED_AT_END = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED_AT_END = new AtomicInteger();

    private static volatile boolean released;
    private static volatile boolean over;

    /** A box that notes what is sent to it too late, and what its end cuts off. */
    private static final class ReleasedBox extends Box {
        private volatile long drainingSinceMs = Long.MAX_VALUE;
        private volatile boolean ended;

        ReleasedBox(String uid, Record record) throws IOException {
            super(uid, record);
        }

        @Override
        boolean answer(Http.Message request, Socket socket) throws IOException {
            long sinceMs = request.beganMs() - drainingSinceMs;
            boolean isTooLate = sinceMs > TOLD_MS + GRACE_MS;
            if (isTooLate) {
                SENT_TOO_LATE.incrementAndGet();
                record.line("BROKEN: box " + uid + " is sent " + describe(request) + " " + sinceMs
                        + " ms after it began to drain");
            }
            try {
                return super.answer(request, socket);
            } finally {
                if (isTooLate && ended) {
                    CUT_OFF.incrementAndGet();
                    record.line("box " + uid + " ended while it ran " + describe(request));
                }
            }
        }

        void drain() {
            drainingSinceMs = System.currentTimeMillis();
        }

        void end() throws IOException {
            ended = true;
            record.line("box " + uid + " ends, as its drain is over");
            close();
        }
    }

    public static void main(String[] args) {
        Kit.play(args[0], CallInOutage::play);
    }

    private static int play(Path folder, Record record) throws Exception {
        Random random = new Random(1);
        Discovery discovery = new Discovery(record);
        List<ReleasedBox> boxes = new ArrayList<>();
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new ReleasedBox("web-" + i, record));
            discovery.set(boxes.get(i), i / 5, "Ready", 0);
        }
        int code;
        try (Kit.Node node = new Kit.Node(folder, discovery, record, true)) {
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                Kit.daemon("client " + i, () -> client(node.port, own, record));
            }
            Kit.sleep(4_000);
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
            release(discovery, boxes, record);
            released = true;
            Kit.sleep(8_000);
            over = true;
            long lastCallMs = System.currentTimeMillis() - discovery.lastCallMs;
            record.say("served " + SERVED + ", refused " + REFUSED + ", failed " + FAILED
                    + "; sent too late to servers that drain " + SENT_TOO_LATE + ", of these cut off by the server's end "
                    + CUT_OFF + "; after the release served " + SERVED_AT_END + ", refused or failed " + NOT_SERVED_AT_END
                    + "; the node last called discovery " + lastCallMs + " ms before the end");
            code = !node.process.isAlive() || answer != 200 || SERVED.get() < 1_000 ? 2 : SENT_TOO_LATE.get() > 0 ? 1 : 0;
        }
        discovery.close();
        return code;
    }

    /** New boxes start, and half of the old ones drain and end, one after another. */
    private static void release(Discovery discovery, List<ReleasedBox> boxes, Record record) throws Exception {
        List<ReleasedBox> old = boxes.subList(0, BOXES / 2);
        for (int i = 0; i < old.size(); i++) {
            discovery.set(new Box("web-" + (BOXES + i), record), 0, "Ready", System.currentTimeMillis());
        }
        List<Thread> ends = new ArrayList<>();
        for (int i = 0; i < old.size(); i++) {
            ReleasedBox box = old.get(i);
            box.drain();
            discovery.set(box, 0, "Terminating", 0);
            ends.add(Kit.daemon("end of " + box.uid, () -> {
                Kit.sleep(DRAIN_MS);
                try {
                    discovery.set(box, 0, "Gone", 0);
                    box.end();
                } catch (IOException e) {
                    record.line("box " + box.uid + " could not end: " + e);
                }
            }));
            Kit.sleep(STEP_MS);
        }
        for (Thread end : ends) {
            end.join();
        }
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
                    (status == 200 ? SERVED : status == 503 ? REFUSED : FAILED).incrementAndGet();
                    if (released) {
                        (status == 200 ? SERVED_AT_END : NOT_SERVED_AT_END).incrementAndGet();
                    }
                } catch (IOException e) {
                    record.line("client has no answer to txn=" + txn + ": " + e);
                    FAILED.incrementAndGet();
                }
            }
        }
    }
}
