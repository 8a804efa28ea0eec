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
    private static final int MAX_REDRAW_COUNT = 15;
    /** Draws by key, some of which the weights turn down: with three a burst waited in vain, with sixteen it
     * spread over servers that did not know the key. */
    private static final int KEY_DRAW_COUNT = 8;
    /** Shortest sweep over waiting requests: long against its cost, short against any aim. */
    private static final long MIN_SWEEP_INTERVAL_US = 5_000;
    /** Share of a new value in a running mean, and in the share of timely answers, which follows a jam. */
    private static final double MEAN_SMOOTHING_RATIO = 1.0 / 32;

    private static final double TIMELY_SMOOTHING_RATIO = 1.0 / 8;
    /** Share of timely answers under which a sparse node throttles what it takes up, by the square, but for
     * a part without which it would learn of no recovery. */
    private static final double THROTTLING_TIMELY_RATIO = 0.7;

    private static final double MIN_ADMISSION_RATIO = 0.05;
    /** What a request costs a server that knows no keys yet, against the mean of others: a careful guess. */
    private static final double UNKNOWN_KEY_COST_RATIO = 3;
    /** Gap between answers that a node assumes before it has seen any: careful with cold servers. */
    private static final double INITIAL_ANSWER_GAP_US = 50_000;
    /** Requests in flight that all nodes together start with for each server: few enough for one core. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 4;
    /** The same where keys are warm: past what a server holds, so that the first cut finds the limit. */
    private static final double INITIAL_WARM_KEY_CONCURRENCY_LIMIT = 64;
    /** Answers slower than this share of the aim say that a server is crowded: the rest is for chance, and a
     * server that is crowded up to its aim may already have turned slower. */
    private static final double CROWDED_TARGET_RATIO = 0.35;
    /** The same share at a node of many, and at a sparse one: what many nodes send evens out badly, so even
     * servers with much room answer some requests slowly. */
    private static final double MANY_NODES_CROWDED_TARGET_RATIO = 0.6;

    private static final double SPARSE_CROWDED_TARGET_RATIO = 0.7;
    /** Part of that growth that stays while half of the answers come late: some must, or none comes back. */
    private static final double MIN_LIMIT_GROWTH_RATIO = 0.1;
    /** Growth of a server's limit over all nodes for an answer in good time, and its cut for a slow one: at a
     * limit of four, one slow answer in four holds the balance. */
    private static final double LIMIT_INCREASE_STEP = 0.15;

    private static final double LIMIT_DECREASE_RATIO = 0.1;
    /** Answers that take this many times the least mean of their class say so too, however far the aim is. */
    private static final double CROWDED_LATENCY_RATIO = 3;
    /** Share of the mean of their class here over which answers are slower than most, as times are skewed. */
    private static final double SLOW_LATENCY_RATIO = 0.8;
    /** So many times that tell of a slow server, and not of chance. */
    private static final double SLOW_LATENCY_MARGIN_RATIO = 2;
    /** Most errors that slow answers add up to: a server that is slower still has its limit. */
    private static final int MAX_SLOW_ANSWER_ERROR_COUNT = 8;
    /** Growth of that least mean with each answer, so that it follows a change of work: by half in 4,000. */
    private static final double MINIMUM_DRIFT_RATIO = 1.0001;
    /** Longest time between two requests to a server whose limit is under one: 1 s kept them choked. */
    private static final long MAX_PACING_INTERVAL_US = 2_000_000;
    /** Requests that a sparse node may send ahead of a server's rest, as arrivals come in bunches. */
    private static final double SPARSE_BURST_COUNT = 2;
    /** Power of the nodes with which step and cut grow: at 0 many learn slowly, at a half chance rules. */
    private static final double LIMIT_ADAPTATION_EXPONENT = 0.25;
    /** Cut of a limit for a request turned away or not answered in time, which is more than slow. */
    private static final double LIMIT_OVERLOAD_DECREASE_RATIO = 0.3;
    /** A waiting request with fewer of its class's usual latencies left to its aim is too late: in overload
     * all that is served has waited so long; but at most with this share left. At a node of many it is one
     * less for what is worth most, which goes first, unless a quarter of its class waits in vain. */
    private static final double MIN_REMAINING_LATENCY_RATIO = 2;

    private static final double UNSERVED_PENALTY_RATIO = 4;
    private static final double MAX_REMAINING_TARGET_RATIO = 0.8;
    /** Failures among a server's last {@link #HEALTH_HISTORY_COUNT} answers from which on it is ejected, beside so many
     * times what all servers fail in common: connections that break anywhere are no server's fault. */
    private static final int EJECTION_FAILURE_COUNT = 4;

    private static final double COMMON_FAILURE_ALLOWANCE_RATIO = 2;
    private static final double COMMON_FAILURE_SMOOTHING_RATIO = 1.0 / 256;
    private static final int HEALTH_HISTORY_COUNT = 16;
    /** Successes in a row that restore a server: one may be luck, three hardly if most fail. */
    private static final int RESTORING_SUCCESS_COUNT = 3;
    /** First time without requests for an ejected server, doubled with each failed trial; the longest. */
    private static final long INITIAL_EJECTION_US = 250_000;

    private static final long MAX_EJECTION_US = 4_000_000;
    /** Trials with unsafe requests are this much further apart: each that fails is lost. */
    private static final int UNSAFE_TRIAL_DELAY_RATIO = 4;
    /** Times the usual latency of its class after which an unanswered attempt is silent: of work that is
     * spread exponentially, one answer in fifty takes longer. */
    private static final double SILENCE_LATENCY_RATIO = 4;
    /** A node whose wake-up comes this much too late was paused itself. */
    private static final long NODE_PAUSE_THRESHOLD_US = 50_000;
    /** Budget of hedges: a share of first tries, and so many at once. */
    private static final double HEDGE_BUDGET_RATIO = 0.2;

    private static final double MAX_HEDGE_BUDGET_COUNT = 20;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int ZONE_SPILLOVER_COUNT = 2;

    private static final long MIN_LOG_INTERVAL_US = 1_000_000;
    /** Part of the limits for requests beyond their tenant's share. */
    private static final double OVER_SHARE_LIMIT_RATIO = 0.5;
    /** A tenant may use up this much of its share at once before it counts as beyond it, and so many
     * requests: at a node of many its part is a few requests a second, which come in bunches. */
    private static final double QUOTA_BURST_S = 1;

    private static final double MIN_QUOTA_BURST_COUNT = 8;
    /** Wait before a failed list call is made again, at first and at most, drawn from half to half as much
     * more. Calls are taken in turn, and a turn comes no later for having asked early. At most: a call that
     * discovery is down for lasts 4 s, and what it has at its return counts after 6 s. */
    private static final long INITIAL_LIST_BACKOFF_US = 50_000;

    private static final long MAX_LIST_BACKOFF_US = 660_000;

    /** Most nodes that share a server in a large fleet, against the connections that a server accepts. */
    private static final int MAX_NODES_PER_SERVER_COUNT = 24;
    /** How many suffice where there are many nodes, if each has {@link #SUFFICIENT_SUBSET_COUNT} servers: it sees its
     * own attempts alone, so with fewer sharers its requests in flight tell more of a server. With 14 at each
     * of 60 servers they told nothing: half of the pages came too late at 0.58 of capacity. */
    private static final int MANY_NODES_MIN_COUNT = 4;

    private static final int MIN_NODES_PER_SERVER_COUNT = 2;
    private static final int SUFFICIENT_SUBSET_COUNT = 8;
    /** Nodes that share a server from which on a node counts as sparse: its first part of a place is then a
     * fifth at most. With fewer, being sparse lost more than it gained. */
    private static final double SPARSE_NODES_PER_SERVER_COUNT = 20;
    /** Least servers that a node uses, where there are as many: one may fail and one hang. */
    private static final int MIN_SUBSET_COUNT = 4;
    /** Places in the table of subsets for each server, at least: all then have about equally many nodes. */
    private static final int SUBSET_SLOTS_PER_SERVER_COUNT = 4;
    /** Places for each server in the table that keys draw from, at least: parts then differ by some percent.
     * Their number changes only as the fleet doubles, since with it all keys move. */
    private static final int KEY_SLOTS_PER_SERVER_COUNT = 16;
    /** Waiting requests with a key that are tried in vain at each event and at each sweep: CPU is scarce. */
    private static final int KEYED_TRIES_PER_EVENT_COUNT = 4;

    private static final int KEYED_TRIES_PER_SWEEP_COUNT = 64;

    private static final Comparator<PendingRequest> HIGHEST_VALUE_FIRST =
            Comparator.comparingDouble(pending -> -pending.value);

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepIntervalUs;
    private double limitIncrease;
    private double limitDecreaseRatio;
    /** Whether so many nodes share a server that own requests in flight tell little of its load. */
    private boolean sparse;

    private final boolean manyNodes;
    private double timelyRatio = 0.75;
    private double commonFailureRatio;

    private final Map<String, Server> serversById = new HashMap<>();
    private final Set<Server> listedServers = new LinkedHashSet<>();
    /** The servers in use: all that are ready, or this node's part of them in a large fleet. */
    private Server[] usedServers = new Server[0];

    private double effectiveNodesPerServer;
    private double initialLimit;
    /** Nodes that may send to a server: {@link #effectiveNodesPerServer} counts those that rarely do for less. */
    private double nodesPerServer;

    private int localSubsetSize;
    private DrawPool fullPool = new DrawPool(usedServers, false);
    private DrawPool preferredPool = fullPool;
    private boolean weightsStale;
    private double maxWeight = 1;
    private final List<Server> ejectedServers = new ArrayList<>();
    private long nextLogAt;
    /** Attempts by class, in the order sent, until they are known or found silent. */
    private final List<ArrayDeque<WatchedAttempt>> watchedAttempts = new ArrayList<>();

    private double hedgeBudget = MAX_HEDGE_BUDGET_COUNT;

    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final ArrayList<PendingRequest> queue = new ArrayList<>();

    private long now;
    private long pendingWakeAt = Long.MAX_VALUE;
    private long lastServedAt;
    /** Time between answers of one server, at an even part of what this node gets: now, and at the best. */
    private double meanAnswerGapUs;

    private double minAnswerGapUs = Double.MAX_VALUE;
    private final double[] meanLatencyUs;
    private final double[] minMeanLatencyUs;
    private final int[] answerCounts;
    /** By class, the share that ended without an attempt. */
    private final double[] unservedRatios;

    private final double[] quotaTokens;
    private final long[] quotaRefilledAt;
    private int totalInFlight;
    private double totalLimit;
    private long nextListRequestAt = Long.MAX_VALUE;
    private long listBackoffUs = INITIAL_LIST_BACKOFF_US;

    private static final class Server {
        final String id;
        final long placementHash;
        /** Whether it is one of those that come first. */
        boolean preferred;

        int zone;
        int cell;
        ServerState state;
        long startedAt;
        int position;
        int errorCount;
        int inFlight;
        /** Those of them that were found silent: they say nothing of the room at other servers. */
        int silentInFlight;

        double limit;
        long limitDecreasedAt;
        long pacedUntil;
        long pacingIntervalUs;
        long limitReachedAt;
        boolean inUse;
        /** What all its answers say, and those of each class: it may fail one class and serve the others. */
        final Health overallHealth = new Health();

        final Health[] healthByClass;
        long nextColdSendAt;

        Server(String id, int classCount) {
            this.id = id;
            placementHash = new SplittableRandom(id.hashCode()).nextLong();
            healthByClass = Stream.generate(Health::new).limit(classCount).toArray(Health[]::new);
        }

        boolean isEjectedFor(int classIndex) {
            return overallHealth.ejected || healthByClass[classIndex].ejected;
        }
    }

    /** The last answers of a server and what follows from them. */
    private static final class Health {
        int failureBits;
        boolean ejected;
        long nextTrialAt;
        long ejectionUs;
        int trialSuccesses;
        long lastAnsweredAt;
        long lastSucceededAt;

        int recentFailureCount() {
            return Integer.bitCount(failureBits & (1 << HEALTH_HISTORY_COUNT) - 1);
        }
    }

    /** An attempt that is watched for silence. */
    private record WatchedAttempt(PendingRequest pending, int attempt) {}

    /** What is drawn from: servers with their weights summed up to each, and the places that keys draw. */
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

    private static final class PendingRequest {
        final Request request;
        final RequestClass requestClass;
        final long arrivedAt;
        final long targetAt;
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
        int attemptCount;
        int outstandingCount;
        boolean queued;
        boolean clientGone;
        boolean streaming;
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
            sentAt = new long[settings.maxAttempts];
            results = new Result[settings.maxAttempts];
            silent = new boolean[settings.maxAttempts];
            keySeed = settings.warmKeys && request.key() != null
                    ? mixBits(request.key().hashCode()) | 1
                    : 0;
        }

        /** The earliest attempt not known never to have run, or -1: it binds repeats and refusals. */
        int firstPossiblyExecutedAttempt() {
            for (int i = 0; i < attemptCount; i++) {
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
        // Where keys are warm, what a server can hold depends on the keys it knows: the first cut shows it.
        initialLimit = (settings.warmKeys ? INITIAL_WARM_KEY_CONCURRENCY_LIMIT : INITIAL_CONCURRENCY_LIMIT)
                / effectiveNodesPerServer;
        // Both by the same factor: for all nodes together the balance between step and cut stays.
        double adaptationFactor = Math.pow(nodes, LIMIT_ADAPTATION_EXPONENT);
        limitIncrease = LIMIT_INCREASE_STEP / adaptationFactor;
        limitDecreaseRatio = 1 - Math.pow(1 - LIMIT_DECREASE_RATIO, adaptationFactor);
        sparse = nodesPerServer > SPARSE_NODES_PER_SERVER_COUNT;
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind != ListKind.CHANGES) {
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
                // A new process: what was counted against the old one says nothing of it.
                resetServer(server);
                server.nextColdSendAt = 0;
                server.startedAt = entry.startedAtUs();
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        updateUsedServers();
        // Servers come and go as long as a node runs: what is gone and holds nothing is forgotten.
        serversById.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
        if (settings.listOnRequest && kind == ListKind.CACHED) {
            requestList();
        } else {
            nextListRequestAt = Long.MAX_VALUE;
            listBackoffUs = INITIAL_LIST_BACKOFF_US;
        }
        serveQueue(KEYED_TRIES_PER_EVENT_COUNT);
        scheduleWake();
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
            // Not before it is known how many nodes share it.
            usedServers[i].limit = usedServers[i].limit == 0 ? initialLimit : usedServers[i].limit;
            if (isCold(usedServers[i]) && usedServers[i].nextColdSendAt == 0) {
                // All nodes hear of a start at once: their first sends together would be a burst.
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

    /** Connections to a server no longer in use would hold its places for the nodes that do use it. */
    private void closeIfUnused(Server server) {
        if (!server.inUse && server.inFlight == 0) {
            actions.closeIdle(server.id);
        }
    }

    /**
     * Exception, subsets: acts from {@link #MANY_NODES_MIN_COUNT} nodes at a server on, and keeps to fewer. Connections
     * are capped, cost work and are priced, and what a node sees is spread thinner with each server it uses:
     * every node then keeps to a part of the servers, near ones first where crossing zones costs, else
     * the first half of it, of which it then knows more. Where these are busy or sick it has the others.
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

    /** This node's part of these servers. */
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
        // Sizes are kept through small changes of the list, since with them all places move.
        localSubsetSize =
                2 * localSize > localSubsetSize && localSize < 2 * localSubsetSize ? localSubsetSize : localSize;
        List<Server> used = new ArrayList<>(pickSubset(local, Math.min(local.length, localSubsetSize)));
        used.addAll(pickSubset(remote, Math.min(remoteSize, Math.max(MIN_SUBSET_COUNT, localSubsetSize / 2))));
        return used;
    }

    private static int subsetSize(int serverCount, double nodeCount, int lowerBound) {
        // In a fleet that has shrunk, the least of all nodes would meet the cap on connections.
        int minSize = (int) Math.max(
                lowerBound, Math.min(MIN_SUBSET_COUNT, 2 * MAX_NODES_PER_SERVER_COUNT * serverCount / nodeCount));
        double sufficientSize = Math.max(SUFFICIENT_SUBSET_COUNT, MIN_NODES_PER_SERVER_COUNT * serverCount / nodeCount);
        int size = (int) Math.ceil(Math.min(sufficientSize, MAX_NODES_PER_SERVER_COUNT * serverCount / nodeCount));
        return nodeCount < MANY_NODES_MIN_COUNT ? serverCount : Math.min(serverCount, Math.max(minSize, size));
    }

    /**
     * This node's part of the servers. As in Maglev hashing, the servers take turns in claiming places from a
     * table of rows, each in an order of its own, and node i has row i modulo their number: all get equally
     * many, every node finds the same table from the same list, and a change of the list moves few places.
     * A row for each node takes much CPU in a large fleet; few nodes would share rows unevenly.
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

    /** The servers take turns in claiming places, each in an order of its own, none twice in a row. */
    private static Server[] buildSlotTable(Server[] candidates, int slotCount, int rowSize) {
        Server[] servers = candidates.clone();
        Arrays.sort(servers, Comparator.comparingLong(server -> server.placementHash));
        Server[] slots = new Server[slotCount];
        // A bit for each server and row with a place of its own. A row of one place is full with one.
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
            // Jittered backoff: nodes that failed together must not ask together again.
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
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        PendingRequest pending = new PendingRequest(request, settings, now);
        pendingRequests.put(request.id(), pending);
        pending.value = computeValue(pending);
        // A node that is behind spends no more on what it has read too late: that is how it catches up.
        if (sparse && random.nextDouble() >= admissionProbability(pending)
                || isTooLate(pending) && pending.requestClass.lateWorth() == 0) {
            refuseOrFail(pending);
            scheduleWake();
            return;
        }
        // Nobody waits for the same server, or those who do are tried with each answer.
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
        if (result == Result.OK) {
            recordSuccess(
                    server,
                    classHealth,
                    outcome.latencyUs()
                            > (sparse ? 1 : SLOW_LATENCY_MARGIN_RATIO)
                                    * SLOW_LATENCY_RATIO
                                    * meanLatencyUs[pending.request.classIndex()]);
        } else if (result != Result.CANCELLED && result != Result.MOOT && !pending.silent[attempt]) {
            // A time-out of a server that has answered since tells of crowding, not of silence, as being
            // full does: the limit heeds it.
            recordFailure(
                    server,
                    classHealth,
                    result != Result.FULL
                            && (result != Result.TIMEOUT || classHealth.lastAnsweredAt < pending.sentAt[attempt]));
        }
        classHealth.lastAnsweredAt = result == Result.OK || result == Result.ERROR ? now : classHealth.lastAnsweredAt;
        adaptLimit(pending, attempt, outcome);
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

    /** Nothing is decided on probes; none is ever asked for. */
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

    // ---------------------------------------------------------------- the mechanism

    /** A failure adds one; failures that say something of health, not of crowding, may eject the server. */
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

    /** Whether another class has been served since this one was, without a failure among its last answers. */
    private static boolean servesOtherClasses(Server server, Health classHealth) {
        for (Health other : server.healthByClass) {
            if (other.lastSucceededAt > classHealth.lastSucceededAt && other.recentFailureCount() == 0) {
                return true;
            }
        }
        return false;
    }

    /** A success clears the count; an ejected server has to succeed several times in a row. */
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
            // Exception, slow answers: at a node of many a slow answer adds an error and any other takes one
            // off, so the weights settle where all servers are about equally quick.
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
     * Exception, ejection: a server that failed {@link #EJECTION_FAILURE_COUNT} of its last {@link #HEALTH_HISTORY_COUNT} answers,
     * of all or of one class, gets nothing of these but single trials, further apart each time one fails.
     * Never more than half of the servers are out: when most fail, the trouble is not theirs, and the
     * weights alone decide. By class, since a class that a server serves would else hide one that it fails.
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

    /** An ejected server that is due for a trial with this request, or null. */
    private Server findServerDueForTrial(PendingRequest pending) {
        for (Server server : ejectedServers) {
            Health classHealth = server.healthByClass[pending.request.classIndex()];
            // Unsafe requests are risked only where no other could tell: for a class of their own.
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

    /** Counts the servers in use anew: what hangs at one ejected or gone must not hold back the others. */
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

    private static boolean countsTowardTotals(Server server) {
        return server.inUse && !server.overallHealth.ejected;
    }

    private void log(String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + MIN_LOG_INTERVAL_US;
            actions.log(line);
        }
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. Trials go first. */
    private Server selectServer(PendingRequest pending) {
        Server trialServer = findServerDueForTrial(pending);
        Server server = trialServer != null
                ? trialServer
                : drawBetterOfTwo(pending, pending.keySeed != 0 ? fullPool : preferredPool);
        int spilloverCount = settings.crossZonePrice == 0 ? 1 : ZONE_SPILLOVER_COUNT;
        // Exception, zones and halves: both draws are of those that come first, and two more from all win
        // only if that choice is busy or fails: if it has one more in flight, two where crossing costs.
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

    private Server drawBetterOfTwo(PendingRequest pending, DrawPool pool) {
        Server first = draw(pending, pool, null);
        Server second = first == null ? null : draw(pending, pool, first);
        if (second == null || first.inFlight != second.inFlight) {
            return second == null || first.inFlight < second.inFlight ? first : second;
        }
        // Draws are in random order, but by weight: a tie is broken by a toss of its own, or by the key.
        return pending.keySeed != 0 || random.nextInt(2) == 0 ? first : second;
    }

    /** One draw by weight among the servers that may be sent to, but for {@code except}; null if none may. */
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
     * Exception, keys: acts where servers remember keys. The same weights, but the draws are fixed by the
     * request's key, as in rendezvous hashing: every node draws the same servers for a key, and a server
     * that gains errors loses keys to those drawn next, while the other keys stay where they are warm. When
     * all draws are full the request waits: at just any server it would cost the work that memory saves, and
     * a crowd would feed itself. Harm: a few hot keys may wait while other servers have room.
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

    /** The paper's weights, worked out anew only when a count or the list has changed. */
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

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
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
     * Exception, silence: an attempt without an answer for {@link #SILENCE_LATENCY_RATIO} times its class's usual time,
     * at a server that has answered nothing of the class since, counts as a failure while it is still out,
     * and a repeatable request passes on to a second server (a hedge, within a retry budget). Guards against
     * whatever swallows requests or answers while clients leave before any time-out tells. Not after a
     * pause of this node's own, when answers are still to be read. Harm: rare heavy requests run twice.
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

    private long silenceTimeoutUs(int classIndex) {
        return !isMeanLatencyKnown(classIndex)
                ? Long.MAX_VALUE / 4
                : (long) (SILENCE_LATENCY_RATIO * meanLatencyUs[classIndex]) + 2 * settings.tickUs;
    }

    /** Whether a class has had answers enough for their mean to be more than chance. */
    private boolean isMeanLatencyKnown(int classIndex) {
        return answerCounts[classIndex] * MEAN_SMOOTHING_RATIO >= 0.5;
    }

    private void handleSilentAttempt(PendingRequest pending, int attempt) {
        Server server = pending.servers[attempt];
        Health classHealth = server.healthByClass[pending.request.classIndex()];
        if (classHealth.lastAnsweredAt < pending.sentAt[attempt]) {
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

    // ---------------------------------------------------------------- the deferred queue

    /** Puts a request into the deferred queue: first come first served among those of equal value. */
    private void enqueue(PendingRequest pending) {
        pending.queued = true;
        int position = queue.size();
        while (position > 0 && HIGHEST_VALUE_FIRST.compare(queue.get(position - 1), pending) > 0) {
            position--;
        }
        queue.add(position, pending);
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
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
                // What has not been sent may go anywhere, but for unsafe requests and ejected servers: if it
                // finds no server, nor does the next one. With a key it may go to few.
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
     * What a request earns for the work it takes, by which the queue is ordered: its class's worth, less
     * if its tenant is beyond this node's part of its share, over the usual latency of its class as the
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
     * Exception, concurrency limits: each server's limit grows when it was met while a request was out
     * that was answered well inside the aim, and falls when answers are slow or requests are turned away.
     * Acts only when a draw would exceed a server's limit, or the node the sum of all limits (with many
     * nodes a server's part is under one).
     */
    private void adaptLimit(PendingRequest pending, int attempt, Outcome outcome) {
        Server server = pending.servers[attempt];
        Result result = outcome.result();
        double limitBefore = server.limit;
        int classIndex = pending.request.classIndex();
        // A client that leaves hides how long its answer would have taken, so that only quick ones stay in
        // sight: after more than the usual time, what it has waited counts like an answer no quicker.
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
            // The first answers' mean is chance; until then the aim alone tells.
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
                // A cold server gets little and is quick with it: were its limit to pass the others', all
                // nodes together would choke it as soon as slow start lets go.
                // While answers come late everywhere, one in time says little: growth would hold the jam.
                double growthRatio = settings.warmKeys ? 1 : Math.max(MIN_LIMIT_GROWTH_RATIO, 2 * timelyRatio - 1);
                server.limit += server.limitReachedAt >= pending.sentAt[attempt]
                                && (!isCold(server) || server.limit * usedServers.length < totalLimit)
                        ? limitIncrease * relativeValue * growthRatio
                        : 0;
            }
        } else if (result == Result.TIMEOUT || result == Result.FULL) {
            // Where keys are warm a full server is cut to what it held: less would send its keys elsewhere.
            boolean cutsToHeld = settings.warmKeys && result == Result.FULL;
            decreaseLimit(pending, attempt, cutsToHeld ? 0 : LIMIT_OVERLOAD_DECREASE_RATIO);
        }
        if (server.limit < 1) {
            // A part of a place is kept by time: in flight for that part of it only.
            server.pacingIntervalUs = Math.min(MAX_PACING_INTERVAL_US, (long) (outcome.latencyUs() / server.limit));
            server.pacedUntil = Math.max(server.pacedUntil, pending.sentAt[attempt]) + server.pacingIntervalUs;
        }
        if (countsTowardTotals(server)) {
            totalLimit += server.limit - limitBefore;
        }
    }

    /** One cut for all that was sent before the last one. */
    private void decreaseLimit(PendingRequest pending, int attempt, double decreaseRatio) {
        Server server = pending.servers[attempt];
        if (pending.sentAt[attempt] >= server.limitDecreasedAt) {
            // A limit that was never met says nothing of what the server held.
            double base = settings.warmKeys ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / effectiveNodesPerServer, base * (1 - decreaseRatio));
            server.limitDecreasedAt = now;
        }
    }

    private boolean isAtConcurrencyLimit(PendingRequest pending, Server server) {
        // The sum guards against a stall: what many nodes may each have at every server is then out at once.
        // Lent by how timely answers are: in a jam it would keep choked servers choked.
        double leniencyRatio = sparse ? Math.max(0, pending.overShare ? 4 * timelyRatio - 3 : 2 * timelyRatio - 1) : 0;
        double burstCount = sparse ? SPARSE_BURST_COUNT * relativeValue(pending) : 0;
        // Exception, shares: what is beyond its tenant's share gets a part of each limit and is lent less, so
        // that bursts inside a share find room; it does not raise limits either. Not where keys are warm,
        // since limits are no measure of room there.
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
     * Exception, throttling: the chance with which a sparse node takes up a request; it falls as its answers
     * come late, first for what is worth little. All nodes hold back alike, so that servers that have
     * choked come to the rest that they need.
     */
    private double admissionProbability(PendingRequest pending) {
        double timeliness = timelyRatio / THROTTLING_TIMELY_RATIO;
        return Math.max(MIN_ADMISSION_RATIO, timeliness * timeliness * (0.75 + relativeValue(pending) / 2));
    }

    /** The value of a request against that of the most valuable class, 1 at most. */
    private double relativeValue(PendingRequest pending) {
        double maxValue = pending.value;
        for (int classIndex = 0; classIndex < meanLatencyUs.length; classIndex++) {
            // A class that has not been answered yet has no measure of work; it must not outrank all others.
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
        pending.sentAt[attempt] = now;
        pending.outstandingCount++;
        hedgeBudget = Math.min(MAX_HEDGE_BUDGET_COUNT, hedgeBudget + (attempt == 0 ? HEDGE_BUDGET_RATIO : 0));
        watchedAttempts.get(pending.request.classIndex()).add(new WatchedAttempt(pending, attempt));
        server.inFlight++;
        totalInFlight += countsTowardTotals(server) ? 1 : 0;
        // Gaps are counted from the first request on, not from the start of the clock.
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        if (isCold(server)) {
            server.nextColdSendAt =
                    Math.max(now, server.nextColdSendAt) + coldSendGapUs(server, pending.request.classIndex());
        }
        actions.send(pending.request.id(), server.id, pending.deadlineAt);
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
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

    /** Rule 2: whether any further attempt could be lawful, wherever it goes. */
    private boolean mayRetry(PendingRequest pending) {
        if (pending.attemptCount >= settings.maxAttempts || now >= pending.deadlineAt || pending.streaming) {
            return false;
        }
        int executedAttempt = pending.firstPossiblyExecutedAttempt();
        return executedAttempt < 0
                || switch (pending.requestClass.retrySafety()) {
                    case SAFE -> true;
                    case KEYED -> now <= pending.sentAt[executedAttempt] + pending.requestClass.dedupWindowUs();
                    case UNSAFE -> false;
                };
    }

    /** Rules 2 to 4 for one server: the keyed group, the list's word, and a cold server's budget. */
    private boolean maySend(PendingRequest pending, Server server) {
        return !server.isEjectedFor(pending.request.classIndex())
                && !isAtConcurrencyLimit(pending, server)
                && isAllowed(pending, server);
    }

    private boolean isAllowed(PendingRequest pending, Server server) {
        if (server.state != ServerState.READY || isCold(server) && now < server.nextColdSendAt) {
            return false;
        }
        int executedAttempt =
                pending.requestClass.retrySafety() == RetrySafety.KEYED ? pending.firstPossiblyExecutedAttempt() : -1;
        return executedAttempt < 0
                || switch (pending.requestClass.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> server.zone == pending.servers[executedAttempt].zone;
                    case CELL -> server.cell == pending.servers[executedAttempt].cell;
                };
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.warmUpUs;
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
