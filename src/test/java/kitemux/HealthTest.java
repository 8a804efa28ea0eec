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

/** Exceptions: ejection and trials, silent servers, zones. */
class HealthTest {

    /** Serves one request; {@code s0} fails, all others succeed. */
    private static boolean hitsBad(Node node, int classIndex) {
        long id = node.ask(classIndex);
        boolean bad = node.last(id).server().equals("s0");
        node.answer(id, bad ? Result.ERROR : Result.OK, 5_000);
        if (bad && node.attempts(id) > 1) {
            node.answer(id, Result.OK, 5_000);
        }
        return bad;
    }

    /** Four servers, of which {@code s0} has failed all it was sent among 400 requests. */
    private static Node withFailingServer() {
        Node node = new Node().with(4);
        for (int i = 0; i < 400; i++) {
            hitsBad(node, Node.SAFE);
        }
        return node;
    }

    private static void assertEjected(Node node) {
        assertTrue(node.logged.stream().anyMatch(l -> l.startsWith("ejected server s0")), node.logged.toString());
    }

    @Test
    void aServerThatKeepsFailingIsEjectedAndTriedEverMoreSparingly() {
        Node node = withFailingServer();
        assertEjected(node);
        int hits = 0;
        long from = node.now;
        while (node.now < from + 20_000_000) {
            hits += hitsBad(node, Node.SAFE) ? 1 : 0;
        }
        assertTrue(hits >= 2 && hits <= 14, "trials in 20 s: " + hits);
    }

    /** Ten servers at which one attempt in 14 is reset, and all attempts at the one that is named. */
    private static Node withResets(String bad) {
        Node node = new Node().with(10);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 4_000; i++) {
            long id = node.ask(Node.SAFE);
            for (int attempt = 0; attempt < node.attempts(id); attempt++) {
                boolean reset =
                        random.nextInt(14) == 0 || node.last(id).server().equals(bad);
                node.answer(id, reset ? Result.RESET : Result.OK, 5_000);
            }
        }
        return node;
    }

    @Test
    void whatAllServersFailInCommonEjectsNoneOfThem() {
        assertEquals(List.of(), withResets("none").logged);
    }

    @Test
    void aServerThatFailsMuchMoreThanAllDoIsEjected() {
        assertEjected(withResets("s0"));
    }

    @Test
    void unsafeRequestsAreNotUsedForTrials() {
        Node node = withFailingServer();
        node.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!hitsBad(node, Node.UNSAFE));
        }
    }

    @Test
    void oneLuckySuccessDoesNotRestoreAServerButSeveralInARowDo() {
        Node node = withFailingServer();
        node.advance(20_000_000);
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("restored")));
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().anyMatch(l -> l.equals("restored server s0")));
    }

    @Test
    void neverAreMoreThanHalfOfTheServersEjected() {
        Node node = new Node().with(4);
        for (int i = 0; i < 300; i++) {
            node.serve(Node.UNSAFE, Result.ERROR, 5_000);
        }
        // All fail: two may be out, and requests must still be tried on the others, not held.
        long id = node.ask(Node.UNSAFE);
        assertNotEquals(null, node.last(id));
    }

    @Test
    void aServerThatAnswersNothingIsLeftAloneBeforeAnyDeadlinePasses() {
        Node node = new Node().with(4);
        for (int i = 0; i < 100; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        int toSilent = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.ask(Node.UNSAFE);
            if (node.last(id).server().equals("s0")) {
                toSilent++;
            } else {
                node.answer(id, Result.OK, 10_000);
            }
        }
        assertTrue(toSilent <= 5, "sent to the silent server: " + toSilent);
    }

    @Test
    void aCrowdedServerThatStillAnswersIsNotEjectedForTimeOuts() {
        Node node = new Node().with(2);
        for (int round = 0; round < 80; round++) {
            // Ever one more than fits, so that the limits are met and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(node.ask(Node.SAFE));
            } while (node.last(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> node.answer(id, Result.OK, 100));
        }
        List<Long> crowd = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            crowd.add(node.ask(Node.SAFE, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long answered = crowd.stream()
                    .filter(id -> node.last(id).server().equals(server))
                    .findFirst()
                    .get();
            node.answer(answered, Result.OK, 1_000);
            crowd.remove(answered);
        }
        node.advance(28_000);
        crowd.forEach(id -> node.answer(id, Result.TIMEOUT, 0));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("ejected")), node.logged.toString());
    }

    @Test
    void whereCrossingZonesCostsLocalServersComeFirstAndOthersWhenTheyAreBusy() {
        Settings set = Node.settings();
        set.crossZonePrice = 0.02;
        Node node = new Node(set, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.list(ListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(List.of("s0", "s1").contains(node.serve(Node.SAFE, Result.OK, 5_000)));
        }
        long crossed = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.ask(Node.SAFE);
            crossed += List.of("s0", "s1").contains(node.last(id).server()) ? 0 : 1;
        }
        assertTrue(crossed >= 6, "crossed " + crossed);
    }

    @Test
    void whatHangsAtAServerThatHasGoneDoesNotHoldBackTheOthers() {
        // Guards against a node whose whole allowance in flight hangs at servers no longer in use.
        Node node = new Node().with(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.last(node.ask(Node.UNSAFE)));
        }
        node.list(ListKind.FULL, List.of(Node.server("other")));
        for (int i = 0; i < 3; i++) {
            Node.Sent sent = node.last(node.ask(Node.UNSAFE));
            assertTrue(sent != null && sent.server().equals("other"), "request " + i + " at " + sent);
        }
    }
}
