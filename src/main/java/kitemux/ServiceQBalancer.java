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
 * Makes every decision of the load balancer. {@link Balancer} defines its interface: all types, events and actions.
 *
 * <p>The ordinary path follows ServiceQ. A failed attempt adds one to the error count of its server, and a success
 * clears the count. A first try draws two servers, by weights that fall with the error count, and goes to the one
 * with fewer requests of this node in flight. A failed attempt that may be repeated is retried on the next server in
 * list order. When no server can be tried, the request waits in a queue, first come first served, until its deadline.
 * Departures from this path are marked "Exception" below.
 *
 * <p>Fields and parameters whose names end in {@code At} or {@code Until} are times of the caller's clock in
 * microseconds.
 */
public final class ServiceQBalancer implements Balancer {

    /**
     * Maximum number of redraws when the drawn server may not be sent to. Searching a whole large fleet takes too
     * much CPU.
     */
    private static final int MAX_REDRAW_COUNT = 15;

    /**
     * Number of draws for a key, some of which the server weights reject. With 3 draws, requests of a burst waited
     * until they ran out of time; with 16, the burst spread to servers that did not know the key.
     */
    private static final int KEY_DRAW_COUNT = 8;

    /**
     * Minimum interval between sweeps of the queue: long relative to the cost of a sweep, short relative to any
     * target latency.
     */
    private static final long MIN_SWEEP_INTERVAL_US = 5_000;

    /** Weight of a new sample in the moving averages of latencies and of the gaps between answers. */
    private static final double MEAN_SMOOTHING_RATIO = 1.0 / 32;

    /**
     * Weight of a new sample in the ratios of timely answers and of unserved requests, which have to follow
     * congestion quickly.
     */
    private static final double TIMELY_SMOOTHING_RATIO = 1.0 / 8;

    /**
     * Ratio of timely answers below which a sparse node admits fewer requests, in proportion to the square of the
     * ratio.
     */
    private static final double THROTTLING_TIMELY_RATIO = 0.7;

    /** Minimum share of requests that a throttled node admits. Without it the node could not detect a recovery. */
    private static final double MIN_ADMISSION_RATIO = 0.05;

    /**
     * Cost of a request at a server that knows no keys yet, relative to the mean cost at other servers; a
     * conservative estimate.
     */
    private static final double UNKNOWN_KEY_COST_RATIO = 3;

    /**
     * Gap between the answers of one server that a node assumes before it has observed any. It is long so that cold
     * servers are not flooded.
     */
    private static final double INITIAL_ANSWER_GAP_US = 50_000;

    /** Initial limit on the requests in flight at a server, over all nodes; low enough for a server with one core. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 4;

    /**
     * Initial limit where servers remember keys. It exceeds the capacity of a server, so that the first decrease
     * finds the actual limit.
     */
    private static final double INITIAL_WARM_KEY_CONCURRENCY_LIMIT = 64;

    /**
     * Share of the target latency above which an answer indicates a crowded server. The rest is a margin for
     * variance: a server that is crowded up to the target may already have become slower.
     */
    private static final double CROWDED_TARGET_RATIO = 0.35;

    /**
     * Replaces {@link #CROWDED_TARGET_RATIO} where there are many nodes. The requests of many nodes are spread
     * unevenly, so that even servers with spare capacity answer some requests slowly.
     */
    private static final double MANY_NODES_CROWDED_TARGET_RATIO = 0.6;

    /** Replaces {@link #CROWDED_TARGET_RATIO} at a sparse node and where servers remember keys. */
    private static final double SPARSE_CROWDED_TARGET_RATIO = 0.7;

    /**
     * Share of the limit growth that remains while half of the answers or more are late. Without any growth, limits
     * would never recover.
     */
    private static final double MIN_LIMIT_GROWTH_RATIO = 0.1;

    /**
     * Increase of a server's limit, over all nodes, for an answer well within the target. At a limit of 4, one slow
     * answer in four keeps increase and decrease in balance.
     */
    private static final double LIMIT_INCREASE_STEP = 0.15;

    /** Share by which a slow answer decreases a server's limit. */
    private static final double LIMIT_DECREASE_RATIO = 0.1;

    /**
     * Multiple of the minimum mean latency of a class above which an answer indicates a crowded server, however
     * distant the target is.
     */
    private static final double CROWDED_LATENCY_RATIO = 3;

    /**
     * Share of the class's mean latency at this node above which an answer is slower than most; latencies are skewed,
     * so most lie below their mean.
     */
    private static final double SLOW_LATENCY_RATIO = 0.8;

    /**
     * Additional factor on {@link #SLOW_LATENCY_RATIO} at nodes that are not sparse, which separates a slow server
     * from chance.
     */
    private static final double SLOW_LATENCY_MARGIN_RATIO = 2;

    /**
     * Maximum error count that slow answers alone can add up to. Beyond that, the concurrency limit still protects a
     * slower server.
     */
    private static final int MAX_SLOW_ANSWER_ERROR_COUNT = 8;

    /**
     * Growth of tracked minima with each answer, so that they follow a change of the work: by one half within 4,000
     * answers.
     */
    private static final double MINIMUM_DRIFT_RATIO = 1.0001;

    /**
     * Maximum interval between two requests to a server whose limit is below one. With 1 s such servers stayed
     * overloaded.
     */
    private static final long MAX_PACING_INTERVAL_US = 2_000_000;

    /** Number of requests that a sparse node may send ahead of a server's pacing, since arrivals come in bursts. */
    private static final double SPARSE_BURST_COUNT = 2;

    /**
     * Exponent of the number of nodes by which the increase and decrease of limits grow. With 0 many nodes adapt
     * slowly; with 0.5 chance dominates.
     */
    private static final double LIMIT_ADAPTATION_EXPONENT = 0.25;

    /** Share by which a rejected or timed-out request decreases a server's limit; it says more than a slow answer. */
    private static final double LIMIT_OVERLOAD_DECREASE_RATIO = 0.3;

    /**
     * Minimum time left to the target latency, in mean latencies of the class, below which a queued request is too
     * late: under overload every served request has waited that long. With many nodes it is one less for the most
     * valuable class, which is served first, unless a quarter of the class goes unserved.
     */
    private static final double MIN_REMAINING_LATENCY_RATIO = 2;

    /**
     * Rate at which the unserved ratio of a class removes its advantage in {@link #MIN_REMAINING_LATENCY_RATIO}; the
     * advantage is gone at one quarter.
     */
    private static final double UNSERVED_PENALTY_RATIO = 4;

    /** Upper bound for the required time left, as a share of the target latency. */
    private static final double MAX_REMAINING_TARGET_RATIO = 0.8;

    /**
     * Number of failures among the last {@link #HEALTH_HISTORY_COUNT} answers of a server at which it is ejected, in
     * addition to the failures that all servers have in common.
     */
    private static final int EJECTION_FAILURE_COUNT = 4;

    /**
     * Multiple of the common failure ratio that does not count towards an ejection. Connections that break anywhere
     * are no fault of a single server.
     */
    private static final double COMMON_FAILURE_ALLOWANCE_RATIO = 2;

    /** Weight of a new sample in the common failure ratio. */
    private static final double COMMON_FAILURE_SMOOTHING_RATIO = 1.0 / 256;

    /** Number of recent answers from which the health of a server is judged. */
    private static final int HEALTH_HISTORY_COUNT = 16;

    /**
     * Number of consecutive successful trials that restore an ejected server. One may be luck; three are unlikely if
     * most requests fail.
     */
    private static final int RESTORING_SUCCESS_COUNT = 3;

    /** Time without requests after the first ejection; it doubles with each failed trial. */
    private static final long INITIAL_EJECTION_US = 250_000;

    /** Maximum time without requests between two trials of an ejected server. */
    private static final long MAX_EJECTION_US = 4_000_000;

    /**
     * Additional delay of a trial with an unsafe request, in ejection times: each unsafe trial that fails is a lost
     * request.
     */
    private static final int UNSAFE_TRIAL_DELAY_RATIO = 4;

    /**
     * Multiple of the class's mean latency after which an unanswered attempt counts as silent. With exponentially
     * distributed work one answer in fifty takes longer.
     */
    private static final double SILENCE_LATENCY_RATIO = 4;

    /** Delay of a wake-up beyond which the node itself is considered to have been paused. */
    private static final long NODE_PAUSE_THRESHOLD_US = 50_000;

    /** Hedges allowed per first try. */
    private static final double HEDGE_BUDGET_RATIO = 0.2;

    /** Maximum number of hedges that the budget accumulates. */
    private static final double MAX_HEDGE_BUDGET_COUNT = 20;

    /** Number of own requests in flight at which a local server is compared with servers of other zones. */
    private static final int ZONE_SPILLOVER_COUNT = 2;

    /** Minimum interval between two log lines. */
    private static final long MIN_LOG_INTERVAL_US = 1_000_000;

    /** Share of the concurrency limits that is open to requests beyond their tenant's share. */
    private static final double OVER_SHARE_LIMIT_RATIO = 0.5;

    /** Time in seconds whose quota a tenant may use at once before it counts as beyond its share. */
    private static final double QUOTA_BURST_S = 1;

    /**
     * Minimum number of requests that a tenant may send at once. With many nodes, the share of one node is a few
     * requests a second, which arrive in bursts.
     */
    private static final double MIN_QUOTA_BURST_COUNT = 8;

    /**
     * Backoff before the first repeat of a failed list request. The actual wait is drawn between 0.5 and 1.5 times
     * the backoff. List requests are answered in turn, and requesting early does not delay the turn.
     */
    private static final long INITIAL_LIST_BACKOFF_US = 50_000;

    /**
     * Maximum backoff between list requests. A request that discovery is down for lasts up to 4 s, and the list that
     * discovery has after its return takes effect 6 s later.
     */
    private static final long MAX_LIST_BACKOFF_US = 660_000;

    /**
     * Maximum number of nodes that share a server in a large fleet, to respect the number of connections that a
     * server accepts.
     */
    private static final int MAX_NODES_PER_SERVER_COUNT = 24;

    /** Number of nodes from which on each node uses a subset of the servers. */
    private static final int MANY_NODES_MIN_COUNT = 4;

    /**
     * Number of nodes that suffice to share a server, provided that each node has {@link #SUFFICIENT_SUBSET_COUNT}
     * servers. A node sees only its own attempts, so with fewer nodes per server its requests in flight say more
     * about the server's load. With 14 nodes at each of 60 servers they said nothing: half of the pages were late at
     * 0.58 of the capacity.
     */
    private static final int MIN_NODES_PER_SERVER_COUNT = 2;

    /** Number of servers that suffice for a node. */
    private static final int SUFFICIENT_SUBSET_COUNT = 8;

    /**
     * Number of nodes per server above which a node counts as sparse; its initial limit is then at most one fifth of
     * a request. With a lower bound, sparse operation lost more than it gained.
     */
    private static final double SPARSE_NODES_PER_SERVER_COUNT = 20;

    /**
     * Minimum number of servers that a node uses where that many exist, so that one may fail and another may hang.
     */
    private static final int MIN_SUBSET_COUNT = 4;

    /**
     * Minimum number of slots for each server in the table of subsets; it gives all servers about the same number of
     * nodes.
     */
    private static final int SUBSET_SLOTS_PER_SERVER_COUNT = 4;

    /**
     * Minimum number of slots for each server in the table that keys are drawn from; the shares of servers then
     * differ by a few percent. The table size changes only when the fleet doubles, since a change moves all keys.
     */
    private static final int KEY_SLOTS_PER_SERVER_COUNT = 16;

    /** Maximum number of queued keyed requests that may fail to find a server at each event; bounds CPU use. */
    private static final int KEYED_TRIES_PER_EVENT_COUNT = 4;

    /** Maximum number of queued keyed requests that may fail to find a server at each sweep; bounds CPU use. */
    private static final int KEYED_TRIES_PER_SWEEP_COUNT = 64;

    /** Orders the queue by falling value. */
    private static final Comparator<PendingRequest> HIGHEST_VALUE_FIRST =
            Comparator.comparingDouble(pending -> -pending.value);

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepIntervalUs;

    /** Increase of a server's limit for an answer well within the target, before it is scaled. */
    private double limitIncrease;

    /** Share by which a slow answer decreases a server's limit, before it is scaled. */
    private double limitDecreaseRatio;

    /**
     * Whether a server is shared by many nodes, so that this node's own requests in flight say little about the
     * server's load.
     */
    private boolean sparse;

    /** Whether the number of nodes reaches {@link #MANY_NODES_MIN_COUNT}. */
    private final boolean manyNodes;

    /** Moving average of the share of answers that meet their target latency. */
    private double timelyRatio = 0.75;

    /** Moving average of the share of answers that are failures, over all servers that are not ejected. */
    private double commonFailureRatio;

    private final Map<String, Server> serversById = new HashMap<>();

    /** Servers of the current list, including draining ones. */
    private final Set<Server> listedServers = new LinkedHashSet<>();

    /** The servers in use: all that are ready, or this node's subset of them in a large fleet. */
    private Server[] usedServers = new Server[0];

    /** Number of nodes that share a server; nodes that rarely send to it count for less. */
    private double effectiveNodesPerServer;

    /** Initial limit on this node's requests in flight at a server. */
    private double initialLimit;

    /** Number of nodes that may send to a server. */
    private double nodesPerServer;

    /** Size of the last local subset; kept through small changes of the list. */
    private int localSubsetSize;

    /** All servers in use. */
    private DrawPool fullPool = new DrawPool(usedServers, false);

    /** The preferred servers; the same object as {@link #fullPool} if all are preferred. */
    private DrawPool preferredPool = fullPool;

    /** Whether an error count or the list has changed since the weights were last computed. */
    private boolean weightsStale;

    /** Weight of a server without errors. */
    private double maxWeight = 1;

    /** Servers in use that are ejected, for all classes or for some. */
    private final List<Server> ejectedServers = new ArrayList<>();

    /** Earliest time of the next log line. */
    private long nextLogAt;

    /** Attempts by class, in the order sent, until they are resolved or found silent. */
    private final List<ArrayDeque<WatchedAttempt>> watchedAttempts = new ArrayList<>();

    /** Number of hedges that may be sent at present. */
    private double hedgeBudget = MAX_HEDGE_BUDGET_COUNT;

    /** Requests that have no final answer or still have attempts in flight, by id. */
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

    /** Requests that wait for a server, by falling value. */
    private final ArrayList<PendingRequest> queue = new ArrayList<>();

    private long now;

    /** Time of the wake-up that was requested, or {@code Long.MAX_VALUE} if none is pending. */
    private long pendingWakeAt = Long.MAX_VALUE;

    /** Time of the last successful answer. */
    private long lastServedAt;

    /** Mean time between the answers of one server, at an even share of the answers that this node receives. */
    private double meanAnswerGapUs;

    /** Minimum of {@link #meanAnswerGapUs}, with a slow upward drift. */
    private double minAnswerGapUs = Double.MAX_VALUE;

    /** Mean latency of successful answers, by class. */
    private final double[] meanLatencyUs;

    /** Minimum of {@link #meanLatencyUs} by class, with a slow upward drift. */
    private final double[] minMeanLatencyUs;

    /** Number of successful answers, by class. */
    private final int[] answerCounts;

    /** Moving average, by class, of the share of requests that end without an attempt. */
    private final double[] unservedRatios;

    /** Requests that each tenant may still send within its share (a token bucket). */
    private final double[] quotaTokens;

    /** Time of the last refill of {@link #quotaTokens}, by tenant; 0 before the first. */
    private final long[] quotaRefilledAt;

    /** Requests in flight at the counted servers, without those found silent. */
    private int totalInFlight;

    /** Sum of the limits of the counted servers. */
    private double totalLimit;

    /** Time of the next list request, or {@code Long.MAX_VALUE} if none is due. */
    private long nextListRequestAt = Long.MAX_VALUE;

    /** Current backoff between failed list requests. */
    private long listBackoffUs = INITIAL_LIST_BACKOFF_US;

    /** State that this node keeps for a server. */
    private static final class Server {
        final String id;

        /** Determines the server's order in slot tables; all nodes compute the same value. */
        final long placementHash;

        /** Whether draws prefer this server. */
        boolean preferred;

        int zone;
        int cell;
        ServerState state;
        long startedAt;

        /** Index into {@link #usedServers}. */
        int position;

        /** ServiceQ's error count, from which the weight follows. */
        int errorCount;

        int inFlight;

        /** Requests in flight that were found silent; they say nothing about the capacity of other servers. */
        int silentInFlight;

        /** Limit on this node's requests in flight; a limit below one is kept by pacing. */
        double limit;

        long limitDecreasedAt;

        /** Time before which no request is sent while the limit is below one. */
        long pacedUntil;

        long pacingIntervalUs;

        /** Last time that the limit kept a request away. */
        long limitReachedAt;

        /** Whether it is one of {@link #usedServers}. */
        boolean inUse;

        /**
         * Health over all classes. Health is also kept by class, since a server may fail one class and serve the
         * others.
         */
        final Health overallHealth = new Health();

        final Health[] healthByClass;

        /** Earliest time of the next request while the server is cold. */
        long nextColdSendAt;

        Server(String id, int classCount) {
            this.id = id;
            placementHash = new SplittableRandom(id.hashCode()).nextLong();
            healthByClass = Stream.generate(Health::new).limit(classCount).toArray(Health[]::new);
        }

        /** Returns the process that the id stands for at present. */
        ServerProcess process() {
            return new ServerProcess(zone, cell, startedAt);
        }

        boolean isEjectedFor(int classIndex) {
            return overallHealth.ejected || healthByClass[classIndex].ejected;
        }
    }

    /** The last answers of a server, of all classes or of one, and the ejection state that follows from them. */
    private static final class Health {
        /** One bit for each recent answer, the newest lowest; 1 is a failure. */
        int failureBits;

        boolean ejected;

        /** Earliest time of the next trial of an ejected server. */
        long nextTrialAt;

        /** Current time between trials. */
        long ejectionUs;

        /** Consecutive successful trials. */
        int trialSuccesses;

        long lastAnsweredAt;
        long lastSucceededAt;

        int recentFailureCount() {
            return Integer.bitCount(failureBits & (1 << HEALTH_HISTORY_COUNT) - 1);
        }
    }

    /** An attempt that is watched for silence. */
    private record WatchedAttempt(PendingRequest pending, int attempt) {}

    /** The servers to draw from, with their cumulative weights and the slot table for keys. */
    private static final class DrawPool {
        final Server[] servers;
        final long[] cumulativeWeights;
        final Server[] keySlots;

        DrawPool(Server[] servers, boolean forKeys) {
            this.servers = servers;
            cumulativeWeights = new long[servers.length];
            keySlots = !forKeys || servers.length == 0
                    ? new Server[0]
                    : buildSlotTable(
                            servers, nextPrime(KEY_SLOTS_PER_SERVER_COUNT * Integer.highestOneBit(servers.length)), 1);
        }
    }

    /** A request with its attempts, from its arrival until its final answer and the end of its last attempt. */
    private static final class PendingRequest {
        final Request request;
        final RequestClass requestClass;
        final long arrivedAt;
        final long targetAt;
        final long deadlineAt;
        final Server[] servers;
        /** The process of each attempt's server when the attempt was sent. */
        final ServerProcess[] processes;

        final long[] sentAt;
        final Result[] results;

        /** Whether an attempt was counted as a failure before it ended. */
        final boolean[] silent;

        /** Fixes the draws by the request's key; 0 without a key. */
        final long keySeed;

        /** Worth for the work it takes; orders the queue. */
        double value;

        /** Whether it is beyond its tenant's share. */
        boolean overShare;

        /** Whether its value was reduced because its target can no longer be met. */
        boolean late;

        int attemptCount;

        /** Number of attempts without an outcome. */
        int outstandingCount;

        /** Whether it waits in the queue. */
        boolean queued;

        /** Whether the client has left. */
        boolean clientGone;

        /** Whether a streamed answer has begun. */
        boolean streaming;

        /** Whether it has its final answer. */
        boolean ended;

        PendingRequest(Request request, Settings settings, long now) {
            this.request = request;
            requestClass = settings.classes.get(request.classIndex());
            long targetUs = Math.min(
                    requestClass.deadlineUs(),
                    requestClass.targetLatencyUs() + (long) (requestClass.targetLatencyPerWork() * request.workUs()));
            arrivedAt = now - Math.max(0, request.ageUs());
            deadlineAt = now + Math.max(0, request.remainingUs());
            targetAt = Math.min(deadlineAt, arrivedAt + targetUs);
            servers = new Server[settings.maxAttempts];
            processes = new ServerProcess[settings.maxAttempts];
            sentAt = new long[settings.maxAttempts];
            results = new Result[settings.maxAttempts];
            silent = new boolean[settings.maxAttempts];
            keySeed = settings.warmKeys && request.key() != null
                    ? mixBits(request.key().hashCode()) | 1
                    : 0;
        }

        /** Returns whether an attempt's server is still the process that it was sent to. */
        boolean isSameProcess(int attempt) {
            return processes[attempt].equals(servers[attempt].process());
        }

        /** Returns the number of the earliest attempt that may have run, or -1. It restricts retries and refusals. */
        int firstPossiblyExecutedAttempt() {
            return firstPossiblyExecutedAttemptBesides(-1);
        }

        /** Returns the number of the earliest attempt but this one that may have run, or -1. */
        int firstPossiblyExecutedAttemptBesides(int excluded) {
            for (int i = 0; i < attemptCount; i++) {
                if (i != excluded && (results[i] == null || !results[i].neverRan)) {
                    return i;
                }
            }
            return -1;
        }
    }

    /**
     * Creates the decision module of a node that has just started.
     *
     * @param nodeSettings the settings of the node
     * @param seed seed of all random decisions
     * @param nodeActions the actions of the node
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings nodeSettings, long seed, Actions nodeActions) {
        nodeSettings.validate();
        settings = nodeSettings;
        actions = nodeActions;
        random = new SplittableRandom(seed);
        sweepIntervalUs = Math.max(MIN_SWEEP_INTERVAL_US, 2 * nodeSettings.tickUs);
        manyNodes = settings.nodes >= MANY_NODES_MIN_COUNT;
        setEffectiveNodesPerServer(settings.nodes);
        meanLatencyUs = new double[settings.classes.size()];
        minMeanLatencyUs = new double[settings.classes.size()];
        answerCounts = new int[settings.classes.size()];
        unservedRatios = new double[settings.classes.size()];
        quotaTokens = new double[settings.tenants.size()];
        quotaRefilledAt = new long[settings.tenants.size()];
        settings.classes.forEach(requestClass -> watchedAttempts.add(new ArrayDeque<>()));
    }

    private void setEffectiveNodesPerServer(double nodes) {
        effectiveNodesPerServer = nodes;
        // Where servers remember keys, their capacity depends on the keys that they know; the first decrease finds it.
        initialLimit = (settings.warmKeys ? INITIAL_WARM_KEY_CONCURRENCY_LIMIT : INITIAL_CONCURRENCY_LIMIT)
                / effectiveNodesPerServer;
        // Both change by the same factor, so that increase and decrease stay in balance over all nodes.
        double adaptationFactor = Math.pow(nodes, LIMIT_ADAPTATION_EXPONENT);
        limitIncrease = LIMIT_INCREASE_STEP / adaptationFactor;
        limitDecreaseRatio = 1 - Math.pow(1 - LIMIT_DECREASE_RATIO, adaptationFactor);
        sparse = nodesPerServer > SPARSE_NODES_PER_SERVER_COUNT;
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listedServers.forEach(server -> server.state = ServerState.GONE);
            listedServers.clear();
        }
        for (ServerEntry entry : entries) {
            Server server = serversById.computeIfAbsent(entry.id(), id -> new Server(id, settings.classes.size()));
            if (entry.state() == ServerState.GONE) {
                listedServers.remove(server);
            } else {
                listedServers.add(server);
            }
            if (entry.startedAtUs() > server.startedAt) {
                // A new process: failures of the old one say nothing about it.
                resetServer(server);
                server.nextColdSendAt = 0;
                server.startedAt = entry.startedAtUs();
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        updateUsedServers();
        // Servers come and go for as long as a node runs, so gone servers without requests in flight are removed.
        serversById.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
        scheduleListRequest(kind);
        serveQueue(KEYED_TRIES_PER_EVENT_COUNT);
        scheduleWake();
    }

    /** Requests the list after a cached one, and schedules no further request once discovery has answered. */
    private void scheduleListRequest(ListKind kind) {
        switch (kind) {
            case CACHED -> {
                if (settings.listOnRequest) {
                    requestList();
                }
            }
            case FULL, CHANGES -> {
                nextListRequestAt = Long.MAX_VALUE;
                listBackoffUs = INITIAL_LIST_BACKOFF_US;
            }
            case OVERRIDES -> {
                // Discovery has said nothing: a request that is due after a failure stays due.
            }
        }
    }

    private void updateUsedServers() {
        Server[] previouslyUsed = usedServers;
        usedServers = selectUsedServers(
                listedServers.stream().filter(s -> s.state == ServerState.READY).toArray(Server[]::new));
        Arrays.stream(previouslyUsed).forEach(server -> server.inUse = false);
        meanAnswerGapUs = meanAnswerGapUs == 0 ? INITIAL_ANSWER_GAP_US * usedServers.length : meanAnswerGapUs;
        for (int i = 0; i < usedServers.length; i++) {
            usedServers[i].position = i;
            usedServers[i].inUse = true;
            // The initial limit depends on the number of nodes that share the server, which is known only now.
            usedServers[i].limit = usedServers[i].limit == 0 ? initialLimit : usedServers[i].limit;
            if (isCold(usedServers[i]) && usedServers[i].nextColdSendAt == 0) {
                // All nodes learn of a start at the same time; their first requests together would be a burst.
                usedServers[i].nextColdSendAt = now + (long) (random.nextDouble() * coldSendGapUs(usedServers[i], -1));
            }
        }
        Arrays.stream(previouslyUsed).forEach(this::closeIfUnused);
        fullPool = new DrawPool(usedServers, settings.warmKeys);
        preferredPool = settings.crossZonePrice == 0
                        && Arrays.stream(usedServers).allMatch(s -> s.preferred)
                ? fullPool
                : new DrawPool(
                        Arrays.stream(usedServers).filter(s -> s.preferred).toArray(Server[]::new), false);
        weightsStale = true;
        recountUsedServers();
    }

    /**
     * Closes idle connections to a server that is no longer in use; they would take up connections of the nodes that
     * use it.
     */
    private void closeIfUnused(Server server) {
        if (!server.inUse && server.inFlight == 0) {
            actions.closeIdle(server.id);
        }
    }

    /**
     * Exception, subsets: applies from {@link #MANY_NODES_MIN_COUNT} nodes on, which would otherwise all share each
     * server. Connections are capped, cost work and have a price, and a node learns less about each server the more
     * servers it uses. Each node therefore uses a subset of the servers. It prefers the local servers where crossing
     * zones has a price, and otherwise the first half of the subset, about which it then learns more. The other
     * servers of the subset are used when these are busy or failing.
     */
    private Server[] selectUsedServers(Server[] all) {
        List<Server> subset = selectSubset(all);
        boolean halved = settings.crossZonePrice == 0 && subset.size() < all.length;
        List<Server> preferred = halved ? subset.subList(0, (subset.size() + 1) / 2) : subset;
        subset.forEach(s -> s.preferred =
                halved ? preferred.contains(s) : settings.crossZonePrice == 0 || s.zone == settings.myZone);
        nodesPerServer = Math.max(1, (double) settings.nodes * subset.size() / Math.max(1, all.length));
        setEffectiveNodesPerServer(Math.max(
                1, nodesPerServer * Math.sqrt((double) preferred.size() / Math.max(1, subset.size()))));
        Set<Server> used = new HashSet<>(subset);
        return Arrays.stream(all).filter(used::contains).toArray(Server[]::new);
    }

    /** Returns this node's subset of the servers, local and remote. */
    private List<Server> selectSubset(Server[] all) {
        int zones = settings.crossZonePrice == 0 ? 1 : Math.max(1, settings.zones.size());
        boolean ignoresZones = zones == 1;
        Server[] local = Arrays.stream(all)
                .filter(s -> ignoresZones || s.zone == settings.myZone)
                .toArray(Server[]::new);
        Server[] remote = Arrays.stream(all)
                .filter(s -> !ignoresZones && s.zone != settings.myZone)
                .toArray(Server[]::new);
        int localSize = subsetSize(local.length, (double) settings.nodes / zones, zones == 1 ? 2 : 1);
        int remoteSize = subsetSize(remote.length, settings.nodes, 1);
        if (localSize == local.length && remoteSize == remote.length) {
            return Arrays.asList(all);
        }
        // The size is kept through small changes of the list, since a change of the size moves all slots.
        localSubsetSize =
                2 * localSize > localSubsetSize && localSize < 2 * localSubsetSize ? localSubsetSize : localSize;
        List<Server> used = new ArrayList<>(pickSubset(local, Math.min(local.length, localSubsetSize)));
        used.addAll(pickSubset(remote, Math.min(remoteSize, Math.max(MIN_SUBSET_COUNT, localSubsetSize / 2))));
        return used;
    }

    /** Returns how many of the servers each node uses, given the number of nodes. */
    private static int subsetSize(int serverCount, double nodeCount, int lowerBound) {
        // In a fleet that has shrunk, the minimum of every node would exceed the cap on connections.
        int minSize = (int) Math.max(
                lowerBound, Math.min(MIN_SUBSET_COUNT, 2 * MAX_NODES_PER_SERVER_COUNT * serverCount / nodeCount));
        double sufficientSize = Math.max(SUFFICIENT_SUBSET_COUNT, MIN_NODES_PER_SERVER_COUNT * serverCount / nodeCount);
        int size = (int) Math.ceil(Math.min(sufficientSize, MAX_NODES_PER_SERVER_COUNT * serverCount / nodeCount));
        return nodeCount < MANY_NODES_MIN_COUNT ? serverCount : Math.min(serverCount, Math.max(minSize, size));
    }

    /**
     * Returns this node's subset by consistent assignment. As in Maglev hashing, the servers take turns in claiming
     * slots of a table of rows, each in an order of its own, and node i uses row i modulo the number of rows. All
     * servers get about the same number of nodes, every node computes the same table from the same list, and a change
     * of the list moves few slots. A row for each node takes much CPU in a large fleet, while a small number of nodes
     * would share rows unevenly.
     */
    private List<Server> pickSubset(Server[] candidates, int size) {
        if (size == candidates.length) {
            return Arrays.asList(candidates);
        }
        int rowCount =
                settings.nodes * size > 2 * SUBSET_SLOTS_PER_SERVER_COUNT * candidates.length ? 1 : settings.nodes;
        while (rowCount < settings.nodes && rowCount * size < SUBSET_SLOTS_PER_SERVER_COUNT * candidates.length) {
            rowCount *= 2;
        }
        Server[] slots = buildSlotTable(candidates, nextPrime(rowCount * size), size);
        int firstSlot = settings.nodeIndex % rowCount * size;
        return Arrays.stream(slots, firstSlot, firstSlot + size)
                .filter(Objects::nonNull)
                .toList();
    }

    /**
     * Builds a table in which the servers take turns in claiming slots, each in an order of its own and at most once
     * in each row.
     *
     * @param rowSize slots of a row; 1 for a table without rows
     */
    private static Server[] buildSlotTable(Server[] candidates, int slotCount, int rowSize) {
        Server[] servers = candidates.clone();
        Arrays.sort(servers, Comparator.comparingLong(server -> server.placementHash));
        Server[] slots = new Server[slotCount];
        // One bit for each pair of server and row in which the server has a slot. Rows of a single slot need no bits.
        BitSet claimed = new BitSet();
        int rowCount = slotCount / rowSize + 1;
        int[] nextSlot = new int[servers.length];
        int[] triedSlotCount = new int[servers.length];
        for (int i = 0; i < servers.length; i++) {
            nextSlot[i] = (int) Math.floorMod(servers[i].placementHash, (long) slotCount);
        }
        int freeSlotCount = slotCount;
        int exhaustedServerCount = 0;
        for (int i = 0; freeSlotCount > 0 && exhaustedServerCount < servers.length; i = (i + 1) % servers.length) {
            int step = 1 + (int) Math.floorMod(servers[i].placementHash >> 32, slotCount - 1L);
            while (triedSlotCount[i] < slotCount
                    && (slots[nextSlot[i]] != null
                            || rowSize > 1 && claimed.get(i * rowCount + nextSlot[i] / rowSize))) {
                nextSlot[i] = (nextSlot[i] + step) % slotCount;
                triedSlotCount[i]++;
            }
            exhaustedServerCount = triedSlotCount[i] == slotCount ? exhaustedServerCount + 1 : 0;
            if (triedSlotCount[i] < slotCount) {
                freeSlotCount--;
                slots[nextSlot[i]] = servers[i];
                claimed.set(rowSize > 1 ? i * rowCount + nextSlot[i] / rowSize : 0);
            }
        }
        return slots;
    }

    private static int nextPrime(int lowerBound) {
        return BigInteger.valueOf(lowerBound - 1).nextProbablePrime().intValue();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (settings.listOnRequest) {
            // Jittered backoff: nodes whose requests failed together must not repeat them together.
            nextListRequestAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
            listBackoffUs = Math.min(4 * listBackoffUs, MAX_LIST_BACKOFF_US);
            scheduleWake();
        }
    }

    private void requestList() {
        actions.subscribe();
        nextListRequestAt = now + Math.max(1, settings.askWithinUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0
                || request.classIndex() >= settings.classes.size()
                || request.tenant() >= settings.tenants.size()
                || pendingRequests.containsKey(request.id())) {
            throw new IllegalArgumentException(
                    "request rejected: unknown class or tenant, or its id is still in use: " + request);
        }
        PendingRequest pending = new PendingRequest(request, settings, now);
        pendingRequests.put(request.id(), pending);
        pending.value = computeValue(pending);
        // A node that is behind spends no more work on requests that it reads too late, so that it can catch up.
        if (sparse && random.nextDouble() >= admissionProbability(pending)
                || isTooLate(pending) && pending.requestClass.lateWorth() == 0) {
            refuseOrFail(pending);
            scheduleWake();
            return;
        }
        // Either no request waits, or this one has a key: keyed requests that wait for the same servers are tried at
        // each event.
        boolean mayBypassQueue = queue.isEmpty() || pending.keySeed != 0;
        Server server = mayBypassQueue && now < pending.deadlineAt ? selectServer(pending) : null;
        if (server != null) {
            send(pending, server);
        } else {
            enqueue(pending);
            serveQueue(KEYED_TRIES_PER_EVENT_COUNT);
        }
        scheduleWake();
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        PendingRequest pending = pendingRequests.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (pending == null || attempt < 0 || attempt >= pending.attemptCount || pending.results[attempt] != null) {
            return;
        }
        Server server = pending.servers[attempt];
        Result result = outcome.result();
        pending.results[attempt] = result;
        pending.outstandingCount--;
        server.inFlight--;
        totalInFlight -= countsTowardTotals(server) && !pending.silent[attempt] ? 1 : 0;
        server.silentInFlight -= pending.silent[attempt] ? 1 : 0;
        closeIfUnused(server);
        Health classHealth = server.healthByClass[pending.request.classIndex()];
        // What the process before did says nothing about the one that the id stands for now.
        boolean isSameProcess = pending.isSameProcess(attempt);
        if (result == Result.OK && isSameProcess) {
            recordSuccess(
                    server,
                    classHealth,
                    outcome.latencyUs()
                            > (sparse ? 1 : SLOW_LATENCY_MARGIN_RATIO)
                                    * SLOW_LATENCY_RATIO
                                    * meanLatencyUs[pending.request.classIndex()]);
        } else if (result != Result.OK
                && result != Result.CANCELLED
                && result != Result.MOOT
                && !pending.silent[attempt]
                && isSameProcess) {
            // A time-out of a server that has answered the class since, like a FULL result, indicates load and not
            // silence; the limit accounts for it.
            recordFailure(
                    server,
                    classHealth,
                    result != Result.FULL
                            && (result != Result.TIMEOUT || classHealth.lastAnsweredAt < pending.sentAt[attempt]));
        }
        if (isSameProcess) {
            classHealth.lastAnsweredAt =
                    result == Result.OK || result == Result.ERROR ? now : classHealth.lastAnsweredAt;
            adaptLimit(pending, attempt, outcome);
        }
        if (outcome.requestEnded()) {
            finish(pending);
        } else if (!pending.ended && pending.outstandingCount == 0) {
            retryOrFinish(pending, server);
        }
        removeIfFinished(pending);
        serveQueue(KEYED_TRIES_PER_EVENT_COUNT);
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending != null) {
            pending.streaming = true;
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending != null) {
            pending.clientGone = true;
            finish(pending);
        }
    }

    /** Ignores the result: decisions do not depend on probes, and none is requested. */
    @Override
    public void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report) {}

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        boolean paused = pendingWakeAt != Long.MAX_VALUE && now > pendingWakeAt + NODE_PAUSE_THRESHOLD_US;
        pendingWakeAt = now >= pendingWakeAt ? Long.MAX_VALUE : pendingWakeAt;
        if (now >= nextListRequestAt) {
            requestList();
        }
        if (!paused) {
            detectSilentAttempts();
        }
        serveQueue(KEYED_TRIES_PER_SWEEP_COUNT);
        scheduleWake();
    }

    private void scheduleWake() {
        long wakeAt = queue.isEmpty() ? nextListRequestAt : Math.min(nextListRequestAt, now + sweepIntervalUs);
        for (int classIndex = 0; classIndex < watchedAttempts.size(); classIndex++) {
            WatchedAttempt oldest = watchedAttempts.get(classIndex).peek();
            wakeAt = oldest == null
                    ? wakeAt
                    : Math.min(
                            wakeAt,
                            Math.max(
                                    now + sweepIntervalUs,
                                    oldest.pending.sentAt[oldest.attempt] + silenceTimeoutUs(classIndex)));
        }
        if (wakeAt < pendingWakeAt) {
            pendingWakeAt = Math.max(wakeAt, now + 1);
            actions.wakeAt(pendingWakeAt);
        }
    }

    // ---------------------------------------------------------------- error counts

    /** Adds one to the error count. A failure that concerns the server's health, and not its load, may eject it. */
    private void recordFailure(Server server, Health classHealth, boolean unhealthy) {
        server.errorCount++;
        weightsStale = true;
        commonFailureRatio += unhealthy && !server.overallHealth.ejected
                ? COMMON_FAILURE_SMOOTHING_RATIO * (1 - commonFailureRatio)
                : 0;
        for (Health health : unhealthy ? new Health[] {server.overallHealth, classHealth} : new Health[0]) {
            health.failureBits = health.failureBits << 1 | 1;
            health.trialSuccesses = 0;
            if (health.ejected
                    || health.recentFailureCount()
                                    >= EJECTION_FAILURE_COUNT
                                            + COMMON_FAILURE_ALLOWANCE_RATIO * HEALTH_HISTORY_COUNT * commonFailureRatio
                            && (health == classHealth || !servesOtherClasses(server, classHealth))) {
                eject(server, health);
            }
        }
    }

    /** Returns whether another class was served after this one and has no failure among its last answers. */
    private static boolean servesOtherClasses(Server server, Health classHealth) {
        for (Health other : server.healthByClass) {
            if (other.lastSucceededAt > classHealth.lastSucceededAt && other.recentFailureCount() == 0) {
                return true;
            }
        }
        return false;
    }

    /** Clears the error count. An ejected server is restored after several consecutive successes. */
    private void recordSuccess(Server server, Health classHealth, boolean slow) {
        commonFailureRatio -= COMMON_FAILURE_SMOOTHING_RATIO * commonFailureRatio;
        for (Health health : new Health[] {server.overallHealth, classHealth}) {
            health.failureBits <<= 1;
            health.lastSucceededAt = now;
            health.nextTrialAt = now;
            if (health.ejected && ++health.trialSuccesses >= RESTORING_SUCCESS_COUNT) {
                log("restored server " + server.id + (health == classHealth ? " for a class" : ""));
                restore(health);
                if (health == server.overallHealth) {
                    resetServer(server);
                }
                recountUsedServers();
                return;
            }
        }
        if (!server.overallHealth.ejected) {
            // Exception, slow answers: with many nodes a slow answer adds one error and any other answer removes one,
            // so that the weights settle where all servers are about equally fast.
            int errorCount = !manyNodes
                    ? 0
                    : slow
                            ? Math.max(server.errorCount, Math.min(MAX_SLOW_ANSWER_ERROR_COUNT, server.errorCount + 1))
                            : Math.max(0, server.errorCount - 1);
            weightsStale |= errorCount != server.errorCount;
            server.errorCount = errorCount;
        }
    }

    // ---------------------------------------------------------------- ejection

    /**
     * Exception, ejection: a server that failed {@link #EJECTION_FAILURE_COUNT} of its last {@link
     * #HEALTH_HISTORY_COUNT} answers, of all classes or of one, receives no requests of these but single trials,
     * whose distance grows with each failed trial. At most half of the servers are ejected: when most servers fail,
     * the cause lies elsewhere, and the weights alone decide. Ejection is by class as well, since a class that a
     * server serves would otherwise hide one that it fails.
     */
    private void eject(Server server, Health health) {
        if (!health.ejected) {
            int classIndex = Arrays.asList(server.healthByClass).indexOf(health);
            long alreadyEjected = ejectedServers.stream()
                    .filter(s -> classIndex < 0 ? s.overallHealth.ejected : s.healthByClass[classIndex].ejected)
                    .count();
            if (2 * (alreadyEjected + 1) > usedServers.length) {
                return;
            }
            health.ejected = true;
            health.ejectionUs = INITIAL_EJECTION_US / 2;
            log("ejected server " + server.id + " after " + health.recentFailureCount() + " failures"
                    + (classIndex < 0
                            ? ""
                            : " of class " + settings.classes.get(classIndex).name()));
        }
        health.ejectionUs = Math.min(MAX_EJECTION_US, 2 * health.ejectionUs);
        health.nextTrialAt = now + health.ejectionUs / 2 + random.nextLong(health.ejectionUs);
        recountUsedServers();
    }

    private static void restore(Health health) {
        health.failureBits = 0;
        health.ejected = false;
        health.trialSuccesses = 0;
    }

    private void resetServer(Server server) {
        weightsStale |= server.errorCount > 0;
        server.errorCount = 0;
        restore(server.overallHealth);
        Arrays.stream(server.healthByClass).forEach(ServiceQBalancer::restore);
        server.limit = initialLimit;
    }

    /** Returns an ejected server that is due for a trial with this request, or null. */
    private Server findServerDueForTrial(PendingRequest pending) {
        for (Server server : ejectedServers) {
            Health classHealth = server.healthByClass[pending.request.classIndex()];
            // Unsafe requests are used for trials only if no other request could show a recovery: when the server is
            // ejected for an unsafe class alone.
            boolean due = pending.requestClass.retrySafety() == RetrySafety.UNSAFE
                    ? !server.overallHealth.ejected
                            && classHealth.ejected
                            && now >= classHealth.nextTrialAt + UNSAFE_TRIAL_DELAY_RATIO * classHealth.ejectionUs
                    : server.overallHealth.ejected && now >= server.overallHealth.nextTrialAt
                            || classHealth.ejected && now >= classHealth.nextTrialAt;
            if (due && server.inFlight == 0 && isAllowed(pending, server)) {
                return server;
            }
        }
        return null;
    }

    /** Recounts the servers in use. Requests that hang at ejected or gone servers must not hold back the others. */
    private void recountUsedServers() {
        weightsStale = true;
        totalLimit = 0;
        totalInFlight = 0;
        ejectedServers.clear();
        for (Server server : usedServers) {
            if (countsTowardTotals(server)) {
                totalLimit += server.limit;
                totalInFlight += server.inFlight - server.silentInFlight;
            }
            if (server.overallHealth.ejected
                    || Arrays.stream(server.healthByClass).anyMatch(h -> h.ejected)) {
                ejectedServers.add(server);
            }
        }
    }

    @Override
    public int ejectedServerCount() {
        return (int)
                ejectedServers.stream().filter(s -> s.overallHealth.ejected).count();
    }

    /** Returns whether the server counts in {@link #totalLimit} and {@link #totalInFlight}. */
    private static boolean countsTowardTotals(Server server) {
        return server.inUse && !server.overallHealth.ejected;
    }

    private void log(String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + MIN_LOG_INTERVAL_US;
            actions.log(line);
        }
    }

    // ---------------------------------------------------------------- server selection

    /**
     * Selects the server for a first try or a queued request, or returns null. A trial that is due comes first;
     * otherwise the better of two draws by weight is taken.
     */
    private Server selectServer(PendingRequest pending) {
        Server trialServer = findServerDueForTrial(pending);
        Server server = trialServer != null
                ? trialServer
                : drawBetterOfTwo(pending, pending.keySeed != 0 ? fullPool : preferredPool);
        int spilloverCount = settings.crossZonePrice == 0 ? 1 : ZONE_SPILLOVER_COUNT;
        // Exception, zones and halves: both draws are among the preferred servers. Two more draws from all servers are
        // taken only if that choice is busy or fails: if the alternative has fewer errors, or fewer requests in flight
        // by one, or by two where crossing zones has a price.
        if (trialServer != null
                || preferredPool == fullPool
                || pending.keySeed != 0
                || server != null && server.inFlight < spilloverCount && server.errorCount == 0) {
            return server;
        }
        Server other = drawBetterOfTwo(pending, fullPool);
        return server == null
                        || other != null
                                && (other.inFlight + spilloverCount <= server.inFlight
                                        || other.errorCount < server.errorCount)
                ? other
                : server;
    }

    /**
     * Draws two servers by weight and returns the one with fewer own requests in flight; ties are broken at random.
     */
    private Server drawBetterOfTwo(PendingRequest pending, DrawPool pool) {
        Server first = draw(pending, pool, null);
        Server second = first == null ? null : draw(pending, pool, first);
        if (second == null || first.inFlight != second.inFlight) {
            return second == null || first.inFlight < second.inFlight ? first : second;
        }
        // Draws are in random order, but by weight, so a tie needs a random choice of its own. With a key, the first
        // draw wins.
        return pending.keySeed != 0 || random.nextInt(2) == 0 ? first : second;
    }

    /**
     * Draws a server by weight among those that may be sent to; returns null if none is found.
     *
     * @param excluded a server that must not be drawn, or null
     */
    private Server draw(PendingRequest pending, DrawPool pool, Server excluded) {
        if (weightsStale) {
            updateWeights();
        }
        if (pending.keySeed != 0) {
            return drawByKey(pending, pool, Collections.singletonList(excluded));
        }
        for (int i = 0; i <= MAX_REDRAW_COUNT && pool.servers.length > 0; i++) {
            Server server = pool.servers[drawPosition(pool)];
            if (server != excluded && maySend(pending, server)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(DrawPool pool) {
        int lastPosition = pool.servers.length - 1;
        if (maxWeight == 1) {
            return random.nextInt(lastPosition + 1);
        }
        int found = Arrays.binarySearch(pool.cumulativeWeights, random.nextLong(pool.cumulativeWeights[lastPosition]));
        return found < 0 ? -1 - found : found + 1;
    }

    /**
     * Exception, keys: applies where servers remember keys. The weights are the same, but the key fixes the draws, as
     * in rendezvous hashing. Every node draws the same servers for a key. A server that gains errors loses keys to
     * the servers drawn next, and all other keys stay at the servers that know them. When all drawn servers are full,
     * the request waits: at any other server it would cost the work that the remembered key saves, and overload would
     * amplify itself. Drawback: a few hot keys may wait while other servers have capacity.
     */
    private Server drawByKey(PendingRequest pending, DrawPool pool, List<Server> excluded) {
        for (int i = 0; i < KEY_DRAW_COUNT && pool.keySlots.length > 0; i++) {
            long hash = mixBits(pending.keySeed + i * 0x9E3779B97F4A7C15L);
            Server server = pool.keySlots[(int) ((hash >>> 32) % pool.keySlots.length)];
            boolean drawn = (hash & 0xFFFFFFFFL) * maxWeight < weightOf(server) * 0x1p32;
            if (drawn && !excluded.contains(server) && maySend(pending, server)) {
                return server;
            }
        }
        return null;
    }

    private static long mixBits(long z) {
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Computes the weights of the ServiceQ paper; needed only when an error count or the list has changed. */
    private void updateWeights() {
        int maxErrorCount = 0;
        for (Server server : usedServers) {
            maxErrorCount = Math.max(maxErrorCount, server.errorCount);
        }
        maxWeight = Math.floor(Math.pow(1 + maxErrorCount, 1.5));
        accumulateWeights(fullPool);
        accumulateWeights(preferredPool);
        weightsStale = false;
    }

    private void accumulateWeights(DrawPool pool) {
        for (int i = 0; i < pool.servers.length; i++) {
            pool.cumulativeWeights[i] = weightOf(pool.servers[i]) + (i == 0 ? 0 : pool.cumulativeWeights[i - 1]);
        }
    }

    private long weightOf(Server server) {
        return server.overallHealth.ejected ? 1 : (long) Math.ceil(maxWeight / (1 + server.errorCount));
    }

    /** Retries a failed request on the next server in list order, or queues it, or gives the final answer. */
    private void retryOrFinish(PendingRequest pending, Server failedServer) {
        Server next = mayRetry(pending) ? nextUntriedServer(pending, failedServer) : null;
        if (next != null) {
            send(pending, next);
        } else if (mayRetry(pending)) {
            enqueue(pending);
        } else {
            refuseOrFail(pending);
        }
    }

    /**
     * Returns the next server in list order that the request has not tried and may be sent to, or null. The servers
     * drawn by the key come instead if no attempt can have run.
     */
    private Server nextUntriedServer(PendingRequest pending, Server failedServer) {
        List<Server> tried = Arrays.asList(pending.servers);
        if (pending.keySeed != 0 && pending.firstPossiblyExecutedAttempt() < 0) {
            return drawByKey(pending, fullPool, tried);
        }
        for (int i = 1; i <= usedServers.length; i++) {
            Server next = usedServers[(failedServer.position + i) % usedServers.length];
            if (!tried.contains(next) && maySend(pending, next)) {
                return next;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- silence

    /**
     * Exception, silence: an attempt counts as failed while it is still in flight if it has no answer after {@link
     * #SILENCE_LATENCY_RATIO} times the mean latency of its class and its server has answered nothing of the class
     * since. A request that may be repeated is then sent to a second server as well (a hedge, within a budget). This
     * guards against servers or networks that swallow requests or answers while clients leave before any time-out
     * shows it. It is skipped after a pause of this node, when answers are still to be read. Drawback: rare heavy
     * requests run twice.
     */
    private void detectSilentAttempts() {
        for (int classIndex = 0; classIndex < watchedAttempts.size(); classIndex++) {
            ArrayDeque<WatchedAttempt> attempts = watchedAttempts.get(classIndex);
            while (!attempts.isEmpty()) {
                PendingRequest pending = attempts.peek().pending;
                int attempt = attempts.peek().attempt;
                boolean resolved = pending.ended || pending.streaming || pending.results[attempt] != null;
                if (!resolved && now < pending.sentAt[attempt] + silenceTimeoutUs(classIndex)) {
                    break;
                }
                attempts.poll();
                if (!resolved) {
                    handleSilentAttempt(pending, attempt);
                }
            }
        }
    }

    /** Returns the time after which an attempt of the class counts as silent. */
    private long silenceTimeoutUs(int classIndex) {
        return !isMeanLatencyKnown(classIndex)
                ? Long.MAX_VALUE / 4
                : (long) (SILENCE_LATENCY_RATIO * meanLatencyUs[classIndex]) + 2 * settings.tickUs;
    }

    /** Returns whether the class has had enough answers for their mean to be meaningful. */
    private boolean isMeanLatencyKnown(int classIndex) {
        return answerCounts[classIndex] * MEAN_SMOOTHING_RATIO >= 0.5;
    }

    private void handleSilentAttempt(PendingRequest pending, int attempt) {
        Server server = pending.servers[attempt];
        Health classHealth = server.healthByClass[pending.request.classIndex()];
        if (classHealth.lastAnsweredAt < pending.sentAt[attempt] && pending.isSameProcess(attempt)) {
            pending.silent[attempt] = true;
            server.silentInFlight++;
            totalInFlight -= countsTowardTotals(server) ? 1 : 0;
            recordFailure(server, classHealth, true);
        }
        if (settings.hedgingAllowed
                && !pending.queued
                && hedgeBudget >= 1
                && mayRetry(pending)
                && pending.outstandingCount == 1) {
            Server next = nextUntriedServer(pending, server);
            if (next != null) {
                hedgeBudget--;
                send(pending, next);
            }
        }
    }

    // ---------------------------------------------------------------- the queue

    /** Inserts a request into the queue by value; requests of equal value keep the order of arrival. */
    private void enqueue(PendingRequest pending) {
        pending.queued = true;
        int position = queue.size();
        while (position > 0 && HIGHEST_VALUE_FIRST.compare(queue.get(position - 1), pending) > 0) {
            position--;
        }
        queue.add(position, pending);
    }

    /**
     * Sends queued requests as far as servers allow, and ends those that are too late.
     *
     * @param keyedTriesLeft maximum number of keyed requests that may fail to find a server
     */
    private void serveQueue(int keyedTriesLeft) {
        int keptCount = 0;
        boolean fullForAll = false;
        boolean fullForUnsafe = false;
        boolean fullForOverShare = false;
        boolean unsorted = false;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest pending = queue.get(i);
            if (!pending.queued) {
                continue;
            }
            boolean late = isTooLate(pending);
            if (pending.deadlineAt - now <= sweepIntervalUs + settings.tickUs
                    || late && pending.requestClass.lateWorth() == 0
                    || !mayRetry(pending)) {
                refuseOrFail(pending);
                continue;
            }
            if (late && !pending.late) {
                pending.late = true;
                pending.value *= pending.requestClass.lateWorth();
                unsorted = true;
                queue.set(keptCount++, pending);
                continue;
            }
            boolean unsafe = pending.requestClass.retrySafety() == RetrySafety.UNSAFE;
            boolean blocked = fullForAll || unsafe && fullForUnsafe || pending.overShare && fullForOverShare;
            Server server = blocked ? null : selectServer(pending);
            if (server != null) {
                pending.queued = false;
                send(pending, server);
            } else {
                // A request that has not been sent may go to any server, except for unsafe requests and ejected
                // servers. If it finds no server, neither will the next request. A keyed request may go to few servers
                // only.
                fullForOverShare |= pending.overShare;
                boolean exhausted = !pending.overShare
                        && pending.attemptCount == 0
                        && (pending.keySeed == 0 || --keyedTriesLeft <= 0);
                fullForUnsafe |= exhausted;
                fullForAll |= exhausted && (!unsafe || pending.keySeed != 0);
                queue.set(keptCount++, pending);
            }
        }
        queue.subList(keptCount, queue.size()).clear();
        if (unsorted) {
            queue.sort(HIGHEST_VALUE_FIRST);
        }
    }

    /** Returns whether too little time is left to the target latency for the request to be served in time. */
    private boolean isTooLate(PendingRequest pending) {
        int classIndex = pending.request.classIndex();
        double priority = manyNodes
                ? relativeValue(pending) * Math.max(0, 1 - UNSERVED_PENALTY_RATIO * unservedRatios[classIndex])
                : 0;
        return pending.targetAt - now
                < Math.min(
                        MAX_REMAINING_TARGET_RATIO * (pending.targetAt - pending.arrivedAt),
                        (MIN_REMAINING_LATENCY_RATIO - priority) * meanLatencyUs[classIndex]);
    }

    /**
     * Returns the worth of a request for the work it takes, by which the queue is ordered: the worth of its class,
     * reduced if the tenant is beyond this node's part of its share, divided by the mean latency of the class as the
     * measure of work.
     */
    private double computeValue(PendingRequest pending) {
        double worth = pending.requestClass.worth();
        int tenant = pending.request.tenant();
        double quota = tenant < 0 ? 0 : settings.tenants.get(tenant).quotaPerS() / settings.nodes;
        if (quota > 0) {
            double maxTokens = Math.max(MIN_QUOTA_BURST_COUNT, quota * QUOTA_BURST_S);
            double elapsedS = quotaRefilledAt[tenant] == 0 ? QUOTA_BURST_S : (now - quotaRefilledAt[tenant]) / 1e6;
            quotaRefilledAt[tenant] = now;
            quotaTokens[tenant] = Math.min(maxTokens, quotaTokens[tenant] + quota * elapsedS);
            if (quotaTokens[tenant] >= 1) {
                quotaTokens[tenant]--;
            } else {
                worth *= settings.overShareWorth;
                pending.overShare = !settings.warmKeys;
            }
        }
        return perUnitOfWork(worth, pending.request.classIndex());
    }

    private double perUnitOfWork(double worth, int classIndex) {
        return settings.worthByWork ? worth : worth / Math.max(1, meanLatencyUs[classIndex]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Exception, concurrency limits: the limit of a server grows when it was reached while a request was in flight
     * that was answered well within the target, and falls when answers are slow or requests are rejected. It takes
     * effect only when a draw would exceed a server's limit or the sum of all limits of the node (with many nodes a
     * server's limit may be below one).
     */
    private void adaptLimit(PendingRequest pending, int attempt, Outcome outcome) {
        Server server = pending.servers[attempt];
        Result result = outcome.result();
        double limitBefore = server.limit;
        int classIndex = pending.request.classIndex();
        // The latency of an abandoned attempt is unknown, so that only fast answers would be observed. An attempt
        // abandoned after more than the usual time counts like an answer that took at least that long.
        boolean abandoned = result == Result.CANCELLED
                && pending.clientGone
                && outcome.latencyUs() > SLOW_LATENCY_RATIO * meanLatencyUs[classIndex];
        if (result == Result.OK || result == Result.TIMEOUT || result == Result.FULL || abandoned) {
            timelyRatio +=
                    TIMELY_SMOOTHING_RATIO * ((result == Result.OK && now <= pending.targetAt ? 1 : 0) - timelyRatio);
        }
        if (result == Result.OK) {
            meanLatencyUs[classIndex] += Math.max(MEAN_SMOOTHING_RATIO, 1.0 / ++answerCounts[classIndex])
                    * (outcome.latencyUs() - meanLatencyUs[classIndex]);
            // The mean of the first answers is mostly chance; until it is known, only the target counts.
            minMeanLatencyUs[classIndex] = !isMeanLatencyKnown(classIndex)
                    ? Double.MAX_VALUE
                    : Math.min(minMeanLatencyUs[classIndex] * MINIMUM_DRIFT_RATIO, meanLatencyUs[classIndex]);
            meanAnswerGapUs +=
                    MEAN_SMOOTHING_RATIO * ((now - lastServedAt) * Math.max(1, usedServers.length) - meanAnswerGapUs);
            minAnswerGapUs = Math.min(minAnswerGapUs * MINIMUM_DRIFT_RATIO, meanAnswerGapUs);
            lastServedAt = now;
        }
        if (result == Result.OK || abandoned) {
            double targetUs = pending.targetAt - pending.arrivedAt;
            boolean tolerant = settings.warmKeys || sparse && minMeanLatencyUs[classIndex] < Double.MAX_VALUE;
            double crowdedTargetRatio = tolerant
                    ? SPARSE_CROWDED_TARGET_RATIO
                    : manyNodes ? MANY_NODES_CROWDED_TARGET_RATIO : CROWDED_TARGET_RATIO;
            double crowdedLatencyUs = Math.min(
                    crowdedTargetRatio * targetUs,
                    settings.warmKeys
                            ? Double.MAX_VALUE
                            : (sparse ? 2 : 1) * CROWDED_LATENCY_RATIO * minMeanLatencyUs[classIndex]);
            double relativeValue = sparse ? relativeValue(pending) : 1;
            if (outcome.latencyUs() > crowdedLatencyUs) {
                decreaseLimit(pending, attempt, limitDecreaseRatio * relativeValue);
            } else if (!abandoned) {
                // A cold server receives few requests and answers them fast. If its limit exceeded the limits of the
                // others, all nodes together would overload it as soon as slow start ends. While answers are late
                // everywhere, a timely one says little, and growth would sustain the congestion.
                double growthRatio = settings.warmKeys ? 1 : Math.max(MIN_LIMIT_GROWTH_RATIO, 2 * timelyRatio - 1);
                server.limit += server.limitReachedAt >= pending.sentAt[attempt]
                                && (!isCold(server) || server.limit * usedServers.length < totalLimit)
                        ? limitIncrease * relativeValue * growthRatio
                        : 0;
            }
        } else if (result == Result.TIMEOUT || result == Result.FULL) {
            // Where servers remember keys, a full server's limit falls to what it held: a lower limit would send its
            // keys elsewhere.
            boolean cutsToHeld = settings.warmKeys && result == Result.FULL;
            decreaseLimit(pending, attempt, cutsToHeld ? 0 : LIMIT_OVERLOAD_DECREASE_RATIO);
        }
        if (server.limit < 1) {
            // A limit below one is kept by pacing: a request is in flight for that share of the time only.
            server.pacingIntervalUs = Math.min(MAX_PACING_INTERVAL_US, (long) (outcome.latencyUs() / server.limit));
            server.pacedUntil = Math.max(server.pacedUntil, pending.sentAt[attempt]) + server.pacingIntervalUs;
        }
        if (countsTowardTotals(server)) {
            totalLimit += server.limit - limitBefore;
        }
    }

    /** Decreases the limit of a server, once for all attempts sent before the last decrease. */
    private void decreaseLimit(PendingRequest pending, int attempt, double decreaseRatio) {
        Server server = pending.servers[attempt];
        if (pending.sentAt[attempt] >= server.limitDecreasedAt) {
            // A limit that was never reached says nothing about what the server held.
            double base = settings.warmKeys ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / effectiveNodesPerServer, base * (1 - decreaseRatio));
            server.limitDecreasedAt = now;
        }
    }

    /** Returns whether the limit of a server, or the sum of all limits, leaves no room for the request. */
    private boolean isAtConcurrencyLimit(PendingRequest pending, Server server) {
        // The sum prevents a stall in which all that many nodes may send to every server is in flight at once. Leniency
        // depends on the ratio of timely answers: during congestion it would keep overloaded servers overloaded.
        double leniencyRatio = sparse ? Math.max(0, pending.overShare ? 4 * timelyRatio - 3 : 2 * timelyRatio - 1) : 0;
        double burstCount = sparse ? SPARSE_BURST_COUNT * relativeValue(pending) : 0;
        // Exception, shares: requests beyond their tenant's share may use only a part of each limit, and get less
        // leniency, so that bursts within a share find capacity. They do not raise limits either. This does not apply
        // where servers remember keys, since limits do not measure capacity there.
        double limitRatio = pending.overShare ? OVER_SHARE_LIMIT_RATIO : 1;
        boolean atLimit = server.inFlight + 1 > limitRatio * server.limit
                && (server.inFlight > leniencyRatio * burstCount
                        || now < server.pacedUntil - leniencyRatio * burstCount * server.pacingIntervalUs);
        if (atLimit
                || totalInFlight > leniencyRatio * (1 + burstCount) && totalInFlight + 1 > limitRatio * totalLimit) {
            server.limitReachedAt = pending.overShare ? server.limitReachedAt : now;
            return true;
        }
        return false;
    }

    /**
     * Exception, throttling: returns the probability with which a sparse node admits a request. It falls when answers
     * are late, first for requests of little value. All nodes throttle alike, so that overloaded servers can recover.
     */
    private double admissionProbability(PendingRequest pending) {
        double timeliness = timelyRatio / THROTTLING_TIMELY_RATIO;
        return Math.max(MIN_ADMISSION_RATIO, timeliness * timeliness * (0.75 + relativeValue(pending) / 2));
    }

    /** Returns the value of a request relative to that of the most valuable class, at most 1. */
    private double relativeValue(PendingRequest pending) {
        double maxValue = pending.value;
        for (int classIndex = 0; classIndex < meanLatencyUs.length; classIndex++) {
            // A class without answers has no measure of work yet and must not outrank all others.
            double worth = answerCounts[classIndex] > 0
                    ? settings.classes.get(classIndex).worth()
                    : 0;
            maxValue = Math.max(maxValue, perUnitOfWork(worth, classIndex));
        }
        return maxValue > 0 ? pending.value / maxValue : 0;
    }

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest pending, Server server) {
        int attempt = pending.attemptCount++;
        pending.servers[attempt] = server;
        pending.processes[attempt] = server.process();
        pending.sentAt[attempt] = now;
        pending.outstandingCount++;
        hedgeBudget = Math.min(MAX_HEDGE_BUDGET_COUNT, hedgeBudget + (attempt == 0 ? HEDGE_BUDGET_RATIO : 0));
        watchedAttempts.get(pending.request.classIndex()).add(new WatchedAttempt(pending, attempt));
        server.inFlight++;
        totalInFlight += countsTowardTotals(server) ? 1 : 0;
        // Gaps are measured from the first request on, not from the start of the clock.
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        if (isCold(server)) {
            server.nextColdSendAt =
                    Math.max(now, server.nextColdSendAt) + coldSendGapUs(server, pending.request.classIndex());
        }
        actions.send(pending.request.id(), server.id, pending.deadlineAt);
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: gives the final answer, which is a refusal wherever that is known to be harmless. */
    private void refuseOrFail(PendingRequest pending) {
        boolean harmless = pending.firstPossiblyExecutedAttempt() < 0
                || pending.requestClass.retrySafety() == RetrySafety.SAFE
                || pending.requestClass.retrySafety() == RetrySafety.KEYED
                        && pending.requestClass.dedupScope() == DedupScope.ALL;
        if (harmless) {
            actions.refuse(pending.request.id(), settings.maxRetryAfterUs);
        } else {
            actions.fail(pending.request.id());
        }
        finish(pending);
    }

    private void finish(PendingRequest pending) {
        int classIndex = pending.request.classIndex();
        unservedRatios[classIndex] +=
                TIMELY_SMOOTHING_RATIO * ((pending.attemptCount == 0 ? 1 : 0) - unservedRatios[classIndex]);
        pending.ended = true;
        pending.queued = false;
        for (int i = 0; i < pending.attemptCount && pending.outstandingCount > 0 && settings.cancellationAllowed; i++) {
            if (pending.results[i] == null) {
                actions.cancel(pending.request.id(), i);
            }
        }
        removeIfFinished(pending);
    }

    private void removeIfFinished(PendingRequest pending) {
        if (pending.ended && pending.outstandingCount == 0) {
            pendingRequests.remove(pending.request.id());
        }
    }

    /** Rule 2: returns whether any further attempt is permitted, at any server. */
    private boolean mayRetry(PendingRequest pending) {
        if (pending.attemptCount >= settings.maxAttempts || now >= pending.deadlineAt || pending.streaming) {
            return false;
        }
        return allowsRepeat(pending, pending.firstPossiblyExecutedAttempt(), now);
    }

    private static boolean allowsRepeat(PendingRequest pending, int executedAttempt, long nowUs) {
        return executedAttempt < 0
                || RetryTerms.allowRepeat(pending.requestClass, pending.sentAt[executedAttempt], nowUs);
    }

    /** Rules 1 to 3 at the time of the write: the deadline, the window of a keyed request, and the server's state. */
    @Override
    public boolean mayWrite(long nowUs, long requestId, int attempt) {
        PendingRequest pending = pendingRequests.get(requestId);
        return pending != null
                && !pending.ended
                && nowUs < pending.deadlineAt
                && pending.servers[attempt].state == ServerState.READY
                && pending.isSameProcess(attempt)
                && allowsRepeat(pending, pending.firstPossiblyExecutedAttemptBesides(attempt), nowUs);
    }

    /**
     * Rules 2 to 4 for one server: the group that drops repeats, the state in the list, and the budget of a cold
     * server. Ejection and limits are checked as well.
     */
    private boolean maySend(PendingRequest pending, Server server) {
        return !server.isEjectedFor(pending.request.classIndex())
                && !isAtConcurrencyLimit(pending, server)
                && isAllowed(pending, server);
    }

    /** Rules 2 to 4 for one server, without ejection and limits. */
    private boolean isAllowed(PendingRequest pending, Server server) {
        if (server.state != ServerState.READY || isCold(server) && now < server.nextColdSendAt) {
            return false;
        }
        int executedAttempt =
                pending.requestClass.retrySafety() == RetrySafety.KEYED ? pending.firstPossiblyExecutedAttempt() : -1;
        return executedAttempt < 0
                || pending.processes[executedAttempt].sharesKeysWith(
                        server.process(), pending.requestClass.dedupScope());
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.warmUpUs;
    }

    /**
     * Exception, slow start (rule 4): returns the time between two requests to a cold server. The unit rate is an
     * even share of the answers that this node receives, times the share of its capacity that a cold server has at
     * least. All nodes together may send as many units as the overload ratio of the rule allows. Each node uses half
     * of that, spaced so that no burst uses it at once. The concurrency limit keeps a server that is also slow below
     * even that.
     *
     * <p>Arrivals are no suitable measure, since retries of clients multiply them during congestion. The current gap
     * between answers alone would sustain the congestion. The unit gap is therefore the geometric mean of the current
     * gap and the minimum gap, which may have been shorter than servers can reach now. With many nodes the rate is at
     * least what one core serves of the class, since half of a fleet may be replaced at once.
     *
     * @param classIndex class of the request, or -1
     */
    private long coldSendGapUs(Server server, int classIndex) {
        double ageRatio = Math.max(0, now - server.startedAt) / (double) settings.warmUpUs;
        double capacityRatio = settings.coldCapacityRatio + (1 - settings.coldCapacityRatio) * Math.min(1, ageRatio);
        double units = Math.max(1, settings.overloadRatio / 2) / (settings.warmKeys ? UNKNOWN_KEY_COST_RATIO : 1);
        double unitUs = Math.sqrt(Math.min(minAnswerGapUs, meanAnswerGapUs) * meanAnswerGapUs);
        if (manyNodes && !settings.warmKeys && classIndex >= 0 && isMeanLatencyKnown(classIndex)) {
            unitUs = Math.min(unitUs, minMeanLatencyUs[classIndex] * nodesPerServer);
        }
        return (long) (unitUs / (capacityRatio * units));
    }
}
