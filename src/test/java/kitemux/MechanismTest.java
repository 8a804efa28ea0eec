package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The ordinary path: weighted draws, own requests in flight, error counts, retries, and the queue. */
class MechanismTest {

    @Test
    void serverWithFewerRequestsInFlightIsChosen() {
        TestNode node = new TestNode().withServers(2);
        String busy = node.lastAttempt(node.submit(TestNode.UNSAFE)).server();
        for (int i = 0; i < 20; i++) {
            long id = node.submit(TestNode.SAFE);
            assertNotEquals(busy, node.lastAttempt(id).server());
            node.complete(id, Result.OK, 10_000);
        }
    }

    @Test
    void tiesWithoutErrorsAreSpreadEvenly() {
        TestNode node = new TestNode().withServers(4);
        Map<String, Integer> hits = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            hits.merge(node.submitAndComplete(TestNode.SAFE, Result.OK, 1_000), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(Math.abs(hits.get("s" + i) - 1_000) < 150, hits.toString());
        }
    }

    @Test
    void emptierServerIsChosenDespiteAnError() {
        TestNode node = new TestNode().withServers(2);
        long id = node.submit(TestNode.UNSAFE);
        String failed = node.lastAttempt(id).server();
        node.complete(id, Result.ERROR, 1_000);
        long held = node.submit(TestNode.SAFE);
        String other = node.lastAttempt(held).server();
        // After one error both servers are still drawn; the one with fewer requests in flight receives the request.
        String emptier = other.equals("s0") ? "s1" : "s0";
        assertEquals(emptier, node.lastAttempt(node.submit(TestNode.SAFE)).server());
        assertTrue(List.of("s0", "s1").contains(failed));
    }

    @Test
    void failedSafeRequestIsRetriedOnNextServerInListOrder() {
        TestNode node = new TestNode().withServers(5);
        long id = node.submit(TestNode.SAFE);
        for (int i = 0; i < 3; i++) {
            int from = Integer.parseInt(node.lastAttempt(id).server().substring(1));
            node.complete(id, Result.ERROR, 1_000);
            assertEquals("s" + (from + 1) % 5, node.lastAttempt(id).server());
        }
        node.complete(id, Result.ERROR, 1_000);
        assertEquals(4, node.attemptCount(id));
        assertEquals(List.of(id), node.refused);
    }

    @Test
    void unsafeRequestIsRetriedOnlyIfItNeverRan() {
        TestNode node = new TestNode().withServers(3);
        long id = node.submit(TestNode.UNSAFE);
        node.complete(id, Result.CONNECT_FAILED, 1_000);
        assertEquals(2, node.attemptCount(id));
        node.complete(id, Result.RESET, 1_000);
        assertEquals(2, node.attemptCount(id));
        assertEquals(List.of(id), node.failed);
    }

    @Test
    void requestsWaitWithoutServersAndAreSentInOrderWhenOneArrives() {
        TestNode node = new TestNode().withServers(0);
        long first = node.submit(TestNode.UNSAFE);
        long second = node.submit(TestNode.SAFE);
        node.advance(50_000);
        assertTrue(node.sent.isEmpty());
        node.updateServers(ListKind.CHANGES, List.of(TestNode.server("s0"), TestNode.server("s1")));
        assertEquals(
                List.of(first, second),
                node.sent.stream().map(TestNode.SentAttempt::request).toList());
    }

    @Test
    void waitingRequestIsRefusedBeforeItsDeadline() {
        TestNode node = new TestNode().withServers(0);
        long id = node.submit(TestNode.UNSAFE, 300_000);
        node.advance(299_999);
        assertEquals(List.of(id), node.refused);
        assertFalse(node.failed.contains(id));
    }

    @Test
    void serverAtLimitIsSkippedAndQueueServesHighestWorthFirst() {
        Settings settings = TestNode.settings();
        settings.classes.add(new Balancer.RequestClass(
                "dear", 200_000, 0, 1_000_000, 9, 0, Balancer.RetrySafety.SAFE, Balancer.DedupScope.ALL, 0, false));
        settings.nodes = 2;
        TestNode node = new TestNode(settings, 3).withServers(2);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(node.submit(TestNode.SAFE));
        }
        long valuable = node.submit(5);
        // Each of two nodes starts with a limit of two at each of two servers: the fifth and the valuable request wait.
        assertEquals(4, node.sent.size());
        node.complete(ids.get(0), Result.OK, 10_000);
        assertEquals(valuable, node.sent.get(4).request());
    }

    @Test
    void slowAnswersLowerServerLimitAndTimelyAnswersRaiseIt() {
        TestNode slow = new TestNode().withServers(1);
        TestNode fast = new TestNode().withServers(1);
        for (int i = 0; i < 30; i++) {
            slow.submitAndComplete(TestNode.SAFE, Result.OK, 150_000);
            long[] pair = {fast.submit(TestNode.SAFE), fast.submit(TestNode.SAFE)};
            fast.complete(pair[0], Result.OK, 5_000);
            fast.complete(pair[1], Result.OK, 5_000);
        }
        for (int i = 0; i < 8; i++) {
            slow.submit(TestNode.SAFE);
            fast.submit(TestNode.SAFE);
        }
        assertEquals(1, slow.sent.size() - 30);
        assertTrue(fast.sent.size() - 60 >= 3, "sent " + fast.sent.size());
    }

    @Test
    void overShareTenantWaitsBehindTenantWithinShare() {
        Settings settings = TestNode.settings();
        settings.tenants.clear();
        settings.overShareWorth = 0.1;
        settings.tenants.add(new Balancer.Tenant("greedy", 1));
        settings.tenants.add(new Balancer.Tenant("modest", 100));
        TestNode node = new TestNode(settings, 3).withServers(1);
        List<Long> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            first.add(node.submit(TestNode.SAFE, 1, 1_000_000));
        }
        List<Long> greedy = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            greedy.add(node.submit(TestNode.SAFE, 0, 1_000_000));
        }
        long modest = node.submit(TestNode.SAFE, 1, 1_000_000);
        first.forEach(id -> node.complete(id, Result.OK, 1_000));
        node.complete(greedy.get(0), Result.OK, 1_000);
        node.complete(modest, Result.OK, 1_000);
        assertEquals(
                List.of(greedy.get(0), modest, greedy.get(1), greedy.get(2)),
                node.sent.stream()
                        .skip(4)
                        .limit(4)
                        .map(TestNode.SentAttempt::request)
                        .toList());
    }

    /**
     * Guards against issue i39f6d5: the flood of one tenant filled the limits, and requests of other tenants within
     * their shares were refused.
     */
    @Test
    void overShareRequestsLeaveCapacityForRequestsWithinShare() {
        Settings settings = TestNode.settings();
        settings.tenants.clear();
        settings.overShareWorth = 0.1;
        settings.tenants.add(new Balancer.Tenant("greedy", 1));
        settings.tenants.add(new Balancer.Tenant("modest", 100));
        TestNode node = new TestNode(settings, 3).withServers(2);
        for (int i = 0; i < 40; i++) {
            node.submit(TestNode.SAFE, 0, 1_000_000);
        }
        // Two servers start with limits of four: half of these for the flood, and one request within the share.
        int flood = node.sent.size();
        assertTrue(flood >= 4 && flood <= 5, "requests of the flood sent: " + flood);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    1,
                    node.attemptCount(node.submit(TestNode.SAFE, 1, 1_000_000)),
                    "request " + i + " within the share");
        }
    }

    @Test
    void serverWithLimitUnderOneIsPaced() {
        Settings settings = TestNode.settings();
        settings.nodes = 8;
        TestNode node = new TestNode(settings, 3).withServers(1);
        node.submitAndComplete(TestNode.SAFE, Result.OK, 60_000);
        long id = node.submit(TestNode.SAFE);
        node.advance(20_000);
        assertEquals(0, node.attemptCount(id));
        node.advance(60_000);
        assertEquals(1, node.attemptCount(id));
    }

    /** Guards against overload of the whole fleet by one request from each node at every server. */
    @Test
    void requestsInFlightStayWithinSumOfServerLimits() {
        Settings settings = TestNode.settings();
        settings.nodes = 8;
        TestNode node = new TestNode(settings, 3).withServers(8);
        for (int i = 0; i < 8; i++) {
            node.submit(TestNode.SAFE);
        }
        assertEquals(4, node.sent.size());
    }

    @Test
    void answersFarSlowerThanClassMinimumLowerLimitDespiteDistantTarget() {
        Settings settings = TestNode.settings();
        settings.classes.add(new Balancer.RequestClass(
                "patient",
                20_000_000,
                0,
                30_000_000,
                1,
                0,
                Balancer.RetrySafety.SAFE,
                Balancer.DedupScope.ALL,
                0,
                false));
        TestNode node = new TestNode(settings, 3).withServers(1);
        for (int i = 0; i < 80; i++) {
            node.submitAndComplete(5, Result.OK, i < 40 ? 10_000 : 200_000);
        }
        int before = node.sent.size();
        for (int i = 0; i < 4; i++) {
            node.submit(5, 30_000_000);
        }
        assertEquals(1, node.sent.size() - before);
    }

    /**
     * Guards against late refusals: when requests were refused at half a usual latency before the target, an
     * overloaded fleet answered mostly late. Where servers take longer than the target, a request may still wait for
     * a while.
     */
    @ParameterizedTest
    @CsvSource({"50000, 80000", "250000, 30000"})
    void waitingRequestIsRefusedWellBeforeItsTarget(long usualUs, long minWaitUs) {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 40; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.OK, usualUs);
        }
        node.updateServers(ListKind.FULL, List.of());
        long id = node.submit(TestNode.UNSAFE);
        node.advance(minWaitUs);
        assertFalse(node.refused.contains(id));
        node.advance(30_000);
        assertTrue(node.refused.contains(id));
    }

    /**
     * Guards against issue i8c4c9a: while half of the answers were late, timely ones raised limits again and
     * sustained the congestion.
     */
    @Test
    void timelyAnswersRaiseLimitsLessWhileOthersAreLate() {
        long[] sent = new long[2];
        for (int late = 0; late < 2; late++) {
            TestNode node = new TestNode().withServers(2);
            for (int round = 0; round < 40; round++) {
                List<Long> burst = new ArrayList<>();
                for (int i = 0; i < 40; i++) {
                    burst.add(node.submit(TestNode.UNSAFE));
                }
                node.advance(4_000);
                assertTrue(completeOneAt(node, burst, "s1"));
                node.advance(late == 1 ? 210_000 : 0);
                assertTrue(completeOneAt(node, burst, "s0"));
                for (long id : burst) {
                    node.balancer.onClientGone(node.now, id);
                    if (node.lastAttempt(id) != null) {
                        node.complete(id, Result.CANCELLED, 0);
                    }
                }
                node.advance(2_000_000);
            }
            long before = node.attemptCountTo("s1");
            for (int i = 0; i < 100; i++) {
                node.submit(TestNode.UNSAFE);
            }
            sent[late] = node.attemptCountTo("s1") - before;
        }
        assertTrue(sent[1] < sent[0] * 2 / 3, "sent to the fast server: " + sent[1] + " and " + sent[0]);
    }

    /** Completes one request of the burst that was sent to this server; returns whether there was one. */
    private static boolean completeOneAt(TestNode node, List<Long> burst, String server) {
        for (long id : burst) {
            if (node.lastAttempt(id) != null && node.lastAttempt(id).server().equals(server)) {
                node.complete(id, Result.OK, 0);
                return burst.remove(id);
            }
        }
        return false;
    }
}
