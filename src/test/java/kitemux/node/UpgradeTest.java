package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An upgrade of real processes: the old one ends by SIGTERM, then SIGKILL at the earliest that is allowed. */
class UpgradeTest {
    /** SIGKILL comes the longest deadline and so much after SIGTERM, at the earliest. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;
    /** Between two requests on connections that rested since the start. */
    private static final long STEP_MS = 25;
    /** Those that send at the same instant, beside those that send one after another. */
    private static final int CROWD = 8;

    @TempDir
    private Path folder;

    /** What a request got that was sent on a connection of the old process. */
    private enum Outcome {
        ANSWERED,
        CLOSED_UNSENT,
        ENDED_WITH_NO_ANSWER
    }

    private record Sent(String txn, long afterMs, Outcome outcome) {}

    private static String page(String path, String txn, long deadlineMs) {
        return Http.page(path, txn, deadlineMs + "m").replace("X-Org: org\r\n", "");
    }

    /** A client that rested on its connection uses it once more. */
    private static Sent use(Socket client, String txn, long deadlineMs, long termNanos) {
        long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - termNanos);
        try {
            client.setSoTimeout(1);
            if (client.getInputStream().read() < 0) {
                return new Sent(txn, afterMs, Outcome.CLOSED_UNSENT);
            }
        } catch (SocketTimeoutException e) {
            // Still open, and nothing has come.
        } catch (IOException e) {
            return new Sent(txn, afterMs, Outcome.CLOSED_UNSENT);
        }
        try {
            client.setSoTimeout(20_000);
            Site.write(client, page("/api/hangs", txn, deadlineMs));
            Http.read(client.getInputStream());
            return new Sent(txn, afterMs, Outcome.ANSWERED);
        } catch (IOException e) {
            return new Sent(txn, afterMs, Outcome.ENDED_WITH_NO_ANSWER);
        }
    }

    private static ScriptedServer hanging(CountDownLatch end) throws IOException {
        return new ScriptedServer((request, peer) -> {
            if (request.path().equals("/api/hangs")) {
                try {
                    end.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            peer.write(Http.ok("x"));
        });
    }

    /**
     * Guards against requests that an old process reads after SIGTERM on open connections and still holds when
     * SIGKILL comes, whatever their clients' own deadlines allow.
     */
    @ParameterizedTest
    @ValueSource(longs = {250, 1_000, 3_000})
    void whatTheOldProcessReadIsAnsweredBeforeTheEarliestKill(long deadlineMs) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(64);
        try (ScriptedServer first = hanging(end);
                ScriptedServer second = hanging(end);
                SocketChannel clientsAt = NodeProcess.holder();
                SocketChannel firstOperators = NodeProcess.holder();
                SocketChannel secondOperators = NodeProcess.holder();
                NodeProcess old = NodeProcess.start(folder, clientsAt, firstOperators, deadlineMs, first, second)
                        .awaitListening()) {
            long killMs = deadlineMs + KILL_AFTER_DEADLINE_MS;
            List<Long> instants = new ArrayList<>();
            for (long at = 0; at < killMs; at += STEP_MS) {
                instants.add(at);
            }
            for (int i = 0; i < CROWD; i++) {
                instants.add(killMs - 235);
                instants.add(1_515L);
            }
            List<Socket> resting = new ArrayList<>();
            for (int i = 0; i < instants.size(); i++) {
                Socket client = old.connect();
                assertEquals(
                        200,
                        Site.ask(client, page("/api/p", "before" + i, deadlineMs))
                                .status());
                resting.add(client);
            }
            try (NodeProcess next = NodeProcess.start(folder, clientsAt, secondOperators, deadlineMs, first, second)
                    .awaitListening()) {
                next.awaitReady();
                long termNanos = System.nanoTime();
                old.process.toHandle().destroy();
                List<Future<Sent>> sending = new ArrayList<>();
                for (int i = 0; i < instants.size(); i++) {
                    Socket client = resting.get(i);
                    String txn = "late" + i;
                    long at = termNanos + instants.get(i) * 1_000_000 - System.nanoTime();
                    sending.add(
                            clock.schedule(() -> use(client, txn, deadlineMs, termNanos), at, TimeUnit.NANOSECONDS));
                }
                clock.schedule(
                                () -> old.process.destroyForcibly(),
                                termNanos + killMs * 1_000_000 - System.nanoTime(),
                                TimeUnit.NANOSECONDS)
                        .get();
                List<Sent> ended = new ArrayList<>();
                for (Future<Sent> one : sending) {
                    Sent sent = one.get(30, TimeUnit.SECONDS);
                    if (sent.outcome == Outcome.ENDED_WITH_NO_ANSWER) {
                        ended.add(sent);
                    }
                }
                List<String> trace = old.trace();
                List<Sent> lost = ended.stream()
                        .filter(sent ->
                                trace.stream().anyMatch(line -> line.contains("request " + sent.txn + " taken")))
                        .toList();
                assertTrue(
                        trace.stream().anyMatch(line -> line.matches(".*request late\\d+ taken.*")),
                        "no request was read after SIGTERM: nothing was tried");
                assertEquals(List.of(), lost, () -> "lost; the node said " + old.lines);
            }
        } finally {
            end.countDown();
            clock.shutdownNow();
        }
    }
}
