package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a crowd of clients whose input costs much more than its bytes: a node with the memory of the deploy
 * file serves all others in time meanwhile and does not end.
 */
@Timeout(120)
class CrowdTest {
    private static final int CLIENT_COUNT = 420;
    private static final long PART_INTERVAL_MS = 400;
    private static final long FLOOD_MS = 4_000;
    private static final int FLOOD_BATCH_COUNT = 100;
    /** Time that a client of a short request waits, in milliseconds. */
    private static final long SHORT_DEADLINE_MS = 1_000;
    /** Time after which an answer to a short request is late, as the target of the deployment's short class. */
    private static final long TIMELY_MS = 100;

    /** What each client of the crowd sends. */
    private enum Input {
        /** A head with 1,500 fields of a few bytes. */
        SHORT_FIELDS(6) {
            @Override
            String request(String txn) {
                StringBuilder fields = new StringBuilder();
                for (int i = 0; i < 1_500; i++) {
                    fields.append("a:b\r\n");
                }
                String plain = Http.page("/api/p", txn, "9000m");
                return plain.substring(0, plain.length() - 2) + fields + "\r\n";
            }
        },
        /** The end of a body with as many fields. */
        SHORT_TRAILERS(6) {
            @Override
            String request(String txn) {
                StringBuilder fields = new StringBuilder();
                for (int i = 0; i < 1_500; i++) {
                    fields.append("a:b\r\n");
                }
                return Http.order(txn, "9000m")
                                .replace("Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n")
                        + "2\r\nab\r\n0\r\n" + fields + "\r\n";
            }
        },
        /** A body in chunks of one byte, 192 kB with their framing. */
        SHORT_CHUNKS(8) {
            @Override
            String request(String txn) {
                return Http.order(txn, "9000m")
                                .replace("Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n")
                        + "1\r\na\r\n".repeat(32 << 10)
                        + "0\r\n\r\n";
            }
        };

        private final int partCount;

        Input(int partCount) {
            this.partCount = partCount;
        }

        abstract String request(String txn);
    }

    @ParameterizedTest
    @EnumSource(Input.class)
    void shortRequestsAreServedBesideCrowd(Input input, @TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                NodeProcess node = NodeProcess.startDeployed(folder, List.of(), server)) {
            node.awaitListening();
            List<Socket> crowd = new ArrayList<>();
            for (int i = 0; i < CLIENT_COUNT; i++) {
                crowd.add(node.connect());
            }
            List<Long> shortMs = new ArrayList<>();
            AtomicBoolean isOver = new AtomicBoolean();
            Thread shortClient = new Thread(() -> sendShortRequests(node, isOver, shortMs));
            shortClient.start();
            sendInParts(crowd, input);
            isOver.set(true);
            shortClient.join();
            assertServedInTime(shortMs, node);
            for (Socket client : crowd) {
                assertTrue(Http.read(client.getInputStream()).status() >= 200);
                client.close();
            }
        }
    }

    private static void sendInParts(List<Socket> crowd, Input input) {
        List<byte[]> requests = new ArrayList<>();
        for (int i = 0; i < crowd.size(); i++) {
            requests.add(input.request("crowd" + i).getBytes(StandardCharsets.US_ASCII));
        }
        for (int part = 0; part < input.partCount; part++) {
            for (int i = 0; i < crowd.size(); i++) {
                byte[] request = requests.get(i);
                int from = request.length * part / input.partCount;
                int to = request.length * (part + 1) / input.partCount;
                try {
                    crowd.get(i).getOutputStream().write(Arrays.copyOfRange(request, from, to));
                } catch (IOException e) {
                    // The node has rejected the request; its answer is read in the end.
                }
            }
            Site.parkFor(PART_INTERVAL_MS);
        }
    }

    /** What one client sends at full speed on one connection. */
    private enum Flood {
        TIMELY_REQUESTS {
            @Override
            String request(int number) {
                return Http.page("/api/p", "flood" + number, "1000m");
            }
        },
        EXPIRED_REQUESTS {
            @Override
            String request(int number) {
                return Http.page("/api/p", "flood" + number, "1m");
            }
        },
        NEW_TENANTS {
            @Override
            String request(int number) {
                return Http.page("/api/p", "flood" + number, "1000m").replace("X-Org: org", "X-Org: org" + number);
            }
        };

        abstract String request(int number);
    }

    /** Guards against one client whose requests, sent ahead at full speed, hold up the requests of all others. */
    @ParameterizedTest
    @EnumSource(Flood.class)
    void shortRequestsAreServedBesideFloodOnOneConnection(Flood flood, @TempDir Path folder) throws Exception {
        try (ScriptedServer server = ScriptedServer.serving("x");
                NodeProcess node = NodeProcess.startDeployed(folder, List.of(), server)) {
            node.awaitListening();
            AtomicBoolean isOver = new AtomicBoolean();
            Thread flooding = new Thread(() -> sendFloods(node, flood, isOver));
            flooding.start();
            List<Long> shortMs = new ArrayList<>();
            Thread shortClient = new Thread(() -> sendShortRequests(node, isOver, shortMs));
            shortClient.start();
            Site.parkFor(FLOOD_MS);
            isOver.set(true);
            shortClient.join();
            flooding.join();
            assertServedInTime(shortMs, node);
            List<String> errors = node.lines.stream()
                    .filter(line -> line.contains("Exception") || line.contains("held up"))
                    .toList();
            assertEquals(List.of(), errors);
        }
    }

    /** Sends requests without waiting for answers, on a new connection whenever the node has closed the last one. */
    private static void sendFloods(NodeProcess node, Flood flood, AtomicBoolean isOver) {
        int number = 0;
        while (!isOver.get()) {
            try (Socket flooding = node.connect()) {
                Thread reader = new Thread(() -> discardInput(flooding));
                reader.setDaemon(true);
                reader.start();
                while (!isOver.get()) {
                    StringBuilder batch = new StringBuilder();
                    for (int k = 0; k < FLOOD_BATCH_COUNT; k++) {
                        batch.append(flood.request(number++));
                    }
                    Site.write(flooding, batch.toString());
                }
            } catch (IOException e) {
                // The node has closed the connection.
            }
        }
    }

    private static void discardInput(Socket flooding) {
        byte[] buffer = new byte[64 << 10];
        try {
            while (flooding.getInputStream().read(buffer) >= 0) {
                // Answers to the flood are of no interest.
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void assertServedInTime(List<Long> shortMs, NodeProcess node) {
        assertTrue(node.process.isAlive(), () -> "the process has ended: " + node.lines);
        assertEquals(List.of(), shortMs.stream().filter(ms -> ms < 0).toList(), "short requests without an answer");
        List<Long> late = shortMs.stream().filter(ms -> ms > TIMELY_MS).toList();
        assertTrue(late.size() * 10 <= shortMs.size(), "late of " + shortMs.size() + ": " + late + node.lines);
    }

    /** Sends one request after another; a request without an answer of status 200 counts as -1. */
    private static void sendShortRequests(NodeProcess node, AtomicBoolean isOver, List<Long> shortMs) {
        for (int i = 0; !isOver.get(); i++) {
            long sentNanos = System.nanoTime();
            try (Socket client = node.connect()) {
                int status = Site.ask(client, Http.page("/api/p", "short" + i, SHORT_DEADLINE_MS + "m"))
                        .status();
                shortMs.add(status == 200 ? (System.nanoTime() - sentNanos) / 1_000_000 : -1);
            } catch (IOException e) {
                shortMs.add(-1L);
            }
            Site.parkFor(20);
        }
    }
}
