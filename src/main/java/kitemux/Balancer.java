package kitemux;

import java.util.ArrayList;
import java.util.List;

/**
 * The whole interface of the decision module: what a proxy node tells it (settings, server lists, requests,
 * outcomes, timers) and what it asks the node to do ({@link Actions}).
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; lengths of time are
 * microseconds too. An instance serves one node, is single-threaded, never blocks and calls its
 * {@link Actions} only from within an event method. The same events and seed give the same actions.
 */
public interface Balancer {

    /** The server list as it stands; servers missing from a {@link ListKind#FULL} list have gone. */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** A list call failed or the subscription broke; the old list stands. */
    void onListFailed(long nowUs);

    /**
     * A client's request; it is owed exactly one final answer.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or its id is still held
     */
    void onRequest(long nowUs, Request request);

    /** How one attempt ended. Attempts that are not known are passed over. */
    void onOutcome(long nowUs, Outcome outcome);

    /** An attempt of a streamed class has begun to answer; it has no deadline from here on. */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /** The client has left; nothing more is owed. Ids that are not held are passed over. */
    void onClientGone(long nowUs, long requestId);

    /** How a probe ended; {@code report} as in {@link Outcome}. */
    void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report);

    /** The time asked for with {@link Actions#wakeAt} has come. */
    void onWake(long nowUs);

    /** How many servers of the list it sends nothing to of its own choice, but for trials. */
    default int ejectedServerCount() {
        return 0;
    }

    /** What the module asks of its node. Calls take effect in order, at the time of the event. */
    interface Actions {
        /** Start the next attempt of a request (numbered 0, 1, 2 ...), to be given up at {@code untilUs}. */
        void send(long requestId, String serverId, long untilUs);

        /** Stop waiting for an attempt; it still gets its outcome. */
        void cancel(long requestId, int attempt);

        /** Final answer: turned away, trying again is harmless; 0 gives no advice on when. */
        void refuse(long requestId, long retryAfterUs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(long requestId);

        /** Call {@link #onWake} at this time or soon after. The module keeps one wake-up pending at most. */
        void wakeAt(long atUs);

        /** Check a server. */
        void probe(String serverId);

        /** Close this node's idle connections to a server. */
        void closeIdle(String serverId);

        /** Ask for changes of the server list from now on. */
        void subscribe();

        /** A line for the operators. */
        void log(String line);
    }

    /** What a server list event holds. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All entries. */
        FULL,
        /** All entries as the node last had them, maybe old; given once, at the start. */
        CACHED
    }

    /** The life of a server as its list tells it. */
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * One line of a server list.
     *
     * @param id what attempts name; stays the same over restarts
     * @param zone index into {@link Settings#zones}
     * @param cell number of the group of servers that shares which keys it has seen
     * @param state whether it takes requests
     * @param weight the list's figure for its size, compared with other servers' only
     * @param startedAtUs when it last started; 0 means long ago
     */
    record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}

    /**
     * A client's request.
     *
     * @param id unique among the requests held
     * @param classIndex index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}, or -1
     * @param remainingUs time until the client gives up on this try
     * @param workUs rough expected work on a standard core; 0 if not known
     * @param retry true if the client is known to repeat itself
     * @param key what the request is about, or null
     * @param ageUs how long ago it came, as far as the node can tell: its aim runs from then. 0 where the
     *     node keeps up
     */
    record Request(
            long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key, long ageUs) {

        /** One that has come just now. */
        public Request(long id, int classIndex, int tenant, long leftUs, long workUs, boolean retry, String key) {
            this(id, classIndex, tenant, leftUs, workUs, retry, key, 0);
        }
    }

    /** How an attempt or a probe ended. */
    enum Result {
        /** Served. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** Turned away by the server without a look. */
        FULL(true),
        /** No answer in time; it may have run or still be running. */
        TIMEOUT(false),
        /** No connection in time. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** Called off; it may have run. */
        CANCELLED(false),
        /** Never sent. */
        MOOT(true);

        /** Whether the request is known never to have run. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * The end of one attempt.
     *
     * @param requestId the request
     * @param attempt its number
     * @param result how it ended
     * @param latencyUs time since it was sent, up to the answer's first byte where that was told
     * @param requestEnded true if the request is over, by this outcome or before; else an answer is
     *     still owed
     * @param report the server's load report in the order of {@link Settings#reportFields}, or null
     */
    record Outcome(long requestId, int attempt, Result result, long latencyUs, boolean requestEnded, double[] report) {}

    /** Whether a request may run again. */
    enum RetrySafety {
        /** As often as wanted. */
        SAFE,
        /** Within a group of servers that drops repeats, for a while. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The servers among which the repeats of a keyed request are dropped. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** What a server may tell of its load. */
    enum ReportField {
        IN_FLIGHT,
        QUEUED,
        UTILISATION,
        LATENCY_MS,
        SERVED_PER_S,
        ERRORS_PER_S,
        OTHER
    }

    /**
     * A class of requests.
     *
     * @param targetLatencyUs answers within this time earn the full worth
     * @param targetLatencyPerWork the aim grows by this many times the request's own work, up to the deadline
     * @param deadlineUs how long a client waits over all its tries
     * @param worth worth of a request
     * @param lateWorth share of it for an answer after the aim
     * @param retrySafety whether it may run again
     * @param dedupScope keyed classes: who drops repeats
     * @param dedupWindowUs keyed classes: for how long, from the first attempt that may have run
     * @param stream whether answers are streamed
     */
    record RequestClass(
            String name,
            long targetLatencyUs,
            double targetLatencyPerWork,
            long deadlineUs,
            double worth,
            double lateWorth,
            RetrySafety retrySafety,
            DedupScope dedupScope,
            long dedupWindowUs,
            boolean stream) {}

    /**
     * A tenant.
     *
     * @param quotaPerS requests a second, over all nodes, inside its share; 0 means without limit
     */
    record Tenant(String name, double quotaPerS) {}

    /** The settings of one node. Fields left alone keep the defaults given here. */
    final class Settings {
        /** Number of nodes, this one included. */
        public int nodes = 1;
        /** This node's number among them, from 0. */
        public int nodeIndex;
        /** This node's zone, an index into {@link #zones}. */
        public int myZone;
        /** Zones by name. */
        public List<String> zones = new ArrayList<>();
        /** Request classes; at least one. */
        public List<RequestClass> classes = new ArrayList<>();
        /** Tenants; may be empty. */
        public List<Tenant> tenants = new ArrayList<>();
        /** Worth of a request beyond its tenant's share, as a part of its class's worth. */
        public double overShareWorth = 1;
        /** Whether worth counts for each unit of work and not for each request. */
        public boolean worthByWork;
        /** Most attempts for a request. */
        public int maxAttempts = 3;
        /** Whether a request may have two attempts out at once. */
        public boolean hedgingAllowed;
        /** Whether attempts may be cancelled. */
        public boolean cancellationAllowed;
        /** Whether servers may be probed. */
        public boolean probes;
        /** Longest advice to a client on when to come back; 0 means none may be given. */
        public long maxRetryAfterUs;
        /** Events come at most this often. */
        public long tickUs = 1_000;
        /** Time allowed to open a connection. */
        public long connectTimeoutUs = 250_000;
        /** Whether the server list must be asked for. */
        public boolean listOnRequest;
        /** Where it must be asked for: without a subscription, ask at least this often. */
        public long askWithinUs = 10_000_000;
        /** Sends to a server must end this long after word that it drains or has gone. */
        public long drainGraceUs = 1_000_000;
        /** A server starts with this share of its capacity or more. */
        public double coldCapacityRatio = 0.2;
        /** And is warm after this long at most. */
        public long warmUpUs = 20_000_000;
        /**
         * A cold server falls over when all nodes together send it more than this many times what it
         * can do.
         */
        public double overloadRatio = 3;
        /** For this long. */
        public long overloadWindowUs = 2_000_000;
        /** Price of an attempt that crosses zones; 0 if crossing is free. */
        public double crossZonePrice;
        /** Whether a server that served a key lately needs less work to serve it again. */
        public boolean warmKeys;
        /** What load reports hold, in order; empty if there are none. */
        public List<ReportField> reportFields = new ArrayList<>();

        /** Throws IllegalArgumentException, naming the field, if a setting is missing or out of range. */
        public void validate() {
            require(!classes.isEmpty(), "classes is empty");
            require(nodes >= 1, "nodes is under 1");
            require(nodeIndex >= 0 && nodeIndex < nodes, "me is not among nodes");
            require(maxAttempts >= 1, "maxAttempts is under 1");
            require(myZone >= 0 && myZone < Math.max(1, zones.size()), "myZone is not among zones");
            require(
                    tickUs >= 0
                            && warmUpUs >= 0
                            && overloadWindowUs >= 0
                            && drainGraceUs >= 0
                            && connectTimeoutUs >= 0
                            && askWithinUs >= 0
                            && maxRetryAfterUs >= 0,
                    "a length of time is negative");
            require(coldCapacityRatio > 0 && coldCapacityRatio <= 1, "coldFrom is not in (0, 1]");
            require(overloadRatio > 0, "fallMultiple is not above 0");
            for (RequestClass c : classes) {
                require(
                        c.targetLatencyUs() >= 0
                                && c.deadlineUs() > 0
                                && c.dedupWindowUs() >= 0
                                && c.targetLatencyPerWork() >= 0,
                        "class " + c.name() + " has a length of time out of range");
                require(c.worth() >= 0 && c.lateWorth() >= 0, "class " + c.name() + " has a negative worth");
                require(
                        c.retrySafety() != RetrySafety.KEYED || c.dedupScope() != null,
                        "class " + c.name() + " has no group");
            }
        }

        private static void require(boolean holds, String otherwise) {
            if (!holds) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }
}
