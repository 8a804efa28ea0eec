package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Exceptions: silence counts while an attempt is out, hedges, health by class. */
class SilenceTest {
    private static final long USUAL_US = 10_000;

    private static Node used(Settings set, int servers) {
        Node node = new Node(set, 11).with(servers);
        for (int i = 0; i < 200; i++) {
            node.serve(i % 5, Result.OK, USUAL_US);
        }
        return node;
    }

    private static boolean said(Node node, String start) {
        return node.logged.stream().anyMatch(l -> l.startsWith(start));
    }

    /** Lets a request of this class go unanswered at {@code s0}, and answers all others. */
    private static boolean meetsSilence(Node node, int classIndex) {
        long id = node.ask(classIndex);
        if (!node.last(id).server().equals("s0")) {
            node.answer(id, Result.OK, USUAL_US);
            return false;
        }
        node.advance(30 * USUAL_US);
        // The client leaves long before its deadline: no time-out ever tells.
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.CANCELLED, 30 * USUAL_US, true, null));
        return true;
    }

    @Test
    void aServerThatSwallowsRequestsIsEjectedThoughClientsLeaveBeforeAnyTimeOut() {
        Node node = used(Node.settings(), 4);
        int met = 0;
        for (int i = 0; i < 200; i++) {
            met += meetsSilence(node, Node.UNSAFE) ? 1 : 0;
        }
        assertTrue(said(node, "ejected server s0"), node.logged.toString());
        assertTrue(met <= 8, "lost at the silent server: " + met);
    }

    @Test
    void clientsThatLeaveAfterAShortWaitSayNothingOfAServer() {
        Node node = used(Node.settings(), 4);
        for (int i = 0; i < 200; i++) {
            long id = node.ask(Node.UNSAFE);
            node.advance(USUAL_US / 2);
            node.balancer.onClientGone(node.now, id);
            node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.CANCELLED, USUAL_US / 2, true, null));
        }
        assertTrue(node.logged.isEmpty(), node.logged.toString());
    }

    @Test
    void aRepeatableRequestThatMeetsSilencePassesToASecondServerInTime() {
        Node node = used(Node.settings(), 4);
        long id = node.ask(Node.SAFE);
        String silent = node.last(id).server();
        node.advance(10 * USUAL_US);
        assertEquals(2, node.attempts(id));
        assertNotEquals(silent, node.last(id).server());
        long unsafe = node.ask(Node.UNSAFE);
        node.advance(10 * USUAL_US);
        assertEquals(1, node.attempts(unsafe));
    }

    @Test
    void whereNoSecondCopiesAreAllowedNothingIsHedged() {
        Settings set = Node.settings();
        set.hedgingAllowed = false;
        Node node = used(set, 4);
        long id = node.ask(Node.SAFE);
        node.advance(10 * USUAL_US);
        assertEquals(1, node.attempts(id));
    }

    @Test
    void hedgesAreABudgetedShareOfFirstTries() {
        Node node = used(Node.settings(), 40);
        int before = node.sent.size();
        for (int i = 0; i < 300; i++) {
            long id = node.ask(Node.SAFE);
            node.advance(10 * USUAL_US);
            int tries = node.attempts(id);
            for (int attempt = 0; attempt < tries; attempt++) {
                node.balancer.onOutcome(node.now, new Outcome(id, attempt, Result.OK, 10_000, true, null));
            }
        }
        int hedges = node.sent.size() - before - 300;
        assertTrue(hedges >= 20 && hedges <= 85, "hedges for 300 requests: " + hedges);
    }

    @Test
    void aPauseOfTheNodeItselfIsNotTakenForSilence() {
        Node node = used(Node.settings(), 4);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(node.ask(Node.SAFE));
        }
        int sent = node.sent.size();
        // The node stands still for a second; the late wake-up is handled first, then the answers.
        node.now += 1_000_000 - 1;
        node.balancer.onWake(node.now);
        ids.forEach(id -> node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, USUAL_US, true, null)));
        assertEquals(sent, node.sent.size());
        assertTrue(node.logged.isEmpty(), node.logged.toString());
    }

    @Test
    void aServerThatFailsOneClassIsEjectedForItAndServesTheOthers() {
        Node node = used(Node.settings(), 4);
        int failed = 0;
        int served = 0;
        for (int i = 0; i < 600; i++) {
            int classIndex = i % 2 == 0 ? Node.UNSAFE : Node.SAFE;
            long id = node.ask(classIndex);
            boolean bad = node.last(id).server().equals("s0") && classIndex == Node.UNSAFE;
            failed += bad ? 1 : 0;
            served += node.last(id).server().equals("s0") && !bad ? 1 : 0;
            node.answer(id, bad ? Result.ERROR : Result.OK, USUAL_US);
        }
        assertTrue(said(node, "ejected server s0 after 5 failures of class unsafe"), node.logged.toString());
        assertTrue(failed <= 8, "failed at the server: " + failed);
        assertTrue(served >= 40, "served by it in the other class: " + served);
    }

    @Test
    void anUnsafeClassComesBackAfterRareTrials() {
        Node node = used(Node.settings(), 4);
        for (int i = 0; i < 200 && node.logged.isEmpty(); i++) {
            long id = node.ask(Node.UNSAFE);
            node.answer(id, node.last(id).server().equals("s0") ? Result.ERROR : Result.OK, USUAL_US);
            node.serve(Node.SAFE, Result.OK, USUAL_US);
        }
        assertTrue(said(node, "ejected server s0"), node.logged.toString());
        for (int i = 0; i < 400; i++) {
            node.serve(Node.UNSAFE, Result.OK, USUAL_US);
        }
        assertTrue(said(node, "restored server s0"), node.logged.toString());
    }

    /** Guards against limits that rose until servers choked, as slow answers went unseen. */
    @Test
    void whatClientsWaitedBeforeTheyLeftLowersLimits() {
        int[] held = new int[2];
        for (int leave = 0; leave < 2; leave++) {
            Node node = used(Node.settings(), 1);
            for (int i = 0; i < 30; i++) {
                long id = node.ask(Node.UNSAFE);
                if (leave == 1) {
                    node.advance(12 * USUAL_US);
                    node.balancer.onClientGone(node.now, id);
                    node.answer(id, Result.CANCELLED, 0);
                } else {
                    node.answer(id, Result.OK, USUAL_US);
                }
            }
            int before = node.sent.size();
            for (int i = 0; i < 20; i++) {
                node.ask(Node.UNSAFE);
            }
            held[leave] = node.sent.size() - before;
        }
        assertTrue(held[1] < held[0] && held[1] <= 2, "held at once: " + held[1] + " and " + held[0]);
    }
}
