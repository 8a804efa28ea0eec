package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Behaviour under overload of a node that shares its servers with many others. */
class ManyNodesTest {
    private static final int CHEAP = 0;
    private static final int VALUABLE = 1;
    private static final long USUAL_US = 80_000;

    private static RequestClass requestClass(String name, double worth) {
        return new RequestClass(name, 200_000, 0, 1_000_000, worth, 0, RetrySafety.UNSAFE, DedupScope.ALL, 0, false);
    }

    /** Returns a node that has already completed 100 requests with the given latency. */
    private static TestNode warmedUpNode(int nodeCount, int serverCount, long usualUs) {
        Settings settings = TestNode.settings();
        settings.nodes = nodeCount;
        settings.classes.clear();
        settings.classes.add(requestClass("cheap", 1));
        settings.classes.add(requestClass("dear", 5));
        TestNode node = new TestNode(settings, 5).withServers(serverCount);
        for (int i = 0; i < 100; i++) {
            node.advance(2_000_000);
            node.submitAndComplete(i % 2, Result.OK, usualUs);
        }
        return node;
    }

    /** Submits cheap requests until one has to wait, and returns the ids of those in flight. */
    private static List<Long> fillServers(TestNode node) {
        List<Long> inFlight = new ArrayList<>();
        long id = node.submit(CHEAP);
        while (node.attemptCount(id) > 0) {
            inFlight.add(id);
            id = node.submit(CHEAP);
        }
        return inFlight;
    }

    @Test
    void mostValuableRequestIsSentAfterWaiting() {
        TestNode node = warmedUpNode(6, 4, USUAL_US);
        List<Long> inFlight = fillServers(node);
        long valuable = node.submit(VALUABLE);
        assertEquals(0, node.attemptCount(valuable));
        node.advance(60_000);
        assertEquals(
                List.of(), node.refused.stream().filter(id -> id == valuable).toList());
        for (long id : inFlight) {
            node.complete(id, Result.OK, 0);
        }
        node.advance(50_000);
        assertEquals(1, node.attemptCount(valuable), "140 ms before its target, with a latency of 80 ms");
    }

    @Test
    void cheapRequestIsRefusedWhileItsClientCanStillRetry() {
        TestNode node = warmedUpNode(6, 4, USUAL_US);
        fillServers(node);
        long cheap = node.submit(CHEAP);
        node.advance(70_000);
        assertTrue(node.refused.contains(cheap), "130 ms before its target");
    }

    @Test
    void valuableRequestWaitsNoLongerWhenItsClassGoesUnserved() {
        TestNode node = warmedUpNode(6, 4, USUAL_US);
        fillServers(node);
        for (int i = 0; i < 20; i++) {
            node.submit(VALUABLE);
        }
        node.advance(130_000);
        long valuable = node.submit(VALUABLE);
        node.advance(60_000);
        assertTrue(node.refused.contains(valuable), "most requests of its class went unserved");
    }

    @Test
    void attemptsAtSilentServersDoNotUseOtherServersCapacity() {
        TestNode node = warmedUpNode(8, 8, 10_000);
        List<Long> hanging = fillServers(node);
        List<String> silent = hanging.stream()
                .map(id -> node.lastAttempt(id).server())
                .distinct()
                .toList();
        assertTrue(silent.size() >= 3 && silent.size() < 8, silent.toString());
        // Four times the usual latency has passed without an answer.
        node.advance(60_000);
        List<Long> more = fillServers(node);
        assertTrue(more.size() >= 2, "silent servers: " + silent.size() + ", further requests sent: " + more.size());
        assertTrue(more.stream()
                .noneMatch(id -> silent.contains(node.lastAttempt(id).server())));
    }
}
