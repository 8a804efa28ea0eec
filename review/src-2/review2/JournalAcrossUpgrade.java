package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The process of a node that keeps the journal of orders is replaced. */
final class JournalAcrossUpgrade {
    private static final int BOX_COUNT = 12;
    private static final long BOX_WORK_MS = 5;
    private static final int CALL_TIMEOUT_MS = 1_000;
    private static final long RUN_BEFORE_UPGRADE_MS = 2_000;
    /** Time within which the new process's yes is due. */
    private static final long YES_IS_DUE_MS = 6_000;

    private final Lab lab;
    private final String listen = Lab.freeAddress();

    private JournalAcrossUpgrade(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new JournalAcrossUpgrade(lab).run());
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
        // The operators' file as it is delivered, with a folder of this case.
        Path operatorFile = lab.folder("config").resolve("operator.json");
        Files.writeString(
                operatorFile,
                Files.readString(Path.of("deploy/operator.json"))
                        .replace("/var/lib/kitemux/orders", lab.folder("orders").toString()));
        Map<String, String> environment = new HashMap<>(Map.of(
                "PROXY_NAME", "n0",
                "PROXY_LISTEN", listen,
                "PROXY_DISCOVERY", discovery.address(),
                "PROXY_CONFIG", config.toString(),
                "KITEMUX_SETTINGS", operatorFile.toString(),
                "TMPDIR", lab.folder("node").toString()));
        String operators = Lab.freeAddress();
        environment.put("PROXY_MGMT", operators);
        Process first = lab.startNode("process 1", environment);
        if (!awaitYes(first, operators, Lab.READY_TIMEOUT_MS)) {
            return Lab.COULD_NOT_RUN;
        }
        Thread.sleep(RUN_BEFORE_UPGRADE_MS);
        if (!Lab.hasTrouble()) {
            return first.isAlive() ? Lab.RULE_HELD : Lab.RULE_BROKEN;
        }
        String nextOperators = Lab.freeAddress();
        environment.put("PROXY_MGMT", nextOperators);
        Process second = lab.startNode("process 2", environment);
        boolean isReady = awaitYes(second, nextOperators, YES_IS_DUE_MS);
        lab.note("process 2 " + (second.isAlive() ? "runs" : "has ended") + (isReady ? " and is ready" : ""));
        return second.isAlive() ? Lab.RULE_HELD : Lab.RULE_BROKEN;
    }

    private boolean awaitYes(Process process, String operators, long timeoutMs) throws InterruptedException {
        long endMs = lab.nowMs() + timeoutMs;
        while (lab.nowMs() < endMs && process.isAlive()) {
            if (Http.status(operators, "GET", "/ops/readiness", CALL_TIMEOUT_MS) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }
}
