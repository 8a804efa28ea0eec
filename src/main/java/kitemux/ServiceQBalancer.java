package kitemux;

import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Every decision of the load balancer. Its interface, meaning all types, events and actions, stands in
 * {@code Balancer.java}.
 *
 * <p>The ordinary path is ServiceQ's: a failed attempt adds one to its server's error count, a success
 * clears it; a first try draws two servers by weights that fall with the count and goes to the one with
 * fewer of this node's own requests in flight; a failure that may be repeated passes to the next server
 * in list order; when nothing can be tried the request waits, first come first served, inside the
 * client's time. Departures are marked "Exception" below.
 */
public final class ServiceQBalancer implements Balancer {

    /** Further draws for one that may not be sent to: to look through a large fleet took too much CPU. */
    private static final int REDRAWS = 15;
    /** Draws by key, some of which the weights turn down: with three a burst waited in vain, with sixteen it
     * spread over servers that did not know the key. */
    private static final int KEY_DRAWS = 8;
    /** Shortest sweep over waiting requests: long against its cost, short against any aim. */
    private static final long MIN_SWEEP_US = 5_000;
    /** Share of a new value in a running mean, and in the share of timely answers, which follows a jam. */
    private static final double MEAN_GAIN = 1.0 / 32;

    private static final double TIMELY_GAIN = 1.0 / 8;
    /** Share of timely answers under which a sparse node throttles what it takes up, by the square, but for
     * a part without which it would learn of no recovery. */
    private static final double THROTTLED_AT = 0.7;

    private static final double LEAST_ADMITTED = 0.05;
    /** What a request costs a server that knows no keys yet, against the mean of others: a careful guess. */
    private static final double UNKNOWN_KEY_COST = 3;
    /** Gap between answers that a node assumes before it has seen any: careful with cold servers. */
    private static final double FIRST_GAP_US = 50_000;
    /** Requests in flight that all nodes together start with for each server: few enough for one core. */
    private static final double FIRST_LIMIT = 4;
    /** The same where keys are warm: past what a server holds, so that the first cut finds the limit. */
    private static final double FIRST_WARM_LIMIT = 64;
    /** Answers slower than this share of the aim say that a server is crowded: the rest is for chance, and a
     * server that is crowded up to its aim may already have turned slower. */
    private static final double CROWDED_AT = 0.35;
    /** The same share at a node of many, and at a sparse one: what many nodes send evens out badly, so even
     * servers with much room answer some requests slowly. */
    private static final double MANY_CROWDED_AT = 0.6;

    private static final double SPARSE_CROWDED_AT = 0.7;
    /** Part of that growth that stays while half of the answers come late: some must, or none comes back. */
    private static final double LEAST_GROWTH = 0.1;
    /** Growth of a server's limit over all nodes for an answer in good time, and its cut for a slow one: at a
     * limit of four, one slow answer in four holds the balance. */
    private static final double LIMIT_STEP = 0.15;

    private static final double LIMIT_CUT = 0.1;
    /** Answers that take this many times the least mean of their class say so too, however far the aim is. */
    private static final double CROWDED_BY = 3;
    /** Share of the mean of their class here over which answers are slower than most, as times are skewed. */
    private static final double SLOW_BY = 0.8;
    /** So many times that tell of a slow server, and not of chance. */
    private static final double FAR_SLOWER = 2;
    /** Most errors that slow answers add up to: a server that is slower still has its limit. */
    private static final int MOST_SLOW = 8;
    /** Growth of that least mean with each answer, so that it follows a change of work: by half in 4,000. */
    private static final double LEAST_DRIFT = 1.0001;
    /** Longest time between two requests to a server whose limit is under one: 1 s kept them choked. */
    private static final long MOST_REST_US = 2_000_000;
    /** Requests that a sparse node may send ahead of a server's rest, as arrivals come in bunches. */
    private static final double BURST = 2;
    /** Power of the nodes with which step and cut grow: at 0 many learn slowly, at a half chance rules. */
    private static final double LEARN_BY_NODES = 0.25;
    /** Cut of a limit for a request turned away or not answered in time, which is more than slow. */
    private static final double LIMIT_HARD_CUT = 0.3;
    /** A waiting request with fewer of its class's usual latencies left to its aim is too late: in overload
     * all that is served has waited so long; but at most with this share left. At a node of many it is one
     * less for what is worth most, which goes first, unless a quarter of its class waits in vain. */
    private static final double TOO_LATE_AT = 2;

    private static final double IN_VAIN_BY = 4;
    private static final double MOST_LATE_AT = 0.8;
    /** Failures among a server's last {@link #REMEMBERED} answers from which on it is ejected, beside so many
     * times what all servers fail in common: connections that break anywhere are no server's fault. */
    private static final int EJECT_AT = 4;

    private static final double IN_COMMON = 2;
    private static final double COMMON_GAIN = 1.0 / 256;
    private static final int REMEMBERED = 16;
    /** Successes in a row that restore a server: one may be luck, three hardly if most fail. */
    private static final int TRIALS = 3;
    /** First time without requests for an ejected server, doubled with each failed trial; the longest. */
    private static final long EJECT_US = 250_000;

    private static final long MOST_EJECT_US = 4_000_000;
    /** Trials with unsafe requests are this much further apart: each that fails is lost. */
    private static final int UNSAFE_TRIALS = 4;
    /** Times the usual latency of its class after which an unanswered attempt is silent: of work that is
     * spread exponentially, one answer in fifty takes longer. */
    private static final double SILENT_BY = 4;
    /** A node whose wake-up comes this much too late was paused itself. */
    private static final long PAUSED_US = 50_000;
    /** Budget of hedges: a share of first tries, and so many at once. */
    private static final double HEDGE_SHARE = 0.2;

    private static final double MOST_HEDGES = 20;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int SPILL_AT = 2;

    private static final long LOG_EVERY_US = 1_000_000;
    /** Part of the limits for requests beyond their tenant's share. */
    private static final double OVER_SHARE_PART = 0.5;
    /** A tenant may use up this much of its share at once before it counts as beyond it, and so many
     * requests: at a node of many its part is a few requests a second, which come in bunches. */
    private static final double SHARE_BURST_S = 1;

    private static final double LEAST_SHARE_BURST = 8;
    /** Wait before a failed list call is made again, at first and at most, drawn from half to half as much
     * more. Calls are taken in turn, and a turn comes no later for having asked early. At most: a call that
     * discovery is down for lasts 4 s, and what it has at its return counts after 6 s. */
    private static final long LIST_BACKOFF_US = 50_000;

    private static final long MOST_LIST_BACKOFF_US = 660_000;

    /** Most nodes that share a server in a large fleet, against the connections that a server accepts. */
    private static final int SHARERS = 24;
    /** How many suffice where there are many nodes, if each has {@link #ENOUGH_IN_USE} servers: it sees its
     * own attempts alone, so with fewer sharers its requests in flight tell more of a server. With 14 at each
     * of 60 servers they told nothing: half of the pages came too late at 0.58 of capacity. */
    private static final int MANY_NODES = 4;

    private static final int FEW_SHARERS = 2;
    private static final int ENOUGH_IN_USE = 8;
    /** Nodes that share a server from which on a node counts as sparse: its first part of a place is then a
     * fifth at most. With fewer, being sparse lost more than it gained. */
    private static final double SPARSE_FROM = 20;
    /** Least servers that a node uses, where there are as many: one may fail and one hang. */
    private static final int LEAST_IN_USE = 4;
    /** Places in the table of subsets for each server, at least: all then have about equally many nodes. */
    private static final int ROW_PLACES = 4;
    /** Places for each server in the table that keys draw from, at least: parts then differ by some percent.
     * Their number changes only as the fleet doubles, since with it all keys move. */
    private static final int KEY_PLACES = 16;
    /** Waiting requests with a key that are tried in vain at each event and at each sweep: CPU is scarce. */
    private static final int KEYS_TRIED = 4;

    private static final int KEYS_SWEPT = 64;

    private static final Comparator<Call> BY_VALUE = Comparator.comparingDouble(call -> -call.value);

    private final Settings set;
    private final Actions out;
    private final SplittableRandom random;
    private final long sweepUs;
    private double limitStep;
    private double limitCut;
    /** Whether so many nodes share a server that own requests in flight tell little of its load. */
    private boolean sparse;

    private final boolean many;
    private double timely = 0.75;
    private double failing;

    private final Map<String, Server> byId = new HashMap<>();
    private final Set<Server> listed = new LinkedHashSet<>();
    /** The servers in use: all that are ready, or this node's part of them in a large fleet. */
    private Server[] ready = new Server[0];

    private double sharers;
    private double firstLimit;
    /** Nodes that may send to a server: {@link #sharers} counts those that rarely do for less. */
    private double senders;

    private int nearSize;
    private Pool everywhere = new Pool(ready, false);
    private Pool nearby = everywhere;
    private boolean weightsStale;
    private double largestEffect = 1;
    private final List<Server> ejected = new ArrayList<>();
    private long logFreeAt;
    /** Attempts by class, in the order sent, until they are known or found silent. */
    private final List<ArrayDeque<Try>> watched = new ArrayList<>();

    private double hedgesLeft = MOST_HEDGES;

    private final Map<Long, Call> calls = new HashMap<>();
    private final ArrayList<Call> waiting = new ArrayList<>();

    private long now;
    private long wakePending = Long.MAX_VALUE;
    private long lastServedAt;
    /** Time between answers of one server, at an even part of what this node gets: now, and at the best. */
    private double evenGapUs;

    private double leastGapUs = Double.MAX_VALUE;
    private final double[] latencyUs;
    private final double[] leastLatencyUs;
    private final int[] answers;
    /** By class, the share that ended without an attempt. */
    private final double[] inVain;

    private final double[] shareLeft;
    private final long[] shareSeenAt;
    private int inFlight;
    private double limits;
    private long askListAt = Long.MAX_VALUE;
    private long listBackoffUs = LIST_BACKOFF_US;

    private static final class Server {
        final String id;
        final long hash;
        /** Whether it is one of those that come first. */
        boolean first;

        int zone;
        int cell;
        ServerState state;
        long startedAt;
        int position;
        int errors;
        int inFlight;
        /** Those of them that were found silent: they say nothing of the room at other servers. */
        int hung;

        double limit;
        long limitCutAt;
        long restUntil;
        long restUs;
        long wantedAt;
        boolean inUse;
        /** What all its answers say, and those of each class: it may fail one class and serve the others. */
        final Health overall = new Health();

        final Health[] byClass;
        long nextColdSendAt;

        Server(String id, int classes) {
            this.id = id;
            hash = new SplittableRandom(id.hashCode()).nextLong();
            byClass = Stream.generate(Health::new).limit(classes).toArray(Health[]::new);
        }

        boolean isEjectedFor(int classIndex) {
            return overall.ejected || byClass[classIndex].ejected;
        }
    }

    /** The last answers of a server and what follows from them. */
    private static final class Health {
        int history;
        boolean ejected;
        long trialAt;
        long ejectedForUs;
        int trialsWon;
        long answeredAt;
        long servedAt;

        int recentFailures() {
            return Integer.bitCount(history & (1 << REMEMBERED) - 1);
        }
    }

    /** An attempt that is watched for silence. */
    private record Try(Call call, int attempt) {}

    /** What is drawn from: servers with their weights summed up to each, and the places that keys draw. */
    private static final class Pool {
        final Server[] servers;
        final long[] weightsUpTo;
        final Server[] places;

        Pool(Server[] servers, boolean forKeys) {
            this.servers = servers;
            weightsUpTo = new long[servers.length];
            places = !forKeys || servers.length == 0
                    ? new Server[0]
                    : table(servers, nextPrime(KEY_PLACES * Integer.highestOneBit(servers.length)), 1);
        }
    }

    private static final class Call {
        final Request request;
        final RequestClass cls;
        final long arrivedAt;
        final long aimAt;
        final long deadlineAt;
        final Server[] servers;
        final long[] sentAt;
        final Result[] results;
        /** Attempts that were counted as failures before they ended. */
        final boolean[] silent;
        /** Fixes the draws by the request's key; 0 without one. */
        final long keySeed;

        double value;
        boolean overShare;
        boolean late;
        int attempts;
        int outstanding;
        boolean waiting;
        boolean left;
        boolean streaming;
        boolean ended;

        Call(Request request, Settings set, long now) {
            this.request = request;
            cls = set.classes.get(request.classIndex());
            long aim = Math.min(
                    cls.deadlineUs(), cls.targetLatencyUs() + (long) (cls.targetLatencyPerWork() * request.workUs()));
            arrivedAt = now - Math.max(0, request.ageUs());
            deadlineAt = now + Math.max(0, request.remainingUs());
            aimAt = Math.min(deadlineAt, arrivedAt + aim);
            servers = new Server[set.maxAttempts];
            sentAt = new long[set.maxAttempts];
            results = new Result[set.maxAttempts];
            silent = new boolean[set.maxAttempts];
            keySeed = set.warmKeys && request.key() != null ? mix(request.key().hashCode()) | 1 : 0;
        }

        /** The earliest attempt not known never to have run, or -1: it binds repeats and refusals. */
        int binding() {
            for (int i = 0; i < attempts; i++) {
                if (results[i] == null || !results[i].neverRan) {
                    return i;
                }
            }
            return -1;
        }
    }

    /**
     * A node that has just started and knows nothing.
     *
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings settings, long seed, Actions actions) {
        settings.validate();
        set = settings;
        out = actions;
        random = new SplittableRandom(seed);
        sweepUs = Math.max(MIN_SWEEP_US, 2 * settings.tickUs);
        many = set.nodes >= MANY_NODES;
        shareAmong(set.nodes);
        latencyUs = new double[set.classes.size()];
        leastLatencyUs = new double[set.classes.size()];
        answers = new int[set.classes.size()];
        inVain = new double[set.classes.size()];
        shareLeft = new double[set.tenants.size()];
        shareSeenAt = new long[set.tenants.size()];
        set.classes.forEach(c -> watched.add(new ArrayDeque<>()));
    }

    private void shareAmong(double nodes) {
        sharers = nodes;
        // Where keys are warm, what a server can hold depends on the keys it knows: the first cut shows it.
        firstLimit = (set.warmKeys ? FIRST_WARM_LIMIT : FIRST_LIMIT) / sharers;
        // Both by the same factor: for all nodes together the balance between step and cut stays.
        double pace = Math.pow(nodes, LEARN_BY_NODES);
        limitStep = LIMIT_STEP / pace;
        limitCut = 1 - Math.pow(1 - LIMIT_CUT, pace);
        sparse = senders > SPARSE_FROM;
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind != ListKind.CHANGES) {
            listed.forEach(server -> server.state = ServerState.GONE);
            listed.clear();
        }
        for (ServerEntry entry : entries) {
            Server server = byId.computeIfAbsent(entry.id(), id -> new Server(id, set.classes.size()));
            if (entry.state() == ServerState.GONE) {
                listed.remove(server);
            } else {
                listed.add(server);
            }
            if (entry.startedAtUs() > server.startedAt) {
                // A new process: what was counted against the old one says nothing of it.
                startAnew(server);
                server.nextColdSendAt = 0;
                server.startedAt = entry.startedAtUs();
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        chooseServers();
        // Servers come and go as long as a node runs: what is gone and holds nothing is forgotten.
        byId.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
        if (set.listOnRequest && kind == ListKind.CACHED) {
            askForList();
        } else {
            askListAt = Long.MAX_VALUE;
            listBackoffUs = LIST_BACKOFF_US;
        }
        serveWaiting(KEYS_TRIED);
        scheduleWake();
    }

    private void chooseServers() {
        Server[] before = ready;
        ready = inUse(listed.stream().filter(s -> s.state == ServerState.READY).toArray(Server[]::new));
        Arrays.stream(before).forEach(server -> server.inUse = false);
        evenGapUs = evenGapUs == 0 ? FIRST_GAP_US * ready.length : evenGapUs;
        for (int i = 0; i < ready.length; i++) {
            ready[i].position = i;
            ready[i].inUse = true;
            // Not before it is known how many nodes share it.
            ready[i].limit = ready[i].limit == 0 ? firstLimit : ready[i].limit;
            if (isCold(ready[i]) && ready[i].nextColdSendAt == 0) {
                // All nodes hear of a start at once: their first sends together would be a burst.
                ready[i].nextColdSendAt = now + (long) (random.nextDouble() * coldGap(ready[i], -1));
            }
        }
        Arrays.stream(before).forEach(this::closeIfUnused);
        everywhere = new Pool(ready, set.warmKeys);
        nearby = set.crossZonePrice == 0 && Arrays.stream(ready).allMatch(s -> s.first)
                ? everywhere
                : new Pool(Arrays.stream(ready).filter(s -> s.first).toArray(Server[]::new), false);
        weightsStale = true;
        countReady();
    }

    /** Connections to a server no longer in use would hold its places for the nodes that do use it. */
    private void closeIfUnused(Server server) {
        if (!server.inUse && server.inFlight == 0) {
            out.closeIdle(server.id);
        }
    }

    /**
     * Exception, subsets: acts from {@link #MANY_NODES} nodes at a server on, and keeps to fewer. Connections
     * are capped, cost work and are priced, and what a node sees is spread thinner with each server it uses:
     * every node then keeps to a part of the servers, near ones first where crossing zones costs, else
     * the first half of it, of which it then knows more. Where these are busy or sick it has the others.
     */
    private Server[] inUse(Server[] all) {
        List<Server> part = part(all);
        boolean halved = set.crossZonePrice == 0 && part.size() < all.length;
        List<Server> first = halved ? part.subList(0, (part.size() + 1) / 2) : part;
        part.forEach(s -> s.first = halved ? first.contains(s) : set.crossZonePrice == 0 || s.zone == set.myZone);
        senders = Math.max(1, (double) set.nodes * part.size() / Math.max(1, all.length));
        shareAmong(Math.max(1, senders * Math.sqrt((double) first.size() / Math.max(1, part.size()))));
        Set<Server> used = new HashSet<>(part);
        return Arrays.stream(all).filter(used::contains).toArray(Server[]::new);
    }

    /** This node's part of these servers. */
    private List<Server> part(Server[] all) {
        int zones = set.crossZonePrice == 0 ? 1 : Math.max(1, set.zones.size());
        boolean whole = zones == 1;
        Server[] near =
                Arrays.stream(all).filter(s -> whole || s.zone == set.myZone).toArray(Server[]::new);
        Server[] far =
                Arrays.stream(all).filter(s -> !whole && s.zone != set.myZone).toArray(Server[]::new);
        int nearUsed = partOf(near.length, (double) set.nodes / zones, zones == 1 ? 2 : 1);
        int farUsed = partOf(far.length, set.nodes, 1);
        if (nearUsed == near.length && farUsed == far.length) {
            return Arrays.asList(all);
        }
        // Sizes are kept through small changes of the list, since with them all places move.
        nearSize = 2 * nearUsed > nearSize && nearUsed < 2 * nearSize ? nearSize : nearUsed;
        List<Server> used = new ArrayList<>(subset(near, Math.min(near.length, nearSize)));
        used.addAll(subset(far, Math.min(farUsed, Math.max(LEAST_IN_USE, nearSize / 2))));
        return used;
    }

    private static int partOf(int servers, double nodes, int atLeast) {
        // In a fleet that has shrunk, the least of all nodes would meet the cap on connections.
        int least = (int) Math.max(atLeast, Math.min(LEAST_IN_USE, 2 * SHARERS * servers / nodes));
        double enough = Math.max(ENOUGH_IN_USE, FEW_SHARERS * servers / nodes);
        int part = (int) Math.ceil(Math.min(enough, SHARERS * servers / nodes));
        return nodes < MANY_NODES ? servers : Math.min(servers, Math.max(least, part));
    }

    /**
     * This node's part of the servers. As in Maglev hashing, the servers take turns in claiming places from a
     * table of rows, each in an order of its own, and node i has row i modulo their number: all get equally
     * many, every node finds the same table from the same list, and a change of the list moves few places.
     * A row for each node takes much CPU in a large fleet; few nodes would share rows unevenly.
     */
    private List<Server> subset(Server[] from, int size) {
        if (size == from.length) {
            return Arrays.asList(from);
        }
        int rows = set.nodes * size > 2 * ROW_PLACES * from.length ? 1 : set.nodes;
        while (rows < set.nodes && rows * size < ROW_PLACES * from.length) {
            rows *= 2;
        }
        Server[] table = table(from, nextPrime(rows * size), size);
        int first = set.nodeIndex % rows * size;
        return Arrays.stream(table, first, first + size)
                .filter(Objects::nonNull)
                .toList();
    }

    /** The servers take turns in claiming places, each in an order of its own, none twice in a row. */
    private static Server[] table(Server[] from, int places, int row) {
        Server[] turns = from.clone();
        Arrays.sort(turns, Comparator.comparingLong(server -> server.hash));
        Server[] table = new Server[places];
        // A bit for each server and row with a place of its own. A row of one place is full with one.
        BitSet claimed = new BitSet();
        int rows = places / row + 1;
        int[] at = new int[turns.length];
        int[] tries = new int[turns.length];
        for (int i = 0; i < turns.length; i++) {
            at[i] = (int) Math.floorMod(turns[i].hash, (long) places);
        }
        int left = places;
        int idle = 0;
        for (int i = 0; left > 0 && idle < turns.length; i = (i + 1) % turns.length) {
            int skip = 1 + (int) Math.floorMod(turns[i].hash >> 32, places - 1L);
            while (tries[i] < places && (table[at[i]] != null || row > 1 && claimed.get(i * rows + at[i] / row))) {
                at[i] = (at[i] + skip) % places;
                tries[i]++;
            }
            idle = tries[i] == places ? idle + 1 : 0;
            if (tries[i] < places) {
                left--;
                table[at[i]] = turns[i];
                claimed.set(row > 1 ? i * rows + at[i] / row : 0);
            }
        }
        return table;
    }

    private static int nextPrime(int from) {
        return BigInteger.valueOf(from - 1).nextProbablePrime().intValue();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (set.listOnRequest) {
            // Jittered backoff: nodes that failed together must not ask together again.
            askListAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
            listBackoffUs = Math.min(4 * listBackoffUs, MOST_LIST_BACKOFF_US);
            scheduleWake();
        }
    }

    private void askForList() {
        out.subscribe();
        askListAt = now + Math.max(1, set.askWithinUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0
                || request.classIndex() >= set.classes.size()
                || request.tenant() >= set.tenants.size()
                || calls.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        Call call = new Call(request, set, now);
        calls.put(request.id(), call);
        call.value = value(call);
        // A node that is behind spends no more on what it has read too late: that is how it catches up.
        if (sparse && random.nextDouble() >= admitted(call) || isTooLate(call) && call.cls.lateWorth() == 0) {
            giveUp(call);
            scheduleWake();
            return;
        }
        // Nobody waits for the same server, or those who do are tried with each answer.
        boolean first = waiting.isEmpty() || call.keySeed != 0;
        Server server = first && now < call.deadlineAt ? drawForFirstTry(call) : null;
        if (server != null) {
            send(call, server);
        } else {
            defer(call);
            serveWaiting(KEYS_TRIED);
        }
        scheduleWake();
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        Call call = calls.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (call == null || attempt < 0 || attempt >= call.attempts || call.results[attempt] != null) {
            return;
        }
        Server server = call.servers[attempt];
        Result result = outcome.result();
        call.results[attempt] = result;
        call.outstanding--;
        server.inFlight--;
        inFlight -= isCounted(server) && !call.silent[attempt] ? 1 : 0;
        server.hung -= call.silent[attempt] ? 1 : 0;
        closeIfUnused(server);
        Health ofClass = server.byClass[call.request.classIndex()];
        if (result == Result.OK) {
            succeeded(
                    server,
                    ofClass,
                    outcome.latencyUs() > (sparse ? 1 : FAR_SLOWER) * SLOW_BY * latencyUs[call.request.classIndex()]);
        } else if (result != Result.CANCELLED && result != Result.MOOT && !call.silent[attempt]) {
            // A time-out of a server that has answered since tells of crowding, not of silence, as being
            // full does: the limit heeds it.
            failed(
                    server,
                    ofClass,
                    result != Result.FULL && (result != Result.TIMEOUT || ofClass.answeredAt < call.sentAt[attempt]));
        }
        ofClass.answeredAt = result == Result.OK || result == Result.ERROR ? now : ofClass.answeredAt;
        adaptLimit(call, attempt, outcome);
        if (outcome.requestEnded()) {
            end(call);
        } else if (!call.ended && call.outstanding == 0) {
            passOn(call, server);
        }
        forgetIfOver(call);
        serveWaiting(KEYS_TRIED);
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null) {
            call.streaming = true;
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null) {
            call.left = true;
            end(call);
        }
    }

    /** Nothing is decided on probes; none is ever asked for. */
    @Override
    public void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report) {}

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        boolean paused = wakePending != Long.MAX_VALUE && now > wakePending + PAUSED_US;
        wakePending = now >= wakePending ? Long.MAX_VALUE : wakePending;
        if (now >= askListAt) {
            askForList();
        }
        if (!paused) {
            lookForSilence();
        }
        serveWaiting(KEYS_SWEPT);
        scheduleWake();
    }

    private void scheduleWake() {
        long at = waiting.isEmpty() ? askListAt : Math.min(askListAt, now + sweepUs);
        for (int c = 0; c < watched.size(); c++) {
            Try first = watched.get(c).peek();
            at = first == null
                    ? at
                    : Math.min(at, Math.max(now + sweepUs, first.call.sentAt[first.attempt] + silentAfter(c)));
        }
        if (at < wakePending) {
            wakePending = Math.max(at, now + 1);
            out.wakeAt(wakePending);
        }
    }

    // ---------------------------------------------------------------- the mechanism

    /** A failure adds one; failures that say something of health, not of crowding, may eject the server. */
    private void failed(Server server, Health ofClass, boolean ill) {
        server.errors++;
        weightsStale = true;
        failing += ill && !server.overall.ejected ? COMMON_GAIN * (1 - failing) : 0;
        for (Health health : ill ? new Health[] {server.overall, ofClass} : new Health[0]) {
            health.history = health.history << 1 | 1;
            health.trialsWon = 0;
            if (health.ejected
                    || health.recentFailures() >= EJECT_AT + IN_COMMON * REMEMBERED * failing
                            && (health == ofClass || !servesOthers(server, ofClass))) {
                eject(server, health);
            }
        }
    }

    /** Whether another class has been served since this one was, without a failure among its last answers. */
    private static boolean servesOthers(Server server, Health ofClass) {
        for (Health other : server.byClass) {
            if (other.servedAt > ofClass.servedAt && other.recentFailures() == 0) {
                return true;
            }
        }
        return false;
    }

    /** A success clears the count; an ejected server has to succeed several times in a row. */
    private void succeeded(Server server, Health ofClass, boolean slow) {
        failing -= COMMON_GAIN * failing;
        for (Health health : new Health[] {server.overall, ofClass}) {
            health.history <<= 1;
            health.servedAt = now;
            health.trialAt = now;
            if (health.ejected && ++health.trialsWon >= TRIALS) {
                log("restored server " + server.id + (health == ofClass ? " for a class" : ""));
                restore(health);
                if (health == server.overall) {
                    startAnew(server);
                }
                countReady();
                return;
            }
        }
        if (!server.overall.ejected) {
            // Exception, slow answers: at a node of many a slow answer adds an error and any other takes one
            // off, so the weights settle where all servers are about equally quick.
            int errors = !many
                    ? 0
                    : slow
                            ? Math.max(server.errors, Math.min(MOST_SLOW, server.errors + 1))
                            : Math.max(0, server.errors - 1);
            weightsStale |= errors != server.errors;
            server.errors = errors;
        }
    }

    // ---------------------------------------------------------------- ejection

    /**
     * Exception, ejection: a server that failed {@link #EJECT_AT} of its last {@link #REMEMBERED} answers,
     * of all or of one class, gets nothing of these but single trials, further apart each time one fails.
     * Never more than half of the servers are out: when most fail, the trouble is not theirs, and the
     * weights alone decide. By class, since a class that a server serves would else hide one that it fails.
     */
    private void eject(Server server, Health health) {
        if (!health.ejected) {
            int c = Arrays.asList(server.byClass).indexOf(health);
            long out = ejected.stream()
                    .filter(s -> c < 0 ? s.overall.ejected : s.byClass[c].ejected)
                    .count();
            if (2 * (out + 1) > ready.length) {
                return;
            }
            health.ejected = true;
            health.ejectedForUs = EJECT_US / 2;
            log("ejected server " + server.id + " after " + health.recentFailures() + " failures"
                    + (c < 0 ? "" : " of class " + set.classes.get(c).name()));
        }
        health.ejectedForUs = Math.min(MOST_EJECT_US, 2 * health.ejectedForUs);
        health.trialAt = now + health.ejectedForUs / 2 + random.nextLong(health.ejectedForUs);
        countReady();
    }

    private static void restore(Health health) {
        health.history = 0;
        health.ejected = false;
        health.trialsWon = 0;
    }

    private void startAnew(Server server) {
        weightsStale |= server.errors > 0;
        server.errors = 0;
        restore(server.overall);
        Arrays.stream(server.byClass).forEach(ServiceQBalancer::restore);
        server.limit = firstLimit;
    }

    /** An ejected server that is due for a trial with this request, or null. */
    private Server trial(Call call) {
        for (Server server : ejected) {
            Health ofClass = server.byClass[call.request.classIndex()];
            // Unsafe requests are risked only where no other could tell: for a class of their own.
            boolean due = call.cls.retrySafety() == RetrySafety.UNSAFE
                    ? !server.overall.ejected
                            && ofClass.ejected
                            && now >= ofClass.trialAt + UNSAFE_TRIALS * ofClass.ejectedForUs
                    : server.overall.ejected && now >= server.overall.trialAt
                            || ofClass.ejected && now >= ofClass.trialAt;
            if (due && server.inFlight == 0 && isAllowed(call, server)) {
                return server;
            }
        }
        return null;
    }

    /** Counts the servers in use anew: what hangs at one ejected or gone must not hold back the others. */
    private void countReady() {
        weightsStale = true;
        limits = 0;
        inFlight = 0;
        ejected.clear();
        for (Server server : ready) {
            if (isCounted(server)) {
                limits += server.limit;
                inFlight += server.inFlight - server.hung;
            }
            if (server.overall.ejected || Arrays.stream(server.byClass).anyMatch(h -> h.ejected)) {
                ejected.add(server);
            }
        }
    }

    @Override
    public int ejectedServerCount() {
        return (int) ejected.stream().filter(s -> s.overall.ejected).count();
    }

    private static boolean isCounted(Server server) {
        return server.inUse && !server.overall.ejected;
    }

    private void log(String line) {
        if (now >= logFreeAt) {
            logFreeAt = now + LOG_EVERY_US;
            out.log(line);
        }
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. Trials go first. */
    private Server drawForFirstTry(Call call) {
        Server due = trial(call);
        Server server = due != null ? due : drawTwo(call, call.keySeed != 0 ? everywhere : nearby);
        int spillAt = set.crossZonePrice == 0 ? 1 : SPILL_AT;
        // Exception, zones and halves: both draws are of those that come first, and two more from all win
        // only if that choice is busy or fails: if it has one more in flight, two where crossing costs.
        if (due != null
                || nearby == everywhere
                || call.keySeed != 0
                || server != null && server.inFlight < spillAt && server.errors == 0) {
            return server;
        }
        Server other = drawTwo(call, everywhere);
        return server == null
                        || other != null
                                && (other.inFlight + spillAt <= server.inFlight || other.errors < server.errors)
                ? other
                : server;
    }

    private Server drawTwo(Call call, Pool from) {
        Server first = draw(call, from, null);
        Server second = first == null ? null : draw(call, from, first);
        if (second == null || first.inFlight != second.inFlight) {
            return second == null || first.inFlight < second.inFlight ? first : second;
        }
        // Draws are in random order, but by weight: a tie is broken by a toss of its own, or by the key.
        return call.keySeed != 0 || random.nextInt(2) == 0 ? first : second;
    }

    /** One draw by weight among the servers that may be sent to, but for {@code except}; null if none may. */
    private Server draw(Call call, Pool from, Server except) {
        if (weightsStale) {
            weigh();
        }
        if (call.keySeed != 0) {
            return drawByKey(call, from, Collections.singletonList(except));
        }
        for (int i = 0; i <= REDRAWS && from.servers.length > 0; i++) {
            Server server = from.servers[drawPosition(from)];
            if (server != except && maySend(call, server)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(Pool from) {
        int last = from.servers.length - 1;
        if (largestEffect == 1) {
            return random.nextInt(last + 1);
        }
        int found = Arrays.binarySearch(from.weightsUpTo, random.nextLong(from.weightsUpTo[last]));
        return found < 0 ? -1 - found : found + 1;
    }

    /**
     * Exception, keys: acts where servers remember keys. The same weights, but the draws are fixed by the
     * request's key, as in rendezvous hashing: every node draws the same servers for a key, and a server
     * that gains errors loses keys to those drawn next, while the other keys stay where they are warm. When
     * all draws are full the request waits: at just any server it would cost the work that memory saves, and
     * a crowd would feed itself. Harm: a few hot keys may wait while other servers have room.
     */
    private Server drawByKey(Call call, Pool from, List<Server> except) {
        for (int i = 0; i < KEY_DRAWS && from.places.length > 0; i++) {
            long hash = mix(call.keySeed + i * 0x9E3779B97F4A7C15L);
            Server server = from.places[(int) ((hash >>> 32) % from.places.length)];
            boolean drawn = (hash & 0xFFFFFFFFL) * largestEffect < weight(server) * 0x1p32;
            if (drawn && !except.contains(server) && maySend(call, server)) {
                return server;
            }
        }
        return null;
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** The paper's weights, worked out anew only when a count or the list has changed. */
    private void weigh() {
        int most = 0;
        for (Server server : ready) {
            most = Math.max(most, server.errors);
        }
        largestEffect = Math.floor(Math.pow(1 + most, 1.5));
        sumUp(everywhere);
        sumUp(nearby);
        weightsStale = false;
    }

    private void sumUp(Pool pool) {
        for (int i = 0; i < pool.servers.length; i++) {
            pool.weightsUpTo[i] = weight(pool.servers[i]) + (i == 0 ? 0 : pool.weightsUpTo[i - 1]);
        }
    }

    private long weight(Server server) {
        return server.overall.ejected ? 1 : (long) Math.ceil(largestEffect / (1 + server.errors));
    }

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void passOn(Call call, Server failed) {
        Server next = mayTryAgain(call) ? nextInTurn(call, failed) : null;
        if (next != null) {
            send(call, next);
        } else if (mayTryAgain(call)) {
            defer(call);
        } else {
            giveUp(call);
        }
    }

    private Server nextInTurn(Call call, Server failed) {
        List<Server> tried = Arrays.asList(call.servers);
        if (call.keySeed != 0 && call.binding() < 0) {
            return drawByKey(call, everywhere, tried);
        }
        for (int i = 1; i <= ready.length; i++) {
            Server next = ready[(failed.position + i) % ready.length];
            if (!tried.contains(next) && maySend(call, next)) {
                return next;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- silence

    /**
     * Exception, silence: an attempt without an answer for {@link #SILENT_BY} times its class's usual time,
     * at a server that has answered nothing of the class since, counts as a failure while it is still out,
     * and a repeatable request passes on to a second server (a hedge, within a retry budget). Guards against
     * whatever swallows requests or answers while clients leave before any time-out tells. Not after a
     * pause of this node's own, when answers are still to be read. Harm: rare heavy requests run twice.
     */
    private void lookForSilence() {
        for (int c = 0; c < watched.size(); c++) {
            ArrayDeque<Try> line = watched.get(c);
            while (!line.isEmpty()) {
                Call call = line.peek().call;
                int attempt = line.peek().attempt;
                boolean known = call.ended || call.streaming || call.results[attempt] != null;
                if (!known && now < call.sentAt[attempt] + silentAfter(c)) {
                    break;
                }
                line.poll();
                if (!known) {
                    foundSilent(call, attempt);
                }
            }
        }
    }

    private long silentAfter(int classIndex) {
        return !isUsualKnown(classIndex)
                ? Long.MAX_VALUE / 4
                : (long) (SILENT_BY * latencyUs[classIndex]) + 2 * set.tickUs;
    }

    /** Whether a class has had answers enough for their mean to be more than chance. */
    private boolean isUsualKnown(int classIndex) {
        return answers[classIndex] * MEAN_GAIN >= 0.5;
    }

    private void foundSilent(Call call, int attempt) {
        Server server = call.servers[attempt];
        Health ofClass = server.byClass[call.request.classIndex()];
        if (ofClass.answeredAt < call.sentAt[attempt]) {
            call.silent[attempt] = true;
            server.hung++;
            inFlight -= isCounted(server) ? 1 : 0;
            failed(server, ofClass, true);
        }
        if (set.hedgingAllowed && !call.waiting && hedgesLeft >= 1 && mayTryAgain(call) && call.outstanding == 1) {
            Server next = nextInTurn(call, server);
            if (next != null) {
                hedgesLeft--;
                send(call, next);
            }
        }
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Puts a request into the deferred queue: first come first served among those of equal value. */
    private void defer(Call call) {
        call.waiting = true;
        int at = waiting.size();
        while (at > 0 && BY_VALUE.compare(waiting.get(at - 1), call) > 0) {
            at--;
        }
        waiting.add(at, call);
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    private void serveWaiting(int keysToTry) {
        int kept = 0;
        boolean full = false;
        boolean fullForUnsafe = false;
        boolean fullForOver = false;
        boolean unsorted = false;
        for (int i = 0; i < waiting.size(); i++) {
            Call call = waiting.get(i);
            if (!call.waiting) {
                continue;
            }
            boolean late = isTooLate(call);
            if (call.deadlineAt - now <= sweepUs + set.tickUs
                    || late && call.cls.lateWorth() == 0
                    || !mayTryAgain(call)) {
                giveUp(call);
                continue;
            }
            if (late && !call.late) {
                call.late = true;
                call.value *= call.cls.lateWorth();
                unsorted = true;
                waiting.set(kept++, call);
                continue;
            }
            boolean unsafe = call.cls.retrySafety() == RetrySafety.UNSAFE;
            boolean barred = full || unsafe && fullForUnsafe || call.overShare && fullForOver;
            Server server = barred ? null : drawForFirstTry(call);
            if (server != null) {
                call.waiting = false;
                send(call, server);
            } else {
                // What has not been sent may go anywhere, but for unsafe requests and ejected servers: if it
                // finds no server, nor does the next one. With a key it may go to few.
                fullForOver |= call.overShare;
                boolean last = !call.overShare && call.attempts == 0 && (call.keySeed == 0 || --keysToTry <= 0);
                fullForUnsafe |= last;
                full |= last && (!unsafe || call.keySeed != 0);
                waiting.set(kept++, call);
            }
        }
        waiting.subList(kept, waiting.size()).clear();
        if (unsorted) {
            waiting.sort(BY_VALUE);
        }
    }

    private boolean isTooLate(Call call) {
        int c = call.request.classIndex();
        double first = many ? rank(call) * Math.max(0, 1 - IN_VAIN_BY * inVain[c]) : 0;
        return call.aimAt - now
                < Math.min(MOST_LATE_AT * (call.aimAt - call.arrivedAt), (TOO_LATE_AT - first) * latencyUs[c]);
    }

    /**
     * What a request earns for the work it takes, by which the queue is ordered: its class's worth, less
     * if its tenant is beyond this node's part of its share, over the usual latency of its class as the
     * measure of work.
     */
    private double value(Call call) {
        double worth = call.cls.worth();
        int tenant = call.request.tenant();
        double quota = tenant < 0 ? 0 : set.tenants.get(tenant).quotaPerS() / set.nodes;
        if (quota > 0) {
            double most = Math.max(LEAST_SHARE_BURST, quota * SHARE_BURST_S);
            double since = shareSeenAt[tenant] == 0 ? SHARE_BURST_S : (now - shareSeenAt[tenant]) / 1e6;
            shareSeenAt[tenant] = now;
            shareLeft[tenant] = Math.min(most, shareLeft[tenant] + quota * since);
            if (shareLeft[tenant] >= 1) {
                shareLeft[tenant]--;
            } else {
                worth *= set.overShareWorth;
                call.overShare = !set.warmKeys;
            }
        }
        return forItsWork(worth, call.request.classIndex());
    }

    private double forItsWork(double worth, int classIndex) {
        return set.worthByWork ? worth : worth / Math.max(1, latencyUs[classIndex]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Exception, concurrency limits: each server's limit grows when it was met while a request was out
     * that was answered well inside the aim, and falls when answers are slow or requests are turned away.
     * Acts only when a draw would exceed a server's limit, or the node the sum of all limits (with many
     * nodes a server's part is under one).
     */
    private void adaptLimit(Call call, int attempt, Outcome outcome) {
        Server server = call.servers[attempt];
        Result result = outcome.result();
        double before = server.limit;
        int c = call.request.classIndex();
        // A client that leaves hides how long its answer would have taken, so that only quick ones stay in
        // sight: after more than the usual time, what it has waited counts like an answer no quicker.
        boolean left = result == Result.CANCELLED && call.left && outcome.latencyUs() > SLOW_BY * latencyUs[c];
        if (result == Result.OK || result == Result.TIMEOUT || result == Result.FULL || left) {
            timely += TIMELY_GAIN * ((result == Result.OK && now <= call.aimAt ? 1 : 0) - timely);
        }
        if (result == Result.OK) {
            latencyUs[c] += Math.max(MEAN_GAIN, 1.0 / ++answers[c]) * (outcome.latencyUs() - latencyUs[c]);
            // The first answers' mean is chance; until then the aim alone tells.
            leastLatencyUs[c] =
                    !isUsualKnown(c) ? Double.MAX_VALUE : Math.min(leastLatencyUs[c] * LEAST_DRIFT, latencyUs[c]);
            evenGapUs += MEAN_GAIN * ((now - lastServedAt) * Math.max(1, ready.length) - evenGapUs);
            leastGapUs = Math.min(leastGapUs * LEAST_DRIFT, evenGapUs);
            lastServedAt = now;
        }
        if (result == Result.OK || left) {
            double aim = call.aimAt - call.arrivedAt;
            boolean patient = set.warmKeys || sparse && leastLatencyUs[c] < Double.MAX_VALUE;
            double crowdedAt = patient ? SPARSE_CROWDED_AT : many ? MANY_CROWDED_AT : CROWDED_AT;
            double crowded = Math.min(
                    crowdedAt * aim,
                    set.warmKeys ? Double.MAX_VALUE : (sparse ? 2 : 1) * CROWDED_BY * leastLatencyUs[c]);
            double rank = sparse ? rank(call) : 1;
            if (outcome.latencyUs() > crowded) {
                cutLimit(call, attempt, limitCut * rank);
            } else if (!left) {
                // A cold server gets little and is quick with it: were its limit to pass the others', all
                // nodes together would choke it as soon as slow start lets go.
                // While answers come late everywhere, one in time says little: growth would hold the jam.
                double ease = set.warmKeys ? 1 : Math.max(LEAST_GROWTH, 2 * timely - 1);
                server.limit += server.wantedAt >= call.sentAt[attempt]
                                && (!isCold(server) || server.limit * ready.length < limits)
                        ? limitStep * rank * ease
                        : 0;
            }
        } else if (result == Result.TIMEOUT || result == Result.FULL) {
            // Where keys are warm a full server is cut to what it held: less would send its keys elsewhere.
            boolean toHeld = set.warmKeys && result == Result.FULL;
            cutLimit(call, attempt, toHeld ? 0 : LIMIT_HARD_CUT);
        }
        if (server.limit < 1) {
            // A part of a place is kept by time: in flight for that part of it only.
            server.restUs = Math.min(MOST_REST_US, (long) (outcome.latencyUs() / server.limit));
            server.restUntil = Math.max(server.restUntil, call.sentAt[attempt]) + server.restUs;
        }
        if (isCounted(server)) {
            limits += server.limit - before;
        }
    }

    /** One cut for all that was sent before the last one. */
    private void cutLimit(Call call, int attempt, double cut) {
        Server server = call.servers[attempt];
        if (call.sentAt[attempt] >= server.limitCutAt) {
            // A limit that was never met says nothing of what the server held.
            double from = set.warmKeys ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / sharers, from * (1 - cut));
            server.limitCutAt = now;
        }
    }

    private boolean isCrowded(Call call, Server server) {
        // The sum guards against a stall: what many nodes may each have at every server is then out at once.
        // Lent by how timely answers are: in a jam it would keep choked servers choked.
        double ease = sparse ? Math.max(0, call.overShare ? 4 * timely - 3 : 2 * timely - 1) : 0;
        double ahead = sparse ? BURST * rank(call) : 0;
        // Exception, shares: what is beyond its tenant's share gets a part of each limit and is lent less, so
        // that bursts inside a share find room; it does not raise limits either. Not where keys are warm,
        // since limits are no measure of room there.
        double part = call.overShare ? OVER_SHARE_PART : 1;
        boolean atLimit = server.inFlight + 1 > part * server.limit
                && (server.inFlight > ease * ahead || now < server.restUntil - ease * ahead * server.restUs);
        if (atLimit || inFlight > ease * (1 + ahead) && inFlight + 1 > part * limits) {
            server.wantedAt = call.overShare ? server.wantedAt : now;
            return true;
        }
        return false;
    }

    /**
     * Exception, throttling: the chance with which a sparse node takes up a request; it falls as its answers
     * come late, first for what is worth little. All nodes hold back alike, so that servers that have
     * choked come to the rest that they need.
     */
    private double admitted(Call call) {
        double part = timely / THROTTLED_AT;
        return Math.max(LEAST_ADMITTED, part * part * (0.75 + rank(call) / 2));
    }

    /** The value of a request against that of the most valuable class, 1 at most. */
    private double rank(Call call) {
        double top = call.value;
        for (int c = 0; c < latencyUs.length; c++) {
            // A class that has not been answered yet has no measure of work; it must not outrank all others.
            double worth = answers[c] > 0 ? set.classes.get(c).worth() : 0;
            top = Math.max(top, forItsWork(worth, c));
        }
        return top > 0 ? call.value / top : 0;
    }

    // ---------------------------------------------------------------- sending

    private void send(Call call, Server server) {
        int attempt = call.attempts++;
        call.servers[attempt] = server;
        call.sentAt[attempt] = now;
        call.outstanding++;
        hedgesLeft = Math.min(MOST_HEDGES, hedgesLeft + (attempt == 0 ? HEDGE_SHARE : 0));
        watched.get(call.request.classIndex()).add(new Try(call, attempt));
        server.inFlight++;
        inFlight += isCounted(server) ? 1 : 0;
        // Gaps are counted from the first request on, not from the start of the clock.
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        if (isCold(server)) {
            server.nextColdSendAt = Math.max(now, server.nextColdSendAt) + coldGap(server, call.request.classIndex());
        }
        out.send(call.request.id(), server.id, call.deadlineAt);
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
    private void giveUp(Call call) {
        boolean harmless = call.binding() < 0
                || call.cls.retrySafety() == RetrySafety.SAFE
                || call.cls.retrySafety() == RetrySafety.KEYED && call.cls.dedupScope() == DedupScope.ALL;
        if (harmless) {
            out.refuse(call.request.id(), set.maxRetryAfterUs);
        } else {
            out.fail(call.request.id());
        }
        end(call);
    }

    private void end(Call call) {
        int c = call.request.classIndex();
        inVain[c] += TIMELY_GAIN * ((call.attempts == 0 ? 1 : 0) - inVain[c]);
        call.ended = true;
        call.waiting = false;
        for (int i = 0; i < call.attempts && call.outstanding > 0 && set.cancellationAllowed; i++) {
            if (call.results[i] == null) {
                out.cancel(call.request.id(), i);
            }
        }
        forgetIfOver(call);
    }

    private void forgetIfOver(Call call) {
        if (call.ended && call.outstanding == 0) {
            calls.remove(call.request.id());
        }
    }

    /** Rule 2: whether any further attempt could be lawful, wherever it goes. */
    private boolean mayTryAgain(Call call) {
        if (call.attempts >= set.maxAttempts || now >= call.deadlineAt || call.streaming) {
            return false;
        }
        int binding = call.binding();
        return binding < 0
                || switch (call.cls.retrySafety()) {
                    case SAFE -> true;
                    case KEYED -> now <= call.sentAt[binding] + call.cls.dedupWindowUs();
                    case UNSAFE -> false;
                };
    }

    /** Rules 2 to 4 for one server: the keyed group, the list's word, and a cold server's budget. */
    private boolean maySend(Call call, Server server) {
        return !server.isEjectedFor(call.request.classIndex()) && !isCrowded(call, server) && isAllowed(call, server);
    }

    private boolean isAllowed(Call call, Server server) {
        if (server.state != ServerState.READY || isCold(server) && now < server.nextColdSendAt) {
            return false;
        }
        int binding = call.cls.retrySafety() == RetrySafety.KEYED ? call.binding() : -1;
        return binding < 0
                || switch (call.cls.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> server.zone == call.servers[binding].zone;
                    case CELL -> server.cell == call.servers[binding].cell;
                };
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + set.warmUpUs;
    }

    /**
     * Exception, slow start (rule 4): the unit is an even part of what this node gets answered, times the
     * share of its capacity that a cold server has at least. All nodes together may send so many units as
     * the rule's multiple; each spends half of that, spaced so that no burst spends it at once. Its limit
     * keeps a server that is slow besides below even that. Arrivals would not do as the measure, as clients'
     * retries multiply them in a jam, nor what is answered now alone, which would hold the jam: it counts by
     * half, and the best that was, which may have been more than servers can do now, by the other half. At a
     * node of many it is no less than one core does of such work: half of a fleet may be replaced at once.
     */
    private long coldGap(Server server, int classIndex) {
        double age = Math.max(0, now - server.startedAt) / (double) set.warmUpUs;
        double share = set.coldCapacityRatio + (1 - set.coldCapacityRatio) * Math.min(1, age);
        double units = Math.max(1, set.overloadRatio / 2) / (set.warmKeys ? UNKNOWN_KEY_COST : 1);
        double unitUs = Math.sqrt(Math.min(leastGapUs, evenGapUs) * evenGapUs);
        if (many && !set.warmKeys && classIndex >= 0 && isUsualKnown(classIndex)) {
            unitUs = Math.min(unitUs, leastLatencyUs[classIndex] * senders);
        }
        return (long) (unitUs / (share * units));
    }
}
