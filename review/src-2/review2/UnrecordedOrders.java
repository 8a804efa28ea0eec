package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A sidecar whose description asks for the journal of orders is killed while orders are under way. */
final class UnrecordedOrders {
    private static final int BOX_COUNT = 6;
    private static final long BOX_WORK_MS = 150;
    private static final int CLIENT_COUNT = 6;
    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final long PAUSE_AFTER_FAILURE_MS = 100;
    private static final long RUN_BEFORE_KILL_MS = 3_000;
    /** Longest time of a call of the command line. */
    private static final long ASK_TIMEOUT_S = 20;
    /** How many orders are asked for at most. */
    private static final int MOST_ASKED = 6;

    private final Lab lab;
    private final String listen = Lab.freeAddress();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private volatile boolean isEnding;

    private UnrecordedOrders(Lab lab) throws IOException {
        this.lab = lab;
    }

    public static void main(String[] args) throws Exception {
        Lab.main(args, lab -> new UnrecordedOrders(lab).run());
    }

    private int run() throws Exception {
        Boxes boxes = new Boxes(lab, BOX_COUNT, BOX_WORK_MS);
        Path journal = lab.folder("desk").resolve("orders");
        Path description = lab.folder("desk").resolve("desk.hcl");
        Files.writeString(description, describe(boxes, journal));
        if (call("config check", "config", "check", description.toString()) != 0) {
            lab.note("the description is turned down, so that nothing is served without a journal");
            return Lab.RULE_HELD;
        }
        Process sidecar = startSidecar(description);
        if (!awaitUp()) {
            return Lab.COULD_NOT_RUN;
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            String name = "client " + i;
            clients.add(Lab.daemon(() -> placeOrders(name)));
        }
        Thread.sleep(RUN_BEFORE_KILL_MS);
        if (Lab.hasTrouble()) {
            lab.signal(sidecar, "KILL");
            sidecar.waitFor();
        }
        isEnding = true;
        for (Thread client : clients) {
            client.join(CALL_TIMEOUT_MS);
        }
        if (Lab.hasTrouble()) {
            startSidecar(description);
            if (!awaitUp()) {
                return Lab.COULD_NOT_RUN;
            }
        }
        return judge(boxes, journal);
    }

    /** Asks the journal for the orders that reached a box and whose clients have no answer. */
    private int judge(Boxes boxes, Path journal) throws Exception {
        List<String> open = new ArrayList<>(boxes.begun());
        lab.note(open.size() + " orders reached a box, " + answered.size() + " clients have an answer");
        open.removeAll(answered);
        lab.note(open.size() + " orders reached a box and have no answer");
        int unrecorded = 0;
        for (String txn : open.subList(0, Math.min(MOST_ASKED, open.size()))) {
            // 0: what became of it is known; 3: it was sent, and its answer is unknown.
            int code = call("orders ask", "orders", "ask", "--journal", journal.toString(), "--order", txn);
            unrecorded += code == 0 || code == 3 ? 0 : 1;
        }
        lab.note(unrecorded + " of them are not in the journal; its folder is "
                + (Files.exists(journal) ? "there" : "not there"));
        if (Lab.hasTrouble() && open.isEmpty()) {
            lab.note("no order was under way at the kill");
            return Lab.COULD_NOT_RUN;
        }
        return unrecorded > 0 ? Lab.RULE_BROKEN : Lab.RULE_HELD;
    }

    private Process startSidecar(Path description) throws IOException {
        return lab.start(
                "sidecar", Map.of(), "java", "-jar", "target/kitemux.jar", "sidecar", "--app", description.toString());
    }

    private int call(String name, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/kitemux.jar"));
        command.addAll(List.of(arguments));
        Process process = lab.start(name, Map.of(), command.toArray(String[]::new));
        return process.waitFor(ASK_TIMEOUT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    private boolean awaitUp() throws InterruptedException {
        long endMs = lab.nowMs() + Lab.READY_TIMEOUT_MS;
        while (lab.nowMs() < endMs) {
            if (Http.status(listen, "GET", "/up", CALL_TIMEOUT_MS) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        lab.note("the sidecar does not take clients");
        return false;
    }

    private void placeOrders(String name) {
        while (!isEnding) {
            String txn = UUID.randomUUID().toString();
            try (Socket socket = Http.connect(listen, CALL_TIMEOUT_MS)) {
                lab.note(name + " sends " + txn);
                byte[] body = ("one yearbook of " + name).getBytes(StandardCharsets.US_ASCII);
                socket.getOutputStream()
                        .write(("POST /api/pupil-7 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                                        + "\r\nX-Lane: place-order\r\nX-Org: school-a\r\nX-Remaining: 900m\r\n"
                                        + "Content-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(body);
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                lab.note(name + " gets " + (answer == null ? "no answer" : answer.status()) + " for " + txn);
                if (answer != null) {
                    answered.add(txn);
                }
            } catch (IOException e) {
                lab.note(name + " gets no answer for " + txn + ": " + e);
                pauseAfterFailure();
            }
        }
    }

    private static void pauseAfterFailure() {
        try {
            Thread.sleep(PAUSE_AFTER_FAILURE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String describe(Boxes boxes, Path journal) {
        StringBuilder text = new StringBuilder("name = \"ordering-desk\"\nlisten = \"" + listen
                + "\"\nnetworks = [\"127.0.0.0/8\"]\nnever_twice = [\"place-order\"]\njournaled = true\n");
        text.append("orders {\n  folder = \"" + journal + "\"\n  late = \"100ms\"\n}\n");
        for (int i = 0; i < BOX_COUNT; i++) {
            text.append("server \"web-" + i + "\" {\n  address = \"" + boxes.address(i) + "\"\n  rack = " + i / 3
                    + "\n}\n");
        }
        text.append("class \"view-page\" {\n  again = \"safe\"\n  aim = \"100ms\"\n  deadline = \"500ms\"\n}\n");
        text.append("class \"place-order\" {\n  again = \"never-twice\"\n  aim = \"300ms\"\n  deadline = \"1s\"\n"
                + "  worth = 5\n}\n");
        text.append("quota = 300\ntenant \"school-a\" {\n  share = 1.0\n}\n");
        text.append("limits {\n  attempts = 4\n  connect = \"50ms\"\n  sockets = 1024\n  memory_mib = 192\n}\n");
        text.append("rules {\n  cold_from = 0.12\n  cold = \"23s\"\n}\n");
        return text.toString();
    }
}
