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

/** Rule 4: a node's part of a cold server's budget. */
class ColdServerTest {

    private static ServerEntry started(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    @Test
    void aColdServerGetsAtMostItsShareOfAnEvenPartEvenWhenClientsAskManyTimesOver() {
        Node node = new Node().with(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
        // 100 answers a second from five servers: an even part is 20 a second, a fifth of which a cold
        // one can do.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.ask(Node.SAFE));
            }
            node.advance(10_000);
            // Only one of ten is answered, so that arrivals are ten times what the fleet gets done.
            burst.stream()
                    .map(node::last)
                    .filter(s -> s != null && !s.server().equals("cold"))
                    .findFirst()
                    .ifPresent(s -> node.answer(s.request(), Result.OK, 0));
        }
        long toCold = node.sentTo("cold");
        assertTrue(toCold >= 1 && toCold <= 16, "sent to the cold server in two seconds: " + toCold);
    }

    @Test
    void aNodeThatHasJustStartedDoesNotFloodAColdServer() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(started("cold", node.now - 100_000), Node.server("warm")));
        for (int i = 0; i < 200; i++) {
            node.ask(Node.SAFE);
            node.advance(1_000);
        }
        long toCold = node.sentTo("cold");
        assertTrue(toCold <= 2, "sent to the cold server in 0.2 s: " + toCold);
    }

    /**
     * Sent in four seconds to a server that has just started beside four, when each of these answers so fast.
     */
    private static long sentWhileOthersTake(long us) {
        Node node = new Node().with(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
        // As many wait as there is room for, and more.
        int answered = node.sent.size();
        for (long until = node.now + 4_000_000; node.now < until; node.advance(us)) {
            for (int i = 0; i < 10; i++) {
                node.ask(Node.SAFE);
            }
            for (int i = 0; i < 4 && answered < node.sent.size(); i++) {
                node.answer(node.sent.get(answered++).request(), Result.OK, 0);
            }
        }
        return node.sentTo("cold");
    }

    @Test
    void aJamThatLeavesLittleAnsweredTakesOnlyAPartOfTheirPartFromColdServers() {
        // On a day of releases half of the servers were cold and others slow: as little was answered, cold
        // ones
        // got little, so that less was answered still, for as long as the release went on.
        long swift = sentWhileOthersTake(40_000);
        long jammed = sentWhileOthersTake(320_000);
        assertTrue(jammed * 7 >= swift * 2, "sent to the cold server: " + swift + ", in a jam " + jammed);
    }

    /** While servers were replaced twice a second little was answered, and cold ones got little for it. */
    @Test
    void atANodeOfManyAColdServerGetsWhatItCanWorkOffHoweverLittleIsAnswered() {
        long[] toCold = new long[2];
        for (int run = 0; run < 40; run++) {
            Balancer.Settings set = Node.settings();
            set.nodes = run % 2 == 1 ? 8 : 3;
            Node node = new Node(set, run).with(4);
            for (int i = 0; i < 100; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(190_000);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            // Five a second for three seconds: an even part is one a second, of which it got two fifths.
            for (int i = 0; i < 15; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(190_000);
            }
            toCold[run % 2] += node.sentTo("cold");
        }
        assertTrue(
                5 * toCold[1] > 6 * toCold[0] && toCold[1] <= 20 * 4,
                "sent to the cold server by nodes of eight: " + toCold[1] + ", by three: " + toCold[0]);
    }

    @Test
    void slowStartDoesNotDependOnWhereTheClockBegins() {
        // Guards against a first gap between answers that was counted from the start of the clock.
        List<Long> sentToCold = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            Node node = new Node();
            node.now = epoch;
            node.with(3);
            for (int i = 0; i < 100; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 300; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            sentToCold.add(node.sentTo("cold"));
        }
        assertEquals(sentToCold.get(0), sentToCold.get(1));
        assertTrue(sentToCold.get(0) > 1, "sent to the cold server in three seconds: " + sentToCold.get(0));
    }

    @Test
    void aNodeThatStartsBesideColdServersSendsToThemWhereverTheClockBegins() {
        // A restarted node met servers that had started seconds before: before its first request the gap was
        // counted from 1970, and it sent them nothing until they were warm, at 67% of requests refused.
        for (long epoch : new long[] {1_000_000, 1_700_000_000_000_000L}) {
            Node node = new Node();
            node.now = epoch;
            node.list(ListKind.CACHED, List.of(Node.server("warm"), started("cold", epoch - 500_000)));
            for (int i = 0; i < 300; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            long toCold = node.sentTo("cold");
            assertTrue(toCold >= 5, "sent to the cold server in three seconds: " + toCold);
        }
    }

    @Test
    void aColdServersLimitDoesNotGrowPastTheOthersWhileOnlySlowStartHoldsItBack() {
        // Quick answers to single requests raised limits that choked servers once warm.
        Balancer.Settings set = Node.settings();
        set.nodes = 8;
        Node node = new Node(set, 5);
        node.list(ListKind.CACHED, List.of(started("cold", node.now), Node.server("warm")));
        long warmAt = node.now + set.warmUpUs;
        int answered = 0;
        while (node.now < warmAt) {
            for (int i = 0; i < 3; i++) {
                node.ask(Node.SAFE);
            }
            for (; answered < node.sent.size(); answered++) {
                Node.Sent sent = node.sent.get(answered);
                node.answer(sent.request(), Result.OK, sent.server().equals("cold") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long before = node.sentTo("cold");
        for (int step = 0; step < 20; step++) {
            node.ask(Node.SAFE);
            node.advance(50_000);
            while (answered < node.sent.size() && node.sent.get(answered).atUs() <= node.now - 150_000) {
                node.answer(node.sent.get(answered++).request(), Result.OK, 0);
            }
        }
        long toOneJustWarm = node.sentTo("cold") - before;
        assertTrue(toOneJustWarm <= 3, "sent in a second to the server that is now warm: " + toOneJustWarm);
    }

    /** Guards i5680d6: all nodes hear of a start at once; their first sends together pushed servers over. */
    @Test
    void firstSendsOfManyNodesToAColdServerDoNotComeTogether() {
        int within = 0;
        for (int me = 0; me < 40; me++) {
            Balancer.Settings set = Node.settings();
            set.nodes = 24;
            set.nodeIndex = me % 24;
            Node node = new Node(set, 300 + me).with(10);
            for (int i = 0; i < 200; i++) {
                node.serve(Node.SAFE, Result.OK, 20_000);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 15; i++) {
                node.serve(Node.SAFE, Result.OK, 20_000);
            }
            within += node.sentTo("cold") > 0 ? 1 : 0;
        }
        // A node's gap is about two seconds: in 0.3 s a sixth of the nodes may send.
        assertTrue(within <= 14, "nodes that sent at once: " + within);
    }

    @Test
    void whereKeysAreWarmAColdServerGetsLessSinceItKnowsNone() {
        long[] sent = new long[2];
        for (int warm = 0; warm < 2; warm++) {
            Balancer.Settings set = Node.settings();
            set.warmKeys = warm == 1;
            Node node = new Node(set, 9).with(4);
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 1_000; i++) {
                long id = node.askFor("k" + i % 300, Node.UNSAFE);
                node.answer(id, Result.OK, 10_000);
            }
            sent[warm] = node.sentTo("cold");
        }
        assertTrue(sent[1] > 0 && 2 * sent[1] <= sent[0], "sent: " + sent[1] + " and " + sent[0]);
    }
}
