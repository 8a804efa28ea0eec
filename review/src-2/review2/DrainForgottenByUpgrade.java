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

/** Discovery tells that servers drain, and goes down for 8 s; meanwhile the node's process is replaced. */
final class DrainForgottenByUpgrade {
    private static final int BOX_COUNT = 12;
    private static final int DRAINING_BOXES = 2;
    private static final long BOX_WORK_MS = 10;
    private static final int CLIENT_COUNT = 6;
    private static final long CLIENT_PAUSE_MS = 30;
    private static final int CALL_TIMEOUT_MS = 1_000;
    private static final long RUN_BEFORE_DRAIN_MS = 2_000;
    private static final long OUTAGE_AFTER_DRAIN_MS = 2_000;
    private static final long UPGRADE_AFTER_OUTAGE_MS = 500;
    private static final long OUTAGE_MS = 8_000;
    /** Time within which the new process's yes is due. */
    private static final long YES_IS_DUE_MS = 6_000;
    /** Time from SIGTERM to SIGKILL: the longest deadline, taken as 3 s, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    /** Time from the yes on from which news of discovery binds. */
    private static final long NEWS_BINDS_AFTER_MS = 2_000;
    /** The grace of the settings, and 50 ms more on sockets. */
    private static final long GRACE_MS = 550;

    private final Lab lab;
    private final String listen = Lab.freeAddress();
    private Boxes boxes;

    private DrainForgottenByUpgrade(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new DrainForgottenByUpgrade(lab).run());
    }

    private int run() throws Exception {
        boxes = new Boxes(lab, BOX_COUNT, BOX_WORK_MS);
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

        Process first = startAndAwaitYes("process 1", environment, Lab.READY_TIMEOUT_MS);
        if (first == null) {
            return Lab.COULD_NOT_RUN;
        }
        for (int i = 0; i < CLIENT_COUNT; i++) {
            String name = "client " + i;
            Lab.daemon(() -> playClient(name));
        }
        Thread.sleep(RUN_BEFORE_DRAIN_MS);
        discovery.drain(List.of("s-0", "s-1"));
        Thread.sleep(GRACE_MS);
        int begunAfterGrace = begunAtDraining();
        Thread.sleep(OUTAGE_AFTER_DRAIN_MS);
        lab.note("process 1 has sent " + (begunAtDraining() - begunAfterGrace)
                + " requests to the draining servers after the grace");
        if (begunAtDraining() != begunAfterGrace) {
            return Lab.RULE_BROKEN;
        }

        if (Lab.hasTrouble()) {
            discovery.goDown();
        }
        long outageEndMs = lab.nowMs() + OUTAGE_MS;
        Thread.sleep(UPGRADE_AFTER_OUTAGE_MS);
        Process second = startAndAwaitYes("process 2", environment, YES_IS_DUE_MS);
        if (second == null) {
            return Lab.COULD_NOT_RUN;
        }
        long bindsMs = lab.nowMs() + NEWS_BINDS_AFTER_MS + GRACE_MS;
        lab.signal(first, "TERM");
        Lab.daemon(() -> killLater(first));
        Thread.sleep(bindsMs - lab.nowMs());
        int begunBefore = begunAtDraining();
        int allBegunBefore = boxes.begun().size();
        lab.note("from now on nothing new may begin at the draining servers");
        Thread.sleep(Math.max(0, outageEndMs - lab.nowMs()));
        int late = begunAtDraining() - begunBefore;
        lab.note("the node has sent " + late + " requests to the draining servers since");
        int all = boxes.begun().size() - allBegunBefore;
        lab.note("the node has sent " + all + " requests to all servers since");
        if (Lab.hasTrouble()) {
            discovery.comeBack();
        }
        if (all == 0 || !second.isAlive()) {
            lab.note("the node has not served meanwhile");
            return Lab.COULD_NOT_RUN;
        }
        return late > 0 ? Lab.RULE_BROKEN : Lab.RULE_HELD;
    }

    private int begunAtDraining() {
        int begun = 0;
        for (int box = 0; box < DRAINING_BOXES; box++) {
            begun += boxes.begunCount(box);
        }
        return begun;
    }

    /** Starts a process with an operators' address of its own; returns null if it does not say yes in time. */
    private Process startAndAwaitYes(String name, Map<String, String> environment, long timeoutMs) throws Exception {
        String operators = Lab.freeAddress();
        environment.put("PROXY_MGMT", operators);
        Process process = lab.startNode(name, environment);
        long endMs = lab.nowMs() + timeoutMs;
        while (lab.nowMs() < endMs && process.isAlive()) {
            if (Http.status(operators, "GET", "/ops/readiness", CALL_TIMEOUT_MS) == 200) {
                lab.note(name + " says yes");
                return process;
            }
            Thread.sleep(20);
        }
        lab.note(name + " has not said yes within " + timeoutMs + " ms");
        return null;
    }

    private void killLater(Process process) {
        try {
            if (!process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS)) {
                lab.signal(process, "KILL");
            }
        } catch (IOException | InterruptedException e) {
            lab.note("the old process cannot be killed: " + e);
        }
    }

    /** Uses one connection after another, each until the node ends it. */
    private void playClient(String name) {
        while (true) {
            try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
                Clients.useConnection(lab, name, socket, CLIENT_PAUSE_MS);
            } catch (IOException e) {
                lab.note(name + ": " + e);
            }
            try {
                Thread.sleep(CLIENT_PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
