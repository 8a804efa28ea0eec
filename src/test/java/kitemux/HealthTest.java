package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Ejection and trials, silent servers, and preference for the local zone. */
class HealthTest {

    /**
     * Submits and completes one request; attempts at {@code s0} fail and all others succeed. Returns whether the
     * first attempt reached {@code s0}.
     */
    private static boolean reachesFailingServer(TestNode node, int classIndex) {
        long id = node.submit(classIndex);
        boolean failing = node.lastAttempt(id).server().equals("s0");
        node.complete(id, failing ? Result.ERROR : Result.OK, 5_000);
        if (failing && node.attemptCount(id) > 1) {
            node.complete(id, Result.OK, 5_000);
        }
        return failing;
    }

    /** Returns a node with four servers, of which {@code s0} has failed all attempts among 400 requests. */
    private static TestNode withFailingServer() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            reachesFailingServer(node, TestNode.SAFE);
        }
        return node;
    }

    private static void assertEjected(TestNode node) {
        assertTrue(node.logged.stream().anyMatch(l -> l.startsWith("ejected server s0")), node.logged.toString());
    }

    @Test
    void failingServerIsEjectedAndTriedAtGrowingIntervals() {
        TestNode node = withFailingServer();
        assertEjected(node);
        int hits = 0;
        long from = node.now;
        while (node.now < from + 20_000_000) {
            hits += reachesFailingServer(node, TestNode.SAFE) ? 1 : 0;
        }
        assertTrue(hits >= 2 && hits <= 14, "trials in 20 s: " + hits);
    }

    /**
     * Returns a node with ten servers at which one attempt in 14 is reset, as are all attempts at the named server.
     */
    private static TestNode withResets(String failingServer) {
        TestNode node = new TestNode().withServers(10);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 4_000; i++) {
            long id = node.submit(TestNode.SAFE);
            for (int attempt = 0; attempt < node.attemptCount(id); attempt++) {
                boolean reset =
                        random.nextInt(14) == 0 || node.lastAttempt(id).server().equals(failingServer);
                node.complete(id, reset ? Result.RESET : Result.OK, 5_000);
            }
        }
        return node;
    }

    @Test
    void failuresCommonToAllServersEjectNone() {
        assertEquals(List.of(), withResets("none").logged);
    }

    @Test
    void serverFailingFarMoreThanOthersIsEjected() {
        assertEjected(withResets("s0"));
    }

    @Test
    void unsafeRequestsAreNotUsedAsTrials() {
        TestNode node = withFailingServer();
        node.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!reachesFailingServer(node, TestNode.UNSAFE));
        }
    }

    @Test
    void serverIsRestoredOnlyAfterSeveralConsecutiveSuccesses() {
        TestNode node = withFailingServer();
        node.advance(20_000_000);
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("restored")));
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().anyMatch(l -> l.equals("restored server s0")));
    }

    @Test
    void atMostHalfOfTheServersAreEjected() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 300; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.ERROR, 5_000);
        }
        // All servers fail: at most two are ejected, and requests must still be sent to the others instead of being
        // queued.
        long id = node.submit(TestNode.UNSAFE);
        assertNotEquals(null, node.lastAttempt(id));
    }

    @Test
    void silentServerIsAvoidedBeforeAnyDeadline() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 100; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        int toSilent = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.submit(TestNode.UNSAFE);
            if (node.lastAttempt(id).server().equals("s0")) {
                toSilent++;
            } else {
                node.complete(id, Result.OK, 10_000);
            }
        }
        assertTrue(toSilent <= 5, "sent to the silent server: " + toSilent);
    }

    @Test
    void overloadedServerThatStillAnswersIsNotEjectedForTimeouts() {
        TestNode node = new TestNode().withServers(2);
        for (int round = 0; round < 80; round++) {
            // One request more than fits in each round, so that the limits are reached and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(node.submit(TestNode.SAFE));
            } while (node.lastAttempt(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> node.complete(id, Result.OK, 100));
        }
        List<Long> overloadRequests = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            overloadRequests.add(node.submit(TestNode.SAFE, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long answered = overloadRequests.stream()
                    .filter(id -> node.lastAttempt(id).server().equals(server))
                    .findFirst()
                    .get();
            node.complete(answered, Result.OK, 1_000);
            overloadRequests.remove(answered);
        }
        node.advance(28_000);
        overloadRequests.forEach(id -> node.complete(id, Result.TIMEOUT, 0));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("ejected")), node.logged.toString());
    }

    @Test
    void localServersArePreferredUntilBusyWhenCrossZoneTrafficCosts() {
        Settings settings = TestNode.settings();
        settings.crossZonePrice = 0.02;
        TestNode node = new TestNode(settings, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.updateServers(ListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(List.of("s0", "s1").contains(node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000)));
        }
        long crossZoneCount = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.submit(TestNode.SAFE);
            crossZoneCount += List.of("s0", "s1").contains(node.lastAttempt(id).server()) ? 0 : 1;
        }
        assertTrue(crossZoneCount >= 6, "cross-zone attempts: " + crossZoneCount);
    }

    /** Guards against a node whose whole limit in flight hangs at servers that are no longer in use. */
    @Test
    void attemptsHangingAtGoneServerDoNotBlockOtherServers() {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.lastAttempt(node.submit(TestNode.UNSAFE)));
        }
        node.updateServers(ListKind.FULL, List.of(TestNode.server("other")));
        for (int i = 0; i < 3; i++) {
            TestNode.SentAttempt sent = node.lastAttempt(node.submit(TestNode.UNSAFE));
            assertTrue(sent != null && sent.server().equals("other"), "request " + i + " sent as " + sent);
        }
    }
}
