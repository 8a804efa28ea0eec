package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;

/**
 * A fleet, its load and the faults that occur, as the emulator runs it. Times are in microseconds, rates per
 * second.
 *
 * @param kinds kinds of servers, at least one
 * @param racks number of racks, over which servers are spread in turn; a rack is the group that recognises
 *     and drops a repeated keyed request
 * @param zones zones, over which racks and nodes are spread in turn
 * @param nodes the proxy nodes
 * @param overloadSlowdown how overloaded servers slow down, or null if they do not
 * @param links cost and limits of connections to servers
 * @param discoveryDelays delays with which nodes are notified of changes to servers
 * @param clients timeouts and retries of clients
 * @param classes classes of requests, at least one
 * @param tenants tenants with their shares; may be empty
 * @param load offered load
 * @param faults faults that occur during the run
 */
public record Fleet(
        List<ServerKind> kinds,
        int racks,
        Zones zones,
        Nodes nodes,
        OverloadSlowdown overloadSlowdown,
        Links links,
        DiscoveryDelays discoveryDelays,
        Clients clients,
        List<ClassWorkload> classes,
        List<TenantShare> tenants,
        Load load,
        List<Fault> faults) {

    /** Largest number of servers that a run accepts. */
    private static final int MAX_SERVER_COUNT = 20_000;
    /** Largest number of nodes that a run accepts. */
    private static final int MAX_NODE_COUNT = 2_000;

    /**
     * Servers of one kind.
     *
     * @param name name of the kind, from which the ids of its servers are derived
     * @param count number of servers
     * @param cores number of cores of each server
     * @param speed speed of one core relative to the core for which work is given
     * @param speedCv variation of speed between servers: standard deviation over mean
     * @param queueCapacity maximum number of queued requests; further ones are rejected
     * @param initialCapacityRatio fraction of its capacity that a server has right after its start
     * @param warmUpUs time after which a server is warm at the latest
     * @param warmsByWork whether completed work warms a server as well; half of the work that fits in {@code
     *     warmUpUs} suffices
     * @param cost cost of one server, in any unit
     */
    public record ServerKind(
            String name,
            int count,
            int cores,
            double speed,
            double speedCv,
            int queueCapacity,
            double initialCapacityRatio,
            long warmUpUs,
            boolean warmsByWork,
            double cost) {}

    /**
     * The proxy nodes.
     *
     * @param count number of nodes
     * @param eventCostUs processor time that a node needs for each event of a request
     * @param cores processors that a node may use
     * @param startupUs time from a node's start until it accepts clients
     * @param failureDetectionUs time for which the front end keeps sending clients to a node that has died
     */
    public record Nodes(int count, double eventCostUs, double cores, long startupUs, long failureDetectionUs) {}

    /**
     * The slowdown of overloaded servers. A server slows down when the moving average of its executing and
     * queued requests exceeds its number of cores plus a multiple of the square root of that number. It
     * recovers after it has been mostly idle for a while.
     *
     * @param thresholdFactor multiple of the square root of the number of cores
     * @param averagingUs time constant of the moving average
     * @param slowdownFactor factor by which the server becomes slower
     * @param restUtilisation utilisation of its cores below which the server counts as resting
     * @param restUs time for which the server must rest to recover
     * @param maxDurationUs time after which the server recovers in any case
     */
    public record OverloadSlowdown(
            double thresholdFactor,
            long averagingUs,
            double slowdownFactor,
            double restUtilisation,
            long restUs,
            long maxDurationUs) {}

    /**
     * Connections between nodes and servers.
     *
     * @param oneWayUs mean one-way network delay between two machines
     * @param jitter variation of that delay: standard deviation over mean
     * @param handshakeRtts round trips before the first request on a new connection
     * @param handshakeWorkUs work that a new connection costs its server
     * @param maxConnectionsPerCore number of connections that a server accepts for each of its cores
     * @param idleTimeoutUs time after which an unused connection is closed
     * @param connectTimeoutUs time that a node waits for a connection to open
     */
    public record Links(
            long oneWayUs,
            double jitter,
            int handshakeRtts,
            long handshakeWorkUs,
            int maxConnectionsPerCore,
            long idleTimeoutUs,
            long connectTimeoutUs) {}

    /**
     * Delays with which nodes are notified of changes to servers.
     *
     * @param crashDelayUs delay after a server has died
     * @param silenceDelayUs delay after a server has become silent
     * @param returnDelayUs delay after a server has started
     * @param drainGraceUs time after which a draining server must not receive new requests
     */
    public record DiscoveryDelays(Range crashDelayUs, Range silenceDelayUs, Range returnDelayUs, long drainGraceUs) {}

    /**
     * Parts of the site that fail or are partitioned as a whole.
     *
     * @param count number of zones
     * @param crossZoneDelayUs additional one-way delay of a message between two zones
     * @param crossZonePrice price of an attempt in another zone, as given to the decision module; 0 means
     *     none
     */
    public record Zones(int count, long crossZoneDelayUs, double crossZonePrice) {
        /** All racks and nodes in a single zone. */
        public static final Zones SINGLE = new Zones(1, 0, 0);

        /** Returns the zone of the rack or node with the given number. */
        public int zoneOf(int number) {
            return number % count;
        }
    }

    /** A range from which values are drawn uniformly; the lower bound is inclusive. */
    public record Range(long from, long to) {}

    /**
     * The behaviour of clients.
     *
     * @param oneWayUs one-way network delay between clients and nodes
     * @param maxRetries maximum number of retries of a request
     * @param minTryTimeoutRatio lowest timeout of a try, as a fraction of the deadline
     * @param maxTryTimeoutRatio highest timeout of a try, as a fraction of the deadline
     * @param backoffUs backoff before the first retry; it doubles with each further one
     * @param retryAfterComplianceRatio fraction of clients that honour a Retry-After
     * @param maxRetryAfterUs highest Retry-After given to a client
     * @param nodeSkew imbalance with which the front end distributes clients over nodes: standard deviation
     *     over mean of the load of a node
     */
    public record Clients(
            long oneWayUs,
            int maxRetries,
            double minTryTimeoutRatio,
            double maxTryTimeoutRatio,
            long backoffUs,
            double retryAfterComplianceRatio,
            long maxRetryAfterUs,
            double nodeSkew) {}

    /** The distribution of the work of a class around its mean. */
    public enum WorkDistribution {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A class of requests and the work that one request takes.
     *
     * @param requestClass the class
     * @param share share of all requests; shares are normalised to a sum of 1
     * @param meanWorkUs mean work on a core of speed 1
     * @param distribution distribution of the work
     * @param cv coefficient of variation of a lognormal distribution: standard deviation over mean
     */
    public record ClassWorkload(
            RequestClass requestClass, double share, double meanWorkUs, WorkDistribution distribution, double cv) {}

    /**
     * A tenant.
     *
     * @param name name of the tenant
     * @param share the tenant's entitlement, relative to the shares of all tenants
     * @param usageRatio requests of the tenant relative to its share
     */
    public record TenantShare(String name, double share, double usageRatio) {}

    /**
     * The offered load.
     *
     * @param ratePerS first tries per second where the profile's factor is 1
     * @param durationUs time during which clients arrive
     * @param profile factors of the rate over time, in order and interpolated linearly; empty means 1
     *     throughout
     * @param quotaPerS requests per second to which all tenants together are entitled; 0 means without limit
     * @param overShareWorth factor of the worth of requests beyond a tenant's share
     */
    public record Load(
            double ratePerS, long durationUs, List<LoadPoint> profile, double quotaPerS, double overShareWorth) {

        /** Returns the load at the given time as a multiple of {@link #ratePerS}. */
        public double factorAt(long timeUs) {
            if (profile.isEmpty()) {
                return 1;
            }
            LoadPoint previous = profile.get(0);
            for (LoadPoint point : profile) {
                if (point.atUs > timeUs) {
                    return point == previous
                            ? point.factor
                            : previous.factor
                                    + (point.factor - previous.factor)
                                            * (timeUs - previous.atUs)
                                            / (point.atUs - previous.atUs);
                }
                previous = point;
            }
            return previous.factor;
        }

        /** Returns this load with its rate multiplied by {@code factor}. */
        public Load scaledBy(double factor) {
            return new Load(ratePerS * factor, durationUs, profile, quotaPerS, overShareWorth);
        }

        /** Returns the highest load at any time as a multiple of {@link #ratePerS}. */
        public double maxFactor() {
            return profile.stream().mapToDouble(LoadPoint::factor).max().orElse(1);
        }
    }

    /** A point of the load profile: the factor of the rate at a time. */
    public record LoadPoint(long atUs, double factor) {}

    /** The kinds of faults. */
    public enum FaultKind {
        /** Servers die and return cold. */
        DIE,
        /** Servers stop answering without closing their connections, and return cold. */
        VANISH,
        /** Servers fail most requests quickly. */
        FAIL,
        /** Servers are slower. */
        SLOW,
        /** Servers drain and restart, one batch after another, as in a release. */
        RELEASE,
        /** Nodes are killed and restart, one after another. */
        NODES_RESTART,
        /** A zone is partitioned from the others, and nobody is notified of it. */
        CUT
    }

    /**
     * The set from which a fault selects its targets. If the fault hits only some members of the set, they
     * are drawn at random.
     */
    public enum FaultScope {
        ANY,
        RACK,
        ZONE,
        KIND
    }

    /**
     * A fault that occurs during a run.
     *
     * @param kind what happens
     * @param scope the set from which targets are selected
     * @param index number of the rack or zone, or position of the kind, for those scopes
     * @param count number of targets; 0 means all members of the scope
     * @param atUs start time
     * @param durationUs duration
     * @param magnitude for FAIL the fraction of requests that fail, for SLOW the factor by which servers are
     *     slower, for RELEASE and NODES_RESTART the number of targets at once
     */
    public record Fault(
            FaultKind kind, FaultScope scope, int index, int count, long atUs, long durationUs, double magnitude) {}

    /** Returns the number of servers. */
    public int serverCount() {
        return kinds.stream().mapToInt(ServerKind::count).sum();
    }

    /** Returns the capacity of all servers when warm, in cores of speed 1. */
    public double capacity() {
        return kinds.stream().mapToDouble(k -> k.count * k.cores * k.speed).sum();
    }

    /** Returns the mean work of a first try, in microseconds on a core of speed 1. */
    public double meanWorkUs() {
        double shares = classes.stream().mapToDouble(ClassWorkload::share).sum();
        return classes.stream().mapToDouble(w -> w.share * w.meanWorkUs).sum() / shares;
    }

    /**
     * Returns the load of first tries where the profile's factor is 1, as a fraction of the capacity of all
     * servers.
     */
    public double offeredLoad() {
        return load.ratePerS * meanWorkUs() / 1e6 / capacity();
    }

    /** Returns this fleet with another load. */
    public Fleet with(Load other) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                classes,
                tenants,
                other,
                faults);
    }

    /** Returns this fleet with other kinds of servers. */
    public Fleet withKinds(List<ServerKind> others) {
        return new Fleet(
                List.copyOf(others),
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                classes,
                tenants,
                load,
                faults);
    }

    /** Returns this fleet with other faults. */
    public Fleet withFaults(List<Fault> others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                classes,
                tenants,
                load,
                List.copyOf(others));
    }

    /** Returns this fleet with other nodes. */
    public Fleet with(Nodes others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                others,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                classes,
                tenants,
                load,
                faults);
    }

    /** Returns this fleet with another overload slowdown, or with none if the argument is null. */
    public Fleet with(OverloadSlowdown other) {
        return new Fleet(
                kinds, racks, zones, nodes, other, links, discoveryDelays, clients, classes, tenants, load, faults);
    }

    /** Returns this fleet with other connections. */
    public Fleet with(Links others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                others,
                discoveryDelays,
                clients,
                classes,
                tenants,
                load,
                faults);
    }

    /** Returns this fleet with other clients. */
    public Fleet with(Clients others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                others,
                classes,
                tenants,
                load,
                faults);
    }

    /** Returns this fleet with other classes. */
    public Fleet withClasses(List<ClassWorkload> others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                List.copyOf(others),
                tenants,
                load,
                faults);
    }

    /** Returns this fleet with other tenants. */
    public Fleet withTenants(List<TenantShare> others) {
        return new Fleet(
                kinds,
                racks,
                zones,
                nodes,
                overloadSlowdown,
                links,
                discoveryDelays,
                clients,
                classes,
                List.copyOf(others),
                load,
                faults);
    }

    /** Returns this fleet without tenants. */
    public Fleet withoutTenants() {
        return withTenants(List.of());
    }

    /**
     * Returns the reasons why this fleet cannot be run, one line each with field and reason; empty if it is
     * valid.
     */
    public List<String> validate() {
        List<String> problems = new ArrayList<>();
        require(problems, !kinds.isEmpty(), "boxes: at least one kind must be given");
        require(
                problems,
                serverCount() >= 1 && serverCount() <= MAX_SERVER_COUNT,
                "boxes: the total count must be from 1 to " + MAX_SERVER_COUNT + ", not " + serverCount());
        for (ServerKind kind : kinds) {
            String prefix = "boxes \"" + kind.name + "\": ";
            require(problems, kind.count >= 0, prefix + "count must not be negative");
            require(problems, kind.cores >= 1 && kind.cores <= 1_024, prefix + "cores must be from 1 to 1024");
            require(problems, kind.speed > 0, prefix + "speed must be above 0");
            require(problems, kind.speedCv >= 0 && kind.speedCv < 1, prefix + "speed_cv must be in [0, 1)");
            require(problems, kind.queueCapacity >= 1, prefix + "queue must be at least 1");
            require(
                    problems,
                    kind.initialCapacityRatio > 0 && kind.initialCapacityRatio <= 1,
                    prefix + "cold_from must be in (0, 1]");
            require(problems, kind.warmUpUs >= 0, prefix + "cold must not be negative");
        }
        require(problems, racks >= 1, "racks must be at least 1");
        require(
                problems,
                zones.count >= 1 && zones.count <= racks && zones.count <= nodes.count,
                "zones: count must be from 1 to the number of racks and to that of nodes");
        require(
                problems,
                zones.crossZoneDelayUs >= 0 && zones.crossZonePrice >= 0,
                "zones: across and price must not be negative");
        require(
                problems,
                nodes.count >= 1 && nodes.count <= MAX_NODE_COUNT,
                "nodes: count must be from 1 to " + MAX_NODE_COUNT);
        require(
                problems,
                nodes.eventCostUs >= 0 && nodes.cores > 0,
                "nodes: event must not be negative, and cores must be above 0");
        require(problems, !classes.isEmpty(), "class: at least one must be given");
        for (ClassWorkload work : classes) {
            String prefix = "class \"" + work.requestClass.name() + "\": ";
            require(problems, work.share > 0, prefix + "share must be above 0");
            require(problems, work.meanWorkUs > 0, prefix + "work must be above 0");
            require(problems, work.cv >= 0, prefix + "cv must not be negative");
            require(
                    problems,
                    work.requestClass.targetLatencyUs() > 0
                            && work.requestClass.deadlineUs() >= work.requestClass.targetLatencyUs(),
                    prefix + "aim must be above 0 and at most the deadline");
            require(
                    problems,
                    work.requestClass.retrySafety() != RetrySafety.KEYED || work.requestClass.dedupWindowUs() > 0,
                    prefix + "a keyed class needs a window above 0");
        }
        require(problems, load.ratePerS > 0, "load: rate must be above 0");
        require(problems, load.durationUs >= 1_000_000, "load: length must be at least 1s");
        for (int i = 1; i < load.profile.size(); i++) {
            require(
                    problems,
                    load.profile.get(i).atUs > load.profile.get(i - 1).atUs,
                    "load: shape must be in order of time");
        }
        require(
                problems,
                clients.minTryTimeoutRatio > 0
                        && clients.minTryTimeoutRatio <= clients.maxTryTimeoutRatio
                        && clients.maxTryTimeoutRatio <= 1,
                "clients: try_from and try_to must be in (0, 1] and in this order");
        require(problems, clients.nodeSkew >= 0 && clients.nodeSkew <= 3, "clients: skew must be from 0 to 3");
        require(problems, clients.maxRetries >= 0 && clients.maxRetries <= 10, "clients: retries must be from 0 to 10");
        for (Fault fault : faults) {
            String prefix = "fault " + fault.kind + ": ";
            require(problems, fault.atUs >= 0 && fault.durationUs >= 0, prefix + "at and for must not be negative");
            require(
                    problems,
                    fault.scope != FaultScope.RACK || fault.index >= 0 && fault.index < racks,
                    prefix + "there is no rack " + fault.index);
            require(
                    problems,
                    fault.scope != FaultScope.ZONE || fault.index >= 0 && fault.index < zones.count,
                    prefix + "there is no zone " + fault.index);
            require(
                    problems,
                    fault.kind != FaultKind.CUT || fault.scope == FaultScope.ZONE && zones.count > 1,
                    prefix + "must be among zones, and at least two zones are needed");
            require(
                    problems,
                    fault.scope != FaultScope.KIND || fault.index >= 0 && fault.index < kinds.size(),
                    prefix + "there is no such kind");
            require(
                    problems,
                    fault.kind != FaultKind.FAIL || fault.magnitude > 0 && fault.magnitude <= 1,
                    prefix + "size must be in (0, 1]");
            require(problems, fault.kind != FaultKind.SLOW || fault.magnitude >= 1, prefix + "size must be at least 1");
        }
        return problems;
    }

    private static void require(List<String> problems, boolean isValid, String problem) {
        if (!isValid) {
            problems.add(problem);
        }
    }
}
