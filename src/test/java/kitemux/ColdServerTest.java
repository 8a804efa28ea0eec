package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import org.junit.jupiter.api.Test;

/** Rule 4: a node's share of the budget of a cold server. */
class ColdServerTest {

    private static ServerEntry started(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    @Test
    void coldServerReceivesAtMostItsCapacityShareUnderClientOverload() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
        // 100 answers a second from five servers: an even share is 20 a second, of which a cold server can serve one
        // fifth.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.submit(TestNode.SAFE));
            }
            node.advance(10_000);
            // Only one request in ten is answered, so that arrivals are ten times what the fleet serves.
            burst.stream()
                    .map(node::lastAttempt)
                    .filter(s -> s != null && !s.server().equals("cold"))
                    .findFirst()
                    .ifPresent(s -> node.complete(s.request(), Result.OK, 0));
        }
        long toCold = node.attemptCountTo("cold");
        assertTrue(toCold >= 1 && toCold <= 16, "sent to the cold server in two seconds: " + toCold);
    }

    @Test
    void newlyStartedNodeDoesNotFloodColdServer() {
        TestNode node = new TestNode();
        node.updateServers(ListKind.CACHED, List.of(started("cold", node.now - 100_000), TestNode.server("warm")));
        for (int i = 0; i < 200; i++) {
            node.submit(TestNode.SAFE);
            node.advance(1_000);
        }
        long toCold = node.attemptCountTo("cold");
        assertTrue(toCold <= 2, "sent to the cold server in 0.2 s: " + toCold);
    }

    /**
     * Returns the number of requests sent within four seconds to a server that has just started beside four others,
     * when up to four answers arrive in each interval.
     */
    private static long sentToColdServerAtInterval(long intervalUs) {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
        // More requests wait than the servers have capacity for.
        int answered = node.sent.size();
        for (long until = node.now + 4_000_000; node.now < until; node.advance(intervalUs)) {
            for (int i = 0; i < 10; i++) {
                node.submit(TestNode.SAFE);
            }
            for (int i = 0; i < 4 && answered < node.sent.size(); i++) {
                node.complete(node.sent.get(answered++).request(), Result.OK, 0);
            }
        }
        return node.attemptCountTo("cold");
    }

    /**
     * Guards against slow start that sustains congestion: while half of the servers were cold during a release and
     * others were slow, few answers left cold servers with few requests, which reduced the number of answers further.
     */
    @Test
    void congestionReducesColdServerShareOnlyPartially() {
        long sentWhenFast = sentToColdServerAtInterval(40_000);
        long sentWhenCongested = sentToColdServerAtInterval(320_000);
        assertTrue(
                sentWhenCongested * 7 >= sentWhenFast * 2,
                "sent to the cold server: " + sentWhenFast + ", during congestion " + sentWhenCongested);
    }

    /**
     * Guards against cold servers that receive almost nothing because few requests are answered, as happened while
     * servers were replaced twice a second.
     */
    @Test
    void coldServerReceivesWhatOneCoreServesWhenManyNodesGetFewAnswers() {
        long[] toCold = new long[2];
        for (int run = 0; run < 40; run++) {
            Balancer.Settings settings = TestNode.settings();
            settings.nodes = run % 2 == 1 ? 8 : 3;
            TestNode node = new TestNode(settings, run).withServers(4);
            for (int i = 0; i < 100; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
                node.advance(190_000);
            }
            node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
            // Five answers a second for three seconds: an even share is one a second, of which the server received two
            // fifths.
            for (int i = 0; i < 15; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
                node.advance(190_000);
            }
            toCold[run % 2] += node.attemptCountTo("cold");
        }
        assertTrue(
                5 * toCold[1] > 6 * toCold[0] && toCold[1] <= 20 * 4,
                "sent to the cold server by one of eight nodes: " + toCold[1] + ", by one of three: " + toCold[0]);
    }

    /** Guards against a first gap between answers that is measured from the start of the clock. */
    @Test
    void slowStartDoesNotDependOnClockEpoch() {
        List<Long> sentToCold = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            TestNode node = new TestNode();
            node.now = epoch;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
            }
            node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 300; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
            }
            sentToCold.add(node.attemptCountTo("cold"));
        }
        assertEquals(sentToCold.get(0), sentToCold.get(1));
        assertTrue(sentToCold.get(0) > 1, "sent to the cold server in three seconds: " + sentToCold.get(0));
    }

    /**
     * Guards against a gap measured from 1970: a restarted node sent nothing to servers that had started seconds
     * before until they were warm, and 67% of the requests were refused.
     */
    @Test
    void restartedNodeSendsToColdServersForAnyClockEpoch() {
        for (long epoch : new long[] {1_000_000, 1_700_000_000_000_000L}) {
            TestNode node = new TestNode();
            node.now = epoch;
            node.updateServers(ListKind.CACHED, List.of(TestNode.server("warm"), started("cold", epoch - 500_000)));
            for (int i = 0; i < 300; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
            }
            long toCold = node.attemptCountTo("cold");
            assertTrue(toCold >= 5, "sent to the cold server in three seconds: " + toCold);
        }
    }

    /** Guards against limits raised by fast answers to single requests, which overload a server once it is warm. */
    @Test
    void coldServerLimitDoesNotOutgrowOthersDuringSlowStart() {
        Balancer.Settings settings = TestNode.settings();
        settings.nodes = 8;
        TestNode node = new TestNode(settings, 5);
        node.updateServers(ListKind.CACHED, List.of(started("cold", node.now), TestNode.server("warm")));
        long warmAt = node.now + settings.warmUpUs;
        int answered = 0;
        while (node.now < warmAt) {
            for (int i = 0; i < 3; i++) {
                node.submit(TestNode.SAFE);
            }
            for (; answered < node.sent.size(); answered++) {
                TestNode.SentAttempt sent = node.sent.get(answered);
                node.complete(sent.request(), Result.OK, sent.server().equals("cold") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long before = node.attemptCountTo("cold");
        for (int step = 0; step < 20; step++) {
            node.submit(TestNode.SAFE);
            node.advance(50_000);
            while (answered < node.sent.size() && node.sent.get(answered).atUs() <= node.now - 150_000) {
                node.complete(node.sent.get(answered++).request(), Result.OK, 0);
            }
        }
        long toWarmedServer = node.attemptCountTo("cold") - before;
        assertTrue(toWarmedServer <= 3, "sent in a second to the server that is now warm: " + toWarmedServer);
    }

    /**
     * Guards against issue i5680d6: all nodes learn of a start at once, and their first requests together made cold
     * servers fall over.
     */
    @Test
    void firstSendsOfManyNodesToColdServerAreSpreadOut() {
        int sendingNodes = 0;
        for (int nodeIndex = 0; nodeIndex < 40; nodeIndex++) {
            Balancer.Settings settings = TestNode.settings();
            settings.nodes = 24;
            settings.nodeIndex = nodeIndex % 24;
            TestNode node = new TestNode(settings, 300 + nodeIndex).withServers(10);
            for (int i = 0; i < 200; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 20_000);
            }
            node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 15; i++) {
                node.submitAndComplete(TestNode.SAFE, Result.OK, 20_000);
            }
            sendingNodes += node.attemptCountTo("cold") > 0 ? 1 : 0;
        }
        // The gap of a node is about two seconds, so within 0.3 s one sixth of the nodes may send.
        assertTrue(sendingNodes <= 14, "nodes that sent at once: " + sendingNodes);
    }

    @Test
    void coldServerReceivesLessWhenServersCacheKeys() {
        long[] sent = new long[2];
        for (int warm = 0; warm < 2; warm++) {
            Balancer.Settings settings = TestNode.settings();
            settings.warmKeys = warm == 1;
            TestNode node = new TestNode(settings, 9).withServers(4);
            node.updateServers(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 1_000; i++) {
                long id = node.submitWithKey("k" + i % 300, TestNode.UNSAFE);
                node.complete(id, Result.OK, 10_000);
            }
            sent[warm] = node.attemptCountTo("cold");
        }
        assertTrue(sent[1] > 0 && 2 * sent[1] <= sent[0], "sent: " + sent[1] + " and " + sent[0]);
    }
}
