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

/** A node for tests: a clock, a module and a record of what it asked for. */
final class Node implements Actions {
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;

    /** An attempt as it was asked for. */
    record Sent(long atUs, long request, int attempt, String server, long untilUs) {}

    final Settings settings;
    final List<Sent> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000;
    private final List<Long> wakes = new ArrayList<>();
    private long nextId = 1;
    Balancer balancer;

    Node(Settings settings, long seed) {
        this.settings = settings;
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    Node() {
        this(settings(), 7);
    }

    static Settings settings() {
        Settings set = new Settings();
        set.zones.add("here");
        set.zones.add("there");
        set.classes.add(requestClass("safe", RetrySafety.SAFE, DedupScope.ALL));
        set.classes.add(requestClass("keyed-all", RetrySafety.KEYED, DedupScope.ALL));
        set.classes.add(requestClass("keyed-zone", RetrySafety.KEYED, DedupScope.ZONE));
        set.classes.add(requestClass("keyed-cell", RetrySafety.KEYED, DedupScope.CELL));
        set.classes.add(requestClass("unsafe", RetrySafety.UNSAFE, DedupScope.ALL));
        set.tenants.add(new Tenant("tenant", 0));
        set.maxAttempts = 4;
        set.hedgingAllowed = true;
        set.cancellationAllowed = true;
        return set;
    }

    static RequestClass requestClass(String name, RetrySafety repeat, DedupScope group) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, repeat, group, 400_000, false);
    }

    static ServerEntry server(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Gives the first list: servers s0, s1, ... all warm, in one zone and cell. */
    Node with(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(server("s" + i));
        }
        return list(ListKind.CACHED, entries);
    }

    Node list(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(now, kind, entries);
        return this;
    }

    long ask(int classIndex) {
        return ask(classIndex, 1_000_000);
    }

    long ask(int classIndex, long leftUs) {
        return ask(classIndex, 0, leftUs);
    }

    long ask(int classIndex, int tenant, long leftUs) {
        long id = nextId++;
        balancer.onRequest(now, new Request(id, classIndex, tenant, leftUs, 0, false, null));
        return id;
    }

    long askFor(String key, int classIndex) {
        long id = nextId++;
        balancer.onRequest(now, new Request(id, classIndex, 0, 1_000_000, 0, false, key));
        return id;
    }

    /** The newest attempt of a request, or null. */
    Sent last(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request == request) {
                return sent.get(i);
            }
        }
        return null;
    }

    int attempts(long request) {
        return (int) sent.stream().filter(s -> s.request == request).count();
    }

    long sentTo(String server) {
        return sent.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Ends a request's newest attempt after some time. */
    void answer(long request, Result result, long afterUs) {
        advance(afterUs);
        Sent attempt = last(request);
        balancer.onOutcome(
                now, new Outcome(request, attempt.attempt, result, now - attempt.atUs, result == Result.OK, null));
    }

    /** One request sent and ended; its server. */
    String serve(int classIndex, Result result, long afterUs) {
        long id = ask(classIndex);
        String server = last(id).server;
        answer(id, result, afterUs);
        return server;
    }

    /** Moves the clock on, firing the wake-ups that come due. */
    void advance(long us) {
        long until = now + us;
        while (true) {
            long first = wakes.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            wakes.remove(first);
            now = Math.max(now, first);
            balancer.onWake(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        sent.add(new Sent(now, requestId, attempts(requestId), serverId, untilUs));
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
        wakes.add(atUs);
    }

    @Override
    public void closeIdle(String serverId) {
        closed.add(serverId);
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
