package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An operator sends the clients away from a node, and then has its process replaced. */
final class DrainAcrossUpgrade {
    private static final int BOX_COUNT = 12;
    private static final long BOX_WORK_MS = 5;
    private static final long FRONT_INTERVAL_MS = 100;
    private static final long CLIENT_PAUSE_MS = 50;
    private static final int CALL_TIMEOUT_MS = 1_000;
    /** From this time after the call on, a yes to the front breaks the rule: 4 s, and 50 ms more on sockets. */
    private static final long YES_IS_BROKEN_AFTER_MS = 4_050;
    /** Time from SIGTERM to SIGKILL: the longest deadline, taken as 3 s, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    /** Time for which the drain lasts, from the call to its end. */
    private static final long DRAIN_MS = 12_000;
    private static final long UPGRADE_AFTER_DRAIN_MS = 1_000;
    private static final long RUN_BEFORE_DRAIN_MS = 3_000;

    private final Lab lab;
    private final String listen = Lab.freeAddress();
    private final AtomicBoolean isUp = new AtomicBoolean();
    private final AtomicLong drainCalledMs = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger brokenYesCount = new AtomicInteger();

    private DrainAcrossUpgrade(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new DrainAcrossUpgrade(lab).run());
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
        Map<String, String> environment = new HashMap<>(Map.of(
                "PROXY_NAME", "n0",
                "PROXY_LISTEN", listen,
                "PROXY_DISCOVERY", discovery.address(),
                "PROXY_CONFIG", config.toString(),
                "TMPDIR", lab.folder("node").toString()));

        String firstOperators = Lab.freeAddress();
        Process first = lab.startNode("process 1", with(environment, firstOperators));
        if (!awaitReady("process 1", firstOperators)) {
            return Lab.COULD_NOT_RUN;
        }
        Lab.daemon(this::askAsFront);
        for (int i = 0; i < 4; i++) {
            String name = "client " + i;
            Lab.daemon(() -> playClient(name));
        }
        Thread.sleep(RUN_BEFORE_DRAIN_MS);

        drainCalledMs.set(lab.nowMs());
        int status = Http.status(firstOperators, "POST", "/ops/drain/start", CALL_TIMEOUT_MS);
        lab.note("operator: drain/start at process 1 is answered " + status);
        if (status / 100 != 2) {
            return Lab.COULD_NOT_RUN;
        }
        String operators = firstOperators;
        if (Lab.hasTrouble()) {
            Thread.sleep(UPGRADE_AFTER_DRAIN_MS);
            operators = Lab.freeAddress();
            Process second = lab.startNode("process 2", with(environment, operators));
            // A process that keeps the drain takes no clients and may say no; the platform then waits for its 6 s.
            awaitYesFor("process 2", operators, 6_000);
            lab.signal(first, "TERM");
            if (!first.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS)) {
                lab.signal(first, "KILL");
            }
            if (!second.isAlive()) {
                lab.note("process 2 has ended");
                return Lab.COULD_NOT_RUN;
            }
        }
        Thread.sleep(Math.max(0, drainCalledMs.get() + DRAIN_MS - lab.nowMs()));
        boolean broken = brokenYesCount.get() > 0;
        lab.note("operator: drain/stop is answered "
                + Http.status(operators, "POST", "/ops/drain/stop", CALL_TIMEOUT_MS));
        drainCalledMs.set(Long.MAX_VALUE);
        Thread.sleep(2_000);
        lab.note("2 s after the drain's end the front is told " + (isUp.get() ? "yes" : "no"));
        lab.note("during the drain, 4 s after its call and later: " + brokenYesCount.get() + " times yes");
        return broken ? Lab.RULE_BROKEN : Lab.RULE_HELD;
    }

    private static Map<String, String> with(Map<String, String> environment, String operators) {
        Map<String, String> all = new HashMap<>(environment);
        all.put("PROXY_MGMT", operators);
        return all;
    }

    private boolean awaitReady(String name, String operators) throws InterruptedException {
        return awaitYesFor(name, operators, Lab.READY_TIMEOUT_MS);
    }

    private boolean awaitYesFor(String name, String operators, long timeoutMs) throws InterruptedException {
        long endMs = lab.nowMs() + timeoutMs;
        while (lab.nowMs() < endMs) {
            if (Http.status(operators, "GET", "/ops/readiness", CALL_TIMEOUT_MS) == 200) {
                lab.note(name + " says that it is ready");
                return true;
            }
            Thread.sleep(50);
        }
        lab.note(name + " has not said that it is ready within " + timeoutMs + " ms");
        return false;
    }

    /** Asks GET /up at the clients' address every 0.1 s, as the front does. */
    private void askAsFront() {
        while (true) {
            boolean yes = Http.status(listen, "GET", "/up", CALL_TIMEOUT_MS) == 200;
            long sinceDrainMs = lab.nowMs() - drainCalledMs.get();
            if (yes != isUp.getAndSet(yes)) {
                lab.note("front: GET /up says " + (yes ? "yes" : "no"));
            }
            if (yes && drainCalledMs.get() != Long.MAX_VALUE && sinceDrainMs >= YES_IS_BROKEN_AFTER_MS) {
                if (brokenYesCount.getAndIncrement() == 0) {
                    lab.note("front: GET /up says yes " + sinceDrainMs + " ms after the call drain/start");
                }
            }
            sleep(FRONT_INTERVAL_MS);
        }
    }

    /** Opens connections while the front says yes, and uses each until the node ends it. */
    private void playClient(String name) {
        while (true) {
            if (isUp.get()) {
                try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
                    lab.note(name + " opens a connection");
                    int served = Clients.useConnection(lab, name, socket, CLIENT_PAUSE_MS);
                    lab.note(name + " has had " + served + " answers on its connection, which has ended");
                } catch (IOException e) {
                    lab.note(name + ": " + e);
                }
            }
            sleep(CLIENT_PAUSE_MS);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
