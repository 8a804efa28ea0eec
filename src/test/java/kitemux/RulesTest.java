package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
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

/** Rules 1 to 3 in individual cases. */
class RulesTest {

    private static ServerEntry server(String id, int zone, int cell, ServerState state) {
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

    /**
     * After a first attempt with this result, either a second attempt follows or the request has this final answer.
     */
    void retriesFollowTheRequestClass(int classIndex, Result result, String expected) {
        TestNode node = new TestNode().withServers(4);
        long id = node.submit(classIndex);
        node.complete(id, result, 1_000);
        assertEquals(expected.equals("again") ? 2 : 1, node.attemptCount(id));
        assertEquals(expected.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.refused);
    }

    @Test
    void keyedRequestThatMayHaveRunStaysInItsCellOrZone() {
        for (int classIndex : new int[] {TestNode.KEYED_CELL, TestNode.KEYED_ZONE}) {
            TestNode node = new TestNode();
            node.updateServers(
                    ListKind.CACHED,
                    List.of(
                            server("a", 0, 1, ServerState.READY),
                            server("x", 1, 2, ServerState.READY),
                            server("b", 0, 1, ServerState.READY),
                            server("y", 1, 2, ServerState.READY)));
            long id = node.submit(classIndex);
            String first = node.lastAttempt(id).server();
            node.complete(id, Result.RESET, 1_000);
            String second = node.lastAttempt(id).server();
            assertEquals(2, node.attemptCount(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void keyedRequestThatNeverRanMayBeSentAnywhere() {
        TestNode node = new TestNode();
        node.updateServers(
                ListKind.CACHED, List.of(server("a", 0, 1, ServerState.READY), server("x", 1, 2, ServerState.READY)));
        long id = node.submit(TestNode.KEYED_CELL);
        node.complete(id, Result.FULL, 1_000);
        assertEquals(2, node.attemptCount(id));
    }

    @Test
    void keyedRequestIsNotRetriedAfterWindowAndRefusedOnlyIfAllServersDeduplicate() {
        for (int classIndex : new int[] {TestNode.KEYED_ALL, TestNode.KEYED_CELL}) {
            TestNode node = new TestNode().withServers(3);
            long id = node.submit(classIndex);
            node.complete(id, Result.ERROR, 400_001);
            assertEquals(1, node.attemptCount(id));
            assertEquals(classIndex == TestNode.KEYED_ALL ? List.of(id) : List.of(), node.refused);
            assertEquals(classIndex == TestNode.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void dedupWindowStartsAtFirstAttemptThatMayHaveRun() {
        TestNode node = new TestNode().withServers(4);
        long id = node.submit(TestNode.KEYED_ALL);
        node.complete(id, Result.CONNECT_FAILED, 300_000);
        node.complete(id, Result.ERROR, 200_000);
        assertEquals(3, node.attemptCount(id));
        node.complete(id, Result.ERROR, 50_001);
        assertEquals(3, node.attemptCount(id), "a retry that is written 0.15 s later would be 1 us late");
    }

    private static ServerEntry server(String id, int cell, long startedAtUs) {
        return new ServerEntry(id, 0, cell, ServerState.READY, 1, startedAtUs);
    }

    /** Guards against a repeat in another group, as the id of the first server has come to stand for a new process. */
    @Test
    void keyedRequestIsRepeatedInTheGroupOfItsFirstProcessThoughTheIdHasMoved() {
        TestNode node = new TestNode();
        node.updateServers(ListKind.CACHED, List.of(server("s0", 1, 0)));
        long id = node.submit(TestNode.KEYED_CELL);
        assertEquals("s0", node.lastAttempt(id).server());
        node.updateServers(ListKind.FULL, List.of(server("s0", 2, 0), server("s1", 2, 0)));
        node.complete(id, Result.RESET, 1_000);
        assertEquals(1, node.attemptCount(id), "both servers are in another group now");
        node.updateServers(ListKind.CHANGES, List.of(server("s2", 1, 0)));
        assertEquals("s2", node.lastAttempt(id).server());
    }

    /** Guards against an attempt that is written to a process for which it was not chosen. */
    @Test
    void attemptIsNotWrittenOnceItsServerIsAnotherProcess() {
        TestNode node = new TestNode().withServers(1);
        long id = node.submit(TestNode.UNSAFE);
        assertTrue(node.balancer.mayWrite(node.now, id, 0));
        node.updateServers(ListKind.CHANGES, List.of(server("s0", 0, node.now)));
        assertFalse(node.balancer.mayWrite(node.now, id, 0));
    }

    /** Guards against ejecting a new process for the failures of the one before. */
    @Test
    void failuresOfTheProcessBeforeDoNotCountAgainstTheNewOne() {
        TestNode node = new TestNode().withServers(4);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            ids.add(node.submit(TestNode.UNSAFE));
        }
        List<ServerEntry> restarted = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            restarted.add(server("s" + i, 0, node.now));
        }
        node.updateServers(ListKind.FULL, restarted);
        ids.stream().filter(id -> node.attemptCount(id) > 0).forEach(id -> node.complete(id, Result.RESET, 0));
        assertEquals(0, node.balancer.ejectedServerCount());
        assertEquals(List.of(), node.logged);
    }

    @Test
    void timeoutAtDeadlineIsAnsweredImmediatelyWithoutRetry() {
        TestNode node = new TestNode().withServers(3);
        long safe = node.submit(TestNode.SAFE, 100_000);
        long unsafe = node.submit(TestNode.UNSAFE, 100_000);
        node.complete(safe, Result.TIMEOUT, 100_000);
        node.complete(unsafe, Result.TIMEOUT, 0);
        assertEquals(List.of(safe), node.refused);
        assertEquals(List.of(unsafe), node.failed);
        node.advance(1_000_000);
        assertEquals(1, node.attemptCount(safe));
    }

    @Test
    void attemptEndsAtClientDeadline() {
        TestNode node = new TestNode().withServers(3);
        long id = node.submit(TestNode.SAFE, 123_000);
        assertEquals(node.now + 123_000, node.lastAttempt(id).untilUs());
    }

    @Test
    void goneClientReceivesNoFurtherAttemptsOrAnswers() {
        TestNode node = new TestNode().withServers(1);
        long id = node.submit(TestNode.SAFE);
        node.balancer.onClientGone(node.now, id);
        node.complete(id, Result.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.attemptCount(id));
        assertTrue(node.refused.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, 1, true, null));
    }

    @Test
    void drainingOrGoneServerReceivesNoNewRequests() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            TestNode node = new TestNode().withServers(2);
            node.updateServers(ListKind.CHANGES, List.of(server("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "s1", node.submitAndComplete(TestNode.UNSAFE, i % 3 == 0 ? Result.ERROR : Result.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void goneServersAreForgotten() throws ReflectiveOperationException {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.updateServers(ListKind.CHANGES, List.of(TestNode.server("t" + i)));
            node.submitAndComplete(TestNode.UNSAFE, Result.ERROR, 1_000);
            node.updateServers(ListKind.CHANGES, List.of(server("t" + i, 0, 0, ServerState.GONE)));
        }
        var serversById = ServiceQBalancer.class.getDeclaredField("serversById");
        serversById.setAccessible(true);
        assertEquals(1, ((java.util.Map<?, ?>) serversById.get(node.balancer)).size());
    }

    @Test
    void serverMissingFromFullListIsGone() {
        TestNode node = new TestNode().withServers(2);
        node.updateServers(ListKind.FULL, List.of(TestNode.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.submitAndComplete(TestNode.SAFE, Result.OK, 1_000));
        }
    }

    @Test
    void listIsRequestedImmediatelyAndAgainAfterFailuresWithJitteredBackoff() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode node = new TestNode(settings, 1).withServers(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(settings.askWithinUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.updateServers(ListKind.CHANGES, List.of());
        node.advance(10 * settings.askWithinUs);
        assertEquals(7, node.subscriptions);
    }

    /**
     * The watches of all nodes may end at once, and list requests are answered in turn: the last node must hear in
     * time.
     */
    @Test
    void listIsRequestedWithin100MsAfterWatchEnds() {
        for (int seed = 1; seed <= 100; seed++) {
            Settings settings = TestNode.settings();
            settings.listOnRequest = true;
            TestNode node = new TestNode(settings, seed).withServers(1);
            for (int watches = 1; watches <= 3; watches++) {
                node.updateServers(ListKind.CHANGES, List.of());
                node.balancer.onListFailed(node.now);
                assertEquals(watches, node.subscriptions, "nodes would request the list together");
                node.advance(100_000);
                assertEquals(watches + 1, node.subscriptions, "seed " + seed);
            }
        }
    }

    /**
     * The list that discovery has at its return counts as announced 6 s later, and a request that discovery is down
     * for may last 4 s. However long discovery was down, 2 s remain for the backoff and for the turn of the next
     * request.
     */
    @Test
    void listIsRequestedWithinOneSecondAfterAnyNumberOfFailures() {
        for (int seed = 1; seed <= 100; seed++) {
            Settings settings = TestNode.settings();
            settings.listOnRequest = true;
            TestNode node = new TestNode(settings, seed).withServers(1);
            for (int failures = 1; failures <= 10; failures++) {
                node.balancer.onListFailed(node.now);
                node.advance(1_000_000);
                assertEquals(failures + 1, node.subscriptions, "seed " + seed + ", failure " + failures);
            }
        }
    }

    // Guards against an operators' change that is taken for discovery's answer: no list request was due any more,
    // and the node heard of no drain again.
    @Test
    void operatorsChangesNeitherCancelNorDelayTheNextListRequest() {
        for (int seed = 1; seed <= 100; seed++) {
            Settings settings = TestNode.settings();
            settings.listOnRequest = true;
            TestNode node = new TestNode(settings, seed).withServers(2);
            for (int failures = 1; failures <= 10; failures++) {
                node.balancer.onListFailed(node.now);
                for (int i = 0; i < 10; i++) {
                    ServerState state = i % 2 == 0 ? ServerState.DRAINING : ServerState.READY;
                    node.updateServers(ListKind.OVERRIDES, List.of(server("s0", 0, 0, state)));
                    node.advance(100_000);
                }
                assertEquals(failures + 1, node.subscriptions, "seed " + seed + ", failure " + failures);
            }
        }
    }

    @Test
    void operatorsChangeDoesNotCountAsTheAnswerToAnOpenListRequest() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode node = new TestNode(settings, 1).withServers(2);
        node.updateServers(ListKind.OVERRIDES, List.of(server("s0", 0, 0, ServerState.DRAINING)));
        node.advance(settings.askWithinUs - 1);
        assertTrue(node.subscriptions >= 2, "the request is repeated");
    }

    @Test
    void operatorsChangesKeepTheBackoffOfFailedListRequests() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode untouched = new TestNode(settings, 1).withServers(1);
        TestNode overridden = new TestNode(settings, 1).withServers(1);
        for (int failures = 1; failures <= 6; failures++) {
            for (TestNode node : List.of(untouched, overridden)) {
                node.balancer.onListFailed(node.now);
                if (node == overridden) {
                    node.updateServers(ListKind.OVERRIDES, List.of(TestNode.server("s0")));
                }
                for (int ms = 0; node.subscriptions == failures && ms < 1_000; ms++) {
                    node.advance(1_000);
                }
            }
            assertEquals(untouched.now, overridden.now, "time of request " + (failures + 1));
        }
    }

    @Test
    void operatorsChangesLeaveOtherServersListed() {
        TestNode node = new TestNode().withServers(2);
        node.updateServers(ListKind.OVERRIDES, List.of(server("s0", 0, 0, ServerState.DRAINING)));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.submitAndComplete(TestNode.UNSAFE, Result.OK, 1_000));
        }
    }

    @Test
    void unansweredListRequestIsRepeatedWithinAllowedTime() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode node = new TestNode(settings, 1).withServers(1);
        node.advance(settings.askWithinUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeAreRejected() {
        Settings none = new Settings();
        assertThrows(IllegalArgumentException.class, () -> new TestNode(none, 1));
        Settings negative = TestNode.settings();
        negative.warmUpUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new TestNode(negative, 1));
        Settings zone = TestNode.settings();
        zone.myZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new TestNode(zone, 1));
        TestNode node = new TestNode().withServers(1);
        assertThrows(IllegalArgumentException.class, () -> node.submit(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(5, 0, 7, 1_000, 0, false, null)));
        node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false, null));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false, null)));
    }
}
