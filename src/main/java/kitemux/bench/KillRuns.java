package kitemux.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import kitemux.orders.JournalReader.VerificationResult;
import kitemux.orders.OrderHistory;
import kitemux.orders.OrderHistory.State;
import kitemux.orders.OrderJournal;
import kitemux.standin.RecordingOrderServer;
import kitemux.standin.RecordingOrderServer.Handling;

/**
 * Kills a real node at random times while clients place orders through it, repeatedly and with the same journal, and
 * compares the journal with what servers and clients have seen.
 */
public final class KillRuns {
    private static final int SERVER_COUNT = 3;
    private static final int CLIENT_COUNT = 4;
    private static final long MAX_RUN_US = 250_000;
    private static final long SHUTDOWN_TIMEOUT_S = 60;
    private static final int RESPONSE_TIMEOUT_MS = 5_000;
    private static final String NODE_IS_UP = "listening on";
    private static final String STATUS_LINE_START = "HTTP/1.1 ";
    private static final int STATUS_LENGTH_CHARS = 3;

    private final ProcessBuilder node;
    private final int killCount;
    private final SplittableRandom random;
    private final Path folder;
    private final List<RecordingOrderServer> servers = new ArrayList<>();
    /** The response status of each order, by its id; 0 if the connection broke. */
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    /**
     * Creates a run.
     *
     * @param node starts a node; its environment is set here
     * @param folder folder for the configuration and, in its subfolder "orders", the journal
     */
    public KillRuns(ProcessBuilder node, int killCount, long seed, Path folder) {
        this.node = node;
        this.killCount = killCount;
        this.folder = folder;
        random = new SplittableRandom(seed);
    }

    /** Creates a run with a build that is started as its deployment says. */
    public static KillRuns of(Path jar, int killCount, long seed, Path folder) throws IOException {
        return new KillRuns(new ProcessStarter("").command(jar, "node"), killCount, seed, folder);
    }

    /**
     * Runs all kills, and one orderly shutdown at the end.
     *
     * @return the violations that were found; empty if the journal is correct
     */
    public List<String> run(PrintStream out) throws IOException, InterruptedException {
        List<String> violations = new ArrayList<>();
        try {
            for (int i = 0; i < SERVER_COUNT; i++) {
                servers.add(RecordingOrderServer.start());
            }
            for (int i = 0; i <= killCount; i++) {
                runNode(i, i == killCount);
                VerificationResult result = OrderJournal.reader(journalFolder()).verify();
                int kill = i;
                result.faults().forEach(fault -> violations.add("after kill " + kill + ": " + fault));
            }
            checkJournal(violations, out);
        } finally {
            for (RecordingOrderServer server : servers) {
                server.close();
            }
        }
        return violations;
    }

    private Path journalFolder() {
        return folder.resolve("orders");
    }

    private void runNode(int number, boolean shutsDown) throws IOException, InterruptedException {
        try (ReservedAddress reserved = new ReservedAddress()) {
            runNode(number, shutsDown, reserved.address());
        }
    }

    private void runNode(int number, boolean shutsDown, InetSocketAddress listen)
            throws IOException, InterruptedException {
        configure(listen);
        Process process = ProcessStarter.startAndAwait(node, NODE_IS_UP);
        try {
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < CLIENT_COUNT; client++) {
                String idPrefix = "o" + number + "-" + client + "-";
                clients.add(new Thread(() -> placeOrders(listen, idPrefix), "client"));
            }
            clients.forEach(Thread::start);
            TimeUnit.MICROSECONDS.sleep(1 + random.nextLong(MAX_RUN_US));
            if (shutsDown) {
                process.destroy();
                if (!process.waitFor(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS)) {
                    throw new IOException("a node did not end");
                }
            } else {
                process.destroyForcibly().waitFor();
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private void configure(InetSocketAddress listen) throws IOException {
        List<InetSocketAddress> addresses =
                servers.stream().map(RecordingOrderServer::address).toList();
        Path config = Files.writeString(
                folder.resolve("config.json"),
                "{\"listen\":\"127.0.0.1:"
                        + listen.getPort() + "\",\"discovery\":\"127.0.0.1:"
                        + listen.getPort() + "\",\"seed\":\"1\",\"limits\":{\"sockets\":256},\"known\":"
                        + ProcessStarter.serverList(addresses)
                        + ",\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\",\"membershipMode\":\"pushed\","
                        + "\"limits\":{\"attemptsCap\":3,\"cancelling\":true},"
                        + "\"classes\":[{\"name\":\"place-order\",\"onTimeUs\":200000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"unsafe\"}]}}");
        Path operatorSettings = Files.writeString(
                folder.resolve("operator.json"),
                "{\"orders\":{\"folder\":\"" + journalFolder() + "\",\"lateMs\":500,\"segmentKiB\":64}}");
        node.environment().put("PROXY_CONFIG", config.toString());
        node.environment().put("KITEMUX_SETTINGS", operatorSettings.toString());
    }

    /** Places orders one after the other until the node has ended. */
    private void placeOrders(InetSocketAddress listen, String idPrefix) {
        for (int i = 0; ; i++) {
            String id = idPrefix + i;
            try (Socket socket = new Socket(listen.getAddress(), listen.getPort())) {
                statuses.put(id, 0);
                socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                String request = "POST /api/carts/" + id + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                        + "\r\nX-Lane: place-order\r\nX-Remaining: 900m\r\nContent-Length: 4\r\n"
                        + "Connection: close\r\n\r\nbody";
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                String response = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
                if (response.startsWith(STATUS_LINE_START) && response.contains("\r\n\r\n")) {
                    int start = STATUS_LINE_START.length();
                    statuses.put(id, Integer.parseInt(response.substring(start, start + STATUS_LENGTH_CHARS)));
                }
            } catch (IOException e) {
                boolean isNodeGone = !statuses.containsKey(id);
                if (isNodeGone) {
                    return;
                }
            }
        }
    }

    // ---------------------------------------------------------------- check of the journal

    private void checkJournal(List<String> violations, PrintStream out) throws IOException {
        Map<String, OrderHistory> histories = readHistories(violations);
        Map<State, Integer> stateCounts = new TreeMap<>();
        histories.forEach((id, history) -> {
            stateCounts.merge(history.state(false), 1, Integer::sum);
            if (!statuses.containsKey(id)) {
                violations.add(id + " is recorded, and nobody placed it");
            }
            checkOrder(id, history, violations);
        });
        int receivedCount = 0;
        for (int i = 0; i < SERVER_COUNT; i++) {
            receivedCount += checkReceived("b" + i, servers.get(i), histories, violations);
        }
        statuses.forEach((id, status) -> {
            if (status != 0 && !isRefusal(status) && !histories.containsKey(id)) {
                violations.add(id + " was answered " + status + " and is not recorded");
            }
        });
        out.println(killCount + " kills, " + statuses.size() + " orders placed, " + receivedCount
                + " came to boxes, journal: " + stateCounts + ", " + violations.size() + " wrong");
    }

    private Map<String, OrderHistory> readHistories(List<String> violations) throws IOException {
        Map<String, OrderHistory> histories = new TreeMap<>();
        OrderJournal.reader(journalFolder()).forEachHistory(accepted -> true, history -> {
            String id = history.accepted().orderId();
            if (histories.put(id, history) != null) {
                violations.add(id + " is recorded twice");
            }
        });
        return histories;
    }

    /** Checks that a server received only orders whose intent is recorded, each once; returns their number. */
    private static int checkReceived(
            String serverId,
            RecordingOrderServer server,
            Map<String, OrderHistory> histories,
            List<String> violations) {
        Set<String> received = server.handlings().keySet();
        for (String id : received) {
            OrderHistory history = histories.get(id);
            boolean hasIntent = history != null
                    && history.attempts().stream()
                            .anyMatch(attempt -> attempt.intent().server().equals(serverId));
            if (!hasIntent) {
                violations.add(id + " came to " + serverId + " with no intent on disk");
            }
            if (server.receptionCount(id) > 1) {
                violations.add(id + " came to " + serverId + " twice");
            }
        }
        return received.size();
    }

    private void checkOrder(String id, OrderHistory history, List<String> violations) {
        Handling handling = null;
        int receptionCount = 0;
        for (RecordingOrderServer server : servers) {
            handling = server.handlings().getOrDefault(id, handling);
            receptionCount += server.receptionCount(id);
        }
        State state = history.state(false);
        boolean isServed = state == State.ANSWERED
                && history.decisiveAttempt().ended().mayHaveRun()
                && history.decisiveAttempt().ended().result().name().equals("OK");
        if (receptionCount > 1) {
            violations.add(id + " came to boxes " + receptionCount + " times");
        }
        if ((state == State.NEVER_SENT || state == State.REFUSED) && receptionCount > 0) {
            violations.add(id + " is said to be " + state + ", and came to a box");
        }
        if (state == State.ANSWERED && handling != (isServed ? Handling.SERVED : Handling.FAILED)) {
            violations.add(id + " is said to be answered " + (isServed ? "200" : "with an error") + ", and the box "
                    + handling);
        }
        int status = statuses.getOrDefault(id, 0);
        if (status == 200 && state != State.UNKNOWN && !isServed) {
            violations.add(id + " was answered 200, and is said to be " + state);
        }
        if (isRefusal(status) && state != State.REFUSED && state != State.NEVER_SENT) {
            violations.add(id + " was refused, and is said to be " + state);
        }
    }

    private static boolean isRefusal(int status) {
        return status == 429 || status == 503;
    }
}
