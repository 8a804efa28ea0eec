package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kitemux.Balancer.Request;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Handling of requests that a node which is behind reads late. The target latency is 200 ms after their arrival. */
class LateNodeTest {
    private static final long NEXT_REQUEST_ID = 1_000;

    private static TestNode node(Settings settings) {
        TestNode node = new TestNode(settings, 7).withServers(4);
        for (int i = 0; i < 200; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 60_000);
        }
        node.settings.maxRetryAfterUs = 50_000;
        return node;
    }

    private static void submit(TestNode node, int classIndex, long ageUs) {
        node.balancer.onRequest(node.now, new Request(NEXT_REQUEST_ID, classIndex, -1, 900_000, 0, false, null, ageUs));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 40_000, 70_000})
    void requestThatCanStillMeetItsTargetIsSent(long ageUs) {
        TestNode node = node(TestNode.settings());
        submit(node, TestNode.SAFE, ageUs);
        assertEquals(1, node.attemptCount(NEXT_REQUEST_ID));
        assertEquals(List.of(), node.refused);
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 200_000, 5_000_000})
    void requestThatCannotMeetItsTargetIsRefusedWithoutAnAttempt(long ageUs) {
        TestNode node = node(TestNode.settings());
        submit(node, TestNode.SAFE, ageUs);
        assertEquals(0, node.attemptCount(NEXT_REQUEST_ID));
        assertEquals(List.of(NEXT_REQUEST_ID), node.refused);
        assertEquals(List.of(), node.failed);
    }

    @Test
    void lateUnsafeRequestIsRefusedWithoutAnAttempt() {
        TestNode node = node(TestNode.settings());
        for (int i = 0; i < 50; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.OK, 60_000);
        }
        submit(node, TestNode.UNSAFE, 150_000);
        assertEquals(0, node.attemptCount(NEXT_REQUEST_ID));
        assertEquals(List.of(NEXT_REQUEST_ID), node.refused, "a retry is harmless");
    }

    @Test
    void lateRequestIsSentWhenLateAnswersHaveWorth() {
        Settings settings = TestNode.settings();
        settings.classes.set(
                TestNode.SAFE,
                new RequestClass("safe", 200_000, 0, 1_000_000, 1, 0.5, RetrySafety.SAFE, null, 0, false));
        TestNode node = node(settings);
        submit(node, TestNode.SAFE, 150_000);
        assertEquals(1, node.attemptCount(NEXT_REQUEST_ID));
        assertTrue(
                node.lastAttempt(NEXT_REQUEST_ID).untilUs() > node.now + 800_000,
                "the deadline follows the waiting time of the client");
    }
}
