package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.RequestClass;

/**
 * A fleet, its load and what goes wrong, as the emulator plays it. Times are microseconds; a rate is a
 * second's.
 *
 * @param kinds kinds of servers, at least one
 * @param racks servers are spread over so many racks in turn; a rack is the group that drops a keyed repeat
 * @param zones racks and nodes are spread over these in turn
 * @param nodes the proxies
 * @param overloadSlowdown how crowded servers turn slow, or null where they do not
 * @param links what connections to servers cost
 * @param discoveryDelays how late nodes hear of servers
 * @param clients how clients wait and ask again
 * @param classes what is asked, at least one
 * @param tenants who asks, with their shares; may be empty
 * @param load how much is asked
 * @param faults what goes wrong
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

    private static final int MOST_BOXES = 20_000;
    private static final int MOST_NODES = 2_000;

    /**
     * Servers of one kind.
     *
     * @param speed of one core, against the core that work is told for
     * @param speedCv how much single servers differ: standard deviation over mean
     * @param queueCapacity requests that wait at most; more are turned away
     * @param initialCapacityRatio share of its capacity with which one starts
     * @param warmUpUs after which it is warm at the latest
     * @param warmsByWork whether work done warms it as well: half the time's full work suffices
     * @param cost what one costs, in any unit
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
     * @param count how many
     * @param eventCostUs processor time that a node needs for each event of a request
     * @param cores processors that a node may use
     * @param startupUs from a node's start until it takes clients
     * @param failureDetectionUs how long the front goes on sending to one that has died
     */
    public record Nodes(int count, double eventCostUs, double cores, long startupUs, long failureDetectionUs) {}

    /**
     * A server turns slow when, in the mean over some time, more requests run or wait than its cores and so
     * many times their root, and stays so until it has been mostly idle for a while.
     *
     * @param thresholdFactor times the root of its cores
     * @param averagingUs time over which the mean is taken
     * @param slowdownFactor how many times slower it then is
     * @param restUtilisation share of its cores in use under which it rests
     * @param restUs how long it must rest
     * @param maxDurationUs after which it is itself again all the same
     */
    public record OverloadSlowdown(
            double thresholdFactor,
            long averagingUs,
            double slowdownFactor,
            double restUtilisation,
            long restUs,
            long maxDurationUs) {}

    /**
     * @param oneWayUs between two machines
     * @param jitter spread of that: standard deviation over mean
     * @param handshakeRtts round trips before the first request on a new connection
     * @param handshakeWorkUs work that a new connection costs its server
     * @param maxConnectionsPerCore connections that a server accepts for each core
     * @param idleTimeoutUs after which an unused one is closed
     * @param connectTimeoutUs how long a node waits for one
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
     * @param crashDelayUs how late nodes hear that a server has died, from and to
     * @param silenceDelayUs the same of one that has vanished
     * @param returnDelayUs the same of one that has come
     * @param drainGraceUs after which nothing new may go to one that drains
     */
    public record DiscoveryDelays(Range crashDelayUs, Range silenceDelayUs, Range returnDelayUs, long drainGraceUs) {}

    /**
     * Parts of the site that are lost or cut off as a whole.
     *
     * @param count how many
     * @param crossZoneDelayUs more than the usual way that a message takes from one to another
     * @param crossZonePrice of an attempt that crosses, as the module is told it: 0 where crossing is free
     */
    public record Zones(int count, long crossZoneDelayUs, double crossZonePrice) {
        /** All in one. */
        public static final Zones SINGLE = new Zones(1, 0, 0);

        /** The zone of a rack or of a node, by its number. */
        public int zoneOf(int number) {
            return number % count;
        }
    }

    /** Drawn evenly between the two, the lower one included. */
    public record Range(long from, long to) {}

    /**
     * @param oneWayUs between clients and nodes
     * @param maxRetries how often a client asks again at most
     * @param minTryTimeoutRatio share of the deadline after which a try is given up, at least and at most
     * @param backoffUs first wait before a repeat; doubled with each
     * @param retryAfterComplianceRatio share of clients that heed when they are told to come back
     * @param maxRetryAfterUs longest such advice
     * @param nodeSkew how unevenly the front deals them out to nodes: deviation over mean of what a node gets
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

    /** How the work of a class is spread about its mean. */
    public enum WorkDistribution {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A class of requests and the work of one.
     *
     * @param share of all requests; shares are scaled to sum 1
     * @param meanWorkUs of its work, on a core of speed 1
     * @param cv spread of a lognormal one: standard deviation over mean
     */
    public record ClassWorkload(
            RequestClass requestClass, double share, double meanWorkUs, WorkDistribution distribution, double cv) {}

    /**
     * A tenant.
     *
     * @param share what it is entitled to, of what all are
     * @param usageRatio what it asks, against its share
     */
    public record TenantShare(String name, double share, double usageRatio) {}

    /**
     * @param ratePerS first tries a second, where {@code shape} is 1
     * @param durationUs how long clients ask
     * @param profile times and multiples of the rate, in order, straight lines between them; empty means 1
     * @param quotaPerS what all tenants together are entitled to; 0 means without limit
     * @param overShareWorth worth of what goes beyond, as a part
     */
    public record Load(
            double ratePerS, long durationUs, List<LoadPoint> profile, double quotaPerS, double overShareWorth) {

        /** How much is asked at a time, against {@link #ratePerS}. */
        public double factorAt(long us) {
            if (profile.isEmpty()) {
                return 1;
            }
            LoadPoint before = profile.get(0);
            for (LoadPoint point : profile) {
                if (point.atUs > us) {
                    return point == before
                            ? point.factor
                            : before.factor
                                    + (point.factor - before.factor) * (us - before.atUs) / (point.atUs - before.atUs);
                }
                before = point;
            }
            return before.factor;
        }

        /** The same for {@code times} as much. */
        public Load scaledBy(double times) {
            return new Load(ratePerS * times, durationUs, profile, quotaPerS, overShareWorth);
        }

        /** The most that is asked at any time, against {@link #ratePerS}. */
        public double maxFactor() {
            return profile.stream().mapToDouble(LoadPoint::factor).max().orElse(1);
        }
    }

    /** A time and how much is asked then. */
    public record LoadPoint(long atUs, double factor) {}

    /** What goes wrong. */
    public enum FaultKind {
        /** Servers die and come back cold. */
        DIE,
        /** They say nothing more, and come back cold. */
        VANISH,
        /** They fail most requests, quickly. */
        FAIL,
        /** They are slower. */
        SLOW,
        /** They drain and start anew, one batch after another: a release. */
        RELEASE,
        /** Nodes are killed and start anew, one after another. */
        NODES_RESTART,
        /** Nothing passes between a zone and the others, nor is said why. */
        CUT
    }

    /** Whom it befalls: a rack, a zone, a kind, or any; drawn where not all of these are meant. */
    public enum FaultScope {
        ANY,
        RACK,
        ZONE,
        KIND
    }

    /**
     * @param scope of which
     * @param index the rack's or zone's number or the kind's place
     * @param count how many of these; 0 means all
     * @param magnitude for FAIL the share that fails, for SLOW how many times slower, for RELEASE and
     *     NODES_RESTART how many at once
     */
    public record Fault(
            FaultKind kind, FaultScope scope, int index, int count, long atUs, long durationUs, double magnitude) {}

    /** How many servers there are. */
    public int serverCount() {
        return kinds.stream().mapToInt(ServerKind::count).sum();
    }

    /** What all servers can do when they are warm, in cores of speed 1. */
    public double capacity() {
        return kinds.stream().mapToDouble(k -> k.count * k.cores * k.speed).sum();
    }

    /** Mean work of a first try, in microseconds on a core of speed 1. */
    public double meanWorkUs() {
        double shares = classes.stream().mapToDouble(ClassWorkload::share).sum();
        return classes.stream().mapToDouble(w -> w.share * w.meanWorkUs).sum() / shares;
    }

    /** What first tries ask for where the shape is 1, as a share of what all servers can do. */
    public double offeredLoad() {
        return load.ratePerS * meanWorkUs() / 1e6 / capacity();
    }

    /** The same with another load. */
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

    /** The same with other servers. */
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

    /** The same with other things that go wrong. */
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

    /** The same with other nodes. */
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

    /** The same, whose servers turn slow otherwise, or not where null. */
    public Fleet with(OverloadSlowdown other) {
        return new Fleet(
                kinds, racks, zones, nodes, other, links, discoveryDelays, clients, classes, tenants, load, faults);
    }

    /** The same with other connections. */
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

    /** The same with other clients. */
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

    /** The same whose classes are others, or other work. */
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

    /** The same whose tenants are others, or ask otherwise. */
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

    /** The same without tenants' shares. */
    public Fleet withoutTenants() {
        return withTenants(List.of());
    }

    /** All that cannot be played, one line each with field and reason; empty where there is nothing. */
    public List<String> validate() {
        List<String> found = new ArrayList<>();
        require(found, !kinds.isEmpty(), "boxes: at least one kind must be given");
        require(
                found,
                serverCount() >= 1 && serverCount() <= MOST_BOXES,
                "boxes: from 1 to " + MOST_BOXES + " in all, not " + serverCount());
        for (ServerKind kind : kinds) {
            String at = "boxes \"" + kind.name + "\": ";
            require(found, kind.count >= 0, at + "count is under 0");
            require(found, kind.cores >= 1 && kind.cores <= 1_024, at + "cores is not from 1 to 1024");
            require(found, kind.speed > 0, at + "speed is not above 0");
            require(found, kind.speedCv >= 0 && kind.speedCv < 1, at + "speed_cv is not in [0, 1)");
            require(found, kind.queueCapacity >= 1, at + "queue is under 1");
            require(
                    found,
                    kind.initialCapacityRatio > 0 && kind.initialCapacityRatio <= 1,
                    at + "cold_from is not in (0, 1]");
            require(found, kind.warmUpUs >= 0, at + "cold is under 0");
        }
        require(found, racks >= 1, "racks is under 1");
        require(
                found,
                zones.count >= 1 && zones.count <= racks && zones.count <= nodes.count,
                "zones: count is not from 1 to the number of racks and of nodes");
        require(found, zones.crossZoneDelayUs >= 0 && zones.crossZonePrice >= 0, "zones: across or price is under 0");
        require(found, nodes.count >= 1 && nodes.count <= MOST_NODES, "nodes: count is not from 1 to " + MOST_NODES);
        require(found, nodes.eventCostUs >= 0 && nodes.cores > 0, "nodes: event is under 0, or cores not above 0");
        require(found, !classes.isEmpty(), "class: at least one must be given");
        for (ClassWorkload work : classes) {
            String at = "class \"" + work.requestClass.name() + "\": ";
            require(found, work.share > 0, at + "share is not above 0");
            require(found, work.meanWorkUs > 0, at + "work is not above 0");
            require(found, work.cv >= 0, at + "cv is under 0");
            require(
                    found,
                    work.requestClass.aimUs() > 0 && work.requestClass.deadlineUs() >= work.requestClass.aimUs(),
                    at + "aim is not above 0, or beyond the deadline");
            require(
                    found,
                    work.requestClass.repeat() != Repeat.KEYED || work.requestClass.windowUs() > 0,
                    at + "a keyed class needs a window above 0");
        }
        require(found, load.ratePerS > 0, "load: rate is not above 0");
        require(found, load.durationUs >= 1_000_000, "load: length is under 1s");
        for (int i = 1; i < load.profile.size(); i++) {
            require(
                    found,
                    load.profile.get(i).atUs > load.profile.get(i - 1).atUs,
                    "load: shape is not in order of time");
        }
        require(
                found,
                clients.minTryTimeoutRatio > 0
                        && clients.minTryTimeoutRatio <= clients.maxTryTimeoutRatio
                        && clients.maxTryTimeoutRatio <= 1,
                "clients: try_from and try_to are not in order within (0, 1]");
        require(found, clients.nodeSkew >= 0 && clients.nodeSkew <= 3, "clients: skew is not from 0 to 3");
        require(found, clients.maxRetries >= 0 && clients.maxRetries <= 10, "clients: retries is not from 0 to 10");
        for (Fault fault : faults) {
            String at = "fault " + fault.kind + ": ";
            require(found, fault.atUs >= 0 && fault.durationUs >= 0, at + "at or for is under 0");
            require(
                    found,
                    fault.scope != FaultScope.RACK || fault.index >= 0 && fault.index < racks,
                    at + "there is no rack " + fault.index);
            require(
                    found,
                    fault.scope != FaultScope.ZONE || fault.index >= 0 && fault.index < zones.count,
                    at + "there is no zone " + fault.index);
            require(
                    found,
                    fault.kind != FaultKind.CUT || fault.scope == FaultScope.ZONE && zones.count > 1,
                    at + "must be among zones, of which there must be two");
            require(
                    found,
                    fault.scope != FaultScope.KIND || fault.index >= 0 && fault.index < kinds.size(),
                    at + "there is no such kind");
            require(
                    found,
                    fault.kind != FaultKind.FAIL || fault.magnitude > 0 && fault.magnitude <= 1,
                    at + "size is not in (0, 1]");
            require(found, fault.kind != FaultKind.SLOW || fault.magnitude >= 1, at + "size is under 1");
        }
        return found;
    }

    private static void require(List<String> found, boolean holds, String otherwise) {
        if (!holds) {
            found.add(otherwise);
        }
    }
}
