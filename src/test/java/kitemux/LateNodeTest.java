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

/** What a node that is behind does with requests that it reads late; their aim is 200 ms after they came. */
class LateNodeTest {
    private static final long NEXT = 1_000;

    private static Node node(Settings settings) {
        Node node = new Node(settings, 7).with(4);
        for (int i = 0; i < 200; i++) {
            node.serve(Node.SAFE, Result.OK, 60_000);
        }
        node.settings.maxRetryAfterUs = 50_000;
        return node;
    }

    private static void ask(Node node, int classIndex, long agoUs) {
        node.balancer.onRequest(node.now, new Request(NEXT, classIndex, -1, 900_000, 0, false, null, agoUs));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 40_000, 70_000})
    void whatCanStillBeInTimeIsSent(long agoUs) {
        Node node = node(Node.settings());
        ask(node, Node.SAFE, agoUs);
        assertEquals(1, node.attempts(NEXT));
        assertEquals(List.of(), node.refused);
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 200_000, 5_000_000})
    void whatCannotBeInTimeAnyMoreIsRefusedAtOnceAndTakesNoServersPlace(long agoUs) {
        Node node = node(Node.settings());
        ask(node, Node.SAFE, agoUs);
        assertEquals(0, node.attempts(NEXT));
        assertEquals(List.of(NEXT), node.refused);
        assertEquals(List.of(), node.failed);
    }

    @Test
    void whatMustNotRunTwiceHasNotRunEither() {
        Node node = node(Node.settings());
        for (int i = 0; i < 50; i++) {
            node.serve(Node.UNSAFE, Result.OK, 60_000);
        }
        ask(node, Node.UNSAFE, 150_000);
        assertEquals(0, node.attempts(NEXT));
        assertEquals(List.of(NEXT), node.refused, "harmless to try again");
    }

    @Test
    void whereALateAnswerIsWorthSomethingItIsSentAllTheSame() {
        Settings settings = Node.settings();
        settings.classes.set(
                Node.SAFE, new RequestClass("safe", 200_000, 0, 1_000_000, 1, 0.5, RetrySafety.SAFE, null, 0, false));
        Node node = node(settings);
        ask(node, Node.SAFE, 150_000);
        assertEquals(1, node.attempts(NEXT));
        assertTrue(node.last(NEXT).untilUs() > node.now + 800_000, "its deadline is what the client waits");
    }
}
