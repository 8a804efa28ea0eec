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

/** Detection of silent attempts, hedging, and health by class. */
class SilenceTest {
    private static final long USUAL_US = 10_000;

    private static TestNode warmedUpNode(Settings settings, int serverCount) {
        TestNode node = new TestNode(settings, 11).withServers(serverCount);
        for (int i = 0; i < 200; i++) {
            node.submitAndComplete(i % 5, Result.OK, USUAL_US);
        }
        return node;
    }

    private static boolean hasLogged(TestNode node, String prefix) {
        return node.logged.stream().anyMatch(l -> l.startsWith(prefix));
    }

    /**
     * Leaves a request of this class unanswered if it is sent to {@code s0}, and otherwise completes it. Returns
     * whether it was sent to {@code s0}.
     */
    private static boolean reachesSilentServer(TestNode node, int classIndex) {
        long id = node.submit(classIndex);
        if (!node.lastAttempt(id).server().equals("s0")) {
            node.complete(id, Result.OK, USUAL_US);
            return false;
        }
        node.advance(30 * USUAL_US);
        // The client leaves long before its deadline, so no time-out ever reports the silence.
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.CANCELLED, 30 * USUAL_US, true, null));
        return true;
    }

    @Test
    void silentServerIsEjectedEvenIfClientsLeaveBeforeTimeouts() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        int lostCount = 0;
        for (int i = 0; i < 200; i++) {
            lostCount += reachesSilentServer(node, TestNode.UNSAFE) ? 1 : 0;
        }
        assertTrue(hasLogged(node, "ejected server s0"), node.logged.toString());
        assertTrue(lostCount <= 8, "requests lost at the silent server: " + lostCount);
    }

    @Test
    void clientsLeavingAfterShortWaitDoNotCountAsFailures() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        for (int i = 0; i < 200; i++) {
            long id = node.submit(TestNode.UNSAFE);
            node.advance(USUAL_US / 2);
            node.balancer.onClientGone(node.now, id);
            node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.CANCELLED, USUAL_US / 2, true, null));
        }
        assertTrue(node.logged.isEmpty(), node.logged.toString());
    }

    @Test
    void safeRequestAtSilentServerIsHedged() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        long id = node.submit(TestNode.SAFE);
        String silent = node.lastAttempt(id).server();
        node.advance(10 * USUAL_US);
        assertEquals(2, node.attemptCount(id));
        assertNotEquals(silent, node.lastAttempt(id).server());
        long unsafe = node.submit(TestNode.UNSAFE);
        node.advance(10 * USUAL_US);
        assertEquals(1, node.attemptCount(unsafe));
    }

    @Test
    void nothingIsHedgedWhenHedgingIsNotAllowed() {
        Settings settings = TestNode.settings();
        settings.hedgingAllowed = false;
        TestNode node = warmedUpNode(settings, 4);
        long id = node.submit(TestNode.SAFE);
        node.advance(10 * USUAL_US);
        assertEquals(1, node.attemptCount(id));
    }

    @Test
    void hedgesStayWithinBudgetOfFirstTries() {
        TestNode node = warmedUpNode(TestNode.settings(), 40);
        int before = node.sent.size();
        for (int i = 0; i < 300; i++) {
            long id = node.submit(TestNode.SAFE);
            node.advance(10 * USUAL_US);
            int tries = node.attemptCount(id);
            for (int attempt = 0; attempt < tries; attempt++) {
                node.balancer.onOutcome(node.now, new Outcome(id, attempt, Result.OK, 10_000, true, null));
            }
        }
        int hedges = node.sent.size() - before - 300;
        assertTrue(hedges >= 20 && hedges <= 85, "hedges for 300 requests: " + hedges);
    }

    @Test
    void pauseOfTheNodeIsNotTakenForServerSilence() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(node.submit(TestNode.SAFE));
        }
        int sent = node.sent.size();
        // The node pauses for a second; the late wake-up is handled first, then the answers.
        node.now += 1_000_000 - 1;
        node.balancer.onWake(node.now);
        ids.forEach(id -> node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, USUAL_US, true, null)));
        assertEquals(sent, node.sent.size());
        assertTrue(node.logged.isEmpty(), node.logged.toString());
    }

    @Test
    void serverFailingOneClassIsEjectedForThatClassOnly() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        int failed = 0;
        int served = 0;
        for (int i = 0; i < 600; i++) {
            int classIndex = i % 2 == 0 ? TestNode.UNSAFE : TestNode.SAFE;
            long id = node.submit(classIndex);
            boolean failing = node.lastAttempt(id).server().equals("s0") && classIndex == TestNode.UNSAFE;
            failed += failing ? 1 : 0;
            served += node.lastAttempt(id).server().equals("s0") && !failing ? 1 : 0;
            node.complete(id, failing ? Result.ERROR : Result.OK, USUAL_US);
        }
        assertTrue(hasLogged(node, "ejected server s0 after 5 failures of class unsafe"), node.logged.toString());
        assertTrue(failed <= 8, "requests failed at the server: " + failed);
        assertTrue(served >= 40, "requests of the other class served: " + served);
    }

    @Test
    void serverIsRestoredForUnsafeClassAfterTrials() {
        TestNode node = warmedUpNode(TestNode.settings(), 4);
        for (int i = 0; i < 200 && node.logged.isEmpty(); i++) {
            long id = node.submit(TestNode.UNSAFE);
            node.complete(id, node.lastAttempt(id).server().equals("s0") ? Result.ERROR : Result.OK, USUAL_US);
            node.submitAndComplete(TestNode.SAFE, Result.OK, USUAL_US);
        }
        assertTrue(hasLogged(node, "ejected server s0"), node.logged.toString());
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.OK, USUAL_US);
        }
        assertTrue(hasLogged(node, "restored server s0"), node.logged.toString());
    }

    /** Guards against limits that rose until servers were overloaded because slow answers were never observed. */
    @Test
    void longWaitsOfDepartedClientsLowerLimits() {
        int[] sentCount = new int[2];
        for (int clientsLeave = 0; clientsLeave < 2; clientsLeave++) {
            TestNode node = warmedUpNode(TestNode.settings(), 1);
            for (int i = 0; i < 30; i++) {
                long id = node.submit(TestNode.UNSAFE);
                if (clientsLeave == 1) {
                    node.advance(12 * USUAL_US);
                    node.balancer.onClientGone(node.now, id);
                    node.complete(id, Result.CANCELLED, 0);
                } else {
                    node.complete(id, Result.OK, USUAL_US);
                }
            }
            int before = node.sent.size();
            for (int i = 0; i < 20; i++) {
                node.submit(TestNode.UNSAFE);
            }
            sentCount[clientsLeave] = node.sent.size() - before;
        }
        assertTrue(
                sentCount[1] < sentCount[0] && sentCount[1] <= 2,
                "in flight at once: " + sentCount[1] + " and " + sentCount[0]);
    }
}
