package kitemux.bench;

import java.io.BufferedReader;
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
 * Kills a real node at random moments while clients place orders through it, again and again on the same
 * journal, and holds what the journal says then against what boxes and clients saw.
 */
public final class KillRuns {
    private static final int BOXES = 3;
    private static final int CLIENTS = 4;
    private static final long MOST_MS = 250;
    private static final long START_S = 60;

    private final ProcessBuilder node;
    private final int kills;
    private final SplittableRandom random;
    private final Path folder;
    private final List<RecordingOrderServer> boxes = new ArrayList<>();
    /** What a client was told, by the order's id: a status, or 0 if the connection broke. */
    private final Map<String, Integer> told = new ConcurrentHashMap<>();

    /**
     * A run.
     *
     * @param node starts a node; its environment is set here
     * @param folder for the configuration and the journal, in a folder "orders"
     */
    public KillRuns(ProcessBuilder node, int kills, long seed, Path folder) {
        this.node = node;
        this.kills = kills;
        this.folder = folder;
        random = new SplittableRandom(seed);
    }

    /** The same with a build as its own deployment starts it. */
    public static KillRuns of(Path jar, int kills, long seed, Path folder) throws IOException {
        return new KillRuns(new Processes("").java(jar, "node"), kills, seed, folder);
    }

    /**
     * Plays all kills, and one end in good order.
     *
     * @return what is wrong, one a line; empty if the journal told the truth
     */
    public List<String> run(PrintStream out) throws IOException, InterruptedException {
        List<String> wrong = new ArrayList<>();
        try {
            for (int i = 0; i < BOXES; i++) {
                boxes.add(RecordingOrderServer.start());
            }
            for (int i = 0; i <= kills; i++) {
                round(i, i == kills);
                VerificationResult verdict = OrderJournal.reader(journal()).verify();
                int round = i;
                verdict.faults().forEach(fault -> wrong.add("after kill " + round + ": " + fault));
            }
            hold(wrong, out);
        } finally {
            for (RecordingOrderServer box : boxes) {
                box.close();
            }
        }
        return wrong;
    }

    private Path journal() {
        return folder.resolve("orders");
    }

    private void round(int number, boolean last) throws IOException, InterruptedException {
        try (HeldAddress held = new HeldAddress()) {
            round(number, last, held.address());
        }
    }

    private void round(int number, boolean last, InetSocketAddress listen) throws IOException, InterruptedException {
        configure(listen);
        Process process = node.redirectErrorStream(true).start();
        try {
            BufferedReader lines = process.inputReader();
            String line;
            StringBuilder said = new StringBuilder();
            while ((line = lines.readLine()) != null && !line.contains("listening on")) {
                said.append(line).append('\n');
            }
            if (line == null) {
                throw new IOException("a node did not start: " + said);
            }
            Thread drain = new Thread(() -> readOn(lines), "drain");
            drain.setDaemon(true);
            drain.start();
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                String prefix = "o" + number + "-" + c + "-";
                clients.add(new Thread(() -> place(listen, prefix), "client"));
            }
            clients.forEach(Thread::start);
            TimeUnit.MICROSECONDS.sleep(1 + random.nextLong(MOST_MS * 1_000));
            if (last) {
                process.destroy();
                if (!process.waitFor(START_S, TimeUnit.SECONDS)) {
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

    /** So that what a node says does not fill its pipe and hold it up. */
    private static void readOn(BufferedReader lines) {
        try {
            while (lines.readLine() != null) {
                // Nothing is looked for.
            }
        } catch (IOException e) {
            // It was killed.
        }
    }

    private void configure(InetSocketAddress listen) throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < BOXES; i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"b")
                    .append(i)
                    .append("\",\"endpoint\":\"127.0.0.1:")
                    .append(boxes.get(i).address().getPort())
                    .append("\",\"az\":\"z\",\"pod_group\":0,\"state\":\"Ready\",\"boot_ms\":0}");
        }
        Path config = Files.writeString(
                folder.resolve("config.json"),
                "{\"listen\":\"127.0.0.1:"
                        + listen.getPort() + "\",\"discovery\":\"127.0.0.1:"
                        + listen.getPort() + "\",\"seed\":\"1\","
                        + "\"limits\":{\"sockets\":256},\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + targets
                        + "]},\"settings\":{\"zones\":[\"z\"],\"myZone\":\"z\",\"membershipMode\":\"pushed\","
                        + "\"limits\":{\"attemptsCap\":3,\"cancelling\":true},"
                        + "\"classes\":[{\"name\":\"place-order\",\"onTimeUs\":200000,\"giveUpUs\":1000000,"
                        + "\"repeat\":\"unsafe\"}]}}");
        Path operator = Files.writeString(
                folder.resolve("operator.json"),
                "{\"orders\":{\"folder\":\"" + journal() + "\",\"lateMs\":500,\"segmentKiB\":64}}");
        node.environment().put("PROXY_CONFIG", config.toString());
        node.environment().put("KITEMUX_SETTINGS", operator.toString());
    }

    /** Places one order after the other until the node is gone. */
    private void place(InetSocketAddress listen, String prefix) {
        for (int i = 0; ; i++) {
            String id = prefix + i;
            try (Socket socket = new Socket(listen.getAddress(), listen.getPort())) {
                told.put(id, 0);
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write(("POST /api/carts/" + id
                                        + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                                        + "\r\nX-Lane: place-order\r\nX-Remaining: 900m\r\nContent-Length: 4\r\n"
                                        + "Connection: close\r\n\r\nbody")
                                .getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                String answer = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
                if (answer.startsWith("HTTP/1.1 ") && answer.contains("\r\n\r\n")) {
                    told.put(id, Integer.parseInt(answer.substring(9, 12)));
                }
            } catch (IOException e) {
                if (!told.containsKey(id)) {
                    return;
                }
            }
        }
    }

    // ---------------------------------------------------------------- what the journal says of it

    private void hold(List<String> wrong, PrintStream out) throws IOException {
        Map<String, OrderHistory> stories = new TreeMap<>();
        OrderJournal.reader(journal()).forEachHistory(taken -> true, story -> {
            if (stories.put(story.accepted().orderId(), story) != null) {
                wrong.add(story.accepted().orderId() + " is recorded twice");
            }
        });
        Map<State, Integer> states = new TreeMap<>();
        stories.forEach((id, story) -> {
            states.merge(story.state(false), 1, Integer::sum);
            if (!told.containsKey(id)) {
                wrong.add(id + " is recorded, and nobody placed it");
            }
            hold(id, story, wrong);
        });
        int received = 0;
        for (int i = 0; i < BOXES; i++) {
            String uid = "b" + i;
            for (String id : boxes.get(i).handlings().keySet()) {
                received++;
                OrderHistory story = stories.get(id);
                if (story == null
                        || story.attempts().stream()
                                .noneMatch(a -> a.intent().server().equals(uid))) {
                    wrong.add(id + " came to " + uid + " with no intent on disk");
                }
                if (boxes.get(i).receptionCount(id) > 1) {
                    wrong.add(id + " came to " + uid + " twice");
                }
            }
        }
        told.forEach((id, status) -> {
            if (status != 0 && status != 429 && status != 503 && !stories.containsKey(id)) {
                wrong.add(id + " was answered " + status + " and is not recorded");
            }
        });
        out.println(kills + " kills, " + told.size() + " orders placed, " + received + " came to boxes, journal: "
                + states + ", " + wrong.size() + " wrong");
    }

    private void hold(String id, OrderHistory story, List<String> wrong) {
        Handling handling = null;
        int reached = 0;
        for (RecordingOrderServer box : boxes) {
            Handling here = box.handlings().get(id);
            reached += box.receptionCount(id);
            handling = here == null ? handling : here;
        }
        State state = story.state(false);
        boolean served = state == State.ANSWERED
                && story.decisiveAttempt().ended().mayHaveRun()
                && story.decisiveAttempt().ended().result().name().equals("OK");
        if (reached > 1) {
            wrong.add(id + " came to boxes " + reached + " times");
        }
        if ((state == State.NEVER_SENT || state == State.REFUSED) && reached > 0) {
            wrong.add(id + " is said to be " + state + ", and came to a box");
        }
        if (state == State.ANSWERED && handling != (served ? Handling.SERVED : Handling.FAILED)) {
            wrong.add(
                    id + " is said to be answered " + (served ? "200" : "with an error") + ", and the box " + handling);
        }
        int status = told.getOrDefault(id, 0);
        if (status == 200 && state != State.UNKNOWN && !served) {
            wrong.add(id + " was answered 200, and is said to be " + state);
        }
        if ((status == 429 || status == 503) && state != State.REFUSED && state != State.NEVER_SENT) {
            wrong.add(id + " was refused, and is said to be " + state);
        }
    }
}
