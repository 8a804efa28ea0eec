package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An operator sends the clients away from a node, some of which send requests ahead of their answers. */
final class PipelineAcrossDrain {
    private static final int BOX_COUNT = 12;
    private static final long BOX_WORK_MS = 20;
    private static final int CLIENT_COUNT = 3;
    /** Requests that a client has sent and not got an answer to, at most. */
    private static final int WINDOW = 4;
    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final long RUN_BEFORE_DRAIN_MS = 2_000;
    /** From this time after the call on, holding a connection with a request of the last 2 s breaks the rule. */
    private static final long HELD_IS_BROKEN_AFTER_MS = 4_050;
    /** A request that was sent longer ago does not count as one of the last 2 s. */
    private static final long RECENT_MS = 2_000;
    /** Time from the call to the look at the connections. */
    private static final long LOOK_AFTER_MS = 8_000;

    private final Lab lab;
    private final String listen = Lab.freeAddress();
    private final AtomicInteger held = new AtomicInteger();
    private volatile long drainCalledMs = Long.MAX_VALUE;
    private volatile boolean isStopping;

    /** A request that has no answer yet, and when it was sent. */
    private record Sent(String txn, long sentMs) {}

    private PipelineAcrossDrain(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new PipelineAcrossDrain(lab).run());
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
        String operators = Lab.freeAddress();
        lab.startNode(
                "node",
                Map.of(
                        "PROXY_NAME", "n0",
                        "PROXY_LISTEN", listen,
                        "PROXY_DISCOVERY", discovery.address(),
                        "PROXY_CONFIG", config.toString(),
                        "PROXY_MGMT", operators,
                        "TMPDIR", lab.folder("node").toString()));
        long endMs = lab.nowMs() + Lab.READY_TIMEOUT_MS;
        while (Http.status(operators, "GET", "/ops/readiness", CALL_TIMEOUT_MS) != 200) {
            if (lab.nowMs() > endMs) {
                return Lab.COULD_NOT_RUN;
            }
            Thread.sleep(50);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            String name = "client " + i;
            clients.add(Lab.daemon(() -> play(name)));
        }
        Thread.sleep(RUN_BEFORE_DRAIN_MS);
        int status = Http.status(operators, "POST", "/ops/drain/start", CALL_TIMEOUT_MS);
        lab.note("operator: drain/start is answered " + status);
        if (status / 100 != 2) {
            return Lab.COULD_NOT_RUN;
        }
        drainCalledMs = lab.nowMs();
        Thread.sleep(LOOK_AFTER_MS);
        isStopping = true;
        for (Thread client : clients) {
            client.join(CALL_TIMEOUT_MS);
        }
        lab.note(held.get() + " connections of clients were held longer than the rule allows");
        return held.get() > 0 ? Lab.RULE_BROKEN : Lab.RULE_HELD;
    }

    private void play(String name) {
        Semaphore room = new Semaphore(Lab.hasTrouble() ? WINDOW : 1);
        Queue<Sent> open = new ConcurrentLinkedQueue<>();
        boolean[] isClosing = {false};
        boolean isHeld = false;
        try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
            Lab.daemon(() -> {
                try {
                    while (!isStopping && !isClosing[0]) {
                        if (room.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                            String txn = UUID.randomUUID().toString();
                            open.add(new Sent(txn, lab.nowMs()));
                            Clients.writeViewPage(lab, name, socket, txn);
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    lab.note(name + " cannot write: " + e);
                }
            });
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!isStopping) {
                Http.Message answer = Http.read(in);
                Sent answered = open.poll();
                if (answer != null && answered != null) {
                    lab.note(name + " gets " + answer.status() + " for " + answered.txn());
                }
                boolean ends = answer == null || "close".equalsIgnoreCase(answer.fields().get("connection"));
                if (ends) {
                    isClosing[0] = true;
                    lab.note(name + ": the node ends its connection " + sinceDrainMs() + " ms after drain/start");
                    break;
                }
                boolean isRecent = answered != null && lab.nowMs() - answered.sentMs() <= RECENT_MS;
                if (!isHeld && isRecent && sinceDrainMs() >= HELD_IS_BROKEN_AFTER_MS) {
                    isHeld = true;
                    held.incrementAndGet();
                    lab.note(name + " gets " + answer.status() + " on a connection that is still held "
                            + sinceDrainMs() + " ms after drain/start");
                }
                room.release();
            }
        } catch (IOException e) {
            lab.note(name + ": " + e);
        }
    }

    private long sinceDrainMs() {
        return lab.nowMs() - drainCalledMs;
    }
}
