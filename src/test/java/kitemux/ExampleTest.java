package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example of the README. */
class ExampleTest {

    /** The proxy's side of the interface; it only records the requested actions. */
    static final class RecordingProxy implements Balancer.Actions {
        final List<String> actions = new ArrayList<>();

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            actions.add("send " + requestId + " to " + serverId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            actions.add("cancel " + requestId + "/" + attempt);
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            actions.add("refuse " + requestId);
        }

        @Override
        public void fail(long requestId) {
            actions.add("fail " + requestId);
        }

        @Override
        public void wakeAt(long atUs) {}

        @Override
        public void probe(String serverId) {}

        @Override
        public void closeIdle(String serverId) {}

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {}
    }

    @Test
    void requestIsSentAndServed() {
        Balancer.Settings settings = new Balancer.Settings();
        settings.classes.add(new Balancer.RequestClass(
                "page", 200_000, 0, 1_000_000, 1, 0, Balancer.RetrySafety.SAFE, Balancer.DedupScope.ALL, 0, false));
        RecordingProxy proxy = new RecordingProxy();
        Balancer balancer = new ServiceQBalancer(settings, 42, proxy);
        long now = 0;
        balancer.onServers(
                now,
                Balancer.ListKind.CACHED,
                List.of(new Balancer.ServerEntry("10.0.0.1:80", 0, 0, Balancer.ServerState.READY, 1, 0)));
        balancer.onRequest(now, new Balancer.Request(1, 0, -1, 1_000_000, 0, false, null));
        assertEquals(List.of("send 1 to 10.0.0.1:80"), proxy.actions);
        now += 20_000;
        balancer.onOutcome(now, new Balancer.Outcome(1, 0, Balancer.Result.OK, 20_000, true, null));
        assertEquals(1, proxy.actions.size());
    }
}
