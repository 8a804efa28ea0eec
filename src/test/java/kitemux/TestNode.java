package kitemux;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.Actions;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/** A node for tests: a clock, a decision module, and a record of the actions it requested. */
final class TestNode implements Actions {
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;

    /** An attempt that the module sent. */
    record SentAttempt(long atUs, long request, int attempt, String server, long untilUs) {}

    final Settings settings;
    final List<SentAttempt> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> idleClosed = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000;
    private final List<Long> wakeUps = new ArrayList<>();
    private long nextId = 1;
    Balancer balancer;

    TestNode(Settings settings, long seed) {
        this.settings = settings;
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    TestNode() {
        this(settings(), 7);
    }

    /**
     * Returns settings with one class for each retry safety and dedup scope; the class constants are their indices.
     */
    static Settings settings() {
        Settings settings = new Settings();
        settings.zones.add("here");
        settings.zones.add("there");
        settings.classes.add(requestClass("safe", RetrySafety.SAFE, DedupScope.ALL));
        settings.classes.add(requestClass("keyed-all", RetrySafety.KEYED, DedupScope.ALL));
        settings.classes.add(requestClass("keyed-zone", RetrySafety.KEYED, DedupScope.ZONE));
        settings.classes.add(requestClass("keyed-cell", RetrySafety.KEYED, DedupScope.CELL));
        settings.classes.add(requestClass("unsafe", RetrySafety.UNSAFE, DedupScope.ALL));
        settings.tenants.add(new Tenant("tenant", 0));
        settings.maxAttempts = 4;
        settings.hedgingAllowed = true;
        settings.cancellationAllowed = true;
        return settings;
    }

    static RequestClass requestClass(String name, RetrySafety repeat, DedupScope group) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, repeat, group, 400_000, false);
    }

    static ServerEntry server(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Reports the first list: servers s0, s1, ..., all warm, in one zone and cell. */
    TestNode withServers(int serverCount) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            entries.add(server("s" + i));
        }
        return updateServers(ListKind.CACHED, entries);
    }

    /** Reports a server list. */
    TestNode updateServers(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(now, kind, entries);
        return this;
    }

    /** Submits a request and returns its id. */
    long submit(int classIndex) {
        return submit(classIndex, 1_000_000);
    }

    long submit(int classIndex, long remainingUs) {
        return submit(classIndex, 0, remainingUs);
    }

    long submit(int classIndex, int tenant, long remainingUs) {
        long id = nextId++;
        balancer.onRequest(now, new Request(id, classIndex, tenant, remainingUs, 0, false, null));
        return id;
    }

    /** Submits a request with a key and returns its id. */
    long submitWithKey(String key, int classIndex) {
        long id = nextId++;
        balancer.onRequest(now, new Request(id, classIndex, 0, 1_000_000, 0, false, key));
        return id;
    }

    /** Returns the newest attempt of a request, or null. */
    SentAttempt lastAttempt(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request == request) {
                return sent.get(i);
            }
        }
        return null;
    }

    int attemptCount(long request) {
        return (int) sent.stream().filter(s -> s.request == request).count();
    }

    long attemptCountTo(String server) {
        return sent.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Ends the newest attempt of a request after a delay. */
    void complete(long request, Result result, long delayUs) {
        advance(delayUs);
        SentAttempt attempt = lastAttempt(request);
        balancer.onOutcome(
                now, new Outcome(request, attempt.attempt, result, now - attempt.atUs, result == Result.OK, null));
    }

    /** Submits a request, ends its attempt, and returns the server it was sent to. */
    String submitAndComplete(int classIndex, Result result, long delayUs) {
        long id = submit(classIndex);
        String server = lastAttempt(id).server;
        complete(id, result, delayUs);
        return server;
    }

    /** Advances the clock and fires the wake-ups that become due. */
    void advance(long durationUs) {
        long until = now + durationUs;
        while (true) {
            long first = wakeUps.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            wakeUps.remove(first);
            now = Math.max(now, first);
            balancer.onWake(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        sent.add(new SentAttempt(now, requestId, attemptCount(requestId), serverId, untilUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        refused.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeUps.add(atUs);
    }

    @Override
    public void closeIdle(String serverId) {
        idleClosed.add(serverId);
    }

    @Override
    public void probe(String serverId) {
        probed.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void log(String line) {
        logged.add(line);
    }
}
