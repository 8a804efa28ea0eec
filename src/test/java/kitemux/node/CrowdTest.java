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
    private static final int PART_COUNT = 6;
    private static final long PART_INTERVAL_MS = 400;
    /** Time that a client of a short request waits, in milliseconds. */
    private static final long SHORT_DEADLINE_MS = 1_000;
    /** Time after which an answer to a short request is late, as the target of the deployment's short class. */
    private static final long TIMELY_MS = 100;

    /** What each client of the crowd sends. */
    private enum Input {
        /** A head with 1,500 fields of a few bytes. */
        SHORT_FIELDS {
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
        SHORT_TRAILERS {
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
        };

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
            assertTrue(node.process.isAlive(), () -> "the process has ended: " + node.lines);
            assertEquals(List.of(), shortMs.stream().filter(ms -> ms < 0).toList(), "short requests without an answer");
            List<Long> late = shortMs.stream().filter(ms -> ms > TIMELY_MS).toList();
            assertTrue(late.size() * 10 <= shortMs.size(), "late of " + shortMs.size() + ": " + late + node.lines);
            for (Socket client : crowd) {
                assertTrue(Http.read(client.getInputStream()).status() >= 200);
                client.close();
            }
        }
    }

    private static void sendInParts(List<Socket> crowd, Input input) {
        for (int part = 0; part < PART_COUNT; part++) {
            for (int i = 0; i < crowd.size(); i++) {
                byte[] request = input.request("crowd" + i).getBytes(StandardCharsets.US_ASCII);
                int from = request.length * part / PART_COUNT;
                int to = request.length * (part + 1) / PART_COUNT;
                try {
                    crowd.get(i).getOutputStream().write(Arrays.copyOfRange(request, from, to));
                } catch (IOException e) {
                    // The node has rejected the request; its answer is read in the end.
                }
            }
            Site.parkFor(PART_INTERVAL_MS);
        }
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
