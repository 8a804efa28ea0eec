package kitemux.fleet;

import java.util.ArrayList;
import java.util.List;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;

/**
 * A fleet, its load and what goes wrong, as the emulator plays it. Times are microseconds; a rate is a
 * second's.
 *
 * @param kinds kinds of servers, at least one
 * @param racks servers are spread over so many racks in turn; a rack is the group that drops a keyed repeat
 * @param zones racks and nodes are spread over these in turn
 * @param nodes the proxies
 * @param choke how crowded servers turn slow, or null where they do not
 * @param links what connections to servers cost
 * @param list how late nodes hear of servers
 * @param clients how clients wait and ask again
 * @param classes what is asked, at least one
 * @param tenants who asks, with their shares; may be empty
 * @param load how much is asked
 * @param faults what goes wrong
 */
public record Fleet(
        List<Kind> kinds,
        int racks,
        Zones zones,
        Nodes nodes,
        Choke choke,
        Links links,
        Listing list,
        Clients clients,
        List<Work> classes,
        List<Share> tenants,
        Load load,
        List<Fault> faults) {

    private static final int MOST_BOXES = 20_000;
    private static final int MOST_NODES = 2_000;

    /**
     * Servers of one kind.
     *
     * @param speed of one core, against the core that work is told for
     * @param speedCv how much single servers differ: standard deviation over mean
     * @param room requests that wait at most; more are turned away
     * @param coldFrom share of its capacity with which one starts
     * @param coldUs after which it is warm at the latest
     * @param warmsByWork whether work done warms it as well: half the time's full work suffices
     * @param cost what one costs, in any unit
     */
    public record Kind(
            String name,
            int count,
            int cores,
            double speed,
            double speedCv,
            int room,
            double coldFrom,
            long coldUs,
            boolean warmsByWork,
            double cost) {}

    /**
     * @param count how many
     * @param eventUs processor time that a node needs for each event of a request
     * @param cores processors that a node may use
     * @param startUs from a node's start until it takes clients
     * @param noticeUs how long the front goes on sending to one that has died
     */
    public record Nodes(int count, double eventUs, double cores, long startUs, long noticeUs) {}

    /**
     * A server turns slow when, in the mean over some time, more requests run or wait than its cores and so
     * many times their root, and stays so until it has been mostly idle for a while.
     *
     * @param at times the root of its cores
     * @param overUs time over which the mean is taken
     * @param slower how many times slower it then is
     * @param below share of its cores in use under which it rests
     * @param restUs how long it must rest
     * @param mostUs after which it is itself again all the same
     */
    public record Choke(double at, long overUs, double slower, double below, long restUs, long mostUs) {}

    /**
     * @param oneWayUs between two machines
     * @param jitter spread of that: standard deviation over mean
     * @param handshakeRtts round trips before the first request on a new connection
     * @param handshakeUs work that a new connection costs its server
     * @param most connections that a server accepts for each core
     * @param idleUs after which an unused one is closed
     * @param connectUs how long a node waits for one
     */
    public record Links(
            long oneWayUs, double jitter, int handshakeRtts, long handshakeUs, int most, long idleUs, long connectUs) {}

    /**
     * @param goneUs how late nodes hear that a server has died, from and to
     * @param silentUs the same of one that has vanished
     * @param backUs the same of one that has come
     * @param graceUs after which nothing new may go to one that drains
     */
    public record Listing(Range goneUs, Range silentUs, Range backUs, long graceUs) {}

    /**
     * Parts of the site that are lost or cut off as a whole.
     *
     * @param count how many
     * @param acrossUs more than the usual way that a message takes from one to another
     * @param price of an attempt that crosses, as the module is told it: 0 where crossing is free
     */
    public record Zones(int count, long acrossUs, double price) {
        /** All in one. */
        public static final Zones ONE = new Zones(1, 0, 0);

        /** The zone of a rack or of a node, by its number. */
        public int of(int number) {
            return number % count;
        }
    }

    /** Drawn evenly between the two, the lower one included. */
    public record Range(long from, long to) {}

    /**
     * @param oneWayUs between clients and nodes
     * @param retries how often a client asks again at most
     * @param tryFrom share of the deadline after which a try is given up, at least and at most
     * @param backoffUs first wait before a repeat; doubled with each
     * @param honour share of clients that heed when they are told to come back
     * @param mostRetryAfterUs longest such advice
     * @param skew how unevenly the front deals them out to nodes: deviation over mean of what a node gets
     */
    public record Clients(
            long oneWayUs,
            int retries,
            double tryFrom,
            double tryTo,
            long backoffUs,
            double honour,
            long mostRetryAfterUs,
            double skew) {}

    /** How the work of a class is spread about its mean. */
    public enum Spread {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A class of requests and the work of one.
     *
     * @param share of all requests; shares are scaled to sum 1
     * @param meanUs of its work, on a core of speed 1
     * @param cv spread of a lognormal one: standard deviation over mean
     */
    public record Work(RequestClass of, double share, double meanUs, Spread spread, double cv) {}

    /**
     * A tenant.
     *
     * @param share what it is entitled to, of what all are
     * @param usage what it asks, against its share
     */
    public record Share(String name, double share, double usage) {}

    /**
     * @param ratePerS first tries a second, where {@code shape} is 1
     * @param lengthUs how long clients ask
     * @param shape times and multiples of the rate, in order, straight lines between them; empty means 1
     * @param quotaPerS what all tenants together are entitled to; 0 means without limit
     * @param overShareWorth worth of what goes beyond, as a part
     */
    public record Load(double ratePerS, long lengthUs, List<Point> shape, double quotaPerS, double overShareWorth) {

        /** How much is asked at a time, against {@link #ratePerS}. */
        public double at(long us) {
            if (shape.isEmpty()) {
                return 1;
            }
            Point before = shape.get(0);
            for (Point point : shape) {
                if (point.us > us) {
                    return point == before
                            ? point.times
                            : before.times + (point.times - before.times) * (us - before.us) / (point.us - before.us);
                }
                before = point;
            }
            return before.times;
        }

        /** The same for {@code times} as much. */
        public Load times(double times) {
            return new Load(ratePerS * times, lengthUs, shape, quotaPerS, overShareWorth);
        }

        /** The most that is asked at any time, against {@link #ratePerS}. */
        public double most() {
            return shape.stream().mapToDouble(Point::times).max().orElse(1);
        }
    }

    /** A time and how much is asked then. */
    public record Point(long us, double times) {}

    /** What goes wrong. */
    public enum Trouble {
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
    public enum Among {
        ANY,
        RACK,
        ZONE,
        KIND
    }

    /**
     * @param among of which
     * @param which the rack's or zone's number or the kind's place
     * @param count how many of these; 0 means all
     * @param size for FAIL the share that fails, for SLOW how many times slower, for RELEASE and
     *     NODES_RESTART how many at once
     */
    public record Fault(Trouble trouble, Among among, int which, int count, long atUs, long forUs, double size) {}

    /** How many servers there are. */
    public int boxes() {
        return kinds.stream().mapToInt(Kind::count).sum();
    }

    /** What all servers can do when they are warm, in cores of speed 1. */
    public double capacity() {
        return kinds.stream().mapToDouble(k -> k.count * k.cores * k.speed).sum();
    }

    /** Mean work of a first try, in microseconds on a core of speed 1. */
    public double meanWorkUs() {
        double shares = classes.stream().mapToDouble(Work::share).sum();
        return classes.stream().mapToDouble(w -> w.share * w.meanUs).sum() / shares;
    }

    /** What first tries ask for where the shape is 1, as a share of what all servers can do. */
    public double offered() {
        return load.ratePerS * meanWorkUs() / 1e6 / capacity();
    }

    /** The same with another load. */
    public Fleet with(Load other) {
        return new Fleet(kinds, racks, zones, nodes, choke, links, list, clients, classes, tenants, other, faults);
    }

    /** The same with other servers. */
    public Fleet withKinds(List<Kind> others) {
        return new Fleet(
                List.copyOf(others), racks, zones, nodes, choke, links, list, clients, classes, tenants, load, faults);
    }

    /** The same with other things that go wrong. */
    public Fleet withFaults(List<Fault> others) {
        return new Fleet(
                kinds, racks, zones, nodes, choke, links, list, clients, classes, tenants, load, List.copyOf(others));
    }

    /** The same with other nodes. */
    public Fleet with(Nodes others) {
        return new Fleet(kinds, racks, zones, others, choke, links, list, clients, classes, tenants, load, faults);
    }

    /** The same, whose servers turn slow otherwise, or not where null. */
    public Fleet with(Choke other) {
        return new Fleet(kinds, racks, zones, nodes, other, links, list, clients, classes, tenants, load, faults);
    }

    /** The same with other connections. */
    public Fleet with(Links others) {
        return new Fleet(kinds, racks, zones, nodes, choke, others, list, clients, classes, tenants, load, faults);
    }

    /** The same with other clients. */
    public Fleet with(Clients others) {
        return new Fleet(kinds, racks, zones, nodes, choke, links, list, others, classes, tenants, load, faults);
    }

    /** The same whose classes are others, or other work. */
    public Fleet withClasses(List<Work> others) {
        return new Fleet(
                kinds, racks, zones, nodes, choke, links, list, clients, List.copyOf(others), tenants, load, faults);
    }

    /** The same whose tenants are others, or ask otherwise. */
    public Fleet withTenants(List<Share> others) {
        return new Fleet(
                kinds, racks, zones, nodes, choke, links, list, clients, classes, List.copyOf(others), load, faults);
    }

    /** The same without tenants' shares. */
    public Fleet withoutShares() {
        return withTenants(List.of());
    }

    /** All that cannot be played, one line each with field and reason; empty where there is nothing. */
    public List<String> faultsFound() {
        List<String> found = new ArrayList<>();
        require(found, !kinds.isEmpty(), "boxes: at least one kind must be given");
        require(
                found,
                boxes() >= 1 && boxes() <= MOST_BOXES,
                "boxes: from 1 to " + MOST_BOXES + " in all, not " + boxes());
        for (Kind kind : kinds) {
            String at = "boxes \"" + kind.name + "\": ";
            require(found, kind.count >= 0, at + "count is under 0");
            require(found, kind.cores >= 1 && kind.cores <= 1_024, at + "cores is not from 1 to 1024");
            require(found, kind.speed > 0, at + "speed is not above 0");
            require(found, kind.speedCv >= 0 && kind.speedCv < 1, at + "speed_cv is not in [0, 1)");
            require(found, kind.room >= 1, at + "queue is under 1");
            require(found, kind.coldFrom > 0 && kind.coldFrom <= 1, at + "cold_from is not in (0, 1]");
            require(found, kind.coldUs >= 0, at + "cold is under 0");
        }
        require(found, racks >= 1, "racks is under 1");
        require(
                found,
                zones.count >= 1 && zones.count <= racks && zones.count <= nodes.count,
                "zones: count is not from 1 to the number of racks and of nodes");
        require(found, zones.acrossUs >= 0 && zones.price >= 0, "zones: across or price is under 0");
        require(found, nodes.count >= 1 && nodes.count <= MOST_NODES, "nodes: count is not from 1 to " + MOST_NODES);
        require(found, nodes.eventUs >= 0 && nodes.cores > 0, "nodes: event is under 0, or cores not above 0");
        require(found, !classes.isEmpty(), "class: at least one must be given");
        for (Work work : classes) {
            String at = "class \"" + work.of.name() + "\": ";
            require(found, work.share > 0, at + "share is not above 0");
            require(found, work.meanUs > 0, at + "work is not above 0");
            require(found, work.cv >= 0, at + "cv is under 0");
            require(
                    found,
                    work.of.targetLatencyUs() > 0 && work.of.deadlineUs() >= work.of.targetLatencyUs(),
                    at + "aim is not above 0, or beyond the deadline");
            require(
                    found,
                    work.of.retrySafety() != RetrySafety.KEYED || work.of.dedupWindowUs() > 0,
                    at + "a keyed class needs a window above 0");
        }
        require(found, load.ratePerS > 0, "load: rate is not above 0");
        require(found, load.lengthUs >= 1_000_000, "load: length is under 1s");
        for (int i = 1; i < load.shape.size(); i++) {
            require(found, load.shape.get(i).us > load.shape.get(i - 1).us, "load: shape is not in order of time");
        }
        require(
                found,
                clients.tryFrom > 0 && clients.tryFrom <= clients.tryTo && clients.tryTo <= 1,
                "clients: try_from and try_to are not in order within (0, 1]");
        require(found, clients.skew >= 0 && clients.skew <= 3, "clients: skew is not from 0 to 3");
        require(found, clients.retries >= 0 && clients.retries <= 10, "clients: retries is not from 0 to 10");
        for (Fault fault : faults) {
            String at = "fault " + fault.trouble + ": ";
            require(found, fault.atUs >= 0 && fault.forUs >= 0, at + "at or for is under 0");
            require(
                    found,
                    fault.among != Among.RACK || fault.which >= 0 && fault.which < racks,
                    at + "there is no rack " + fault.which);
            require(
                    found,
                    fault.among != Among.ZONE || fault.which >= 0 && fault.which < zones.count,
                    at + "there is no zone " + fault.which);
            require(
                    found,
                    fault.trouble != Trouble.CUT || fault.among == Among.ZONE && zones.count > 1,
                    at + "must be among zones, of which there must be two");
            require(
                    found,
                    fault.among != Among.KIND || fault.which >= 0 && fault.which < kinds.size(),
                    at + "there is no such kind");
            require(
                    found,
                    fault.trouble != Trouble.FAIL || fault.size > 0 && fault.size <= 1,
                    at + "size is not in (0, 1]");
            require(found, fault.trouble != Trouble.SLOW || fault.size >= 1, at + "size is under 1");
        }
        return found;
    }

    private static void require(List<String> found, boolean holds, String otherwise) {
        if (!holds) {
            found.add(otherwise);
        }
    }
}
