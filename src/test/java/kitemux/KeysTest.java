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

/** Exception, keys: draws fixed by the request's key where servers remember keys. */
class KeysTest {
    private static final int SERVERS = 20;
    private static final int KEYS = 400;

    private static Node node(int me, boolean warmKeys) {
        Settings set = Node.settings();
        set.nodes = 4;
        set.nodeIndex = me;
        set.warmKeys = warmKeys;
        set.crossZonePrice = 0.01;
        return new Node(set, 50 + me).with(SERVERS);
    }

    private static String serve(Node node, String key, Result result) {
        long id = node.askFor(key, Node.UNSAFE);
        String server = node.last(id).server();
        node.answer(id, result, 5_000);
        return server;
    }

    private static Map<String, String> placesOf(Node node) {
        Map<String, String> places = new HashMap<>();
        for (int k = 0; k < KEYS; k++) {
            places.put("k" + k, serve(node, "k" + k, Result.OK));
        }
        return places;
    }

    @Test
    void everyNodeSendsAKeyToTheSameServerWhileNothingIsInFlight() {
        Map<String, String> places = placesOf(node(0, true));
        assertEquals(places, placesOf(node(1, true)));
        Map<String, Integer> keysOf = new HashMap<>();
        places.values().forEach(s -> keysOf.merge(s, 1, Integer::sum));
        assertEquals(SERVERS, keysOf.size());
        keysOf.forEach((s, n) -> assertTrue(n >= 6 && n <= 40, s + " has " + n + " of 400 keys"));
    }

    @Test
    void whereServersForgetKeysTheyDoNotMatter() {
        Node node = node(0, false);
        Map<String, Integer> hits = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            hits.merge(serve(node, "same", Result.OK), 1, Integer::sum);
        }
        assertTrue(hits.size() > 10, hits.toString());
    }

    @Test
    void theSecondDrawOfAKeyTakesOverWhileTheFirstHasMoreInFlight() {
        Node node = node(0, true);
        String first = node.last(node.askFor("hot", Node.UNSAFE)).server();
        String second = node.last(node.askFor("hot", Node.UNSAFE)).server();
        assertTrue(!first.equals(second));
        assertEquals(
                List.of(first, second, first, second),
                List.of(
                        node.last(node.askFor("hot", Node.UNSAFE)).server(),
                        node.last(node.askFor("hot", Node.UNSAFE)).server(),
                        node.last(node.askFor("hot", Node.UNSAFE)).server(),
                        node.last(node.askFor("hot", Node.UNSAFE)).server()));
    }

    @Test
    void aLostServerMovesItsOwnKeysAndFewOthers() {
        Node node = node(0, true);
        Map<String, String> before = placesOf(node);
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s7", 0, 0, ServerState.GONE, 1, 0)));
        Map<String, String> after = placesOf(node);
        long moved = before.keySet().stream()
                .filter(k -> !before.get(k).equals("s7") && !before.get(k).equals(after.get(k)))
                .count();
        assertTrue(!after.containsValue("s7"));
        assertTrue(moved < KEYS / 8, "other keys moved: " + moved);
    }

    @Test
    void aServerWithErrorsLosesKeysAndTheOthersKeepTheirs() {
        Node node = node(0, true);
        Map<String, String> before = placesOf(node);
        String key = before.keySet().stream()
                .sorted()
                .filter(k -> before.get(k).equals("s3"))
                .findFirst()
                .get();
        // Two failures: two in three of its keys are now drawn elsewhere.
        assertEquals("s3", serve(node, key, Result.ERROR));
        for (int i = 0; i < KEYS && !serve(node, "x" + i, Result.ERROR).equals("s3"); i++) {
            node.list(ListKind.FULL, List.of());
            node.with(SERVERS);
        }
        long kept = 0;
        long moved = 0;
        for (Map.Entry<String, String> e : before.entrySet()) {
            long id = node.askFor(e.getKey(), Node.UNSAFE);
            String now = node.last(id).server();
            kept += e.getValue().equals("s3") && now.equals("s3") ? 1 : 0;
            moved += !e.getValue().equals("s3") && !now.equals(e.getValue()) ? 1 : 0;
            node.balancer.onClientGone(node.now, id);
            node.answer(id, Result.CANCELLED, 0);
        }
        long had = before.values().stream().filter("s3"::equals).count();
        assertTrue(kept < had, "keys kept: " + kept + " of " + had);
        assertTrue(moved < KEYS / 20, "other keys moved: " + moved);
    }

    @Test
    void whenAKeysServersAreFullItWaitsAndDoesNotGoWhereItIsUnknown() {
        Node node = node(0, true);
        Map<String, Integer> used = new HashMap<>();
        long id = 0;
        for (int i = 0; i < 400; i++) {
            id = node.askFor("hot", Node.UNSAFE);
            if (node.last(id) != null) {
                used.merge(node.last(id).server(), 1, Integer::sum);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 8, used.toString());
        assertNull(node.last(id));
        // Others are not held back by it for long: it waits in the queue, and they have room.
        long other = node.askFor("cool", Node.UNSAFE);
        node.advance(10_000);
        assertTrue(node.last(other) != null || used.size() == SERVERS);
    }

    @Test
    void limitsStartHighWhereKeysAreWarmAndAFullAnswerCutsThemToWhatWasHeld() {
        Node node = node(0, true);
        long[] ids = new long[24];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = node.askFor("hot", Node.UNSAFE);
            assertEquals(1, node.attempts(ids[i]));
        }
        node.answer(ids[0], Result.FULL, 1_000);
        String full = node.sent.get(0).server();
        long more = 0;
        for (int i = 0; i < 24; i++) {
            Node.Sent sent = node.last(node.askFor("hot", Node.UNSAFE));
            more += sent != null && sent.server().equals(full) ? 1 : 0;
        }
        assertTrue(more <= 1, "sent to the full server: " + more);
    }

    /** Guards i629bed: turned away in a burst, requests hopped on to servers that did not know their key. */
    @Test
    void aRequestThatWasTurnedAwayPassesOnToServersThatItsKeyDraws() {
        List<List<String>> paths = new ArrayList<>();
        for (int me = 0; me < 4; me++) {
            Node node = node(me, true);
            long id = node.askFor("hot", Node.UNSAFE);
            node.answer(id, Result.FULL, 1_000);
            node.answer(id, Result.FULL, 1_000);
            paths.add(node.sent.stream().map(Node.Sent::server).toList());
        }
        assertEquals(3, new HashSet<>(paths.get(0)).size());
        // All nodes hop alike.
        assertEquals(1, new HashSet<>(paths).size());
    }
}
