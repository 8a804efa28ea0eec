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

/** Tests an upgrade of real processes: the old process receives SIGTERM, and SIGKILL at the earliest allowed time. */
class UpgradeTest {
    /** Shortest time between SIGTERM and SIGKILL beyond the longest deadline. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;
    /** Interval between requests on connections that have been idle since the start. */
    private static final long SEND_INTERVAL_MS = 25;
    /** Number of requests sent at the same instant, besides those at regular intervals. */
    private static final int BURST_SIZE = 8;

    @TempDir
    private Path folder;

    /** The outcome of a request that was sent on a connection of the old process. */
    private enum Outcome {
        ANSWERED,
        CLOSED_UNSENT,
        ENDED_WITH_NO_ANSWER
    }

    private record Attempt(String txn, long afterMs, Outcome outcome) {}

    private static String page(String path, String txn, long deadlineMs) {
        return Http.page(path, txn, deadlineMs + "m").replace("X-Org: org\r\n", "");
    }

    /** Sends a request on an idle connection. */
    private static Attempt sendOnIdleConnection(Socket client, String txn, long deadlineMs, long termNanos) {
        long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - termNanos);
        try {
            client.setSoTimeout(1);
            if (client.getInputStream().read() < 0) {
                return new Attempt(txn, afterMs, Outcome.CLOSED_UNSENT);
            }
        } catch (SocketTimeoutException e) {
            // The connection is still open, and nothing was received.
        } catch (IOException e) {
            return new Attempt(txn, afterMs, Outcome.CLOSED_UNSENT);
        }
        try {
            client.setSoTimeout(20_000);
            Site.write(client, page("/api/hangs", txn, deadlineMs));
            Http.read(client.getInputStream());
            return new Attempt(txn, afterMs, Outcome.ANSWERED);
        } catch (IOException e) {
            return new Attempt(txn, afterMs, Outcome.ENDED_WITH_NO_ANSWER);
        }
    }

    private static ScriptedServer hangingServer(CountDownLatch end) throws IOException {
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
     * Guards against lost requests: an old process reads them after SIGTERM on open connections and still holds them at
     * SIGKILL, whatever deadlines their clients set.
     */
    @ParameterizedTest
    @ValueSource(longs = {250, 1_000, 3_000})
    void oldProcessAnswersAllReadRequestsBeforeTheEarliestKill(long deadlineMs) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(64);
        try (ScriptedServer first = hangingServer(end);
                ScriptedServer second = hangingServer(end);
                SocketChannel clientsAt = NodeProcess.reservePort();
                SocketChannel firstOperators = NodeProcess.reservePort();
                SocketChannel secondOperators = NodeProcess.reservePort();
                NodeProcess old = NodeProcess.start(folder, clientsAt, firstOperators, deadlineMs, first, second)
                        .awaitListening()) {
            long killMs = deadlineMs + KILL_AFTER_DEADLINE_MS;
            List<Long> instants = new ArrayList<>();
            for (long at = 0; at < killMs; at += SEND_INTERVAL_MS) {
                instants.add(at);
            }
            for (int i = 0; i < BURST_SIZE; i++) {
                instants.add(killMs - 235);
                instants.add(1_515L);
            }
            List<Socket> idleClients = new ArrayList<>();
            for (int i = 0; i < instants.size(); i++) {
                Socket client = old.connect();
                assertEquals(
                        200,
                        Site.ask(client, page("/api/p", "before" + i, deadlineMs))
                                .status());
                idleClients.add(client);
            }
            try (NodeProcess next = NodeProcess.start(folder, clientsAt, secondOperators, deadlineMs, first, second)
                    .awaitListening()) {
                next.awaitReady();
                long termNanos = System.nanoTime();
                old.process.toHandle().destroy();
                List<Future<Attempt>> sending = new ArrayList<>();
                for (int i = 0; i < instants.size(); i++) {
                    Socket client = idleClients.get(i);
                    String txn = "late" + i;
                    long at = termNanos + instants.get(i) * 1_000_000 - System.nanoTime();
                    sending.add(clock.schedule(
                            () -> sendOnIdleConnection(client, txn, deadlineMs, termNanos), at, TimeUnit.NANOSECONDS));
                }
                clock.schedule(
                                () -> old.process.destroyForcibly(),
                                termNanos + killMs * 1_000_000 - System.nanoTime(),
                                TimeUnit.NANOSECONDS)
                        .get();
                List<Attempt> ended = new ArrayList<>();
                for (Future<Attempt> one : sending) {
                    Attempt sent = one.get(30, TimeUnit.SECONDS);
                    if (sent.outcome == Outcome.ENDED_WITH_NO_ANSWER) {
                        ended.add(sent);
                    }
                }
                List<String> trace = old.readTrace();
                List<Attempt> lost = ended.stream()
                        .filter(sent ->
                                trace.stream().anyMatch(line -> line.contains("request " + sent.txn + " taken")))
                        .toList();
                assertTrue(
                        trace.stream().anyMatch(line -> line.matches(".*request late\\d+ taken.*")),
                        "no request was read after SIGTERM, so the test shows nothing");
                assertEquals(List.of(), lost, () -> "requests were lost; output of the node: " + old.lines);
            }
        } finally {
            end.countDown();
            clock.shutdownNow();
        }
    }
}
