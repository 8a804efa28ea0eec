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

/** What a node that shares its servers with many others does in a storm. */
class ManyNodesTest {
    private static final int CHEAP = 0;
    private static final int DEAR = 1;
    private static final long USUAL_US = 80_000;

    private static RequestClass of(String name, double worth) {
        return new RequestClass(name, 200_000, 0, 1_000_000, worth, 0, RetrySafety.UNSAFE, DedupScope.ALL, 0, false);
    }

    private static Node used(int nodes, int servers, long usualUs) {
        Settings set = Node.settings();
        set.nodes = nodes;
        set.classes.clear();
        set.classes.add(of("cheap", 1));
        set.classes.add(of("dear", 5));
        Node node = new Node(set, 5).with(servers);
        for (int i = 0; i < 100; i++) {
            node.advance(2_000_000);
            node.serve(i % 2, Result.OK, usualUs);
        }
        return node;
    }

    /** Asks for cheap ones until one has to wait; those that are out. */
    private static List<Long> fill(Node node) {
        List<Long> out = new ArrayList<>();
        long id = node.ask(CHEAP);
        while (node.attempts(id) > 0) {
            out.add(id);
            id = node.ask(CHEAP);
        }
        return out;
    }

    @Test
    void whatIsWorthMostIsSentThoughItHasWaitedForSomeTime() {
        Node node = used(6, 4, USUAL_US);
        List<Long> out = fill(node);
        long dear = node.ask(DEAR);
        assertEquals(0, node.attempts(dear));
        node.advance(60_000);
        assertEquals(List.of(), node.refused.stream().filter(id -> id == dear).toList());
        for (long id : out) {
            node.answer(id, Result.OK, 0);
        }
        node.advance(50_000);
        assertEquals(1, node.attempts(dear), "140 ms before its aim, of which it takes 80");
    }

    @Test
    void whatIsWorthLittleIsRefusedWhileItsClientMayAskElsewhere() {
        Node node = used(6, 4, USUAL_US);
        fill(node);
        long cheap = node.ask(CHEAP);
        node.advance(70_000);
        assertTrue(node.refused.contains(cheap), "130 ms before its aim");
    }

    @Test
    void whereAClassWaitsInVainItIsNotHeldForLongerThanOthers() {
        Node node = used(6, 4, USUAL_US);
        fill(node);
        for (int i = 0; i < 20; i++) {
            node.ask(DEAR);
        }
        node.advance(130_000);
        long dear = node.ask(DEAR);
        node.advance(60_000);
        assertTrue(node.refused.contains(dear), "most of its class waited in vain");
    }

    @Test
    void whatHangsAtSilentServersLeavesTheOthersTheirRoom() {
        Node node = used(8, 8, 10_000);
        List<Long> hung = fill(node);
        List<String> silent =
                hung.stream().map(id -> node.last(id).server()).distinct().toList();
        assertTrue(silent.size() >= 3 && silent.size() < 8, silent.toString());
        // Four times the usual latency has passed, and none has said anything.
        node.advance(60_000);
        List<Long> more = fill(node);
        assertTrue(more.size() >= 2, "of " + silent.size() + " silent servers, more: " + more.size());
        assertTrue(more.stream().noneMatch(id -> silent.contains(node.last(id).server())));
    }
}
