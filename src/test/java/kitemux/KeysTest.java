package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Draws fixed by the request's key where servers remember keys. */
class KeysTest {
    private static final int SERVERS = 20;
    private static final int KEYS = 400;

    private static TestNode node(int nodeIndex, boolean warmKeys) {
        Settings settings = TestNode.settings();
        settings.nodes = 4;
        settings.nodeIndex = nodeIndex;
        settings.warmKeys = warmKeys;
        settings.crossZonePrice = 0.01;
        return new TestNode(settings, 50 + nodeIndex).withServers(SERVERS);
    }

    private static String submitAndComplete(TestNode node, String key, Result result) {
        long id = node.submitWithKey(key, TestNode.UNSAFE);
        String server = node.lastAttempt(id).server();
        node.complete(id, result, 5_000);
        return server;
    }

    /** Submits one request for each key and returns the server that each key was sent to. */
    private static Map<String, String> serverByKey(TestNode node) {
        Map<String, String> servers = new HashMap<>();
        for (int k = 0; k < KEYS; k++) {
            servers.put("k" + k, submitAndComplete(node, "k" + k, Result.OK));
        }
        return servers;
    }

    @Test
    void allNodesSendAKeyToTheSameIdleServer() {
        Map<String, String> places = serverByKey(node(0, true));
        assertEquals(places, serverByKey(node(1, true)));
        Map<String, Integer> keysOf = new HashMap<>();
        places.values().forEach(s -> keysOf.merge(s, 1, Integer::sum));
        assertEquals(SERVERS, keysOf.size());
        keysOf.forEach((s, n) -> assertTrue(n >= 6 && n <= 40, s + " has " + n + " of 400 keys"));
    }

    @Test
    void keysAreIgnoredWhenServersDoNotCacheThem() {
        TestNode node = node(0, false);
        Map<String, Integer> hits = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            hits.merge(submitAndComplete(node, "same", Result.OK), 1, Integer::sum);
        }
        assertTrue(hits.size() > 10, hits.toString());
    }

    @Test
    void secondDrawOfKeyIsUsedWhileFirstHasMoreInFlight() {
        TestNode node = node(0, true);
        String first =
                node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE)).server();
        String second =
                node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE)).server();
        assertTrue(!first.equals(second));
        assertEquals(
                List.of(first, second, first, second),
                List.of(
                        node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE))
                                .server(),
                        node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE))
                                .server(),
                        node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE))
                                .server(),
                        node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE))
                                .server()));
    }

    @Test
    void removedServerMovesItsOwnKeysAndFewOthers() {
        TestNode node = node(0, true);
        Map<String, String> before = serverByKey(node);
        node.updateServers(ListKind.CHANGES, List.of(new ServerEntry("s7", 0, 0, ServerState.GONE, 1, 0)));
        Map<String, String> after = serverByKey(node);
        long moved = before.keySet().stream()
                .filter(k -> !before.get(k).equals("s7") && !before.get(k).equals(after.get(k)))
                .count();
        assertTrue(!after.containsValue("s7"));
        assertTrue(moved < KEYS / 8, "other keys moved: " + moved);
    }

    @Test
    void serverWithErrorsLosesKeysWhileOtherKeysStay() {
        TestNode node = node(0, true);
        Map<String, String> before = serverByKey(node);
        String key = before.keySet().stream()
                .sorted()
                .filter(k -> before.get(k).equals("s3"))
                .findFirst()
                .get();
        // After two failures, two in three of its keys are drawn elsewhere.
        assertEquals("s3", submitAndComplete(node, key, Result.ERROR));
        for (int i = 0;
                i < KEYS && !submitAndComplete(node, "x" + i, Result.ERROR).equals("s3");
                i++) {
            node.updateServers(ListKind.FULL, List.of());
            node.withServers(SERVERS);
        }
        long kept = 0;
        long moved = 0;
        for (Map.Entry<String, String> e : before.entrySet()) {
            long id = node.submitWithKey(e.getKey(), TestNode.UNSAFE);
            String now = node.lastAttempt(id).server();
            kept += e.getValue().equals("s3") && now.equals("s3") ? 1 : 0;
            moved += !e.getValue().equals("s3") && !now.equals(e.getValue()) ? 1 : 0;
            node.balancer.onClientGone(node.now, id);
            node.complete(id, Result.CANCELLED, 0);
        }
        long had = before.values().stream().filter("s3"::equals).count();
        assertTrue(kept < had, "keys kept: " + kept + " of " + had);
        assertTrue(moved < KEYS / 20, "other keys moved: " + moved);
    }

    @Test
    void keyedRequestWaitsWhenItsServersAreFull() {
        TestNode node = node(0, true);
        Map<String, Integer> used = new HashMap<>();
        long id = 0;
        for (int i = 0; i < 400; i++) {
            id = node.submitWithKey("hot", TestNode.UNSAFE);
            if (node.lastAttempt(id) != null) {
                used.merge(node.lastAttempt(id).server(), 1, Integer::sum);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 8, used.toString());
        assertNull(node.lastAttempt(id));
        // Other keys are not held back for long: the hot key waits in the queue, and other servers have capacity.
        long other = node.submitWithKey("cool", TestNode.UNSAFE);
        node.advance(10_000);
        assertTrue(node.lastAttempt(other) != null || used.size() == SERVERS);
    }

    @Test
    void warmKeyLimitStartsHighAndFullAnswerCutsItToInFlight() {
        TestNode node = node(0, true);
        long[] ids = new long[24];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = node.submitWithKey("hot", TestNode.UNSAFE);
            assertEquals(1, node.attemptCount(ids[i]));
        }
        node.complete(ids[0], Result.FULL, 1_000);
        String full = node.sent.get(0).server();
        long more = 0;
        for (int i = 0; i < 24; i++) {
            TestNode.SentAttempt sent = node.lastAttempt(node.submitWithKey("hot", TestNode.UNSAFE));
            more += sent != null && sent.server().equals(full) ? 1 : 0;
        }
        assertTrue(more <= 1, "sent to the full server: " + more);
    }

    /**
     * Guards against issue i629bed: requests rejected in a burst were retried on servers that did not know their key.
     */
    @Test
    void rejectedRequestRetriesOnServersDrawnByItsKey() {
        List<List<String>> paths = new ArrayList<>();
        for (int nodeIndex = 0; nodeIndex < 4; nodeIndex++) {
            TestNode node = node(nodeIndex, true);
            long id = node.submitWithKey("hot", TestNode.UNSAFE);
            node.complete(id, Result.FULL, 1_000);
            node.complete(id, Result.FULL, 1_000);
            paths.add(node.sent.stream().map(TestNode.SentAttempt::server).toList());
        }
        assertEquals(3, new HashSet<>(paths.get(0)).size());
        // All nodes retry on the same servers.
        assertEquals(1, new HashSet<>(paths).size());
    }
}
