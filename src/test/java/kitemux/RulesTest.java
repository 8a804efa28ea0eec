package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rules 1 to 3 in named cases. */
class RulesTest {

    private static ServerEntry in(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** After a first attempt that ends so: does another follow, and else which final answer? */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, again",
        "0, FULL, again",
        "0, TIMEOUT, again",
        "0, CONNECT_FAILED, again",
        "0, RESET, again",
        "1, ERROR, again",
        "1, FULL, again",
        "1, TIMEOUT, again",
        "1, CONNECT_FAILED, again",
        "1, RESET, again",
        "3, ERROR, again",
        "3, FULL, again",
        "3, TIMEOUT, again",
        "3, CONNECT_FAILED, again",
        "3, RESET, again",
        "4, ERROR, failed",
        "4, FULL, again",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, again",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, MOOT, again"
    })
    void repeatsFollowTheClass(int classIndex, Result result, String then) {
        Node node = new Node().with(4);
        long id = node.ask(classIndex);
        node.answer(id, result, 1_000);
        assertEquals(then.equals("again") ? 2 : 1, node.attempts(id));
        assertEquals(then.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.refused);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCellAndZone() {
        for (int classIndex : new int[] {Node.KEYED_CELL, Node.KEYED_ZONE}) {
            Node node = new Node();
            node.list(
                    ListKind.CACHED,
                    List.of(
                            in("a", 0, 1, ServerState.READY),
                            in("x", 1, 2, ServerState.READY),
                            in("b", 0, 1, ServerState.READY),
                            in("y", 1, 2, ServerState.READY)));
            long id = node.ask(classIndex);
            String first = node.last(id).server();
            node.answer(id, Result.RESET, 1_000);
            String second = node.last(id).server();
            assertEquals(2, node.attempts(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void aKeyedRequestThatSurelyNeverRanMayGoAnywhere() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(in("a", 0, 1, ServerState.READY), in("x", 1, 2, ServerState.READY)));
        long id = node.ask(Node.KEYED_CELL);
        node.answer(id, Result.FULL, 1_000);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void aKeyedRequestIsNotRepeatedAfterItsWindowAndRefusedOnlyIfAllDropRepeats() {
        for (int classIndex : new int[] {Node.KEYED_ALL, Node.KEYED_CELL}) {
            Node node = new Node().with(3);
            long id = node.ask(classIndex);
            node.answer(id, Result.ERROR, 400_001);
            assertEquals(1, node.attempts(id));
            assertEquals(classIndex == Node.KEYED_ALL ? List.of(id) : List.of(), node.refused);
            assertEquals(classIndex == Node.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void theWindowCountsFromTheFirstAttemptThatMayHaveRun() {
        Node node = new Node().with(4);
        long id = node.ask(Node.KEYED_ALL);
        node.answer(id, Result.CONNECT_FAILED, 300_000);
        node.answer(id, Result.ERROR, 300_000);
        assertEquals(3, node.attempts(id));
        node.answer(id, Result.ERROR, 100_001);
        assertEquals(3, node.attempts(id));
    }

    @Test
    void aTimeOutAtTheDeadlineIsAnsweredAtOnceAndNothingFollows() {
        Node node = new Node().with(3);
        long safe = node.ask(Node.SAFE, 100_000);
        long unsafe = node.ask(Node.UNSAFE, 100_000);
        node.answer(safe, Result.TIMEOUT, 100_000);
        node.answer(unsafe, Result.TIMEOUT, 0);
        assertEquals(List.of(safe), node.refused);
        assertEquals(List.of(unsafe), node.failed);
        node.advance(1_000_000);
        assertEquals(1, node.attempts(safe));
    }

    @Test
    void noAttemptIsSentToEndAfterTheClientsTime() {
        Node node = new Node().with(3);
        long id = node.ask(Node.SAFE, 123_000);
        assertEquals(node.now + 123_000, node.last(id).untilUs());
    }

    @Test
    void nothingIsOwedToAClientThatHasGone() {
        Node node = new Node().with(1);
        long id = node.ask(Node.SAFE);
        node.balancer.onClientGone(node.now, id);
        node.answer(id, Result.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.attempts(id));
        assertTrue(node.refused.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, 1, true, null));
    }

    @Test
    void nothingGoesToADrainingOrGoneServer() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            Node node = new Node().with(2);
            node.list(ListKind.CHANGES, List.of(in("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals("s1", node.serve(Node.UNSAFE, i % 3 == 0 ? Result.ERROR : Result.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void serversThatComeAndGoLeaveNothingBehind() throws ReflectiveOperationException {
        Node node = new Node().with(1);
        for (int i = 0; i < 500; i++) {
            node.list(ListKind.CHANGES, List.of(Node.server("t" + i)));
            node.serve(Node.UNSAFE, Result.ERROR, 1_000);
            node.list(ListKind.CHANGES, List.of(in("t" + i, 0, 0, ServerState.GONE)));
        }
        var known = ServiceQBalancer.class.getDeclaredField("byId");
        known.setAccessible(true);
        assertEquals(1, ((java.util.Map<?, ?>) known.get(node.balancer)).size());
    }

    @Test
    void aServerThatAFullListLeavesOutHasGone() {
        Node node = new Node().with(2);
        node.list(ListKind.FULL, List.of(Node.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.serve(Node.SAFE, Result.OK, 1_000));
        }
    }

    @Test
    void aListOnRequestIsAskedForAtOnceAndAgainAfterFailuresWithGrowingJitteredWaits() {
        Settings set = Node.settings();
        set.listOnRequest = true;
        Node node = new Node(set, 1).with(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(set.askWithinUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.list(ListKind.CHANGES, List.of());
        node.advance(10 * set.askWithinUs);
        assertEquals(7, node.subscriptions);
    }

    /** Watches of all nodes may end at once, and calls are taken in turn: the last has to hear in time. */
    @Test
    void afterAWatchThatEndedTheNextCallIsMadeWithinATenthOfASecond() {
        for (int seed = 1; seed <= 100; seed++) {
            Settings set = Node.settings();
            set.listOnRequest = true;
            Node node = new Node(set, seed).with(1);
            for (int watches = 1; watches <= 3; watches++) {
                node.list(ListKind.CHANGES, List.of());
                node.balancer.onListFailed(node.now);
                assertEquals(watches, node.subscriptions, "nodes would ask together");
                node.advance(100_000);
                assertEquals(watches + 1, node.subscriptions, "seed " + seed);
            }
        }
    }

    /** What discovery has at its return counts as told 6 s later, and a call that it was down for may last
     * 4 s: however long it was down, the wait and the next call's turn have 2 s. */
    @Test
    void howeverOftenCallsHaveFailedTheNextIsMadeWithinASecond() {
        for (int seed = 1; seed <= 100; seed++) {
            Settings set = Node.settings();
            set.listOnRequest = true;
            Node node = new Node(set, seed).with(1);
            for (int failures = 1; failures <= 10; failures++) {
                node.balancer.onListFailed(node.now);
                node.advance(1_000_000);
                assertEquals(failures + 1, node.subscriptions, "seed " + seed + ", failure " + failures);
            }
        }
    }

    @Test
    void aCallThatIsNeverAnsweredIsMadeAgainInsideTheTimeAllowed() {
        Settings set = Node.settings();
        set.listOnRequest = true;
        Node node = new Node(set, 1).with(1);
        node.advance(set.askWithinUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeAreRejectedByName() {
        Settings none = new Settings();
        assertThrows(IllegalArgumentException.class, () -> new Node(none, 1));
        Settings negative = Node.settings();
        negative.warmUpUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new Node(negative, 1));
        Settings zone = Node.settings();
        zone.myZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new Node(zone, 1));
        Node node = new Node().with(1);
        assertThrows(IllegalArgumentException.class, () -> node.ask(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(5, 0, 7, 1_000, 0, false, null)));
        node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false, null));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false, null)));
    }
}
